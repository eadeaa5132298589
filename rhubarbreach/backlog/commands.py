"""Commands, queries and replies of the ledger."""

import dataclasses
import enum

from rhubarbreach import codes
from rhubarbreach.protocol import tagged

__all__ = [
    'AddJob',
    'AddProgress',
    'AddResults',
    'Body',
    'CatalogReply',
    'Done',
    'EndJob',
    'FAMILY',
    'GROUP',
    'Item',
    'ItemProgress',
    'ItemResult',
    'ItemState',
    'JobNotFound',
    'PruneJobs',
    'PutCatalog',
    'ReadBody',
    'ReadCatalog',
    'ReadResults',
    'Results',
    'RetireStore',
    'WaitingFull',
    'decode_reply',
]


# Replicated log group that holds the ledger.
GROUP = 'ledger'


class ItemState(enum.StrEnum):
    """How an item ended."""

    COMPLETED = 'completed'
    GIVEN_UP = 'given_up'


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A request of a batch job; `tokens` counts its prompt and output."""

    item_id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class ItemResult:
    """Result of an item; `reason` tells why it was given up."""

    item_id: str
    state: ItemState
    output: str
    reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class PutCatalog:
    """Put a configuration in force if its version is the highest."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AddJob:
    """Accept a batch job; times are Unix times in seconds.

    `host` and `path_prefix` name the route, `waiting_limit` bounds the
    tokens of the account's open items on it, 0 for no bound.
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


@dataclasses.dataclass(frozen=True, slots=True)
class AddResults:
    """List results; an item keeps the first one."""

    results: tuple[tuple[str, ItemResult], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ItemProgress:
    """Events that an item has made, from number `first` on.

    The order `order_id`, which was to go on after event `begun`, made them.
    """

    job_id: str
    item_id: str
    first: int
    texts: tuple[bytes, ...]
    order_id: str = ''
    begun: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AddProgress:
    """Keep what items have made, so that another leader goes on there."""

    items: tuple[ItemProgress, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob:
    """End a batch job: nothing of it runs any more."""

    job_id: str
    account: str


@dataclasses.dataclass(frozen=True, slots=True)
class PruneJobs:
    """Forget closed jobs submitted before a Unix time."""

    before: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetireStore:
    """Empty a store host, so that it can be taken away."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCatalog:
    """Ask for the configuration in force."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadResults:
    """Ask for the results of a job from a position on."""

    job_id: str
    account: str
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadBody:
    """Ask for the body of an item that has no result yet."""

    job_id: str
    account: str
    item_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The command was carried out, now or before."""


@dataclasses.dataclass(frozen=True, slots=True)
class CatalogReply:
    """Configuration in force; version 0 is none."""

    version: int
    document: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingFull:
    """The job does not fit beside what waits for its account."""

    waiting: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotFound:
    """The account has no such job, or the job no such open item."""


@dataclasses.dataclass(frozen=True, slots=True)
class Results:
    """Results from the position asked for; `total` counts all items."""

    total: int
    results: tuple[ItemResult, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """Body of an item."""

    body: bytes


FAMILY = tagged.Family(
    PutCatalog,
    AddJob,
    AddResults,
    AddProgress,
    EndJob,
    PruneJobs,
    RetireStore,
    ReadCatalog,
    ReadResults,
    ReadBody,
    Done,
    CatalogReply,
    WaitingFull,
    JobNotFound,
    Results,
    Body,
)


def decode_reply(reply):
    """Return the reply of the ledger, or the refusal in its place."""
    if isinstance(reply, codes.Refusal):
        return reply
    return FAMILY.decode(reply)
