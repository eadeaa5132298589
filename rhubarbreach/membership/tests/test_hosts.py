"""Tests of membership over loopback links."""

import time

import pytest

from rhubarbreach import clock
from rhubarbreach.consensus.tests import ports
from rhubarbreach.membership import endpoints
from rhubarbreach.membership import hosts
from rhubarbreach.placement.tests import conftest
from rhubarbreach.protocol import link
from rhubarbreach.settings import model

WAIT_SECONDS = 15


def wait_for(condition):
    """Wait until a condition holds; return whether it does."""
    deadline = clock.monotonic() + WAIT_SECONDS
    while not condition() and clock.monotonic() < deadline:
        time.sleep(0.02)
    return condition()


class FleetHost:
    """Host with a membership and an endpoint registry."""

    def __init__(self, host_id, zone, address, seeds):
        settings = model.HostSettings(
            host_id, 'r', zone, ('entry',), '127.0.0.1:1', address, ''
        )
        self.link = link.Link(host_id, address, {}, None)
        self.hosts = hosts.Membership(settings, self.link, seeds)
        self.endpoints = endpoints.EndpointRegistry(self.hosts, self.link)
        self.hosts.start()
        self.endpoints.start()

    def close(self):
        """Close the membership, the registry and the link."""
        self.hosts.close()
        self.endpoints.close()
        self.link.close()


@pytest.fixture
def fleet_hosts():
    """Return three hosts in two zones that join through one seed."""
    address = ports.find_address()
    seeds = (('h0', address),)
    fleet_hosts = [FleetHost('h0', 'z0', address, ())]
    for index in (1, 2):
        zone = f'z{index % 2}'
        fleet_hosts.append(
            FleetHost(f'h{index}', zone, ports.find_address(), seeds)
        )
    yield fleet_hosts
    for fleet_host in fleet_hosts:
        fleet_host.close()


def sees_hosts(fleet_host, count):
    """Return whether a host knows exactly `count` live hosts."""
    return len(fleet_host.hosts.alive()) == count


def test_hosts_join_and_notice_a_loss(fleet_hosts):
    """Guards against hosts that miss a join or the loss of a host."""
    assert wait_for(
        lambda: all(sees_hosts(fleet_host, 3) for fleet_host in fleet_hosts)
    )
    owners = {fleet_host.hosts.owners('name', 2) for fleet_host in fleet_hosts}
    assert len(owners) == 1
    fleet_hosts[1].close()
    assert wait_for(
        lambda: sees_hosts(fleet_hosts[0], 2) and sees_hosts(fleet_hosts[2], 2)
    )


def test_endpoints_reach_all_hosts(fleet_hosts):
    """Guards against announcements that do not reach another zone."""
    assert wait_for(
        lambda: all(sees_hosts(fleet_host, 3) for fleet_host in fleet_hosts)
    )
    now = clock.monotonic()
    fleet_hosts[0].endpoints.announce(conftest.make_row('e', 1), now)
    assert wait_for(
        lambda: all(
            fleet_host.endpoints.get('e') for fleet_host in fleet_hosts
        )
    )
    fleet_hosts[2].endpoints.announce(
        conftest.make_row('e', 2, draining=True), now
    )
    assert wait_for(
        lambda: all(
            fleet_host.endpoints.get('e').draining
            for fleet_host in fleet_hosts
        )
    )


def test_draining_host_is_known_everywhere(fleet_hosts):
    """Guards against hosts that still choose a draining host as owner."""
    assert wait_for(
        lambda: all(sees_hosts(fleet_host, 3) for fleet_host in fleet_hosts)
    )
    fleet_hosts[1].hosts.set_draining()
    assert wait_for(
        lambda: all(
            'h1' not in fleet_host.hosts.owners('x', 3)
            for fleet_host in fleet_hosts
        )
    )


def test_error_does_not_end_the_probes(fleet_hosts, monkeypatch):
    """Guards against a host that takes lost hosts for live after one error."""
    assert wait_for(
        lambda: all(sees_hosts(fleet_host, 3) for fleet_host in fleet_hosts)
    )
    detector = fleet_hosts[0].hosts.detector
    failures = [RuntimeError('no memory')]
    tick = detector.tick

    def tick_later(now):
        if failures:
            raise failures.pop()
        tick(now)

    monkeypatch.setattr(detector, 'tick', tick_later)
    assert wait_for(lambda: not failures)
    seen = []
    fleet_hosts[0].hosts.subscribe(lambda hosts: 1 / 0)
    fleet_hosts[0].hosts.subscribe(seen.append)
    fleet_hosts[1].close()
    assert wait_for(lambda: sees_hosts(fleet_hosts[0], 2))
    assert wait_for(lambda: seen)
