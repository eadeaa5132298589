"""Tests of the replicated log on real processes."""

import contextlib
import os
import signal
import time

import pytest

from rhubarbreach.bench import logbench


@pytest.fixture
def cluster(tmp_path):
    with contextlib.closing(logbench.StoreCluster(tmp_path)) as store_cluster:
        yield store_cluster


def commit(cluster, host):
    response = cluster.stores[host].ask(name='commit', seconds=20.0)
    assert 'refusal' not in response, response


def count_leaders(cluster):
    responses = [store.ask(name='status') for store in cluster.stores.values()]
    return sum(response['leads'] for response in responses)


def test_stopped_leader_process_resumes_as_follower(cluster):
    """Guards against two leaders after a paused leader process resumes."""
    leader = cluster.find_leader()
    other = next(host for host in cluster.stores if host != leader)
    commit(cluster, other)
    paused = cluster.stores.pop(leader)
    os.kill(paused.process.pid, signal.SIGSTOP)
    commit(cluster, other)
    os.kill(paused.process.pid, signal.SIGCONT)
    cluster.stores[leader] = paused
    caught_up = paused.ask(name='catch_up', count=2, seconds=20.0)
    assert caught_up['seconds'] < 20.0
    end = time.monotonic() + 20.0
    while count_leaders(cluster) != 1:
        assert time.monotonic() < end


def test_accepted_commands_survive_a_kill_of_all_processes(cluster):
    """Guards against loss of accepted commands when all processes die."""
    for host in logbench.HOSTS:
        commit(cluster, host)
    cluster.close()
    for host in logbench.HOSTS:
        cluster.start(host)
    for host in logbench.HOSTS:
        response = cluster.stores[host].ask(
            name='catch_up', count=3, seconds=20.0
        )
        assert response['seconds'] < 20.0
