"""Commands, queries and replies of the ledger."""

import dataclasses
import enum

from rhubarbreach import codes
from rhubarbreach.protocol import tagged

__all__ = [
    'AddDeparture',
    'AddJob',
    'AddProgress',
    'AddResults',
    'AddVersions',
    'Body',
    'CatalogReply',
    'DeparturesFull',
    'Done',
    'DropProgress',
    'EndEvacuation',
    'EndJob',
    'EvacuationReply',
    'FAMILY',
    'GROUP',
    'Item',
    'ItemProgress',
    'ItemResult',
    'ItemState',
    'JobNotFound',
    'PruneJobs',
    'PutCatalog',
    'QuarantinePart',
    'ReadBody',
    'ReadCatalog',
    'ReadEvacuation',
    'ReadResults',
    'RecordSilentStores',
    'ReleaseParts',
    'RemoveDepartures',
    'RemoveVersions',
    'Results',
    'RetireStore',
    'StartEvacuation',
    'Superseded',
    'WaitingFull',
    'decode_reply',
]


# Name of the replicated log group of the ledger.
GROUP = 'ledger'


class ItemState(enum.StrEnum):
    """Final state of an item."""

    COMPLETED = 'completed'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """Request of a batch job; `tokens` counts its prompt and output."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of an item; `reason` is set if it was given up."""

    item_id: str
    state: ItemState
    output: str
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PutCatalog:
    """Command that puts a configuration in force.

    It has no effect unless the version is the highest so far.
    """

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AddJob:
    """Command that adds a batch job; times are Unix times in seconds.

    `host` and `path_prefix` identify the route. `waiting_limit` bounds the
    tokens of the account's open items on that route; 0 means no bound.
    `any_account` is that of `ReadResults`.
    """

    job_id: str
    account: str
    host: str
    path_prefix: str
    submitted: float
    due: float
    retained_until: float
    max_attempts: int
    waiting_limit: int
    items: tuple[Item, ...]
    any_account: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AddResults:
    """Command that records results; an item keeps its first result."""

    results: tuple[tuple[str, ItemResult], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ItemProgress:
    """Events of an item, numbered from `first` on.

    They come from the run of order `order_id`, which resumed the item after
    event `begun` at an endpoint with `software_version`. If the response
    ended in order after them, without a length, `ended_at` and `ended_born`
    are the endpoint and the start of its process.
    """

    job_id: str
    item_id: str
    first: int
    texts: tuple[bytes, ...]
    order_id: str = ''
    begun: int = 0
    software_version: str = ''
    ended_at: str = ''
    ended_born: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AddProgress:
    """Command that records events, so that a new leader resumes after them."""

    items: tuple[ItemProgress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DropProgress:
    """Command that drops the events of an open item, which begins anew."""

    job_id: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob:
    """Command that ends a batch job and discards its open items.

    `any_account` is that of `ReadResults`.
    """

    job_id: str
    account: str
    any_account: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PruneJobs:
    """Command that deletes closed jobs submitted before a Unix time."""

    before: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetireStore:
    """Command that marks a store host as retiring before its removal."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordSilentStores:
    """Command that replaces the voters which the leader no longer hears."""

    host_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantinePart:
    """Command that holds back requests with a part in their prompts.

    `until` and `next_trial` are Unix times in seconds, and `trial_number` is
    the number of requests that were let through to try the part. Endpoints
    crash on a part that is `late` during their responses, so that only a whole
    response releases it.
    """

    part: str
    until: float
    trial_number: int = 0
    next_trial: float = 0.0
    late: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseParts:
    """Command that ends the quarantine of parts."""

    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AddVersions:
    """Command that records pairs of a service and a software version.

    Endpoints of these versions have come into service.
    """

    versions: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveVersions:
    """Command that forgets versions no stream of which can be resumed."""

    versions: tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StartEvacuation:
    """Command that evacuates an availability zone.

    It has no effect if the zone has changed since the revision `expected`, so
    that a command that arrives late does not undo a later one.
    """

    zone: str
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Command that withdraws an evacuation; see `StartEvacuation`."""

    zone: str
    expected: int


@dataclasses.dataclass(frozen=True, slots=True)
class AddDeparture:
    """Command that records that a process of an endpoint is leaving.

    `born` is the start of the process in Unix milliseconds, `is_gone` is
    whether it takes no requests any more, and `time` the Unix time of its
    statement in seconds. Later processes of the endpoint are not concerned.
    """

    endpoint_id: str
    born: int
    is_gone: bool
    time: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeparturesFull:
    """Refusal of the departure of one endpoint more than are kept."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoveDepartures:
    """Command that forgets the departures before a Unix time."""

    before: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReadEvacuation:
    """Query for the state of an availability zone."""

    zone: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCatalog:
    """Query for the configuration in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResults:
    """Query for the results of a job from position `after` on.

    An account may use its own jobs and those of no account. With
    `any_account`, the jobs of all accounts may be used.
    """

    job_id: str
    account: str
    after: int
    any_account: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBody:
    """Query for the body of an item that has no result yet.

    `any_account` is that of `ReadResults`.
    """

    job_id: str
    account: str
    item_id: str
    any_account: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Reply to a command that has been applied, now or earlier."""


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationReply:
    """State of a zone; `revision` is that of its last change, 0 for none."""

    is_evacuated: bool
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """Reply to a command without effect, as the zone has changed since."""


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogReply:
    """Configuration in force; version 0 means none."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingFull:
    """Refusal of a job that would exceed the waiting limit of its account.

    `waiting` counts the tokens of the account's open items on the route.
    """

    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotFound:
    """Reply if the account has no such job, or the job no such open item.

    `is_item_missing` is whether there is the job.
    """

    is_item_missing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results from the requested position on; `total` counts all items."""

    total: int
    results: tuple[ItemResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Body of an item."""

    body: bytes


FAMILY = tagged.TaggedUnion(
    PutCatalog,
    AddJob,
    AddResults,
    AddProgress,
    DropProgress,
    EndJob,
    PruneJobs,
    RetireStore,
    RecordSilentStores,
    QuarantinePart,
    ReleaseParts,
    AddVersions,
    RemoveVersions,
    StartEvacuation,
    EndEvacuation,
    AddDeparture,
    DeparturesFull,
    RemoveDepartures,
    ReadEvacuation,
    ReadCatalog,
    ReadResults,
    ReadBody,
    Done,
    EvacuationReply,
    Superseded,
    CatalogReply,
    WaitingFull,
    JobNotFound,
    Results,
    Body,
)


def decode_reply(reply):
    """Decode a reply of the ledger; return a `Refusal` unchanged."""
    if isinstance(reply, codes.Refusal):
        return reply
    return FAMILY.decode(reply)
