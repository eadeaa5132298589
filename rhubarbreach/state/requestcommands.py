"""Commands, queries and replies of the request records."""

import dataclasses
import enum

from rhubarbreach import codes
from rhubarbreach.protocol import tagged
from rhubarbreach.state import logicaltime

__all__ = [
    'AbandonRequest',
    'Applied',
    'COMMANDS',
    'CompleteRequest',
    'GetRecord',
    'LoseHolder',
    'MarkUnknown',
    'QUERIES',
    'REPLIES',
    'RecordReply',
    'RecordState',
    'ReserveRequest',
]

frozen = dataclasses.dataclass(frozen=True, slots=True)


class RecordState(enum.StrEnum):
    """Phases of a request record.

    `RESERVED` is returned only to the reservation that may run the request;
    all others get `RUNNING`.
    """

    ABSENT = 'absent'
    RESERVED = 'reserved'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@frozen
class ReserveRequest:
    """Command that reserves a request before it runs.

    Parameters
    ----------
    account_id, key : str
        Account, and idempotency key that its client chose.
    fingerprint : bytes
        Digest of the route and the body.
    token : str
        Unique id of the reservation, by which a command that is repeated
        after a lost reply is recognised.
    holder_id : str
        Host that will run the request, named `host#incarnation`.
    timeout : int
        Milliseconds after which the outcome is considered unknown.
    retention : int
        Milliseconds to keep the record after its end.
    """

    account_id: str
    key: str
    fingerprint: bytes
    token: str
    holder_id: str
    timeout: int
    retention: int


@frozen
class CompleteRequest:
    """Command that stores the result that the holder has encoded."""

    account_id: str
    key: str
    token: str
    result: bytes


@frozen
class AbandonRequest:
    """Command that deletes the reservation of a request that did not run."""

    account_id: str
    key: str
    token: str


@frozen
class MarkUnknown:
    """Command that marks the outcome of a request as unknown."""

    account_id: str
    key: str
    token: str


@frozen
class LoseHolder:
    """Command that marks requests of earlier host incarnations as unknown.

    Only running requests are marked.

    Parameters
    ----------
    host_id : str
        Id of the host; its holders are named `host#incarnation`.
    kept : str
        Holder whose requests continue; empty for none.
    """

    host_id: str
    kept: str = ''


COMMANDS = tagged.TaggedUnion(
    logicaltime.Tick,
    ReserveRequest,
    CompleteRequest,
    AbandonRequest,
    MarkUnknown,
    LoseHolder,
)


@frozen
class GetRecord:
    """Query for the state of a record."""

    account_id: str
    key: str


QUERIES = tagged.TaggedUnion(GetRecord)


@frozen
class RecordReply:
    """State of a record, with its result once it is done."""

    state: RecordState
    result: bytes = b''
    refusal: codes.Refusal | None = None


@frozen
class Applied:
    """Reply to a command that has no result."""


REPLIES = tagged.TaggedUnion(Applied, RecordReply)
