"""Tests of store hosts with stalled disks and changes of the leader."""

import threading
import types

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model as consensus_model
from rhubarbreach.consensus import stalling
from rhubarbreach.consensus.tests import cluster
from rhubarbreach import exceptions
from rhubarbreach.fleet import leader_client
from rhubarbreach.hosts import gauges
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import workmessages

REPORT = workmessages.WorkReport('z1', True, ())


def send_exchange(store):
    """Return the reply of a store to an entry host that has no state yet."""
    message = fleetmessages.Exchange(0, '', {}, {}, {})
    return store.exchanges.answer('entry', message)


@pytest.fixture(params=['sync', 'append'])
def stalled(request, stores, monkeypatch):
    """Return the leader of three stores after its disk has stalled.

    The group thread blocks without holding the group lock during a sync, and
    while holding it during an append.
    """
    monkeypatch.setattr(stalling, 'MIN_LEAD_SECONDS', 0.0)
    leader = conftest.find_leader(stores)
    gate = threading.Event()
    entered = threading.Event()

    def wait(*_):
        entered.set()
        gate.wait()

    monkeypatch.setattr(leader.group.store, request.param, wait)
    command = commands.FAMILY.encode(commands.EndJob('none', 'a'))
    leader.group.propose(command, clock.monotonic() + 5.0)
    assert entered.wait(5.0)
    yield leader
    gate.set()


def test_leader_with_stalled_disk_is_replaced_in_time(stores, stalled):
    # Guards against a leader whose thread blocks on the disk while entry hosts
    # keep sending requests to it or wait for its reply, and while its
    # heartbeats keep the other stores from an election.
    start = clock.monotonic()
    assert send_exchange(stalled).is_leader
    assert stalled.answer_report('s', REPORT).is_leader
    others = [store for store in stores if store is not stalled]
    leader = cluster.wait_until(lambda: conftest.find_leader(others))
    cluster.wait_until(lambda: send_exchange(leader).is_leader)
    assert not send_exchange(stalled).is_leader
    assert not stalled.answer_report('s', REPORT).is_leader
    assert clock.monotonic() - start < 2 * leader_client.FRESH_SECONDS


def test_leader_of_a_new_term_discards_its_former_state(stores, monkeypatch):
    # Another store may have been the leader between two checks, so the state
    # of the earlier term must not be used.
    leader = conftest.find_leader(stores)
    calls = []
    monkeypatch.setattr(leader.runner, 'set_leading', calls.append)
    monkeypatch.setattr(
        leader.leadership, 'leading_term', leader.group.term - 1, raising=False
    )
    assert not send_exchange(leader).is_leader
    cluster.wait_until(lambda: calls)
    assert calls == [False, True]
    assert leader.leadership.leading_term == leader.group.term
    assert send_exchange(leader).is_leader


def test_gauges_report_memory_and_queued_bytes(stores):
    # Guards against a store that runs out of memory while no metric shows
    # which data it holds.
    leader = conftest.find_leader(stores)
    metrics = leader.metrics
    gauges.set_store_gauges(metrics, leader.group, leader.ledger, leader.link)
    names = {name for name, _ in metrics.gauges}
    assert {'log_bytes', 'log_unanswered_bytes', 'items_open'} <= names
    sent = metrics.gauges['link_queued_bytes', (('message', 'AppendEntries'),)]
    assert sent > 0


def test_new_store_that_knows_only_followers_is_added(stores, tmp_path):
    # Guards against a replacement that never joins, as the seeds of its
    # settings do not lead.
    leader = conftest.find_leader(stores)
    follower = next(host for host in stores if host is not leader)
    block, _, _ = leader.host_id.rpartition('.')
    address = f'{block}.4'
    port = leader.settings.link_port
    seeds = (follower.host_id,)
    new = conftest.start_store(tmp_path, 3, address, port, seeds, False)
    try:
        cluster.wait_until(
            lambda: consensus_model.find_member(leader.group.members, address)
        )
        assert leader.leadership.is_leading
    finally:
        new.close()


