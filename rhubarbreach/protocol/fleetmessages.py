"""Messages between entry hosts and store hosts."""

import dataclasses

import msgspec

from rhubarbreach import codes
from rhubarbreach.protocol import messages

__all__ = [
    'CatalogCopy',
    'CatalogPart',
    'CatalogPartCall',
    'CrashNotice',
    'EndpointNews',
    'EndpointNotice',
    'EndpointsQuery',
    'Exchange',
    'ExchangeReply',
    'LoadNews',
    'QueueReport',
    'QueueState',
    'RetirementCall',
    'RetirementReply',
    'StoreNews',
    'ZoneTokenCall',
    'ZoneTokenReply',
]


@messages.frozen_message
class EndpointNotice:
    """Announcement of an endpoint.

    `born` is the Unix time in milliseconds at which the process of the
    endpoint started, and `sequence` counts its announcements; both serve to
    reject an announcement that arrives late. `age` is the time in seconds
    since the announcement arrived. A stream may only be resumed at endpoints
    with the `software_version` of the one that began it. `cold_seconds` is
    the time in seconds for which the endpoint said that it is cold, None if it
    did not say.
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
    software_version: str = ''
    cold_seconds: float | None = None


@messages.frozen_message
class EndpointNews:
    """Announcements of endpoints that the sender has received."""

    rows: tuple[EndpointNotice, ...]


@messages.frozen_message
class EndpointsQuery:
    """Request for all endpoints that a store knows, as `EndpointNews`."""


@messages.frozen_message
class StoreNews:
    """Periodic notice to the other stores that a store is running."""

    host_id: str
    name: str
    availability_zone: str


@messages.frozen_message
class CatalogCopy:
    """Configuration as the operator sent it; version 0 stands for none."""

    version: int
    document: bytes


@messages.frozen_message
class CatalogPartCall:
    """Call for a part of the packed configuration of a store.

    `version` is the one that is wanted, and `offset` the number of bytes that
    the caller has.
    """

    version: int
    offset: int


@messages.frozen_message
class CatalogPart:
    """Answer to `CatalogPartCall`.

    `size` is the number of all bytes. If `version` is a later one than that of
    the call, its first part is sent. Without data the store has none.
    """

    version: int
    size: int
    data: bytes


@messages.frozen_message
class CrashNotice:
    """Request that broke at an endpoint.

    `prompt` holds the ids of the parts of its prompt, `has_head` is whether
    the head of a response had arrived, and `age` is the time in seconds since
    the break. `service` is that of the endpoint. `run_seconds` is the time
    from the first event to the crash of the endpoint, None if the request
    broke before its first event. `is_resumed` is whether another endpoint had
    begun the response.
    """

    endpoint_id: str
    prompt: tuple[str, ...]
    has_head: bool
    age: float
    service: str = ''
    run_seconds: float | None = None
    is_resumed: bool = False


@messages.frozen_message
class QueueReport:
    """Requests of a service at an entry host since its last message.

    `demands` is the work that client accounts have asked for, in requests, and
    `completed` the number of requests that have ended. `waiting` requests
    within the share of their account wait for a slot, and `unmet` is the
    number of all that wait or were refused as no slot was free.
    """

    demands: dict[str, float] = dataclasses.field(default_factory=dict)
    completed: int = 0
    waiting: int = 0
    unmet: int = 0


@messages.frozen_message
class QueueState:
    """Requests of a service that wait for a slot at all entry hosts.

    `waiting` counts those within the share of their account. `exceeding` names
    the accounts that exceed their share, with the fraction of their requests
    that is beyond it.
    """

    waiting: int = 0
    exceeding: dict[str, float] = dataclasses.field(default_factory=dict)


@messages.frozen_message
class Exchange:
    """State of an entry host, sent to the leader several times a second.

    `endpoints_stamp` is the version of the list of endpoints that the host
    has. `running` counts the requests of this host on each endpoint,
    `wanted` the requests that each client account is expected to send soon,
    and `outcomes` the failures and successes on each endpoint since the last
    message. `peers_revision` is the version of the list of hosts in the same
    availability zone that the host has. `crashes` lists the requests that
    endpoints may have crashed on, and `answered` the time in seconds
    since the last answer to each part of a prompt that the leader suspects.
    `quarantine_revision` is the version of the quarantined parts that the
    host has. `departures` holds the endpoints that have said to this host that
    they are leaving, with the start of their process. While the leader
    suspects parts, `service_answers` holds the time in seconds since the last
    answer of each service to any request. `wanted_parts` are the quarantined
    parts of requests that have come since the last message, and `used_trials`
    is the number of the last trial of each part that the host has made.
    `evacuation_revision` is the version of the evacuated zones that the host
    has.
    `queues` are the requests of each service that has had any.
    `cold_wanted` are the permits that the host asks for by cold endpoint,
    `cold_failures` holds the time in seconds since the last failure of each
    endpoint that may have restarted, and `cold_stamp` is the version of the
    list of cold endpoints that the host has. `completed` holds the time in
    seconds since the last whole response to each part that the leader suspects
    or has quarantined, and `completions` the number of whole responses of each
    service since the last message, while the leader suspects parts.
    `fetches_catalogs` is whether the host fetches large configurations by
    itself. `wants_relays` asks for hosts that connect to endpoints for this
    one, `is_doubtful` is whether it may have lost its links to endpoints, and
    `is_cut_off` whether others reach those that it does not reach.
    """

    catalog_version: int
    endpoints_stamp: str
    running: dict[str, int]
    wanted: dict[str, float]
    outcomes: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    availability_zone: str = ''
    peers_revision: int = 0
    crashes: tuple[CrashNotice, ...] = ()
    answered: dict[str, float] = dataclasses.field(default_factory=dict)
    quarantine_revision: int = 0
    departures: dict[str, int] = dataclasses.field(default_factory=dict)
    service_answers: dict[str, float] = dataclasses.field(default_factory=dict)
    wanted_parts: tuple[str, ...] = ()
    used_trials: dict[str, int] = dataclasses.field(default_factory=dict)
    evacuation_revision: int = 0
    queues: dict[str, QueueReport] = dataclasses.field(default_factory=dict)
    cold_wanted: dict[str, int] = dataclasses.field(default_factory=dict)
    cold_failures: dict[str, float] = dataclasses.field(default_factory=dict)
    cold_stamp: str = ''
    completed: dict[str, float] = dataclasses.field(default_factory=dict)
    completions: dict[str, int] = dataclasses.field(default_factory=dict)
    fetches_catalogs: bool = False
    wants_relays: bool = False
    is_doubtful: bool = False
    is_cut_off: bool = False


@messages.frozen_message
class ExchangeReply:
    """Answer of a store to `Exchange`.

    A store that is not the leader sets `leader_id` only, if it knows it.
    `age` is the time in seconds since a quorum confirmed the leader.
    `endpoints` lists all endpoints, and `stores` the members of the group, if
    `endpoints_stamp` differs from the one in the request; `complete` means
    that an endpoint missing from the list is gone. Otherwise `departures`
    holds the starts of the processes that have left and are missing from it,
    by endpoint. `elsewhere` and `nearby`
    count the requests of the entry hosts in other availability zones and in
    the zone of the receiver, itself included, and `items` the batch items on
    each endpoint, in the order of the list with this stamp. `peers` lists the
    hosts in the zone of the receiver if `peers_revision` differs from the one
    in the request. `granted` is the
    number of requests that each client account may send to this host.
    `entries` is the number of entry hosts. `suspects` are endpoints that fail
    for several hosts. `suspect_parts` are parts of prompts whose answers the
    host has to report, and `quarantined` holds the parts to hold back with
    the remaining time in seconds, if `quarantine_revision` differs from the
    one in the request. `trials` holds the quarantined parts with which the
    host may send one request each, with the number of the trial. `evacuated`
    holds the zones to whose endpoints nothing is sent, if
    `evacuation_revision` differs from the one in the request.
    `queues` are
    the services whose requests wait.
    `cold_granted` are requests that the host may send to cold endpoints within
    a short time. `cold` holds the cold endpoints with the remaining time in
    seconds, negative if unknown, if `cold_stamp` differs from the one in the
    request; an empty stamp means that the leader does not know them yet.
    `late_parts` are those of the parts in `quarantined` on which endpoints
    crash during their responses.
    `catalog_version` is the version of a configuration that the host has to
    fetch, 0 if there is none. `relays` are hosts that may connect to endpoints
    for the receiver, those to try first at the front, if it wants any.
    """

    is_leader: bool
    leader_id: str | None
    stores: tuple[str, ...] = ()
    age: float = 0.0
    catalog: CatalogCopy | None = None
    endpoints_stamp: str = ''
    endpoints: tuple[EndpointNotice, ...] | None = None
    complete: bool = False
    elsewhere: tuple[int, ...] = ()
    nearby: tuple[int, ...] = ()
    items: tuple[int, ...] = ()
    peers_revision: int = 0
    peers: tuple[str, ...] | None = None
    granted: dict[str, float] = dataclasses.field(default_factory=dict)
    entries: int = 1
    suspects: tuple[str, ...] = ()
    suspect_parts: tuple[str, ...] = ()
    quarantine_revision: int = 0
    quarantined: dict[str, float] | None = None
    trials: dict[str, int] = dataclasses.field(default_factory=dict)
    evacuation_revision: int = 0
    evacuated: tuple[str, ...] | None = None
    queues: dict[str, QueueState] = dataclasses.field(default_factory=dict)
    cold_granted: dict[str, int] = dataclasses.field(default_factory=dict)
    cold: dict[str, float] | None = None
    cold_stamp: str = ''
    late_parts: tuple[str, ...] = ()
    departures: dict[str, int] = dataclasses.field(default_factory=dict)
    catalog_version: int = 0
    relays: tuple[str, ...] | None = None


@messages.frozen_message
class LoadNews:
    """Requests of an entry host on each endpoint, for others in its zone.

    `slowness` holds, for the endpoints whose speed the host has learned since
    its last report, how long work takes there in percent of the usual.
    `failed` holds the time in seconds since the last failure of each endpoint
    that may have restarted. `overdue` holds the milliseconds since the host
    found the first events of an endpoint overdue; it is left out if there is
    none.
    """

    running: dict[str, int]
    slowness: dict[str, int] = dataclasses.field(default_factory=dict)
    failed: dict[str, float] = dataclasses.field(default_factory=dict)
    overdue: dict[str, int] | msgspec.UnsetType = msgspec.UNSET


@messages.frozen_message
class RetirementCall:
    """Call to start the retirement of the named store, or to read its state.

    A store without the log sends it to the leader.
    """

    name: str
    starts: bool


@messages.frozen_message
class RetirementReply:
    """Answer to `RetirementCall`: a refusal, or the state that was read."""

    refusal: codes.Refusal | None = None
    is_retired: bool = False


@messages.frozen_message
class ZoneTokenCall:
    """Call for a token of an account to the host that keeps its reserve."""

    account: str


@messages.frozen_message
class ZoneTokenReply:
    """Answer to `ZoneTokenCall`: whether the caller may send a request."""

    granted: bool
