"""Tests of the log over real processes."""

import contextlib
import os
import signal
import time

import pytest

from rhubarbreach.bench import logbench


@pytest.fixture
def fleet(tmp_path):
    with contextlib.closing(logbench.Fleet(tmp_path)) as three:
        yield three


def commit(fleet, host):
    answer = fleet.stores[host].ask(name='commit', seconds=20.0)
    assert 'refusal' not in answer, answer


def count_leaders(fleet):
    answers = [store.ask(name='status') for store in fleet.stores.values()]
    return sum(answer['leads'] for answer in answers)


def test_stopped_leader_process_resumes_as_follower(fleet):
    """Guards against two leaders when a paused process goes on."""
    leader = fleet.find_leader()
    other = next(host for host in fleet.stores if host != leader)
    commit(fleet, other)
    paused = fleet.stores.pop(leader)
    os.kill(paused.process.pid, signal.SIGSTOP)
    commit(fleet, other)
    os.kill(paused.process.pid, signal.SIGCONT)
    fleet.stores[leader] = paused
    caught_up = paused.ask(name='catch_up', count=2, seconds=20.0)
    assert caught_up['seconds'] < 20.0
    end = time.monotonic() + 20.0
    while count_leaders(fleet) != 1:
        assert time.monotonic() < end


def test_killed_processes_lose_nothing_accepted(fleet):
    """Guards against accepted commands lost with all processes."""
    for host in logbench.HOSTS:
        commit(fleet, host)
    fleet.close()
    for host in logbench.HOSTS:
        fleet.start(host)
    for host in logbench.HOSTS:
        answer = fleet.stores[host].ask(name='catch_up', count=3, seconds=20.0)
        assert answer['seconds'] < 20.0
