"""Results whose commit is slow, refused or repeated."""

import concurrent.futures

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import results
from rhubarbreach import codes


@pytest.fixture
def sent():
    """Commands that were proposed, and their futures."""
    return []


@pytest.fixture
def waiting(sent):
    def propose(command, _):
        future = concurrent.futures.Future()
        sent.append((commands.FAMILY.decode(command), future))
        return future

    made = results.Results(propose, lambda: None)
    made.add('job', done('a'))
    return made


def done(item_id, output='x'):
    return commands.ItemResult(item_id, commands.ItemState.COMPLETED, output)


def test_slow_commit_does_not_hold_up_its_caller(waiting, sent):
    # The plan waited up to 3 s for a stalled disk, and no item yielded.
    waiting.commit(0.0)
    waiting.add('job', done('b'))
    waiting.commit(0.1)
    assert len(sent) == 1
    sent[0][1].set_result(commands.Done())
    waiting.commit(0.2)
    assert [[r.item_id for _, r in c.results] for c, _ in sent] == [
        ['a'],
        ['b'],
    ]


def test_results_are_kept_until_they_are_committed(waiting, sent):
    waiting.commit(0.0)
    refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'lost')
    sent[0][1].set_result(refusal)
    assert waiting.list_keys() == {('job', 'a')}
    waiting.commit(0.1)
    sent[1][1].set_result(commands.Done())
    waiting.commit(0.2)
    assert not waiting
    assert len(sent) == 2


def test_item_keeps_its_first_result(waiting, sent):
    waiting.add('job', done('a', 'other'))
    waiting.commit(0.0)
    assert [r.output for _, r in sent[0][0].results] == ['x']


def test_commit_of_a_former_lead_is_not_taken_into_account(waiting, sent):
    waiting.commit(0.0)
    waiting.clear()
    waiting.add('job', done('b'))
    sent[0][1].set_result(commands.Done())
    waiting.commit(0.1)
    assert waiting.list_keys() == {('job', 'b')}
