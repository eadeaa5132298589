"""Tests of failure detection with many hosts in virtual time."""

import pytest

from rhubarbreach.bench import membershipbench
from rhubarbreach.membership import members


@pytest.fixture
def cluster():
    """Return eight hosts that know each other, on a lossy network."""
    started = membershipbench.SimulatedCluster(8, 3, loss=0.02)
    started.loop.run(20.0)
    assert min(started.count_alive_peers()) == 7
    return started


def test_cost_per_host_does_not_grow_with_the_number_of_hosts():
    """Messages per host must not depend on the number of hosts."""
    small, large = (membershipbench.measure(n, 1) for n in (5, 30))
    assert large.messages < 1.5 * small.messages
    assert large.detected_after < 10.0


def test_wrongly_suspected_host_refutes_the_suspicion(cluster):
    """Guards against a live host that is declared dead when suspected."""
    target = cluster.detectors['host-004']
    before = target.own.incarnation
    pending = members.PendingProbe('host-004', 0.0, 0.0, before)
    cluster.detectors['host-001'].suspect(pending, cluster.loop.now)
    cluster.loop.run(cluster.loop.now + 5.0)
    assert target.own.incarnation > before
    assert min(cluster.count_alive_peers()) == 7


def test_partitioned_host_is_found_again(cluster):
    """Guards against hosts that stay dead to each other after a partition."""
    cluster.unreachable.add('host-007')
    cluster.loop.run(cluster.loop.now + 10.0)
    assert max(cluster.count_alive_peers()) == 6
    cluster.unreachable.clear()
    cluster.loop.run(cluster.loop.now + 20.0)
    assert min(cluster.count_alive_peers()) == 7


def test_restarted_host_replaces_its_former_row(cluster):
    """Guards against hosts that keep the row of the former incarnation."""
    cluster.add('host-007', incarnation=1000)
    cluster.loop.run(cluster.loop.now + 10.0)
    rows = [
        detector.members['host-007'].row
        for name, detector in cluster.detectors.items()
        if name != 'host-007'
    ]
    assert {row.incarnation >= 1000 for row in rows} == {True}
