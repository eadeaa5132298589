"""When the holder of an order lease may give its first order."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.orders import client

__all__ = ['HeldLease', 'get_first_order_time', 'is_usable']


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """An order lease that this host took.

    Parameters
    ----------
    endpoint_id : str
        Endpoint.
    epoch : int
        Fencing number.
    taken_at : float
        Monotonic time when the change was known to be committed.
    had_holder : bool
        Whether another host held the lease before.
    """

    endpoint_id: str
    epoch: int
    taken_at: float
    had_holder: bool


def get_first_order_time(lease, checks_fencing, validity):
    """Return the monotonic time from which orders are safe.

    The previous holder stops when its configuration shows the new holder
    or loses its validity. An endpoint that ignores fencing numbers could
    still carry out the previous holder's last order, so its timeout is
    waited for as well.

    Parameters
    ----------
    lease : HeldLease
        Lease of this host.
    checks_fencing : bool
        Whether the endpoint refuses old fencing numbers.
    validity : float
        Longest validity of a configuration, in seconds.

    Returns
    -------
    float
        Seconds of the monotonic clock.
    """
    if checks_fencing or not lease.had_holder:
        return lease.taken_at
    wait = validity + 2 * client.ORDER_TIMEOUT
    return lease.taken_at + wait * (1 + clock.MAX_DRIFT)


def is_usable(lease, held_epoch, valid_until, now):
    """Return whether an order sent now ends while the lease is held.

    Parameters
    ----------
    lease : HeldLease
        Lease of this host.
    held_epoch : int or None
        Epoch that the configuration shows for this host, None if another
        host holds the lease.
    valid_until : float
        Monotonic deadline of the configuration.
    now : float
        Monotonic time.

    Returns
    -------
    bool
        Whether an order may be sent.
    """
    return held_epoch == lease.epoch and now < valid_until
