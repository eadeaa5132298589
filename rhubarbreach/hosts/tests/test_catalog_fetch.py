"""Tests of large configurations on slow links of entry hosts."""

import os
import threading

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.fleet import catalog_fetch
from rhubarbreach.fleet import leader_client
from rhubarbreach.fleet import view
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links

# Link of the smallest hosts, 15 Mbit/s.
BYTES_PER_SECOND = 15e6 / 8
# Bound on the time until a change is in force.
APPLY_SECONDS = 2.5
# Half of the bound on the time until a departure is.
DEPARTURE_SECONDS = 1.25
DOCUMENT_BYTES = 1_400_000


class SlowPath:
    """Delays of the messages to one host, on a link of limited bandwidth."""

    def __init__(self, receiver_id):
        self.receiver_id = receiver_id
        self.lock = threading.Lock()
        self.free_at = 0.0

    def find_delays(self, sender_id, receiver_id, message):
        """Return the delays of a message, as `Link.set_fault` wants them."""
        if receiver_id != self.receiver_id:
            return [0.0]
        envelope = codec.Envelope(sender_id, 1, False, 1, message)
        with self.lock:
            now = clock.monotonic()
            self.free_at = max(now, self.free_at) + (
                len(codec.encode(envelope)) / BYTES_PER_SECOND
            )
            return [self.free_at - now]


@pytest.fixture
def client(stores):
    """Return the client of an entry host with a slow link to the stores."""
    for store in stores:
        store.current_index.decode_catalog = decode
    address = f'127.{1 + os.getpid() % 250}.7.9'
    path = SlowPath(address)
    for store in stores:
        store.link.set_fault(path.find_delays)
    link = links.Link(
        address,
        f'{address}:{stores[0].link.common_port}',
        {},
        None,
        common_port=stores[0].link.common_port,
    )
    client = leader_client.LeaderClient(
        link,
        view.View('z1'),
        tuple(store.host_id for store in stores),
        decode,
        5.0,
    )
    yield client
    client.close()
    link.close()


def decode(document):
    """Return the `Catalog` of a document that begins with its version."""
    return catalogs.Catalog(int(document[:8]))


def put(stores, version, size=0):
    """Commit a configuration that compresses badly."""
    leader = conftest.find_leader(stores)
    document = b'%08d' % version + os.urandom(size)
    reply = leader.propose(commands.PutCatalog(version, document), 5.0)
    assert isinstance(reply, commands.Done)


def test_large_configuration_is_in_force_on_a_slow_link(stores, client):
    """Guards against replies that are dropped as late and sent again."""
    put(stores, 1)
    cluster.wait_until(lambda: client.index and client.index.version == 1)
    put(stores, 2, DOCUMENT_BYTES)
    applied_by = clock.monotonic() + APPLY_SECONDS
    cluster.wait_until(lambda: client.index.version == 2)
    assert clock.monotonic() < applied_by


def test_departure_is_not_held_up_by_a_large_configuration(stores, client):
    """Guards against requests to endpoints that have left."""
    put(stores, 1)
    store = conftest.find_leader(stores)
    notice = fleetmessages.EndpointNotice(
        'e', 's', '10.0.0.1:80', 'z1', 8, 'ready', 1, 1
    )
    store.endpoints.record_announcement(notice)
    directory = client.view.directory
    cluster.wait_until(lambda: directory.services.get('s'))
    put(stores, 2, DOCUMENT_BYTES)
    store.endpoints.leave('e', 1)
    withdrawn_by = clock.monotonic() + DEPARTURE_SECONDS
    cluster.wait_until(lambda: not directory.services.get('s'))
    assert clock.monotonic() < withdrawn_by
    assert client.has_leader


def test_configuration_is_not_confirmed_before_it_is_fetched(stores, client):
    """Guards against revoked keys that count while the next one arrives."""
    put(stores, 1)
    cluster.wait_until(lambda: client.index and client.index.version == 1)
    put(stores, 2, DOCUMENT_BYTES)
    committed_at = clock.monotonic()
    seen = []

    def is_in_force():
        seen.append((client.confirmed_at, client.index.version))
        return seen[-1][1] == 2

    cluster.wait_until(is_in_force)
    cluster.wait_until(lambda: client.confirmed_at > committed_at)
    assert not any(
        confirmed_at > committed_at
        for confirmed_at, version in seen
        if version == 1
    )


def test_cut_off_or_odd_document_is_not_applied():
    """Guards against a part of a configuration in force."""
    packed = catalog_fetch.pack(b'document' * 100)
    assert catalog_fetch.unpack(packed) == b'document' * 100
    for data in (packed[:-1], b'', b'odd', packed[1:]):
        with pytest.raises(ValueError):
            catalog_fetch.unpack(data)
