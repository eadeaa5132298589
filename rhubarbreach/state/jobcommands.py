"""Commands and replies of the job groups."""

import dataclasses
import enum

import msgspec

from rhubarbreach import codes
from rhubarbreach.protocol import tagged
from rhubarbreach.state import logicaltime

__all__ = [
    'AddItems',
    'Applied',
    'BeginJob',
    'COMMANDS',
    'CancelJob',
    'CancelReply',
    'ClaimItems',
    'ClaimReply',
    'Claimed',
    'ItemEnd',
    'ItemResult',
    'ItemState',
    'JobReply',
    'JobState',
    'JobStatus',
    'LeasedItems',
    'ListReply',
    'LoseClaims',
    'REPLIES',
    'ReleaseItems',
    'RenewClaims',
    'RenewReply',
    'ReportReply',
    'ReportResults',
    'ResultRow',
    'ResultsReply',
    'SealJob',
    'StartItems',
    'StartReply',
    'StoredResult',
]

frozen = dataclasses.dataclass(frozen=True, slots=True)


class JobState(enum.StrEnum):
    """Phases of a job."""

    UPLOADING = 'uploading'
    RUNNING = 'running'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'


class ItemState(enum.IntEnum):
    """Phases of an item; all from `DONE` on are final."""

    PENDING = 0
    CLAIMED = 1
    STARTED = 2
    DONE = 3
    FAILED = 4
    CANCELLED = 5
    UNKNOWN = 6


class ItemEnd(enum.IntEnum):
    """Outcome of an item as reported by the holder of its claim.

    `RETRY` ends one attempt; the item fails once its attempts are used up.
    The other outcomes are final.
    """

    DONE = 0
    FAILED = 1
    RETRY = 2
    UNKNOWN = 3


class StoredResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of an item as the job group stores it."""

    code: int
    reason: str
    status: int
    content_type: str
    body: bytes


class ItemResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of one item under a claim; `result` is a `StoredResult`."""

    epoch: int
    item: int
    end: ItemEnd
    result: bytes


class LeasedItems(msgspec.Struct, frozen=True, array_like=True):
    """Items of one claim."""

    epoch: int
    items: tuple[int, ...]


@frozen
class BeginJob:
    """Command that opens a job, to which items are then added.

    Parameters
    ----------
    job_id, account_id, client_id : str
        Id of the job, account that owns it, and id that the client chose.
    digest : bytes
        Digest of the upload.
    method, path : str
        HTTP method and path with which each item is sent.
    target : str
        Model of all items, empty if they name different ones.
    item_count : int
        Number of items that will be added.
    idempotent : bool
        Whether an item may be run again.
    weight : float
        Weight of the account in fair claiming.
    max_attempts : int
        Number of failed attempts after which an item fails.
    retry_delay : int
        Milliseconds until a failed item is retried; each further retry waits
        `jobitems.RETRY_FACTOR` times longer.
    retention : int
        Milliseconds to keep the job after its end.
    created_at : float
        Wall-clock time in seconds, only shown to the client.
    """

    job_id: str
    account_id: str
    client_id: str
    digest: bytes
    method: str
    path: str
    target: str
    item_count: int
    idempotent: bool
    weight: float
    max_attempts: int
    retry_delay: int
    retention: int
    created_at: float


@frozen
class AddItems:
    """Command that adds a chunk of items to a job.

    The first item of the chunk has the index `first`. `costs` are estimates in
    tokens, used for fair claiming.
    """

    job_id: str
    digest: bytes
    first: int
    custom_ids: tuple[str, ...]
    bodies: tuple[bytes, ...]
    costs: tuple[int, ...]


@frozen
class SealJob:
    """Command that accepts a job once all of its items are added."""

    job_id: str
    digest: bytes


