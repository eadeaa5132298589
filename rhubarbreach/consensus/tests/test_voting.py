"""Tests of a voter without a link and threads."""

import random

import pytest

from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as stores
from rhubarbreach.consensus import voting
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files


def open_state(folder):
    settings = model.GroupSettings('g', 'host-1', str(folder))
    store = stores.Store(folder / 'g')
    members = (
        logmessages.Member('host-1', store.store_id, True),
        logmessages.Member('host-2', 'store-2', True),
        logmessages.Member('host-3', 'store-3', True),
    )
    store.save_formation(True, members)
    return states.State(settings, store, random.Random(1), 0.0)


@pytest.fixture
def state(tmp_path):
    opened = open_state(tmp_path)
    yield opened
    opened.store.close()


def request_vote(state, host_id, term, pre_vote=False, now=100.0):
    """Return whether a candidate receives the vote."""
    request = logmessages.VoteRequest(
        'g', term, host_id, 'store', 0, 0, pre_vote
    )
    voting.handle_vote_request(state, host_id, request, now)
    return state.outbox.pop()[1].granted


def test_vote_is_kept_over_a_restart(tmp_path, state):
    """Guards against two leaders in one term after a crash."""
    assert request_vote(state, 'host-2', 5)
    state.store.close()
    reopened = open_state(tmp_path)
    assert not request_vote(reopened, 'host-3', 5)
    assert request_vote(reopened, 'host-2', 5)
    reopened.store.close()


def test_vote_of_another_store_identity_does_not_count(state):
    """Guards against a second vote of a host that lost its disk."""
    voting.start_election(state, 0.0, False)
    for store_id, leads in (('new', False), ('store-2', True)):
        reply = logmessages.VoteReply('g', 1, True, False, store_id)
        voting.handle_vote_reply(state, 'host-2', reply, 0.0)
        assert state.is_leader is leads


def make_vote(host_number, term, pre_vote=False):
    return logmessages.VoteReply(
        'g', term, True, pre_vote, f'store-{host_number}'
    )


def test_vote_that_arrives_during_the_next_pre_vote_counts(state):
    """Guards against a group without a leader while its disks are slow.

    A voter replies after its disk has synced the vote.
    """
    voting.start_election(state, 0.0, False)
    voting.start_pre_vote(state, 1.0)
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 1), 1.0)
    assert state.is_leader
    assert state.store.term == 1


def test_vote_of_an_earlier_term_does_not_count(state):
    """Guards against two leaders in one term."""
    voting.start_election(state, 0.0, False)
    voting.start_pre_vote(state, 1.0)
    voting.handle_vote_reply(state, 'host-3', make_vote(3, 2, True), 1.0)
    assert state.store.term == 2
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 1), 1.0)
    assert not state.is_leader


def test_vote_after_the_loss_of_an_election_does_not_count(state):
    """Guards against a replica that leads a term of another leader."""
    voting.start_election(state, 0.0, False)
    states.become_follower(state, 1, 'host-3', 0.5)
    voting.start_pre_vote(state, 1.0)
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 1), 1.0)
    assert not state.is_leader


def test_pre_vote_does_not_count_as_a_vote(state):
    """Guards against a leader without durable votes."""
    voting.start_pre_vote(state, 0.0)
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 0), 0.0)
    assert state.role == model.Role.PRE_CANDIDATE
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 1, True), 0.0)
    assert state.role == model.Role.CANDIDATE
    voting.handle_vote_reply(state, 'host-3', make_vote(3, 1, True), 0.0)
    assert state.role == model.Role.CANDIDATE


def test_vote_in_a_new_term_is_one_write(state, monkeypatch):
    """Guards against votes that arrive late because of slow disks."""
    written_names = []
    replace_file = files.replace_file

    def record(path, data):
        written_names.append(path.name)
        replace_file(path, data)

    monkeypatch.setattr(files, 'replace_file', record)
    assert request_vote(state, 'host-2', 5)
    assert written_names == [stores.VOTE_NAME]
    assert (state.store.term, state.store.vote) == (5, 'host-2')
    assert not request_vote(state, 'host-3', 5)
    assert written_names == [stores.VOTE_NAME]


def test_leader_that_votes_in_a_new_term_steps_down(state):
    """Guards against a leader of an ended term."""
    voting.start_election(state, 0.0, False)
    voting.handle_vote_reply(state, 'host-2', make_vote(2, 1), 0.0)
    assert state.is_leader
    request = logmessages.VoteRequest('g', 2, 'host-3', 'store', 1, 1, False)
    voting.handle_vote_request(state, 'host-3', request, 1.0)
    assert state.outbox[-1][1].granted
    assert state.role == model.Role.FOLLOWER
    assert (state.store.term, state.store.vote) == (2, 'host-3')


def test_pre_vote_is_refused_while_a_leader_is_heard(state):
    """Guards against a host with a bad link that ends the term of a leader."""
    state.leader_contact = 99.9
    assert not request_vote(state, 'host-2', 7, pre_vote=True)
    assert request_vote(state, 'host-2', 7, pre_vote=True, now=101.0)
    assert state.store.term == 0


def test_candidate_with_a_shorter_log_gets_no_vote(state):
    """Guards against a leader that lacks accepted entries."""
    entry = logmessages.LogEntry(1, 1, model.ENTRY_NOOP, b'')
    state.store.append([entry])
    assert not request_vote(state, 'host-2', 5)


def test_missing_leader_is_reported_with_its_votes(state, capfd):
    """Guards against a group without a leader whose logs show no cause."""
    seconds = voting.LEADER_MISSING_SECONDS
    voting.start_pre_vote(state, seconds)
    voting.start_pre_vote(state, seconds + 0.1)
    lines = capfd.readouterr().err.splitlines()
    (line,) = [text for text in lines if 'event=leader_missing' in text]
    assert "pre_votes=['host-1']" in line
    assert 'host-2/store-2' in line
    assert 'is_voter=True' in line
