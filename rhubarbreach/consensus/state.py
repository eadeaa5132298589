"""State of one replica and its role changes."""

import collections
import itertools

from rhubarbreach import codes
from rhubarbreach.consensus import delays
from rhubarbreach.consensus import model
from rhubarbreach.consensus import store as store_codec
from rhubarbreach.protocol import logmessages

__all__ = [
    'State',
    'advance_commit',
    'become_follower',
    'become_leader',
    'get_quorum_contact',
    'is_voter',
    'make_not_leader',
    'make_unknown_outcome',
    'mark_disk_full',
    'postpone_election',
    'set_election_deadline',
    'sync_peers',
]

# A leader whose disk was full checks it after this time. It has handed its
# leadership on by then if another store is present.
DISK_CHECK_SECONDS = 1.0


class State:
    """State of one replica, changed only under the lock of its group.

    The functions of this package that take a state send nothing
    themselves: `outbox` collects messages to send immediately, and
    `after_sync` those that may be sent only when the log is durable.
    `deferred_results` collects futures with their results, to be completed
    outside the lock.

    Parameters
    ----------
    settings : GroupSettings
        Settings of the replica.
    store : Store
        Durable state.
    random : random.Random
        Source of random election delays.
    now : float
        Seconds of the monotonic clock.
    """

    def __init__(self, settings, store, random, now):
        self.settings = settings
        self.store = store
        self.random = random
        self.role = model.Role.FOLLOWER
        self.leader_id = None
        self.leader_contact = float('-inf')
        # When this replica last followed a leader or led itself.
        self.leader_known_at = now
        self.election_deadline = now
        self.votes = set()
        self.pre_votes = set()
        self.commit_index = store.snapshot.last_index
        self.applied_index = store.snapshot.last_index
        self.term_start_index = 0
        self.leader_since = 0.0
        self.peers = {}
        self.pending = collections.OrderedDict()
        self.reads = []
        self.outbox = []
        self.after_sync = []
        self.deferred_results = []
        self.partial_snapshot = None
        self.snapshot_to_restore = None
        # Whether the last write found the disk full, and when a leader checks
        # it anew.
        self.disk_full = False
        self.disk_check_due = now
        self.transfer_id = None
        self.transfer_deadline = 0.0
        self.transfer_future = None
        # How late a majority answers, and when leadership may be handed over
        # for that.
        self.quorum_delay = delays.QuorumDelay()
        self.hand_over_due = now
        # Whether the leader sends no entries to this replica.
        self.is_standby = False
        self.contacts = settings.contacts
        self.hellos = {}
        self.hello_due = now
        self.round_ids = itertools.count(1)
        set_election_deadline(self, now, settings.first_timeout)

    @property
    def is_leader(self):
        """Whether this replica leads, as far as it knows."""
        return self.role == model.Role.LEADER


def set_election_deadline(state, now, timeout=None):
    """Set the election deadline to one to two timeouts from now."""
    if timeout is None:
        timeout = state.settings.election_timeout
    delay = timeout * (1 + state.random.random())
    state.election_deadline = now + delay


def postpone_election(state, seconds):
    """Move the election deadline by a time in which nothing was received."""
    state.election_deadline += seconds


def is_voter(state):
    """Return whether this store is a voter under its identity."""
    member = model.find_member(state.store.members, state.settings.host_id)
    return (
        member is not None
        and member.voter
        and member.store_id == state.store.store_id
    )


def make_not_leader(state):
    """Return the refusal of a replica that does not lead."""
    return codes.Refusal(
        codes.ResultCode.NOT_LEADER,
        f'leader is {state.leader_id or "not known"}',
    )


def make_unknown_outcome(reason):
    """Return the refusal of a command whose outcome is unknown."""
    return codes.Refusal(
        codes.ResultCode.UNAVAILABLE, reason, codes.Ran.UNKNOWN
    )


def mark_disk_full(state, now):
    """Record that the disk is full; a leader checks it after a while."""
    state.disk_full = True
    state.disk_check_due = now + DISK_CHECK_SECONDS


