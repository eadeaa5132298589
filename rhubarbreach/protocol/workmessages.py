"""Messages between the leader that schedules batch items and the stores
that run them."""

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
    """Order to run an item on an endpoint, resuming after event `last_id`.

    `order_id` is unique among all orders. `host` is the host of the item's
    route. `address` is the address of the endpoint, `software_version` the
    version of its software, and `born` the start of its process in Unix
    milliseconds. `output_bytes` is the size of the events up to `last_id`. A
    run at a cold endpoint has to begin within `start_within` seconds after the
    store has asked for its orders.
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
    software_version: str = ''
    born: int = 0
    output_bytes: int = 0
    start_within: float | None = None


@messages.frozen_message
class RunReport:
    """State of the run of an order.

    `texts` are the events from number `first` on, without those that the
    leader is known to have; `first` is 0 if no events are reported. `begun`
    is the number of the event after which the run resumed. `seconds` is the
    duration of the run. `outcome` is empty until the run has ended.
    `software_version` and `born` are repeated from the order.
    `ends_within_event` is whether a part of one more event followed, and
    `is_port_closed` whether no process listened at the address of the
    endpoint, either at the beginning or right after an unproven end.
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
    software_version: str = ''
    ends_within_event: bool = False
    is_port_closed: bool = False
    born: int = 0


@messages.frozen_message
class WorkReport:
    """State of all runs of a store.

    If `takes_orders` is True, it is also a request for orders.
    """

    availability_zone: str
    takes_orders: bool
    runs: tuple[RunReport, ...]


@messages.frozen_message
class WorkOrders:
    """Answer to `WorkReport`; another store sends the leader's id only.

    `known` holds pairs of the order id of a reported run and the number of
    its events that the leader has. A reported run that is missing there does
    not belong to the leader, and the store cancels it. `cancels` are the
    order ids of runs to cancel whose events are still to be reported.
    """

    is_leader: bool
    leader_id: str | None
    orders: tuple[RunOrder, ...] = ()
    known: tuple[tuple[str, int], ...] = ()
    cancels: tuple[str, ...] = ()


@messages.frozen_message
class RunCancel:
    """Order to cancel runs and to request orders immediately.

    The next `WorkOrders` repeats the cancellation.
    """

    order_ids: tuple[str, ...]
