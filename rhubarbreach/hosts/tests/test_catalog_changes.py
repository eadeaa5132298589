"""Tests of concurrent changes and reads of the configuration on stores."""

import concurrent.futures

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.catalog import model
from rhubarbreach import codes
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.hosts.tests import conftest

VERSIONS = 12
TRANSFER_INTERVAL = 4
WAIT_SECONDS = 5.0


@pytest.fixture
def executor():
    with concurrent.futures.ThreadPoolExecutor() as pool:
        yield pool


def put_until_done(store, version, document):
    """Put a configuration again until it is acknowledged."""

    def put():
        catalog = model.Catalog(version)
        return store.put_catalog(catalog, document) is None

    cluster.wait_until(put)


def read_until_answered(store):
    """Return the configuration that a store reads."""

    def read():
        reply = store.read_catalog()
        return None if isinstance(reply, codes.Refusal) else reply

    return cluster.wait_until(read)


def transfer_leadership(stores):
    """Transfer the leadership to another store."""
    leader = conftest.find_leader(stores)
    if leader is not None:
        leader.members.transfer_leadership(WAIT_SECONDS)


def test_racing_changes_of_one_version_leave_the_same_one(stores, executor):
    # Hosts keep the first document of a version, so all must get the same.
    for version in range(1, VERSIONS + 1):
        puts = [
            executor.submit(
                put_until_done, store, version, b'%d-%d' % (version, number)
            )
            for number, store in enumerate(stores)
        ]
        if version % TRANSFER_INTERVAL == 0:
            transfer_leadership(stores)
        for put in puts:
            put.result()
        replies = {read_until_answered(store) for store in stores}
        assert len(replies) == 1
        (reply,) = replies
        assert isinstance(reply, commands.CatalogReply)
        assert reply.version == version
        # A later change of the same version has no effect.
        put_until_done(stores[0], version, b'later')
        assert read_until_answered(stores[-1]) == reply


def test_read_after_a_change_never_returns_an_older_one(stores, executor):
    # Readers may ask a store that leads no more or does not yet.
    acknowledged = [0]

    def read_all():
        while acknowledged[0] < VERSIONS:
            for store in stores:
                oldest = acknowledged[0]
                reply = store.read_catalog()
                if not isinstance(reply, codes.Refusal):
                    assert reply.version >= oldest

    reads = [executor.submit(read_all) for _ in range(3)]
    try:
        for version in range(1, VERSIONS + 1):
            store = stores[version % len(stores)]
            put_until_done(store, version, b'%d' % version)
            acknowledged[0] = version
            if version % TRANSFER_INTERVAL == 0:
                transfer_leadership(stores)
    finally:
        acknowledged[0] = VERSIONS
    for read in reads:
        read.result()
