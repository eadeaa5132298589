"""Tests of the search for the leader, over links on loopback."""

import contextlib
import socket
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.fleet import leader_search
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import link as links

ENTRY, LEADER, FOLLOWER = ADDRESSES = ('127.0.4.1', '127.0.4.2', '127.0.4.3')
# Longer than the timeout of a call.
SILENCE_SECONDS = 0.9
EXCHANGE = fleetmessages.Exchange(0, '', {}, {}, {}, 'z', 0)


class Store:
    """Store that names the leader, and may stand still."""

    def __init__(self, address, port):
        self.address = address
        self.link = links.Link(
            address, f'{address}:{port}', {}, None, common_port=port
        )
        self.silent_until = 0.0
        self.link.register(fleetmessages.Exchange, self.answer, inline=True)

    def answer(self, _sender_id, _message):
        time.sleep(clock.remaining(self.silent_until, clock.monotonic()))
        return fleetmessages.ExchangeReply(self.address == LEADER, LEADER)


@pytest.fixture
def hosts():
    """Link of an entry host, and the stores by address."""
    with socket.create_server((ENTRY, 0)) as probe:
        port = probe.getsockname()[1]
    with contextlib.ExitStack() as stack:
        link, stores = None, {}
        for address in ADDRESSES:
            store = Store(address, port)
            stack.callback(store.link.close)
            stores[address] = store
        link = stores.pop(ENTRY).link
        yield link, stores


def test_leader_that_stood_still_is_found_as_soon_as_it_answers(hosts):
    """Guards against hosts that are not ready although there is a leader."""
    link, stores = hosts
    search = leader_search.LeaderSearch(link, (LEADER, FOLLOWER))
    while search.call(EXCHANGE) is None:
        pass
    stores[LEADER].silent_until = clock.monotonic() + SILENCE_SECONDS
    assert search.call(EXCHANGE) is None
    while search.call(EXCHANGE) is None:
        time.sleep(0.02)
    assert clock.monotonic() - stores[LEADER].silent_until < 0.3
