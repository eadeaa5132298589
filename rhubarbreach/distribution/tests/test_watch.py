"""Tests of the distribution over links, with partitions and restarts."""

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import serve
from rhubarbreach.distribution.tests import fleet
from rhubarbreach.distribution import view
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import model

KEY = 'rb-secret'
STALE_KEY_SECONDS = 20.0
wait_until = fleet.wait_until


@pytest.fixture
def config_fleet():
    """Return a fleet of a store host, two relays and a host behind them."""
    new_fleet = fleet.Fleet(
        {
            'relay-1': ('store',),
            'relay-2': ('store',),
            'entry': ('relay-1', 'relay-2'),
        }
    )
    with new_fleet.stack:
        new_fleet.change(model.PutAccount(model.Account('patio', 1.0, 1.0)))
        key = model.Key('key-1', 'patio', view.get_digest(KEY))
        new_fleet.change(model.PutKey(key))
        assert wait_until(lambda: get_code(new_fleet, 'entry') is None)
        yield new_fleet


def get_code(config_fleet, name):
    now = clock.monotonic()
    result = config_fleet.hosts[name].view.authenticate(KEY, now)
    return result.code if isinstance(result, codes.Refusal) else None


def query_effect(config_fleet, revision, account_id='patio', timeout=5.0):
    host = config_fleet.hosts['relay-2']
    query = configmessages.EffectQuery(revision, account_id, timeout)
    deadline = clock.monotonic() + timeout + 5
    return host.link.call('store', query, deadline).result()


def test_revocation_reaches_a_host_behind_a_relay(config_fleet):
    """Guards against reporting too early that a change is in effect."""
    result = config_fleet.change(model.RevokeKey('key-1'))
    assert query_effect(
        config_fleet, result.revision
    ) == configmessages.EffectReply(True, ())
    assert get_code(config_fleet, 'entry') == codes.ResultCode.KEY_REVOKED


def test_partitioned_host_is_pending_until_its_validity_expires(config_fleet):
    """Guards against a revoked key that still works on a partitioned host."""
    config_fleet.partitioned.add('entry')
    result = config_fleet.change(model.RevokeKey('key-1'))
    early = query_effect(config_fleet, result.revision, timeout=0.0)
    assert early.pending
    assert all(host.seconds < 3 for host in early.pending)
    assert not query_effect(config_fleet, result.revision).pending
    assert get_code(config_fleet, 'entry') == codes.ResultCode.CONFIG_STALE


def test_lengthened_bound_is_part_of_the_deadline(config_fleet):
    """Guards against a deadline that ignores the bound of an account."""
    account = model.Account('patio', 1.0, 1.0, 1.0, STALE_KEY_SECONDS)
    result = config_fleet.change(model.PutAccount(account))
    assert wait_until(
        lambda: config_fleet.hosts['entry'].view.revision == result.revision
    )
    config_fleet.partitioned.add('entry')
    result = config_fleet.change(model.RevokeKey('key-1'))
    pending = query_effect(config_fleet, result.revision, timeout=3.0).pending
    assert max(host.seconds for host in pending) > STALE_KEY_SECONDS / 2
    assert get_code(config_fleet, 'entry') is None


def test_host_switches_to_another_relay(config_fleet):
    """Guards against hosts that become stale if their relay is lost."""
    config_fleet.partitioned.add('relay-1')
    result = config_fleet.change(model.RevokeKey('key-1'))
    entry = config_fleet.hosts['entry'].view
    assert wait_until(lambda: entry.revision == result.revision)
    assert wait_until(lambda: entry.is_valid(clock.monotonic()))


def test_leader_without_a_quorum_grants_no_validity(config_fleet):
    """Guards against a partitioned leader that keeps revoked keys valid."""
    config_fleet.group.confirmed = False
    for name in config_fleet.hosts:
        assert wait_until(
            lambda name=name: (
                get_code(config_fleet, name) == codes.ResultCode.CONFIG_STALE
            ),
            4.0,
        )
    config_fleet.group.confirmed = True
    assert wait_until(lambda: get_code(config_fleet, 'entry') is None)


def test_unconfirmed_leader_does_not_report_where_a_change_is_in_effect(
    config_fleet,
):
    """Guards against an answer that misses the hosts of a new leader."""
    config_fleet.group.confirmed = False
    assert not query_effect(config_fleet, 2, timeout=0.5).known
    config_fleet.group.confirmed = True
    assert not query_effect(config_fleet, 3, timeout=0.5).known
    assert query_effect(config_fleet, 2).known


def test_waiting_poll_of_a_replaced_process_does_not_stop_the_server(
    config_fleet,
):
    """Guards against a host restart after which no host gets a reply."""
    for incarnation in (7, 8, 9):
        poll = configmessages.ConfigWatch('entry', incarnation, 2, 1.0)
        relay = config_fleet.hosts['relay-1']
        relay.server.handle_watch('entry', poll)
    result = config_fleet.change(model.RevokeKey('key-1'))
    entry = config_fleet.hosts['entry'].view
    assert wait_until(lambda: entry.revision == result.revision)


def test_new_leader_waits_for_the_grants_of_its_predecessor(config_fleet):
    """Guards against hosts that have not polled the new leader yet."""
    result = config_fleet.change(model.RevokeKey('key-1'))
    assert query_effect(config_fleet, result.revision).pending == ()
    config_fleet.hosts['store'].server.expected_hosts = lambda: (
        'entry',
        'lost',
    )
    tracker = config_fleet.hosts['store'].tracker
    lost_poll, polled_at = (
        configmessages.ConfigWatch('lost', 1, 2, 0.6),
        clock.monotonic() - 60,
    )
    tracker.record_poll(lost_poll, polled_at)
    tracker.record_grant(lost_poll, 2, polled_at + 2)
    config_fleet.group.term += 1
    early = query_effect(config_fleet, result.revision, timeout=0.0).pending
    assert [host.host_id for host in early] == ['lost']
    assert query_effect(config_fleet, result.revision).pending == ()


def test_host_far_behind_gets_the_whole_configuration(
    config_fleet, monkeypatch
):
    """Guards against a first fetch that never ends while changes are made.

    The configuration is much larger than one message.
    """
    monkeypatch.setattr(serve, 'PART_BYTES', 4096)
    for number in range(1100):
        account = model.Account(f'a-{number}', 1.0, 1.0)
        config_fleet.change(model.PutAccount(account))
    joined = config_fleet.start('late', ('store',))
    config_fleet.hosts['store'].link.set_peer(
        'late', config_fleet.addresses['late']
    )
    for number in range(2000):
        account = model.Account(f'a-{number % 1100}', 2.0, 1.0)
        config_fleet.change(model.PutAccount(account))
        if joined.view.is_valid(clock.monotonic()):
            break
    assert wait_until(
        lambda: joined.view.revision == config_fleet.machine.config.revision
    )
    assert joined.view.snapshot == config_fleet.machine.config


def test_idle_host_polls_at_a_constant_rate(config_fleet):
    """Guards against polls that are answered immediately and then repeated."""
    watcher = config_fleet.hosts['entry'].watcher
    before, start = watcher.polls_sent, clock.monotonic()
    wait_until(lambda: clock.monotonic() > start + 2)
    rate = (watcher.polls_sent - before) / (clock.monotonic() - start)
    assert rate < 5
