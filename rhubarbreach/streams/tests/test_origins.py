"""Origins of streams with lost hosts, late messages and full tables."""

import os

import pytest

from rhubarbreach import clock
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import link as links
from rhubarbreach.protocol import streammessages
from rhubarbreach.streams import keeper
from rhubarbreach.streams import recorder
from rhubarbreach.streams import table

OLD = table.Origin('s', 'v1')
NEW = table.Origin('s', 'v2', revision=2)


class Network:
    """Links of an entry host and of stores, some of which are lost."""

    def __init__(self):
        network = 1 + os.getpid() % 250
        self.addresses = [f'127.{network}.7.{n}' for n in range(1, 6)]
        self.port = ports.find_port(self.addresses)
        self.links = []
        self.recorders = []
        self.keepers = {}
        self.versions = None

    def make_link(self, address):
        link = links.Link(
            address, f'{address}:{self.port}', {}, None, common_port=self.port
        )
        self.links.append(link)
        return link

    @property
    def stores(self):
        return tuple(self.addresses[:4])

    def start_store(self, address):
        link = self.make_link(address)
        self.keepers[address] = keeper.OriginKeeper(
            link, lambda _: self.versions
        )
        return self.keepers[address]

    def start_entry(self):
        link = self.make_link(self.addresses[4])
        self.recorders.append(
            recorder.OriginRecorder(link, lambda: self.stores)
        )
        return self.recorders[-1]

    def stop(self, address):
        for link in self.links:
            if link.host_id == address:
                link.close()
        self.links = [x for x in self.links if x.host_id != address]
        self.keepers.pop(address, None)

    def count_copies(self, stream_id):
        now = clock.monotonic()
        return sum(
            kept.table.find(stream_id, now) is not None
            for kept in self.keepers.values()
        )

    def close(self):
        for one in self.recorders:
            one.close()
        for link in self.links:
            link.close()


@pytest.fixture
def network():
    """Return a network of four stores."""
    new_network = Network()
    for address in new_network.stores:
        new_network.start_store(address)
    yield new_network
    new_network.close()


def test_origin_outlives_its_entry_host_and_two_stores(network):
    """Guards against streams of unknown version after a loss of power."""
    entry = network.start_entry()
    entry.record(b'r', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'r') == recorder.COPIES)
    network.stop(network.addresses[4])
    keeping = [a for a in network.stores if network.keepers[a].table]
    for address in keeping[:2]:
        network.stop(address)
    assert network.start_entry().find(b'r', ('s',)) == OLD


def test_restarted_store_learns_the_origins_of_the_others(network):
    """Guards against origins that are lost store by store."""
    entry = network.start_entry()
    entry.record(b'r', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'r') == recorder.COPIES)
    address = next(a for a in network.stores if network.keepers[a].table)
    network.stop(address)
    store = network.start_store(address)
    store.query_hosts(a for a in network.stores if a != address)
    cluster.wait_until(
        lambda: store.table.find(b'r', clock.monotonic()) == OLD
    )


def test_later_attempt_replaces_the_origin(network):
    """Guards against the version of an attempt without an event."""
    entry = network.start_entry()
    entry.record(b'r', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'r') == recorder.COPIES)
    entry.record(b'r', NEW, 30.0)
    cluster.wait_until(
        lambda: all(
            kept.table.find(b'r', clock.monotonic()) in (None, NEW)
            for kept in network.keepers.values()
        )
    )


@pytest.mark.parametrize(
    ('versions', 'expected'),
    [
        (('v1',), table.Origin(None, 'v1')),
        (('v1', 'v2'), None),
        ((), None),
        (None, None),
    ],
)
def test_unknown_origin_is_certain_only_with_one_version(
    network, versions, expected
):
    """Guards against a guess while two versions may have begun a stream."""
    network.versions = versions
    assert network.start_entry().find(b'none', ('s',)) == expected