def become_follower(state, term, leader_id, now):
    """Follow a leader, or wait for one, in a term.

    Parameters
    ----------
    state : State
        State of the replica.
    term : int
        Term, not below the current one.
    leader_id : str or None
        Host of the leader, None if it is not known.
    now : float
        Seconds of the monotonic clock.
    """
    if term > state.store.term:
        state.store.save_vote(term, '')
    was_leader = state.is_leader
    state.role = model.Role.FOLLOWER
    state.leader_id = leader_id
    state.votes = set()
    state.pre_votes = set()
    if was_leader:
        state.leader_known_at = now
        set_election_deadline(state, now)
        clear_leader_state(state)


def clear_leader_state(state):
    """Discard the state of a leader and complete its requests."""
    state.peers = {}
    refusal = make_unknown_outcome('leadership was lost')
    # Committed proposals still get their results when they are applied.
    for index in [
        pending_index
        for pending_index in state.pending
        if pending_index > state.commit_index
    ]:
        _, proposal = state.pending.pop(index)
        state.deferred_results.append((proposal.future, refusal))
    refusal = make_not_leader(state)
    for read in state.reads:
        state.deferred_results.append((read.future, refusal))
    state.reads = []
    finish_transfer(state, True)


def finish_transfer(state, done):
    """Complete the leadership transfer in progress, if any."""
    if state.transfer_future is not None:
        state.deferred_results.append((state.transfer_future, done))
    state.transfer_future = None
    state.transfer_id = None


def become_leader(state, now):
    """Lead the current term and append its first entry."""
    store = state.store
    index = store.last_index + 1
    kind, data = model.ENTRY_NOOP, b''
    if index == 1:
        # The first entry of a log records the first members.
        kind = model.ENTRY_MEMBERS
        data = store_codec.encode_members(store.members)
    store.append([logmessages.LogEntry(index, store.term, kind, data)])
    state.disk_full = False
    state.term_start_index = index
    state.role = model.Role.LEADER
    state.leader_id = state.settings.host_id
    state.leader_since = now
    state.peers = {}
    sync_peers(state)


def sync_peers(state):
    """Make the peers of a leader match the members."""
    peers = {}
    for member in state.store.members:
        if member.host_id == state.settings.host_id:
            continue
        progress = state.peers.get(member.host_id)
        if progress is None or progress.store_id != member.store_id:
            progress = model.Progress(
                member.host_id,
                member.store_id,
                # The first entry of the term is sent immediately.
                max(state.term_start_index, state.store.base_index + 1),
                is_standby=state.settings.has_standbys,
            )
        if member.voter or member.replaces:
            progress.is_standby = False
        peers[member.host_id] = progress
    state.peers = peers


def advance_commit(state):
    """Advance the commit index to the last index that a majority synced.

    Returns
    -------
    bool
        Whether the commit index has advanced.
    """
    voters = model.get_voters(state.store.members)
    if not voters:
        return False
    synced = sorted(
        (get_match_index(state, member) for member in voters), reverse=True
    )
    index = synced[len(voters) // 2]
    if index <= state.commit_index:
        return False
    # An entry of an earlier term is committed only through a later entry
    # of the leader's own term (figure 8 of the Raft paper).
    if state.store.get_term(index) != state.store.term:
        return False
    state.commit_index = index
    return True


def get_match_index(state, member):
    """Return the last index that a voter has synced."""
    if member.host_id == state.settings.host_id:
        if member.store_id != state.store.store_id:
            return 0
        return state.store.synced_index
    peer = state.peers.get(member.host_id)
    if peer is None or peer.store_id != member.store_id:
        return 0
    return peer.match_index


def get_quorum_contact(state, now):
    """Return the send time of the latest messages a majority answered.

    Returns
    -------
    float
        Seconds of the monotonic clock; minus infinity without a majority.
    """
    voters = model.get_voters(state.store.members)
    if not voters or not state.is_leader:
        return float('-inf')
    times = []
    for member in voters:
        if member.host_id == state.settings.host_id:
            times.append(now)
            continue
        peer = state.peers.get(member.host_id)
        times.append(peer.last_contact if peer else float('-inf'))
    return sorted(times, reverse=True)[len(voters) // 2]
