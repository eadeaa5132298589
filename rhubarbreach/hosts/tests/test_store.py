"""Stores whose disks stall and whose leaders change."""

import threading

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach.consensus import stalling
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.fleet import leader_client
from rhubarbreach.hosts import gauges
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import workmessages

REPORT = workmessages.WorkReport('z1', True, ())


def ask(store):
    """Return a store's answer to an entry host that knows nothing."""
    message = fleetmessages.Exchange(0, '', {}, {}, {})
    return store.answer_exchange('entry', message)


@pytest.fixture(params=['sync', 'append'])
def stalled(request, stores, monkeypatch):
    """The leader of three stores, whose disk has just stalled.

    The task of its group waits without the group's lock when it syncs, and
    with it when it writes.
    """
    monkeypatch.setattr(stalling, 'MIN_LEAD_SECONDS', 0.0)
    leader = conftest.find_leader(stores)
    gate = threading.Event()
    entered = threading.Event()

    def wait(*_):
        entered.set()
        gate.wait()

    monkeypatch.setattr(leader.group.store, request.param, wait)
    command = commands.FAMILY.encode(commands.EndJob('none', 'a'))
    leader.group.propose(command, clock.monotonic() + 5.0)
    assert entered.wait(5.0)
    yield leader
    gate.set()


def test_leader_whose_disk_stalls_is_replaced_in_time(stores, stalled):
    # Its task waits for the disk. Entry hosts kept asking it, or waited for
    # its answer, and heartbeats kept the others from an election.
    began = clock.monotonic()
    assert ask(stalled).is_leader
    assert stalled.answer_report('s', REPORT).is_leader
    others = [one for one in stores if one is not stalled]
    leader = cluster.wait_until(lambda: conftest.find_leader(others))
    cluster.wait_until(lambda: ask(leader).is_leader)
    assert not ask(stalled).is_leader
    assert not stalled.answer_report('s', REPORT).is_leader
    assert clock.monotonic() - began < 2 * leader_client.FRESH_SECONDS


def test_leader_of_a_new_term_starts_with_an_empty_memory(stores, monkeypatch):
    # Another store may have led between two looks at the leadership.
    leader = conftest.find_leader(stores)
    seen = []
    monkeypatch.setattr(leader.runner, 'set_leading', seen.append)
    monkeypatch.setattr(
        leader, 'leading_term', leader.group.term - 1, raising=False
    )
    assert not ask(leader).is_leader
    cluster.wait_until(lambda: seen)
    assert seen == [False, True]
    assert leader.leading_term == leader.group.term
    assert ask(leader).is_leader


def test_gauges_show_what_a_store_holds_and_sends(stores):
    # A store ran out of memory, and no figure told what it held.
    leader = conftest.find_leader(stores)
    made = leader.metrics
    gauges.set_store_gauges(made, leader.group, leader.ledger, leader.link)
    found = {name for name, _ in made.gauges}
    assert {'log_bytes', 'log_unanswered_bytes', 'items_open'} <= found
    sent = made.gauges['link_queued_bytes', (('message', 'AppendEntries'),)]
    assert sent > 0
