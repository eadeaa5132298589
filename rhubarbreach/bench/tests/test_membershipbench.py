"""Tests of the failure detection with many hosts in virtual time."""

import pytest

from rhubarbreach.bench import membershipbench
from rhubarbreach.membership import members


@pytest.fixture
def swarm():
    """Return eight hosts that know each other, on a lossy network."""
    found = membershipbench.Swarm(8, 3, loss=0.02)
    found.loop.run(20.0)
    assert min(found.count_seen()) == 7
    return found


def test_cost_of_a_host_does_not_grow_with_the_hosts():
    """Messages per host must not depend on the number of hosts."""
    small, large = (membershipbench.measure(n, 1) for n in (5, 30))
    assert large.messages < 1.5 * small.messages
    assert large.detected_after < 10.0


def test_wrongly_suspected_host_refutes(swarm):
    """A host that is alive must not be taken for dead after a rumour."""
    target = swarm.detectors['host-004']
    before = target.own.incarnation
    pending = members.PendingProbe('host-004', 0.0, 0.0, before)
    swarm.detectors['host-001'].suspect(pending, swarm.loop.now)
    swarm.loop.run(swarm.loop.now + 5.0)
    assert target.own.incarnation > before
    assert min(swarm.count_seen()) == 7


def test_partitioned_host_is_found_again(swarm):
    """Hosts that were dead to each other must meet after a partition."""
    swarm.lost.add('host-007')
    swarm.loop.run(swarm.loop.now + 10.0)
    assert max(swarm.count_seen()) == 6
    swarm.lost.clear()
    swarm.loop.run(swarm.loop.now + 20.0)
    assert min(swarm.count_seen()) == 7


def test_restarted_host_replaces_its_former_row(swarm):
    """A restart with a new incarnation must be known everywhere."""
    swarm.add('host-007', incarnation=1000)
    swarm.loop.run(swarm.loop.now + 10.0)
    rows = [
        detector.members['host-007'].row
        for name, detector in swarm.detectors.items()
        if name != 'host-007'
    ]
    assert {row.incarnation >= 1000 for row in rows} == {True}
