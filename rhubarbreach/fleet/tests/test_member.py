"""The way of an entry host to the next leader."""

import concurrent.futures
import threading

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import member
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages

WAIT_SECONDS = 5.0
STORES = ('s1', 's2', 's3')


class FakeLink:
    """Stores of which some are silent and one may lead.

    The others name a silent one as their leader.
    """

    def __init__(self, silent, leader):
        self.silent = silent
        self.leader = leader
        self.asked = []

    def call(self, store, message, deadline):
        self.asked.append(store)
        reply = fleetmessages.ExchangeReply(False, self.silent[0])
        if store in self.silent:
            reply = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
        elif store == self.leader:
            reply = fleetmessages.ExchangeReply(True, store)
        future = concurrent.futures.Future()
        future.set_result(reply)
        return future


@pytest.fixture
def start_member():
    """Return a function that makes a member whose task has ended."""

    def start(link):
        made = member.Member(
            link,
            view.View('z1'),
            STORES,
            lambda _: catalogs.Catalog(1),
            5.0,
        )
        made.close()
        made.thread.join(WAIT_SECONDS)
        made.silent_until.clear()
        del link.asked[:]
        return made

    return start


def test_silent_leader_is_not_asked_again_at_once(start_member):
    # Each time another store named it, a time-out of 0.4 s was lost; hosts
    # found the next leader up to 0.5 s after its election.
    link = FakeLink(('s1',), None)
    made = start_member(link)
    made.leader_id = 's1'
    for _ in range(6):
        made.exchange()
    assert link.asked[0] == 's1'
    assert set(link.asked[1:]) == {'s2', 's3'}
    link.leader = 's3'
    for _ in range(2):
        made.exchange()
    assert made.leader_id == 's3'


def test_stores_that_are_all_silent_are_asked_in_turn(start_member):
    # An entry host that was cut off must find them again at once.
    link = FakeLink(STORES, None)
    made = start_member(link)
    for _ in range(6):
        made.exchange()
    assert set(link.asked[3:]) == set(STORES)


def test_request_waits_for_the_first_configuration(start_member):
    # After a restart of all hosts each was refused, most at their last try.
    made = start_member(FakeLink(STORES, None))
    made.started = clock.monotonic()
    copy = fleetmessages.CatalogCopy(1, b'')
    reply = fleetmessages.ExchangeReply(True, 's1', catalog=copy)
    timer = threading.Timer(0.1, made.take_reply, (reply, made.started))
    timer.start()
    assert made.wait_index(clock.monotonic()) is not None
    assert clock.monotonic() - made.started < member.FIRST_WAIT_SECONDS


def test_host_without_configuration_refuses_at_once_later(start_member):
    # A caller whom nobody can serve has to hear so early.
    made = start_member(FakeLink(STORES, None))
    now = clock.monotonic()
    made.started = now - member.FIRST_SECONDS
    assert made.wait_index(now) is None
    assert clock.monotonic() - now < member.FIRST_WAIT_SECONDS / 2
