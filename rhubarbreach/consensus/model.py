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
        Seconds without a leader before an election. Each replica waits a
        random time between one and two timeouts.
    snapshot_entries : int
        Applied entries between two snapshots.
    snapshot_bytes : int
        Size of the commands applied between two snapshots, 0 for no bound.
    first_timeout : float or None
        Seconds before the first election after a start, None for
        `election_timeout`. A live leader makes contact earlier.
    contacts : tuple of str
        Hosts that may know the group. A store that has lost its disk knows
        no members and announces itself to these hosts.
    has_standbys : bool
        Whether a learner gets the log only when it is to become a voter. The
        cost of the log then depends on the voters and not on the members.
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
    has_standbys: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of a machine after it has applied the entry `last_index`.

    `data` is bytes, or the `StoredBytes` of a file.
    """

    last_index: int
    last_term: int
    members_index: int
    members: tuple
    data: object


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """Command or membership change that waits to be committed."""

    kind: str
    data: bytes
    deadline: float
    future: concurrent.futures.Future


@dataclasses.dataclass(slots=True)
class Read:
    """Read that waits for a quorum contact and then for the apply thread.

    `index` is the read index, and `confirmed` is set by a quorum contact
    after `start`. An `index_only` read is made for another host and completes
    once it is confirmed, without waiting for the apply thread.
    """

    start: float
    deadline: float
    future: concurrent.futures.Future
    index: int | None = None
    confirmed: bool = False
    index_only: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one peer as known to the leader.

    `unanswered_rounds` maps the id of each unanswered message to the monotonic
    time at which it was sent and to its bytes of log or snapshot;
    `unanswered_bytes` is the sum of these bytes. `last_contact` is the send
    time of the latest message that the peer has answered. `urgent` requests a
    message before the next heartbeat. `is_standby` is whether the peer is a
    learner that gets heartbeats only.
    """

    peer_id: str
    store_id: str
    next_index: int
    match_index: int = 0
    last_contact: float = 0.0
    unanswered_rounds: dict = dataclasses.field(default_factory=dict)
    unanswered_bytes: int = 0
    snapshot_offset: int = 0
    snapshot_index: int = 0
    heartbeat_due: float = 0.0
    urgent: bool = True
    is_standby: bool = False


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
    """Return the number of voters that form a majority."""
    return len(get_voters(members)) // 2 + 1


def make_future():
    """Return a new future."""
    return concurrent.futures.Future()
