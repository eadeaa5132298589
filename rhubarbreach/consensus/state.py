"""State of one replica and the changes of its role."""

import collections
import itertools

from rhubarbreach import codes
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
    'make_unknown',
    'set_election_deadline',
    'sync_peers',
]


class State:
    """State of one replica, changed only under the lock of its group.

    The functions of this package that take a state send nothing
    themselves: `outbox` collects messages to send at once and `after_sync`
    those that may leave only when the log is durable.

    Parameters
    ----------
    settings : GroupSettings
        Settings of the replica.
    store : Store
        Durable state.
    random : random.Random
        Source of election delays.
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
        self.election_deadline = now
        self.votes = set()
        self.commit_index = store.snapshot.last_index
        self.applied_index = store.snapshot.last_index
        self.term_start_index = 0
        self.leader_since = 0.0
        self.peers = {}
        self.pending = collections.OrderedDict()
        self.reads = []
        self.outbox = []
        self.after_sync = []
        self.refused = []
        self.incoming = None
        self.restore = None
        self.disk_full = False
        self.transfer_id = None
        self.transfer_deadline = 0.0
        self.transfer_future = None
        self.hellos = {}
        self.hello_due = now
        self.round_ids = itertools.count(1)
        set_election_deadline(self, now, settings.first_timeout)

    @property
    def is_leader(self):
        """Whether this replica leads, as far as it knows."""
        return self.role == model.Role.LEADER


def set_election_deadline(state, now, timeout=None):
    """Wait a random time of one to two election timeouts."""
    if timeout is None:
        timeout = state.settings.election_timeout
    delay = timeout * (1 + state.random.random())
    state.election_deadline = now + delay


def is_voter(state):
    """Return whether this store, under its identity, is a voter."""
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


def make_unknown(reason):
    """Return the refusal of a command whose outcome is not known."""
    return codes.Refusal(
        codes.ResultCode.UNAVAILABLE, reason, codes.Ran.UNKNOWN
    )


def become_follower(state, term, leader_id, now):
    """Follow a leader, or wait for one, in a term.

    Parameters
    ----------
    state : State
        State of the replica.
    term : int
        Term, not below the current one.
    leader_id : str or None
        Leader if known.
    now : float
        Seconds of the monotonic clock.
    """
    if term > state.store.term:
        state.store.save_vote(term, '')
    was_leader = state.is_leader
    state.role = model.Role.FOLLOWER
    state.leader_id = leader_id
    state.votes = set()
    if was_leader:
        set_election_deadline(state, now)
        drop_leadership(state)


def drop_leadership(state):
    """Complete what only a leader can complete."""
    state.peers = {}
    refusal = make_unknown('leadership was lost')
    # What is committed already still gets its result when it is applied.
    for index in [one for one in state.pending if one > state.commit_index]:
        _, proposal = state.pending.pop(index)
        state.refused.append((proposal.future, refusal))
    refusal = make_not_leader(state)
    for read in state.reads:
        state.refused.append((read.future, refusal))
    state.reads = []
    finish_transfer(state, True)


def finish_transfer(state, done):
    """Complete a transfer of leadership."""
    if state.transfer_future is not None:
        state.refused.append((state.transfer_future, done))
    state.transfer_future = None
    state.transfer_id = None


def become_leader(state, now):
    """Lead the current term and append its first entry."""
    store = state.store
    index = store.last_index + 1
    kind, data = model.ENTRY_NOOP, b''
    if index == 1:
        # The log itself then says who the first members are.
        kind = model.ENTRY_MEMBERS
        data = store_codec.encode_members(store.members)
    store.append([logmessages.LogEntry(index, store.term, kind, data)])
    state.term_start_index = index
    state.role = model.Role.LEADER
    state.leader_id = state.settings.host_id
    state.leader_since = now
    state.peers = {}
    sync_peers(state)


def sync_peers(state):
    """Make the peers of a leader match the members."""
    wanted = {}
    for member in state.store.members:
        if member.host_id == state.settings.host_id:
            continue
        known = state.peers.get(member.host_id)
        if known is None or known.store_id != member.store_id:
            known = model.Progress(
                member.host_id,
                member.store_id,
                # The new leader's first entry is sent at once.
                max(state.term_start_index, state.store.base_index + 1),
            )
        wanted[member.host_id] = known
    state.peers = wanted


def advance_commit(state):
    """Commit what a majority of voters has synced, in this term."""
    voters = model.get_voters(state.store.members)
    if not voters:
        return False
    synced = sorted(
        (get_match(state, member) for member in voters), reverse=True
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


def get_match(state, member):
    """Return the last index that is synced on a voter."""
    if member.host_id == state.settings.host_id:
        if member.store_id != state.store.store_id:
            return 0
        return state.store.synced_index
    peer = state.peers.get(member.host_id)
    if peer is None or peer.store_id != member.store_id:
        return 0
    return peer.match_index


def get_quorum_contact(state, now):
    """Return when messages were sent that a majority has answered.

    Returns
    -------
    float
        Seconds of the monotonic clock, minus infinity without a majority.
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
        times.append(peer.contact if peer else float('-inf'))
    return sorted(times, reverse=True)[len(voters) // 2]
