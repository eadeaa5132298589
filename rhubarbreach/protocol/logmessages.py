"""Messages of the replicated log groups."""

from rhubarbreach import codes
from rhubarbreach.protocol import messages

__all__ = [
    'AppendEntries',
    'AppendReply',
    'ClusterCommand',
    'ClusterReply',
    'InstallReply',
    'InstallSnapshot',
    'LogEntry',
    'Member',
    'ReadIndexReply',
    'ReadIndexRequest',
    'StoreHello',
    'StoreQuery',
    'TransferLeadership',
    'VoteReply',
    'VoteRequest',
]


@messages.frozen_message
class LogEntry:
    """One entry of a replicated log; `kind` is command, config or noop."""

    index: int
    term: int
    kind: str
    data: bytes


@messages.frozen_message
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether a vote would be given."""

    group_id: str
    term: int
    candidate_id: str
    store_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@messages.frozen_message
class VoteReply:
    """Answer to a `VoteRequest`."""

    group_id: str
    term: int
    granted: bool
    pre_vote: bool
    store_id: str


@messages.frozen_message
class AppendEntries:
    """Replicate entries; without entries it is the leader's heartbeat."""

    group_id: str
    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_id: int


@messages.frozen_message
class AppendReply:
    """Answer to `AppendEntries`; `match_index` is synced on the sender."""

    group_id: str
    term: int
    success: bool
    match_index: int
    round_id: int
    store_id: str


@messages.frozen_message
class InstallSnapshot:
    """One chunk of a snapshot for a replica that is too far behind."""

    group_id: str
    term: int
    leader_id: str
    last_index: int
    last_term: int
    members: bytes
    offset: int
    data: bytes
    done: bool
    round_id: int = 0


@messages.frozen_message
class InstallReply:
    """Answer to `InstallSnapshot`; `offset` is the next byte wanted."""

    group_id: str
    term: int
    offset: int
    done: bool
    store_id: str
    round_id: int = 0


@messages.frozen_message
class TransferLeadership:
    """Tell a replica to start an election at once."""

    group_id: str
    term: int


@messages.frozen_message
class Member:
    """A store of a group; `replaces` marks one that follows a lost store.

    A learner that replaces a lost voter is promoted by the leader without
    a further request.
    """

    host_id: str
    store_id: str
    voter: bool
    replaces: bool = False


@messages.frozen_message
class StoreHello:
    """Identity of the sender's store and the members it knows.

    `formed` tells that the sender has seen the same `members` from all
    initial voters, or has joined the group.
    """

    group_id: str
    store_id: str
    formed: bool
    members: tuple[Member, ...]
    term: int = 0
    leader_id: str | None = None


@messages.frozen_message
class StoreQuery:
    """Ask for a `StoreHello`."""

    group_id: str


@messages.frozen_message
class ReadIndexRequest:
    """Ask the leader for the index that a read has to wait for."""

    group_id: str
    timeout: float


@messages.frozen_message
class ReadIndexReply:
    """Index that was committed when the read began, or a refusal."""

    index: int
    refusal: codes.Refusal | None = None


@messages.frozen_message
class ClusterCommand:
    """Forward a command for a group to a store host.

    `read` asks for a read at the leader: `command` is then a query.
    """

    group_id: str
    command: bytes
    timeout: float
    read: bool = False


@messages.frozen_message
class ClusterReply:
    """Answer to `ClusterCommand`: a result or a refusal."""

    result: bytes | None
    refusal: codes.Refusal | None = None
    leader_id: str | None = None
