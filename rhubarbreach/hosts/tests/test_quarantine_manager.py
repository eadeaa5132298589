"""Tests of the quarantine of prompt parts over changes of the leader."""

import concurrent.futures

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.fleet import quarantine as host_quarantine
from rhubarbreach.hosts import quarantine_manager
from rhubarbreach.hosts.tests import conftest
from rhubarbreach.protocol import fleetmessages


def send_exchange(store, crashes=()):
    """Return the reply of a store to an entry host without state."""
    message = fleetmessages.Exchange(0, '', {}, {}, {}, crashes=crashes)
    return store.exchanges.answer('entry', message)


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
    leader.leadership.leading_term -= 1
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
    quarantine.report('entry', message, now)


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


class Fleet:
    """Leader and entry hosts with requests for one quarantined part.

    The leader commits at once, and the clock of the day and the monotonic one
    show the same time.
    """

    def __init__(self, monkeypatch):
        self.now = 100.0
        monkeypatch.setattr(
            'rhubarbreach.hosts.quarantine_manager.time.time', lambda: self.now
        )
        self.ledger = ledgers.Ledger()
        self.manager = quarantine_manager.QuarantineManager(
            self.ledger, self.commit
        )
        self.hosts = {}
        # Times of the requests that reached an endpoint.
        self.sent = []

    def commit(self, command, _):
        """Apply a command at once."""
        future = concurrent.futures.Future()
        future.set_result(self.ledger.apply(1, command))
        return future

    def add_host(self, host_id):
        """Add an entry host."""
        self.hosts[host_id] = host_quarantine.Quarantine()

    def change_leader(self):
        """Let another leader continue with the same ledger."""
        self.manager = quarantine_manager.QuarantineManager(
            self.ledger, self.commit
        )

    def run(self, seconds, answers, is_reachable=True):
        """Let requests with the part come, and answer those that are sent."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            for host_id, host in self.hosts.items():
                self.send_request(host, answers, is_reachable)
                self.exchange(host_id, host)
            self.manager.advance(self.now, len(self.hosts))

    def send_request(self, host, answers, is_reachable):
        """Let a request come to a host."""
        prompt = ('first', f'own-{self.now}')
        if host.find_refusal(prompt, self.now) is not None:
            return
        may_send, part = host.begin_trial(prompt, self.now)
        if not may_send:
            return
        if part is not None:
            # The leader learns of a trial only when it has ended.
            assert part not in host.make_trial_report()[1]
            host.end_trial(part, is_reachable)
        if not is_reachable:
            return
        if answers:
            self.sent.append(self.now)
            host.record_answer(prompt, self.now)
        else:
            self.sent.append(self.now)
            host.record_crash(f'e{self.now}', prompt, True, self.now)

    def exchange(self, host_id, host):
        """Exchange the messages of a host and the leader."""
        wanted, used = host.make_trial_report()
        crashes, answered = host.make_report(self.now)
        message = fleetmessages.Exchange(
            0,
            '',
            {},
            {},
            crashes=crashes,
            answered=answered,
            wanted_parts=wanted,
            used_trials=used,
        )
        self.manager.report(host_id, message, self.now)
        revision, quarantined = self.manager.list_quarantined(host.revision)
        host.apply_reply(
            fleetmessages.ExchangeReply(
                True,
                's1',
                quarantine_revision=revision,
                quarantined=quarantined,
                trials=self.manager.list_trials(host_id, self.now),
            ),
            self.now,
        )


@pytest.fixture
def fleet(monkeypatch):
    """Return two entry hosts whose leader has quarantined a part."""
    fleet = Fleet(monkeypatch)
    fleet.add_host('h1')
    fleet.add_host('h2')
    fleet.ledger.apply(
        1,
        commands.FAMILY.encode(
            commands.QuarantinePart('first', 3700.0, 0, 104.0)
        ),
    )
    # The hosts learn of the quarantine.
    for host_id, host in fleet.hosts.items():
        fleet.exchange(host_id, host)
    return fleet


def test_part_that_was_quarantined_by_mistake_is_served_again(fleet):
    fleet.run(3.0, answers=True)
    assert not fleet.sent
    fleet.run(3.0, answers=True)
    assert not fleet.ledger.get_quarantine()[1]
    # Requests at both hosts are sent again.
    assert len(fleet.sent) > 20


def test_trials_of_a_crashing_part_reach_few_endpoints(fleet):
    fleet.run(60.0, answers=False)
    assert len(fleet.sent) == 2
    fleet.change_leader()
    fleet.run(600.0, answers=False)
    assert len(fleet.sent) == 3


def test_trial_during_a_long_outage_of_all_endpoints_is_not_lost(fleet):
    fleet.run(20.0, answers=False, is_reachable=False)
    assert not fleet.sent
    fleet.run(1.0, answers=True)
    assert not fleet.ledger.get_quarantine()[1]


def test_trial_of_a_host_without_requests_moves_to_another_one(fleet):
    fleet.run(8.0, answers=False, is_reachable=False)
    holder = fleet.manager.trials.trials['first'].host_id
    del fleet.hosts[holder]
    fleet.run(8.0, answers=True)
    assert not fleet.ledger.get_quarantine()[1]