def test_query_ends_although_stores_do_not_answer(network):
    """Guards against a take-up that waits for stores which are lost."""
    for address in network.stores[:3]:
        network.stop(address)
    started_at = clock.monotonic()
    assert network.start_entry().find(b'none', ('s',)) is None
    assert clock.monotonic() - started_at < 1.0


def test_full_table_drops_the_oldest_origins():
    """Guards against memory that grows with the number of streams."""
    origins = table.OriginTable(3)
    for number in range(5):
        origins.add(b'r%d' % number, OLD, 10.0, 0.0)
    origins.add(b'r2', NEW, 10.0, 0.0)
    origins.add(b'r5', OLD, 10.0, 0.0)
    assert len(origins) == 3
    assert [origins.find(b'r%d' % n, 1.0) for n in range(6)] == [
        None,
        None,
        NEW,
        None,
        OLD,
        OLD,
    ]


def test_expired_origins_are_dropped():
    """Guards against origins that are kept after their streams."""
    origins = table.OriginTable()
    origins.add(b'r0', OLD, 1.0, 0.0)
    assert origins.find(b'r0', 1.5) is None
    origins.add(b'r1', OLD, 3.0, 2.0)
    assert len(origins) == 1


def test_streams_of_two_accounts_are_distinct():
    """Guards against accounts that share ids of requests."""
    ids = {
        table.make_stream_id(account, request_id)
        for account in ('', 'a', 'b')
        for request_id in ('r', 'r' * 10_000)
    }
    assert len(ids) == 6
    assert {len(stream_id) for stream_id in ids} == {12}
    assert table.make_stream_id('a', '') == b''


def test_store_that_missed_the_last_attempt_does_not_answer_first(network):
    """Guards against a stream that goes on at the version before its own.

    A store that was cut off while a later attempt was recorded still holds the
    origin of the earlier one. Without the cut it may learn the later origin,
    as it asks an entry host that it hears first for all of its origins.
    """
    entry = network.start_entry()
    entry.record(b'r', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'r') == recorder.COPIES)
    stale = next(a for a in network.stores if network.keepers[a].table)
    entry.link.set_fault(
        lambda _sender, receiver, _: () if receiver == stale else (0.0,)
    )
    entry.list_stores = lambda: [a for a in network.stores if a != stale]
    entry.record(b'r', NEW, 30.0)
    cluster.wait_until(
        lambda: (
            sum(
                kept.table.find(b'r', clock.monotonic()) == NEW
                for kept in network.keepers.values()
            )
            == recorder.COPIES
        )
    )
    now = clock.monotonic()
    assert network.keepers[stale].table.find(b'r', now) == OLD
    network.stop(network.addresses[4])
    other = network.start_entry()
    found = {other.find(b'r', ('s',)) for _ in range(40)}
    assert OLD not in found


def test_restarted_stores_learn_origins_from_entry_hosts(network):
    """Guards against refused streams after a loss of power of all stores."""
    entry = network.start_entry()
    entry.record(b'r', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'r') == recorder.COPIES)
    for address in network.stores:
        network.stop(address)
    for address in network.stores:
        store = network.start_store(address)
        store.query_hosts(a for a in network.stores if a != address)
    entry.record(b'later', OLD, 30.0)
    cluster.wait_until(lambda: network.count_copies(b'later') > 0)
    cluster.wait_until(lambda: network.count_copies(b'r') > 0, 2.0)


def test_late_rows_of_another_store_do_not_replace_a_newer_origin(network):
    """Guards against rows that were sent before the last attempt began."""
    first, second = (network.keepers[a] for a in network.stores[:2])
    now = clock.monotonic()
    first.table.add(b'r', OLD, now + 30.0, now)
    rows = first.table.list_rows(now)
    second.apply_news(
        'entry', streammessages.OriginNews(((b'r', 's', 'v2', 2, 30.0),))
    )
    second.apply_news('store', streammessages.OriginNews(tuple(rows)))
    assert second.table.find(b'r', clock.monotonic()) == NEW