@frozen
class ClaimItems:
    """Command that claims pending items for a host.

    Parameters
    ----------
    host_id : str
        Holder of the claim, named `host#incarnation`.
    sequence : int
        Number that grows with each claim of the holder; a repeated one gets
        the first reply again.
    limit, max_bytes : int
        Maximum number of items, and of bytes in their bodies.
    duration : int
        Milliseconds until the claim expires.
    excluded : tuple of str
        Targets of which the host wants no more items.
    """

    host_id: str
    sequence: int
    limit: int
    max_bytes: int
    duration: int
    excluded: tuple[str, ...] = ()


@frozen
class RenewClaims:
    """Command that extends claims to `duration` milliseconds from now."""

    host_id: str
    epochs: tuple[int, ...]
    duration: int


@frozen
class StartItems:
    """Command that marks items as started before they are dispatched."""

    claims: tuple[LeasedItems, ...]


@frozen
class ReportResults:
    """Command that reports the results of claimed items."""

    results: tuple[ItemResult, ...]


@frozen
class ReleaseItems:
    """Command that returns items that did not run or may run again."""

    claims: tuple[LeasedItems, ...]


@frozen
class CancelJob:
    """Command that cancels a job of an account."""

    job_id: str
    account_id: str


@frozen
class LoseClaims:
    """Command that ends the claims of earlier incarnations of a host.

    Parameters
    ----------
    host_id : str
        Id of the host; its holders are named `host#incarnation`.
    kept : str
        Holder that keeps its claims.
    """

    host_id: str
    kept: str


COMMANDS = tagged.TaggedUnion(
    logicaltime.Tick,
    BeginJob,
    AddItems,
    SealJob,
    ClaimItems,
    RenewClaims,
    StartItems,
    ReportResults,
    ReleaseItems,
    CancelJob,
    LoseClaims,
)


@frozen
class JobStatus:
    """Status of a job; counts are numbers of items."""

    job_id: str
    account_id: str
    client_id: str
    state: JobState
    method: str
    path: str
    total: int
    added: int
    done: int
    failed: int
    unknown: int
    cancelled: int
    created_at: float


@frozen
class Applied:
    """Reply to a command that has no result."""


@frozen
class JobReply:
    """Status of a job, or the refusal."""

    status: JobStatus | None
    refusal: codes.Refusal | None = None


@frozen
class Claimed:
    """Items of one job under one claim."""

    epoch: int
    job_id: str
    account_id: str
    method: str
    path: str
    target: str
    idempotent: bool
    weight: float
    items: tuple[int, ...]
    bodies: tuple[bytes, ...]


@frozen
class ClaimReply:
    """Claims granted; `waiting` tells whether pending items remain."""

    claims: tuple[Claimed, ...]
    waiting: bool


@frozen
class RenewReply:
    """Epochs of the claims that the holder no longer holds."""

    lost: tuple[int, ...]


@frozen
class StartReply:
    """Items that may be dispatched now."""

    claims: tuple[LeasedItems, ...]


@frozen
class ReportReply:
    """Acceptance of each result, in the order of the report."""

    taken: tuple[bool, ...]


@frozen
class CancelReply:
    """Status of a cancelled job, and the holders of its claims."""

    status: JobStatus | None
    holders: tuple[str, ...] = ()
    refusal: codes.Refusal | None = None


@frozen
class ListReply:
    """Jobs of an account."""

    jobs: tuple[JobStatus, ...]


class ResultRow(msgspec.Struct, frozen=True, array_like=True):
    """A final item; `result` is a `StoredResult`."""

    item: int
    custom_id: str
    state: ItemState
    attempts: int
    result: bytes


@frozen
class ResultsReply:
    """Page of final items.

    `following` is the index where the next page starts, -1 at the end.
    """

    rows: tuple[ResultRow, ...]
    following: int
    refusal: codes.Refusal | None = None


REPLIES = tagged.TaggedUnion(
    Applied,
    JobReply,
    ClaimReply,
    RenewReply,
    StartReply,
    ReportReply,
    CancelReply,
    ListReply,
    ResultsReply,
)
