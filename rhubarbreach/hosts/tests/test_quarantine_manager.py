"""Tests of the quarantine of prompt parts over changes of the leader."""

import pytest

from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.hosts import quarantine_manager
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import fleetmessages


def send_exchange(store, crashes=()):
    """Return the reply of a store to an entry host without state."""
    message = fleetmessages.Exchange(0, '', {}, {}, {}, crashes=crashes)
    return store.answer_exchange('entry', message)


def report_crashes(store):
    """Report the crashes of three endpoints that answered a part."""
    crashes = tuple(
        fleetmessages.CrashNotice(
            f'e{number}', ('first', 'bad', f'own{number}'), True, 2.0
        )
        for number in range(3)
    )
    return send_exchange(store, crashes)


def test_quarantine_holds_under_the_next_leader_and_for_hosts_that_join(
    stores,
):
    leader = conftest.find_leader(stores)
    reply = report_crashes(leader)
    assert set(reply.suspect_parts) == {'first', 'bad'}
    cluster.wait_until(lambda: send_exchange(leader).quarantined)
    others = [store for store in stores if store is not leader]
    leader.drain(2.0)
    successor = cluster.wait_until(lambda: conftest.find_leader(others))
    reply = cluster.wait_until(
        lambda: (
            (reply := send_exchange(successor)).is_leader
            and reply.quarantined
            and reply
        )
    )
    assert set(reply.quarantined) == {'bad'}
    assert reply.quarantine_revision == 1


def test_part_is_released_at_the_end_of_its_quarantine(stores, monkeypatch):
    monkeypatch.setattr(
        'rhubarbreach.hosts.quarantine_manager.QUARANTINE_SECONDS', 0.3
    )
    leader = conftest.find_leader(stores)
    report_crashes(leader)
    replicas = [store.ledger for store in stores]
    for ledger in replicas:
        cluster.wait_until(lambda held=ledger: held.quarantine_revision >= 1)
    leader.quarantine_manager.evidence.incidents.clear()
    for ledger in replicas:
        cluster.wait_until(lambda held=ledger: not held.quarantined)


def test_leader_forgets_the_evidence_of_a_former_term(stores):
    # Another leader may have learnt that the parts are answered.
    leader = conftest.find_leader(stores)
    crash = fleetmessages.CrashNotice('e1', ('first', 'own'), True, 2.0)
    assert send_exchange(leader, (crash,)).suspect_parts == ('first',)
    leader.leading_term -= 1
    cluster.wait_until(lambda: send_exchange(leader).is_leader)
    assert send_exchange(leader).suspect_parts == ()


@pytest.fixture
def proposed():
    """Return the list of proposed commands."""
    return []


@pytest.fixture
def quarantine(proposed):
    """Return the quarantine of a leader that commits nothing."""
    return quarantine_manager.QuarantineManager(
        ledgers.Ledger(), lambda *command: proposed.append(command)
    )


def report(quarantine, now, crashes=(), answered=None):
    """Report to a leader what an entry host has seen."""
    message = fleetmessages.Exchange(
        0,
        '',
        {},
        {},
        crashes=crashes,
        answered=answered or {},
        service_answers={'': 0.0},
    )
    quarantine.report(message, now)


def test_sound_part_is_not_held_back_by_a_new_leader(quarantine, proposed):
    # The hosts report former crashes before the answers since.
    crashes = tuple(
        fleetmessages.CrashNotice(
            f'e{number}', ('first', f'own{number}'), True, 40.0 - number
        )
        for number in range(5)
    )
    report(quarantine, 100.0, crashes)
    quarantine.advance(100.05, 1)
    assert not proposed
    assert quarantine.suspects == ('first',)
    report(quarantine, 100.2, answered={'first': 0.1})
    quarantine.advance(101.0, 1)
    assert not proposed


def test_part_about_which_no_host_was_asked_is_not_held_back(
    quarantine, proposed
):
    # The hosts are asked about some of many parts at first.
    crashes = tuple(
        fleetmessages.CrashNotice(
            f'e{number}', (f'a{part}', f'b{part}', f'own{number}'), False, 0.0
        )
        for number in range(4)
        for part in range(40)
    )
    report(quarantine, 100.0, crashes)
    report(quarantine, 100.9, answered=dict.fromkeys(quarantine.suspects, 0.0))
    quarantine.advance(101.0, 1)
    assert not proposed
