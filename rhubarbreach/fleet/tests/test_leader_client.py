"""Tests of how an entry host finds the leader and a configuration."""

import concurrent.futures
import threading
import time

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.fleet import leader_client
from rhubarbreach.fleet import leader_search
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages

WAIT_SECONDS = 5.0
STORES = ('s1', 's2', 's3')


class FakeLink:
    """Link to stores of which some do not answer and one may lead.

    The other stores name an unresponsive one as their leader.
    """

    def __init__(self, unresponsive, leader):
        self.host_id = 'entry'
        self.unresponsive = unresponsive
        self.leader = leader
        self.called = []

    def get_heard_at(self, store):
        return float('-inf')

    def call(self, store, message, deadline):
        self.called.append(store)
        reply = fleetmessages.ExchangeReply(False, self.unresponsive[0])
        if store in self.unresponsive:
            reply = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
        elif store == self.leader:
            reply = fleetmessages.ExchangeReply(True, store)
        future = concurrent.futures.Future()
        future.set_result(reply)
        return future


@pytest.fixture
def make_client():
    """Return a function that makes a client whose thread has ended."""

    def make(link):
        stopped = leader_client.LeaderClient(
            link,
            view.View('z1'),
            STORES,
            lambda _: catalogs.Catalog(1),
            5.0,
        )
        stopped.close()
        stopped.thread.join(WAIT_SECONDS)
        stopped.search.unresponsive_until.clear()
        del link.called[:]
        return stopped

    return make


def test_unresponsive_leader_is_not_called_again_at_once(make_client):
    # Each time another store named it as the leader, the host waited for
    # another timeout of 0.4 s. Hosts found the next leader up to 0.5 s after
    # its election.
    link = FakeLink(('s1',), None)
    client = make_client(link)
    client.search.leader_id = 's1'
    for _ in range(6):
        client.exchange()
    assert link.called[0] == 's1'
    assert set(link.called[1:]) == {'s2', 's3'}
    link.leader = 's3'
    for _ in range(2):
        client.exchange()
    assert client.leader_id == 's3'


def test_stores_are_called_in_turn_if_all_are_unresponsive(make_client):
    # An entry host must find the stores immediately after a partition.
    link = FakeLink(STORES, None)
    client = make_client(link)
    for _ in range(6):
        client.exchange()
    assert set(link.called[3:]) == set(STORES)


class GrantingLink(FakeLink):
    """Link to a leader of a large fleet that grants what is wanted."""

    def __init__(self, entries):
        super().__init__(('s2',), 's1')
        self.entries = entries

    def call(self, store, message, deadline):
        self.called.append(store)
        reply = fleetmessages.ExchangeReply(
            True, store, granted=message.wanted, entries=self.entries
        )
        future = concurrent.futures.Future()
        future.set_result(reply)
        return future


def test_request_does_not_wait_for_the_next_regular_exchange():
    # With 66 hosts an exchange for loads may start every 0.08 s, and requests
    # that waited 0.07 s for a token were refused on a quiet day.
    link = GrantingLink(400)
    client = leader_client.LeaderClient(
        link, view.View('z1'), STORES, lambda _: catalogs.Catalog(1), 5.0
    )
    try:
        account = catalogs.Account('a', (), rate=10.0, burst=10.0)
        for _ in range(20):
            assert client.tokens.acquire(account)
    finally:
        client.close()


def test_requests_for_loads_are_bounded_in_a_large_fleet():
    link = GrantingLink(400)
    client = leader_client.LeaderClient(
        link, view.View('z1'), STORES, lambda _: catalogs.Catalog(1), 5.0
    )
    try:
        deadline = clock.monotonic() + 1.5
        while clock.monotonic() < deadline:
            client.schedule.request_loads()
            time.sleep(0.005)
    finally:
        client.close()
    # Two a second for each of 400 hosts, besides those that found the leader.
    assert link.called.count('s1') <= 4


def test_loads_of_a_lost_leader_do_not_count(make_client):
    # Hosts that lost their leader in a load peak refused callers until they
    # had a leader again, long after the peak.
    client = make_client(FakeLink(STORES, None))
    client.has_leader = True
    client.view.counts.update_peers(('h2',))
    client.view.report_peer('h2', {'e1': 1}, clock.monotonic())
    client.view.update_loads({'e1': 20}, {'e1': 3}, ('e2',))
    client.contacted_at = clock.monotonic()
    client.exchange()
    assert client.view.counts.count_online('e1') == 21
    client.contacted_at -= leader_client.FRESH_SECONDS
    client.exchange()
    assert client.view.counts.count_online('e1') == 1
    assert not client.view.counts.batch
    assert client.view.health.suspects == {'e2'}


class SilentLink:
    """Link on which only one store answers; the others never do.

    `called` lists the stores with the time of the call.
    """

    def __init__(self, leader):
        self.host_id = 'entry'
        self.leader = leader
        self.called = []

    def call(self, store, message, deadline):
        self.called.append((store, clock.monotonic()))
        future = concurrent.futures.Future()
        if store == self.leader:
            future.set_result(fleetmessages.ExchangeReply(True, store))
            return future
        refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
        timer = threading.Timer(
            deadline - clock.monotonic(), future.set_result, (refusal,)
        )
        timer.daemon = True
        timer.start()
        return future


