"""Store hosts of the tests, in one process over real links."""

import os

import pytest

from rhubarbreach.consensus.tests import cluster
from rhubarbreach.hosts import store
from rhubarbreach.observe import metrics
from rhubarbreach.settings import role


@pytest.fixture
def stores(tmp_path):
    """Three stores that have found each other, with a leader."""
    block = 1 + os.getpid() % 250
    addresses = [f'127.{block}.7.{n}' for n in (1, 2, 3)]
    port = cluster.find_port(addresses)
    made = [
        store.StoreHost(
            role.RoleSettings(
                name=f's{n}',
                address=address,
                availability_zone=f'z{n}',
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
        for n, address in enumerate(addresses)
    ]
    cluster.wait_until(lambda: find_leader(made))
    yield made
    for one in made:
        one.close()


def find_leader(stores):
    """Return the store that leads, None while there is none."""
    return next((one for one in stores if one.is_leading), None)
