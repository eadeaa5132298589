"""Time from which the holder of an order lease may send orders."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.orders import client

__all__ = ['HeldLease', 'get_first_order_time', 'is_usable']


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """An order lease that this host acquired.

    Parameters
    ----------
    endpoint_id : str
        Endpoint that the lease covers.
    epoch : int
        Epoch of the lease, used as the fencing token of its orders.
    acquired_at : float
        Monotonic time at which the lease was known to be committed.
    had_holder : bool
        Whether the lease had a holder before.
    """

    endpoint_id: str
    epoch: int
    acquired_at: float
    had_holder: bool


def get_first_order_time(lease, checks_fencing, validity):
    """Return the time from which the holder may send orders.

    The previous holder stops when its configuration shows the new holder or
    is no longer valid. An endpoint that ignores fencing tokens may then
    still execute the last order of the previous holder. The wait for such an
    endpoint therefore includes the timeout of that order.

    Parameters
    ----------
    lease : HeldLease
        Lease of this host.
    checks_fencing : bool
        Whether the endpoint refuses stale fencing tokens.
    validity : float
        Maximum validity of a configuration, in seconds.

    Returns
    -------
    float
        Monotonic seconds.
    """
    if checks_fencing or not lease.had_holder:
        return lease.acquired_at
    wait = validity + 2 * client.ORDER_TIMEOUT_SECONDS
    return lease.acquired_at + wait * (1 + clock.MAX_DRIFT)


def is_usable(lease, held_epoch, valid_until, now):
    """Return whether the lease permits sending an order now.

    Parameters
    ----------
    lease : HeldLease
        Lease of this host.
    held_epoch : int or None
        Epoch that the configuration shows for this host, None if this host
        does not hold the lease.
    valid_until : float
        Monotonic deadline of the configuration.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        Whether this host still holds the lease in a valid configuration.
    """
    return held_epoch == lease.epoch and now < valid_until