def test_leader_behind_silent_stores_is_found_soon():
    # After a restart of all hosts of a large fleet two of the three known
    # stores were not up yet. Each was waited for until its timeout, and hosts
    # found the leader 0.7 s after its election.
    link = SilentLink('s3')
    search = leader_search.LeaderSearch(link, STORES)
    search.store_index = -1
    started_at = clock.monotonic()
    assert search.call('message').is_leader
    assert [store for store, _ in link.called] == list(STORES)
    assert clock.monotonic() - started_at < 0.4
    assert search.leader_id == 's3'


def test_silent_leader_is_the_only_store_that_is_called():
    # Only one store acts on a report, and most replies just come late.
    link = SilentLink('s3')
    search = leader_search.LeaderSearch(link, STORES)
    search.leader_id = 's1'
    assert search.call('message') is None
    assert [store for store, _ in link.called] == ['s1']
    assert search.leader_id is None


def test_request_waits_for_the_first_configuration(make_client):
    # After a restart of all hosts every request was refused, most of them at
    # their last attempt.
    client = make_client(FakeLink(STORES, None))
    client.started_at = clock.monotonic()
    copy = fleetmessages.CatalogCopy(1, b'')
    reply = fleetmessages.ExchangeReply(True, 's1', catalog=copy)
    timer = threading.Timer(
        0.1, client.apply_reply, (reply, client.started_at, {})
    )
    timer.start()
    assert client.wait_for_index(clock.monotonic()) is not None
    assert (
        clock.monotonic() - client.started_at
        < leader_client.STARTUP_WAIT_SECONDS
    )


def test_host_refuses_at_once_without_configuration_after_startup(
    make_client,
):
    # A caller that no host can serve has to be refused early.
    client = make_client(FakeLink(STORES, None))
    now = clock.monotonic()
    client.started_at = now - leader_client.STARTUP_SECONDS
    assert client.wait_for_index(now) is None
    assert clock.monotonic() - now < leader_client.STARTUP_WAIT_SECONDS / 2


def make_reply(**changes):
    return fleetmessages.ExchangeReply(
        True,
        's1',
        endpoints_stamp='stamp',
        endpoints=(
            make_notice('odd', '10.0.0.1:99999'),
            make_notice('odd2', '10.0.0.2:80', slots=-5),
            make_notice('sound', '10.0.0.3:80'),
        ),
        complete=True,
        elsewhere=(1, 2, 3),
        nearby=(0, 0, 0),
        items=(4, 5, 6),
        **changes,
    )


def make_notice(endpoint_id, address, slots=8):
    return fleetmessages.EndpointNotice(
        endpoint_id, 's', address, 'z1', slots, 'ready', 1, 1
    )


def test_odd_row_of_a_reply_is_skipped_by_itself(make_client):
    """Guards against a row of an older store that stops the exchange."""
    client = make_client(FakeLink(('s1',), None))
    client.apply_reply(make_reply(), clock.monotonic(), {})
    assert list(client.view.directory.endpoints) == ['sound']
    assert client.view.counts.elsewhere['sound'] == 3
    assert client.view.counts.batch['sound'] == 6
    assert client.endpoints_stamp == 'stamp'


def test_unreadable_configuration_does_not_stop_the_exchange(make_client):
    """Guards against a stored document that takes all hosts out of service."""

    def decode(document):
        if document == b'odd':
            raise exceptions.MessageError('nested too deeply')
        return catalogs.Catalog(1)

    client = make_client(FakeLink(('s1',), None))
    client.decode_catalog = decode
    now = clock.monotonic()
    client.apply_reply(
        make_reply(catalog=fleetmessages.CatalogCopy(1, b'sound')), now, {}
    )
    client.apply_reply(
        make_reply(catalog=fleetmessages.CatalogCopy(2, b'odd')), now, {}
    )
    assert list(client.view.directory.endpoints) == ['sound']
    assert client.index.version == 1
    assert client.waits.reply_count == 2


def test_queues_of_a_lost_leader_count_no_more(make_client):
    """Guards against accounts that wait behind others without a leader."""
    client = make_client(FakeLink((), 's1'))
    state = fleetmessages.QueueState(3, {'large': 0.5})
    reply = fleetmessages.ExchangeReply(True, 's1', queues={'s': state})
    now = clock.monotonic()
    client.apply_reply(reply, now, {})
    assert client.get_queue('s', now) == state
    assert client.get_queue('other', now) == leader_client.NO_QUEUE
    later = now + leader_client.QUEUES_SECONDS + 1.0
    assert client.get_queue('s', later) == leader_client.NO_QUEUE


def test_loads_of_a_new_leader_are_known_to_be_incomplete(make_client):
    """Guards against a host that trusts the first loads after a power loss."""
    client = make_client(FakeLink((), 's1'))
    client.apply_reply(fleetmessages.ExchangeReply(True, 's1'), 0.0, {})
    assert client.first_reply_at is not None
    assert not client.has_complete_loads
    complete = fleetmessages.ExchangeReply(True, 's1', complete=True)
    client.apply_reply(complete, 0.0, {})
    client.apply_reply(fleetmessages.ExchangeReply(True, 's2'), 0.0, {})
    assert client.has_complete_loads


def test_waiting_requests_get_no_slot_before_a_reply_is_applied(make_client):
    """Guards against requests for endpoints that the reply evacuates."""
    client = make_client(FakeLink((), 's1'))
    seen = []
    client.view.on_free = lambda _: seen.append(client.evacuations.zones)
    reply = make_reply(evacuation_revision=1, evacuated=('z1',))
    client.search.call = lambda _: reply
    assert client.exchange()
    assert seen == [{'z1'}]
    assert not client.view.directory.services
