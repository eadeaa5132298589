"""Messages between the leader that plans batch items and the stores that
run them."""

from rhubarbreach.protocol import messages

__all__ = [
    'RunCancel',
    'RunOrder',
    'RunReport',
    'WorkOrders',
    'WorkReport',
]


@messages.frozen_message
class RunOrder:
    """Run an item on an endpoint, after the event `last_id`.

    `order_id` is unique among all orders. `host` is the one of the item's
    route.
    """

    order_id: str
    job_id: str
    item_id: str
    account: str
    host: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    endpoint_id: str
    address: str
    last_id: int


@messages.frozen_message
class RunReport:
    """State of the run of an order.

    `texts` are the events from number `first` on that the leader is not
    known to have. `begun` is the number of events with which the run began
    and `seconds` its time. `outcome` is empty until the run has ended.
    """

    order_id: str
    job_id: str
    item_id: str
    endpoint_id: str
    first: int
    texts: tuple[bytes, ...]
    begun: int
    seconds: float
    outcome: str = ''
    detail: str = ''


@messages.frozen_message
class WorkReport:
    """All runs of a store; also asks for orders if it takes any."""

    availability_zone: str
    takes_orders: bool
    runs: tuple[RunReport, ...]


@messages.frozen_message
class WorkOrders:
    """Answer of the leader, or the leader's id from another store.

    `known` tells, by order id, how many events of each reported run the
    leader has. A run that is not named there is none of the leader's, and
    ends. `cancels` are the order ids of runs to be ended whose events are
    still wanted.
    """

    is_leader: bool
    leader_id: str | None
    orders: tuple[RunOrder, ...] = ()
    known: tuple[tuple[str, int], ...] = ()
    cancels: tuple[str, ...] = ()


@messages.frozen_message
class RunCancel:
    """End runs at once, and ask for orders; the next answer repeats it."""

    order_ids: tuple[str, ...]
