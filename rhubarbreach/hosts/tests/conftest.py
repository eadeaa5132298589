"""Store hosts for tests, in one process with real links."""

import os

import pytest

from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import ports
from rhubarbreach.hosts import store
from rhubarbreach.observe import metrics
from rhubarbreach.settings import role


def start_store(folder, number, address, port, seeds, founds_group):
    """Return a new store host in an availability zone of its own."""
    return store.StoreHost(
        role.RoleSettings(
            name=f's{number}',
            address=address,
            availability_zone=f'z{number}',
            role='store',
            link_port=port,
            seeds=seeds,
            founds_group=founds_group,
            data_folder=str(folder / address),
        ),
        bytes.decode,
        None,
        metrics.Metrics(),
    )


def find_store_addresses():
    """Return four loopback addresses and a port that is free on all."""
    block = 1 + os.getpid() % 250
    addresses = tuple(f'127.{block}.7.{number}' for number in (1, 2, 3, 4))
    return addresses, ports.find_port(addresses)


@pytest.fixture
def stores(tmp_path):
    """Return three connected stores, one of which is the leader."""
    addresses, port = find_store_addresses()
    seeds = addresses[:3]
    hosts = [
        start_store(tmp_path, number, address, port, seeds, True)
        for number, address in enumerate(seeds)
    ]
    cluster.wait_until(lambda: find_leader(hosts))
    yield hosts
    for host in hosts:
        host.close()


def find_leader(stores):
    """Return the leading store, or None while there is none."""
    return next((host for host in stores if host.leadership.is_leading), None)
