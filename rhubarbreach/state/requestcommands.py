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

    `RESERVED` is the reply to the one reservation that may run the request;
    every other caller sees `RUNNING`.
    """

    ABSENT = 'absent'
    RESERVED = 'reserved'
    RUNNING = 'running'
    DONE = 'done'
    UNKNOWN = 'unknown'


@frozen
class ReserveRequest:
    """Reserve a request before it runs.

    Parameters
    ----------
    account_id, key : str
        Account and the key that its client chose.
    fingerprint : bytes
        Digest of route and body.
    token : str
        Unique for each reservation, so that a repetition after a lost reply
        is recognised.
    holder_id : str
        Host that will run the request.
    timeout : int
        Milliseconds after which the outcome counts as unknown.
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
    """Store the result of a request, as the holder encoded it."""

    account_id: str
    key: str
    token: str
    result: bytes


@frozen
class AbandonRequest:
    """Forget a reservation whose request did not run."""

    account_id: str
    key: str
    token: str


@frozen
class MarkUnknown:
    """Note that the outcome of a request is unknown."""

    account_id: str
    key: str
    token: str


@frozen
class LoseHolder:
    """Note that earlier processes of a host ended with their requests.

    Parameters
    ----------
    host_id : str
        Host; its holders are named `host#incarnation`.
    kept : str
        Holder whose requests go on; empty for none.
    """

    host_id: str
    kept: str = ''


COMMANDS = tagged.Family(
    logicaltime.Tick,
    ReserveRequest,
    CompleteRequest,
    AbandonRequest,
    MarkUnknown,
    LoseHolder,
)


@frozen
class GetRecord:
    """Ask for a record."""

    account_id: str
    key: str


QUERIES = tagged.Family(GetRecord)


@frozen
class RecordReply:
    """State of a record, with the result when it is done."""

    state: RecordState
    result: bytes = b''
    refusal: codes.Refusal | None = None


@frozen
class Applied:
    """A command without a result was applied."""


REPLIES = tagged.Family(Applied, RecordReply)