def test_new_store_whose_seeds_are_gone_joins_with_new_ones(stores, tmp_path):
    """Guards against a store that ignores the seeds it gets while running."""
    leader = conftest.find_leader(stores)
    block, _, _ = leader.host_id.rpartition('.')
    address = f'{block}.4'
    port = leader.settings.link_port
    new = conftest.start_store(
        tmp_path, 3, address, port, (f'{block}.9',), False
    )
    try:
        assert leader.host_id not in new.members.list_others()
        new.set_seeds((leader.host_id,))
        cluster.wait_until(
            lambda: consensus_model.find_member(leader.group.members, address)
        )
    finally:
        new.close()


def test_failing_duty_does_not_hold_up_the_members(stores, monkeypatch):
    """Guards against lost voters that stay while an update cannot be sent."""
    leader = conftest.find_leader(stores)

    def fail():
        raise OverflowError

    calls = []
    monkeypatch.setattr(leader.endpoints, 'send_updates', fail)
    monkeypatch.setattr(leader.members, 'announce_presence', calls.append)
    monkeypatch.setattr(leader.members, 'advance_membership', calls.append)
    leader.run_due_duties(clock.monotonic())
    cluster.wait_until(lambda: len(calls) >= 4)


def test_odd_row_of_another_store_is_skipped_by_itself(stores):
    """Guards against a row of an older store that no endpoint can have."""
    rows = tuple(
        fleetmessages.EndpointNotice(
            endpoint_id, 's', address, 'z', slots, state, 1, 1
        )
        for endpoint_id, address, slots, state in (
            ('port', '10.0.0.1:99999', 8, 'ready'),
            ('slots', '10.0.0.2:80', -5, 'ready'),
            ('state', '10.0.0.3:80', 8, 'resting'),
            ('', '10.0.0.4:80', 8, 'ready'),
            ('sound', '10.0.0.5:80', 8, 'ready'),
            ('gone', '10.0.0.6:80', 8, 'gone'),
        )
    )
    endpoints = stores[0].endpoints
    endpoints.apply_updates('s', fleetmessages.EndpointNews(rows))
    known = {row.endpoint_id for row in endpoints.list_rows(with_gone=True)}
    assert known == {'sound', 'gone'}


def test_unreadable_stored_configuration_does_not_stop_a_leader(
    stores, monkeypatch
):
    """Guards against a committed document that leaves all hosts unanswered."""

    def decode(document):
        if document == b'odd':
            raise exceptions.MessageError('nested too deeply')
        return catalogs.Catalog(1, accounts=(catalogs.Account('a', ()),))

    leader = conftest.find_leader(stores)
    monkeypatch.setattr(leader.current_index, 'decode_catalog', decode)
    message = fleetmessages.Exchange(0, '', {}, {'a': 1.0}, {})
    for version, document in ((1, b'sound'), (2, b'odd')):
        command = commands.PutCatalog(version, document)
        leader.propose(command, 5.0)
        cluster.wait_until(
            lambda: leader.exchanges.answer('entry', message).is_leader
        )
        assert leader.exchanges.answer('entry', message).granted
        assert leader.current_index.get().version == 1
    leader.current_index.index = None
    job = types.SimpleNamespace(host='h', path_prefix='/')
    assert leader.item_resources.find_destination(job) is None


def test_change_that_is_too_large_is_refused_by_each_store(stores):
    """Guards against a change that gets no answer, and is sent again."""
    for version, store in enumerate(stores, 1):
        # A store that has got a reply of the leader calls it directly.
        catalog = catalogs.Catalog(version)
        cluster.wait_until(
            lambda store=store, catalog=catalog: (
                store.put_catalog(catalog, b'') is None
            )
        )
        for size in (1_600_000, 3_000_000):
            refusal = store.put_catalog(catalog, b'x' * size)
            assert refusal.code is codes.ResultCode.INVALID_CHANGE
            assert refusal.ran is codes.Ran.NO


def test_process_is_ended_when_its_replica_has_ended(stores):
    """Guards against a store that goes on without its replica."""
    host = stores[0]
    ended = threading.Event()
    host.end_process = ended.set

    def fail():
        raise exceptions.CorruptLogError('damaged')

    host.group.post(fail)
    assert ended.wait(5.0)
