"""Data classes of the replicated log groups."""

import concurrent.futures
import dataclasses
import enum

__all__ = [
    'ENTRY_COMMAND',
    'ENTRY_MEMBERS',
    'ENTRY_NOOP',
    'GroupSettings',
    'Progress',
    'Proposal',
    'Read',
    'Role',
    'Snapshot',
    'count_majority',
    'find_member',
    'get_voters',
    'make_future',
]

ENTRY_COMMAND = 'command'
ENTRY_MEMBERS = 'config'
ENTRY_NOOP = 'noop'


class Role(enum.Enum):
    """Role of a replica."""

    FOLLOWER = 'follower'
    PRE_CANDIDATE = 'pre_candidate'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSettings:
    """Settings of one replica of a group.

    Parameters
    ----------
    group_id : str
        Name of the group.
    host_id : str
        Host of this replica.
    folder : str
        Data folder of the host; the group has a folder of its own in it.
    initial : tuple of str
        Hosts of the first voters. Empty for a store that joins later.
    heartbeat : float
        Seconds between the leader's heartbeats.
    election_timeout : float
        Seconds without a leader before an election; each replica waits
        between one and two of them.
    snapshot_entries : int
        Applied entries between two snapshots.
    snapshot_bytes : int
        Size of the commands applied between two snapshots, 0 for no bound.
    first_timeout : float or None
        Seconds before the first election after a start, None for
        `election_timeout`. A leader that is alive is heard before.
    contacts : tuple of str
        Hosts that may know the group. A store that has lost its disk knows
        no members and announces itself to these.
    """

    group_id: str
    host_id: str
    folder: str
    initial: tuple[str, ...] = ()
    heartbeat: float = 0.1
    election_timeout: float = 0.6
    snapshot_entries: int = 20000
    contacts: tuple[str, ...] = ()
    first_timeout: float | None = None
    snapshot_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a machine after it applied `last_index`."""

    last_index: int
    last_term: int
    members_index: int
    members: tuple
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A command, or a change of the members, that waits for its commit."""

    kind: str
    data: bytes
    deadline: float
    future: concurrent.futures.Future


@dataclasses.dataclass(slots=True)
class Read:
    """A read that waits for a quorum contact, then for the apply task.

    `index` is set when the read index is known. `index_only` reads complete
    with the index as soon as it is known, for another host.
    """

    start: float
    deadline: float
    future: concurrent.futures.Future
    index: int | None = None
    confirmed: bool = False
    index_only: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """What a leader knows about one peer.

    `sent` maps the id of a round that has no answer yet to the monotonic time
    at which its message was sent, and to the bytes of log or snapshot in it;
    `unanswered_bytes` is the sum of these. `contact` is the latest time of
    a message that the peer has answered.
    """

    peer_id: str
    store_id: str
    next_index: int
    match_index: int = 0
    contact: float = 0.0
    sent: dict = dataclasses.field(default_factory=dict)
    unanswered_bytes: int = 0
    snapshot_offset: int = 0
    snapshot_index: int = 0
    heartbeat_due: float = 0.0
    urgent: bool = True


def get_voters(members):
    """Return the members that vote."""
    return tuple(member for member in members if member.voter)


def find_member(members, host_id):
    """Return the member of a host, or None."""
    for member in members:
        if member.host_id == host_id:
            return member
    return None


def count_majority(members):
    """Return how many voters are a majority."""
    return len(get_voters(members)) // 2 + 1


def make_future():
    """Return a new future."""
    return concurrent.futures.Future()
