"""Messages about rates and the concurrency of endpoints."""

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
    """Lease the sender's rate shares to the receiver.

    The lease lasts until `echo`, a time of the receiver's clock from its
    last reply, plus `duration` s; a late message thus cannot lengthen it.
    `duration` 0 releases the shares at once. The lease is for the accounts
    that belong to the receiver among `owners`, but for those that belonged
    to one of `held` among `previous`, where an old lease has not ended.
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
    """Whether the owner accepted the lease; `stamp` is its clock in s."""

    accepted: bool
    share_epoch: int
    stamp: float = 0.0


@messages.frozen_message
class GrantRequest:
    """Ask the owner for tokens of one client account.

    `served` is the measured cost served for the account since the last
    request, for fair sharing across the fleet. `unit` is the largest cost
    of a waiting request, `extra` what is expected to be needed soon, and
    `finished` lists the grants that were spent.
    """

    account_id: str
    wanted: float
    served: float
    unit: float = 0.0
    extra: float = 0.0
    finished: tuple[int, ...] = ()


@messages.frozen_message
class GrantReply:
    """Tokens granted for `duration` s; `retry_after` s when none are left."""

    granted: float
    duration: float
    retry_after: float
    grant_id: int = 0


@messages.frozen_message
class SlotUse:
    """Slots of one endpoint that a host uses and wants.

    `batch_weight` is the weight of the accounts whose batch work waits on
    the host. `alone` asks for the whole endpoint, for a crash suspect.
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
    """Demand of one host, to the home host of the endpoints."""

    uses: tuple[SlotUse, ...]


@messages.frozen_message
class SlotReply:
    """Slots leased to the host, in the order of the request's uses.

    `alone` tells for each use whether nothing else runs on the endpoint,
    `others` how many requests of other hosts run there.
    """

    online: tuple[int, ...]
    batch: tuple[int, ...]
    duration: float
    alone: tuple[bool, ...] = ()
    others: tuple[int, ...] = ()
