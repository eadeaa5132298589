"""Store hosts for tests, in one process with real links."""

import os

import pytest

from rhubarbreach.consensus.tests import cluster
from rhubarbreach.hosts import store
from rhubarbreach.observe import metrics
from rhubarbreach.settings import role


@pytest.fixture
def stores(tmp_path):
    """Return three connected stores, one of which is the leader."""
    block = 1 + os.getpid() % 250
    addresses = [f'127.{block}.7.{number}' for number in (1, 2, 3)]
    port = cluster.find_port(addresses)
    hosts = [
        store.StoreHost(
            role.RoleSettings(
                name=f's{number}',
                address=address,
                availability_zone=f'z{number}',
                role='store',
                link_port=port,
                seeds=tuple(addresses),
                founds_group=True,
                data_folder=str(tmp_path / address),
            ),
            bytes.decode,
            None,
            metrics.Metrics(),
        )
        for number, address in enumerate(addresses)
    ]
    cluster.wait_until(lambda: find_leader(hosts))
    yield hosts
    for host in hosts:
        host.close()


def find_leader(stores):
    """Return the leading store, or None while there is none."""
    return next((host for host in stores if host.is_leading), None)
