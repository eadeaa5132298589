"""Tests of the configuration over a real group, with faults."""

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
def hosts(tmp_path):
    made = stores.RealFleet(
        tmp_path,
        {'relay': stores.STORES, 'entry': ('relay', *stores.STORES)},
        snapshot_entries=100,
    )
    with made.stack:
        made.find_leader()
        made.make_change(model.PutAccount(model.Account('patio', 1.0, 1.0)))
        key = model.Key('key-1', 'patio', view.get_digest(KEY))
        made.make_change(model.PutKey(key))
        assert wait_until(lambda: get_code(made, 'entry') is None)
        yield made


def get_code(made, name):
    found = made.hosts[name].view.authenticate(KEY, clock.monotonic())
    return found.code if isinstance(found, codes.Refusal) else None


def test_revocation_by_a_new_leader_counts_what_the_old_one_granted(hosts):
    """Guards against a key that works behind a deposed leader."""
    old = hosts.find_leader()
    hosts.partitioned.update((old, 'entry'))
    hosts.find_leader()
    other = next(name for name in stores.STORES if name != old)
    result = hosts.make_change(model.RevokeKey('key-1'), other)
    provider = hosts.get_provider(other)
    deadline = clock.monotonic() + 10
    assert provider.wait_in_effect(result.revision, 'patio', deadline) == ()
    for name in (old, 'entry'):
        assert get_code(hosts, name) == codes.ResultCode.CONFIG_STALE
    hosts.partitioned.clear()
    for name in (old, 'entry'):
        assert wait_until(
            lambda name=name: (
                get_code(hosts, name) == codes.ResultCode.KEY_REVOKED
            )
        )


def test_restart_after_several_hundred_changes_loses_none(hosts):
    """Guards against snapshots and logs that lose accepted changes."""
    for number in range(300):
        account = model.Account(f'a-{number % 40}', 1.0 + number, 1.0)
        hosts.make_change(model.PutAccount(account))
    expected = hosts.get_provider('relay').read_config(clock.monotonic() + 10)
    assert expected.revision == 302
    for name in (*stores.STORES, 'entry'):
        host = hosts.hosts[name]
        host.close()
        host.link.close()
        if host.store is not None:
            host.store.group.close()
    for name in stores.STORES:
        hosts.start(name, (), incarnation=2)
    entry = hosts.start('entry', stores.STORES, incarnation=2)
    assert entry.view.least_revision == 302
    hosts.find_leader()
    for name in (*stores.STORES, 'entry'):
        provider = hosts.get_provider(name)
        found = provider.read_config(clock.monotonic() + 15)
        assert found == expected
    result = hosts.make_change(model.RevokeKey('key-1'))
    assert result.revision == 303


def test_answer_of_an_unreachable_quorum_is_not_taken_for_done(hosts):
    """Guards against an accepted answer without a commit."""
    hosts.partitioned.update(stores.STORES)
    provider = hosts.get_provider('store-1')
    command = model.encode_request('op', None, model.RevokeKey('key-1'))
    refusal = provider.propose(command, clock.monotonic() + 1)
    assert isinstance(refusal, codes.Refusal)
    hosts.partitioned.clear()
    again = provider.propose(command, clock.monotonic() + 15)
    result = model.decode_result(again)
    assert (result.code, result.revision) == (codes.ResultCode.OK, 3)
