"""Repeated results, and results whose commit is slow or refused."""

import concurrent.futures

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import results
from rhubarbreach import codes
from rhubarbreach.consensus import group
from rhubarbreach import exceptions


@pytest.fixture
def proposed():
    """Return the list of proposed commands and their futures."""
    return []


@pytest.fixture
def queue(proposed):
    def propose(command, _):
        future = concurrent.futures.Future()
        proposed.append((commands.FAMILY.decode(command), future))
        return future

    queue = results.ResultQueue(propose, lambda: None)
    queue.add('job', done('a'))
    return queue


def done(item_id, output='x'):
    return commands.ItemResult(item_id, commands.ItemState.COMPLETED, output)


def test_slow_commit_does_not_block_caller(queue, proposed):
    # Otherwise the scheduling waits up to 3 s for a stalled disk, and no item
    # yields its slot.
    queue.commit(0.0)
    queue.add('job', done('b'))
    queue.commit(0.1)
    assert len(proposed) == 1
    proposed[0][1].set_result(commands.Done())
    queue.commit(0.2)
    assert [[r.item_id for _, r in c.results] for c, _ in proposed] == [
        ['a'],
        ['b'],
    ]


def test_results_are_kept_until_committed(queue, proposed):
    queue.commit(0.0)
    refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'lost')
    proposed[0][1].set_result(refusal)
    assert queue.list_keys() == {('job', 'a')}
    queue.commit(0.1)
    proposed[1][1].set_result(commands.Done())
    queue.commit(0.2)
    assert not queue
    assert len(proposed) == 2


def test_item_keeps_its_first_result(queue, proposed):
    queue.add('job', done('a', 'other'))
    queue.commit(0.0)
    assert [r.output for _, r in proposed[0][0].results] == ['x']


def test_commit_before_clear_is_ignored(queue, proposed):
    queue.commit(0.0)
    queue.clear()
    queue.add('job', done('b'))
    proposed[0][1].set_result(commands.Done())
    queue.commit(0.1)
    assert queue.list_keys() == {('job', 'b')}


@pytest.mark.parametrize(
    'big',
    ['x' * 1_000_000, 'x' * 2_000_000],
    ids=['together', 'each'],
)
def test_results_beyond_command_limit_do_not_block_others(big):
    # All queued results once formed one command, which no commit accepted.
    committed = set()

    def propose(command, _):
        if len(command) > group.MAX_COMMAND_BYTES:
            raise exceptions.MessageError('command exceeds the limit')
        results = commands.FAMILY.decode(command).results
        committed.update(result.item_id for _, result in results)
        future = concurrent.futures.Future()
        future.set_result(commands.Done())
        return future

    queue = results.ResultQueue(propose, lambda: None)
    queue.add('job', done('a', big))
    queue.add('job', done('b', big))
    queue.add('job', done('c'))
    for number in range(4):
        queue.commit(number / 10)
    fitting = {'a', 'b', 'c'} if len(big) < group.MAX_COMMAND_BYTES else {'c'}
    assert committed == fitting


def test_result_beyond_a_commit_is_not_queued(queue):
    # It stayed in the queue for good, and its item never ran again.
    assert not queue.add('job', done('b', 'x' * results.MAX_COMMIT_BYTES))
    assert queue.list_keys() == {('job', 'a')}
    assert queue.add('job', done('b', 'x' * results.MAX_OUTPUT_BYTES))


def test_result_with_a_long_reason_fits_into_a_commit(queue):
    reason = 'x' * results.MAX_COMMIT_BYTES
    result = commands.ItemResult('b', commands.ItemState.GIVEN_UP, '', reason)
    assert queue.add('job', result)
