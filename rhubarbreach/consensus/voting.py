"""Elections: pre-votes, votes and the checks of a voter."""

from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach import eventlog
from rhubarbreach.protocol import logmessages

__all__ = [
    'handle_vote_reply',
    'handle_vote_request',
    'start_election',
    'start_pre_vote',
]

LOG = eventlog.Logger('consensus')

# A group that has had no leader for this long is reported by its replicas.
LEADER_MISSING_SECONDS = 3.0


def start_pre_vote(state, now):
    """Ask whether an election could be won, without changing the term.

    Therefore a replica that was cut off cannot end the term of a leader that
    still reaches the other replicas.
    """
    states.set_election_deadline(state, now)
    if now - state.leader_known_at > LEADER_MISSING_SECONDS:
        report_missing_leader(state, now)
    if not states.is_voter(state):
        return
    state.role = model.Role.PRE_CANDIDATE
    state.leader_id = None
    state.pre_votes = {state.settings.host_id}
    request_votes(state, state.store.term + 1, True, False)
    count_votes(state, now)


def report_missing_leader(state, now):
    """Log which votes this replica got and which it needs."""
    store = state.store
    LOG.warning(
        'event=leader_missing group={} seconds={:.3f} store={} is_voter={} '
        'term={} last={} last_term={} role={} votes={} pre_votes={} '
        'voters={}',
        state.settings.group_id,
        now - state.leader_known_at,
        store.store_id,
        states.is_voter(state),
        store.term,
        store.last_index,
        store.last_term,
        state.role.value,
        sorted(state.votes),
        sorted(state.pre_votes),
        [
            f'{member.host_id}/{member.store_id}'
            for member in model.get_voters(store.members)
        ],
    )


def start_election(state, now, transfer):
    """Vote for this replica in a new term and request the other votes."""
    states.set_election_deadline(state, now)
    if not states.is_voter(state):
        return
    state.store.save_vote(state.store.term + 1, state.settings.host_id)
    state.role = model.Role.CANDIDATE
    state.leader_id = None
    state.votes = {state.settings.host_id}
    state.pre_votes = set()
    request_votes(state, state.store.term, False, transfer)
    count_votes(state, now)


def request_votes(state, term, pre_vote, transfer):
    """Send a vote request to all other voters."""
    store = state.store
    request = logmessages.VoteRequest(
        state.settings.group_id,
        term,
        state.settings.host_id,
        store.store_id,
        store.last_index,
        store.last_term,
        pre_vote,
        transfer,
    )
    for member in model.get_voters(store.members):
        if member.host_id != state.settings.host_id:
            state.outbox.append((member.host_id, request))


def count_votes(state, now):
    """Proceed to the next role if a majority has granted its vote."""
    majority = model.count_majority(state.store.members)
    if len(state.votes) >= majority:
        states.become_leader(state, now)
    elif len(state.pre_votes) >= majority:
        start_election(state, now, False)


def handle_vote_request(state, sender_id, request, now):
    """Process the vote request of a candidate and reply."""
    store = state.store
    if request.pre_vote:
        granted = would_grant_vote(state, request, now)
    else:
        is_new_term = request.term > store.term
        granted = can_grant_vote(state, request)
        if granted:
            # One write for the term and the vote, as a disk may be slow.
            store.save_vote(request.term, request.candidate_id)
            states.set_election_deadline(state, now)
        if is_new_term:
            states.become_follower(state, request.term, None, now)
    reply = logmessages.VoteReply(
        state.settings.group_id,
        request.term if granted and request.pre_vote else store.term,
        granted,
        request.pre_vote,
        store.store_id,
    )
    state.outbox.append((sender_id, reply))


def is_up_to_date(state, request):
    """Return whether a log is at least as up to date as the local one.

    The log of the candidate then holds all entries that may be committed.
    """
    store = state.store
    return (request.last_term, request.last_index) >= (
        store.last_term,
        store.last_index,
    )


def would_grant_vote(state, request, now):
    """Return whether to grant a pre-vote; refused while a leader is alive."""
    leader_is_alive = (
        now - state.leader_contact < state.settings.election_timeout
    )
    return (
        not state.is_leader
        and not leader_is_alive
        and request.term > state.store.term
        and is_up_to_date(state, request)
    )


def can_grant_vote(state, request):
    """Return whether this replica may vote for the candidate."""
    store = state.store
    is_free = request.term > store.term or (
        request.term == store.term and store.vote in ('', request.candidate_id)
    )
    return is_free and is_up_to_date(state, request)


def handle_vote_reply(state, sender_id, reply, now):
    """Count a granted vote of a voter with its registered identity."""
    if reply.term > state.store.term and not reply.granted:
        states.become_follower(state, reply.term, None, now)
        return
    votes = find_votes(state, reply)
    if not reply.granted or not votes:
        return
    member = model.find_member(state.store.members, sender_id)
    if member is None or not member.voter:
        return
    # A host that lost its disk may already have voted under its former
    # identity, so its vote does not count.
    if member.store_id != reply.store_id:
        return
    votes.add(sender_id)
    count_votes(state, now)


def find_votes(state, reply):
    """Return the votes of the election that a reply belongs to.

    The votes of a term count until the next one begins, even if they arrive
    while pre-votes are requested: a voter on a slow disk replies late.

    Returns
    -------
    set of str
        Hosts that have granted their vote, empty if there is no such election.
    """
    if state.is_leader:
        return set()
    if reply.pre_vote:
        is_current = reply.term == state.store.term + 1
        return state.pre_votes if is_current else set()
    return state.votes if reply.term == state.store.term else set()
