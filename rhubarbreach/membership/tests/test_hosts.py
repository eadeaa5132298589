"""Tests of membership over a link on loopback."""

import socket
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.membership import endpoints
from rhubarbreach.membership import hosts
from rhubarbreach.placement.tests import conftest
from rhubarbreach.protocol import link
from rhubarbreach.settings import model

WAIT = 15


def find_address():
    """Return a free address on loopback."""
    with socket.socket() as found:
        found.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{found.getsockname()[1]}'


def wait_for(condition):
    """Wait until a condition holds; return whether it does."""
    end = clock.monotonic() + WAIT
    while not condition() and clock.monotonic() < end:
        time.sleep(0.02)
    return condition()


class Node:
    """One host with membership and registry."""

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
        """Stop all tasks."""
        self.hosts.close()
        self.endpoints.close()
        self.link.close()


@pytest.fixture
def nodes():
    """Return three hosts in two zones that know one seed."""
    address = find_address()
    seeds = (('h0', address),)
    found = [Node('h0', 'z0', address, ())]
    for index in (1, 2):
        zone = f'z{index % 2}'
        found.append(Node(f'h{index}', zone, find_address(), seeds))
    yield found
    for node in found:
        node.close()


def knows(node, count):
    """Return whether a host sees a number of live hosts."""
    return len(node.hosts.alive()) == count


def test_hosts_join_and_notice_a_loss(nodes):
    """Hosts must find each other by a seed and drop a lost one."""
    assert wait_for(lambda: all(knows(node, 3) for node in nodes))
    owners = {node.hosts.owners('name', 2) for node in nodes}
    assert len(owners) == 1
    nodes[1].close()
    assert wait_for(lambda: knows(nodes[0], 2) and knows(nodes[2], 2))


def test_endpoints_reach_all_hosts(nodes):
    """An announced or draining endpoint must be known in each zone."""
    assert wait_for(lambda: all(knows(node, 3) for node in nodes))
    now = clock.monotonic()
    nodes[0].endpoints.announce(conftest.make_row('e', 1), now)
    assert wait_for(lambda: all(node.endpoints.get('e') for node in nodes))
    nodes[2].endpoints.announce(conftest.make_row('e', 2, draining=True), now)
    assert wait_for(
        lambda: all(node.endpoints.get('e').draining for node in nodes)
    )


def test_draining_host_is_known_everywhere(nodes):
    """No host may go on choosing a draining host as owner."""
    assert wait_for(lambda: all(knows(node, 3) for node in nodes))
    nodes[1].hosts.set_draining()
    assert wait_for(
        lambda: all('h1' not in node.hosts.owners('x', 3) for node in nodes)
    )
