"""Messages between entry hosts and the stores that lead them."""

import dataclasses

from rhubarbreach.protocol import messages

__all__ = [
    'CatalogCopy',
    'EndpointNews',
    'EndpointNotice',
    'EndpointsQuery',
    'Exchange',
    'ExchangeReply',
    'StoreNews',
]


@messages.frozen_message
class EndpointNotice:
    """What an endpoint has announced of itself.

    `born` is the Unix time in milliseconds at which the process started and
    `sequence` counts its announcements, so that a late one is known as such.
    `age` is the time in seconds since the announcement arrived.
    """

    endpoint_id: str
    service: str
    address: str
    availability_zone: str
    slots: int
    state: str
    born: int
    sequence: int
    age: float = 0.0


@messages.frozen_message
class EndpointNews:
    """Announcements that the sender has heard from endpoints."""

    rows: tuple[EndpointNotice, ...]


@messages.frozen_message
class EndpointsQuery:
    """Ask a store for all endpoints that it knows, as `EndpointNews`."""


@messages.frozen_message
class StoreNews:
    """Presence of a store, told to the other stores."""

    host_id: str
    name: str
    availability_zone: str


@messages.frozen_message
class CatalogCopy:
    """A configuration as the operator sent it; version 0 is none."""

    version: int
    document: bytes


@messages.frozen_message
class Exchange:
    """State of an entry host, told to the leader several times a second.

    `running` counts the requests of this host on each endpoint, `wanted` the
    requests that each client account is expected to send soon, and `outcomes`
    the failures and successes on each endpoint since the last message.
    """

    catalog_version: int
    endpoints_stamp: str
    running: dict[str, int]
    wanted: dict[str, float]
    outcomes: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )


@messages.frozen_message
class ExchangeReply:
    """Answer of a store.

    Only a leader answers with more than `leader_id`. `age` is the time in
    seconds since a majority confirmed the leader. `endpoints` are all
    endpoints when `endpoints_stamp` differs from the asked one, and
    `complete` tells that an endpoint that is missing there is gone.
    `running` counts what runs on each endpoint for other entry hosts,
    `batch` the batch items there, and `granted` the requests that a client
    account may send at this host. `suspects` are endpoints that fail for
    several hosts.
    """

    is_leader: bool
    leader_id: str | None
    stores: tuple[str, ...] = ()
    age: float = 0.0
    catalog: CatalogCopy | None = None
    endpoints_stamp: str = ''
    endpoints: tuple[EndpointNotice, ...] | None = None
    complete: bool = False
    running: dict[str, int] = dataclasses.field(default_factory=dict)
    batch: dict[str, int] = dataclasses.field(default_factory=dict)
    granted: dict[str, float] = dataclasses.field(default_factory=dict)
    entries: int = 1
    suspects: tuple[str, ...] = ()
