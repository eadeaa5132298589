"""Messages about rate shares and the slots of endpoints."""

from rhubarbreach.protocol import messages

__all__ = [
    'GrantReply',
    'GrantRequest',
    'ShareLease',
    'ShareLeaseReply',
    'SlotReply',
    'SlotRequest',
    'SlotUse',
]


@messages.frozen_message
class ShareLease:
    """Lease of the sender's rate shares to the receiver.

    `echo` is the time on the receiver's clock that its last reply stated.
    The lease ends `duration` seconds after it, so that a delayed message
    cannot extend the lease. `duration` 0 releases the shares immediately.
    `number` orders the messages of the sender. The lease covers the accounts
    that the receiver owns among `owners`, except those whose owner among
    `previous` is in `held`, because its old lease has not ended yet.
    """

    share_epoch: int
    share_count: int
    duration: float
    number: int = 0
    echo: float = 0.0
    owners: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    held: tuple[str, ...] = ()


@messages.frozen_message
class ShareLeaseReply:
    """Answer to `ShareLease`; `stamp` is the owner's clock in seconds."""

    accepted: bool
    share_epoch: int
    stamp: float = 0.0


@messages.frozen_message
class GrantRequest:
    """Request to the owner for tokens of one client account.

    `wanted` are the tokens that waiting requests need, and `extra` those
    expected to be needed soon. `served` is the measured cost served for the
    account since the last request, for fair sharing across the fleet.
    `unit` is the largest cost of a waiting request. `finished` lists the ids
    of grants that were spent.
    """

    account_id: str
    wanted: float
    served: float
    unit: float = 0.0
    extra: float = 0.0
    finished: tuple[int, ...] = ()


@messages.frozen_message
class GrantReply:
    """Tokens granted for `duration` seconds.

    If no tokens are left, `retry_after` is the delay in seconds before the
    next request.
    """

    granted: float
    duration: float
    retry_after: float
    grant_id: int = 0


@messages.frozen_message
class SlotUse:
    """Slots of one endpoint that a host uses and requests.

    `first_token` and `inter_token` are mean latencies in seconds.
    `batch_weight` is the weight of the accounts whose batch work waits on
    the host. `alone` requests the whole endpoint, to run a request that is
    suspected of crashing endpoints.
    """

    endpoint_id: str
    online_running: int
    online_waiting: int
    batch_running: int
    batch_waiting: int
    first_token: float
    inter_token: float
    batch_weight: float = 1.0
    alone: bool = False


@messages.frozen_message
class SlotRequest:
    """Demand of one host, sent to the home host of the endpoints."""

    uses: tuple[SlotUse, ...]


@messages.frozen_message
class SlotReply:
    """Slots leased to the host, in the order of the request's uses.

    For each use, `alone` is True if the host has exclusive use of the
    endpoint and no other host runs requests on it, and `others` is the
    number of requests of other hosts on the endpoint.
    """

    online: tuple[int, ...]
    batch: tuple[int, ...]
    duration: float
    alone: tuple[bool, ...] = ()
    others: tuple[int, ...] = ()
