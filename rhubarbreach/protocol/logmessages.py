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
    """Request for a vote, or for a pre-vote if `pre_vote` is True.

    `transfer` is True if `TransferLeadership` started the election.
    """

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
    """Answer to `VoteRequest`."""

    group_id: str
    term: int
    granted: bool
    pre_vote: bool
    store_id: str


@messages.frozen_message
class AppendEntries:
    """Entries to replicate; a heartbeat of the leader if there are none.

    `is_standby` is whether the receiver is a learner that gets no entries.
    """

    group_id: str
    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_id: int
    is_standby: bool = False


@messages.frozen_message
class AppendReply:
    """Answer to `AppendEntries`.

    On success, the log of the sender is synced and matches the leader's log
    up to `match_index`. Otherwise `match_index` is a hint for the leader at
    which index the logs may match.
    """

    group_id: str
    term: int
    success: bool
    match_index: int
    round_id: int
    store_id: str


@messages.frozen_message
class InstallSnapshot:
    """Chunk of a snapshot for a replica that is too far behind."""

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
    """Answer to `InstallSnapshot`; `offset` is the next byte to send."""

    group_id: str
    term: int
    offset: int
    done: bool
    store_id: str
    round_id: int = 0


@messages.frozen_message
class TransferLeadership:
    """Order to a replica to start an election immediately."""

    group_id: str
    term: int


@messages.frozen_message
class Member:
    """Store that is a voter or a learner of a group.

    `replaces` marks a learner that replaces a voter whose store was lost.
    The leader promotes such a learner without a further request.
    """

    host_id: str
    store_id: str
    voter: bool
    replaces: bool = False


@messages.frozen_message
class StoreHello:
    """Identity of the sender's store and the members that it knows.

    `formed` is True if the sender has received the same `members` from all
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
    """Request for a `StoreHello`."""

    group_id: str


@messages.frozen_message
class ReadIndexRequest:
    """Request to the leader for the index that a read has to wait for."""

    group_id: str
    timeout: float


@messages.frozen_message
class ReadIndexReply:
    """Commit index at the start of the read, or a refusal."""

    index: int
    refusal: codes.Refusal | None = None


@messages.frozen_message
class ClusterCommand:
    """Command for a group, forwarded to a store host.

    If `read` is True, `command` is a query that the leader answers.
    `timeout` is in seconds.
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
