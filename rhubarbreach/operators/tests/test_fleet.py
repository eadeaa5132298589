"""Tests of the configuration over a replicated group with faults."""

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution.tests import fleet
from rhubarbreach.distribution import view
from rhubarbreach.operators.tests import stores
from rhubarbreach.state import model

KEY = 'rb-secret'
wait_until = fleet.wait_until


@pytest.fixture
def cluster(tmp_path):
    cluster = stores.RealFleet(
        tmp_path,
        {'relay': stores.STORES, 'entry': ('relay', *stores.STORES)},
        snapshot_entries=100,
    )
    with cluster.stack:
        cluster.find_leader()
        cluster.make_change(model.PutAccount(model.Account('patio', 1.0, 1.0)))
        key = model.Key('key-1', 'patio', view.get_digest(KEY))
        cluster.make_change(model.PutKey(key))
        assert wait_until(lambda: get_code(cluster, 'entry') is None)
        yield cluster


def get_code(cluster, name):
    result = cluster.hosts[name].view.authenticate(KEY, clock.monotonic())
    return result.code if isinstance(result, codes.Refusal) else None


def test_revocation_by_new_leader_waits_for_grants_of_old_leader(cluster):
    """Guards against hosts accepting a revoked key.

    A host behind a deposed leader may use the old configuration until its
    grant expires.
    """
    old_leader = cluster.find_leader()
    cluster.partitioned.update((old_leader, 'entry'))
    cluster.find_leader()
    other = next(name for name in stores.STORES if name != old_leader)
    result = cluster.make_change(model.RevokeKey('key-1'), other)
    provider = cluster.get_provider(other)
    deadline = clock.monotonic() + 10
    assert provider.wait_in_effect(result.revision, 'patio', deadline) == ()
    for name in (old_leader, 'entry'):
        assert get_code(cluster, name) == codes.ResultCode.CONFIG_STALE
    cluster.partitioned.clear()
    for name in (old_leader, 'entry'):
        assert wait_until(
            lambda name=name: (
                get_code(cluster, name) == codes.ResultCode.KEY_REVOKED
            )
        )


def test_restart_keeps_several_hundred_changes(cluster):
    """Guards against losing accepted changes in snapshots or logs."""
    for number in range(300):
        account = model.Account(f'a-{number % 40}', 1.0 + number, 1.0)
        cluster.make_change(model.PutAccount(account))
    expected = cluster.get_provider('relay').read_config(
        clock.monotonic() + 10
    )
    assert expected.revision == 302
    entry_view = cluster.hosts['entry'].view
    assert wait_until(lambda: entry_view.revision == 302)
    for name in (*stores.STORES, 'entry'):
        host = cluster.hosts[name]
        host.close()
        host.link.close()
        if host.store is not None:
            host.store.group.close()
    for name in stores.STORES:
        cluster.start(name, (), incarnation=2)
    entry = cluster.start('entry', stores.STORES, incarnation=2)
    assert entry.view.least_revision == 302
    cluster.find_leader()
    for name in (*stores.STORES, 'entry'):
        provider = cluster.get_provider(name)
        restored = provider.read_config(clock.monotonic() + 15)
        assert restored == expected
    result = cluster.make_change(model.RevokeKey('key-1'))
    assert result.revision == 303


def test_proposal_without_quorum_is_refused_and_can_be_retried(cluster):
    """Guards against reporting a change as accepted before its commit."""
    cluster.partitioned.update(stores.STORES)
    provider = cluster.get_provider('store-1')
    command = model.encode_request('op', None, model.RevokeKey('key-1'))
    refusal = provider.propose(command, clock.monotonic() + 1)
    assert isinstance(refusal, codes.Refusal)
    cluster.partitioned.clear()
    outcome = provider.propose(command, clock.monotonic() + 15)
    result = model.decode_result(outcome)
    assert (result.code, result.revision) == (codes.ResultCode.OK, 3)
