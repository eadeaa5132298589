"""Tests of what the leader adds up from the reports of entry hosts."""

import types

import pytest

from rhubarbreach.hosts import usage
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages


def send(message):
    """Return a message as it arrives at another host."""
    return codec.decode(
        codec.encode(codec.Envelope('h1', 1, False, 1, message))
    ).message


@pytest.fixture
def leader():
    """Return the usage of two endpoints with eight slots each."""
    endpoints = {
        name: types.SimpleNamespace(endpoint_id=name, service='s', slots=8)
        for name in ('e1', 'e2')
    }
    return usage.Usage(lambda: endpoints)


def test_reports_of_hosts_name_an_account_to_all_of_them(leader):
    """Guards against a share that each host computes from its own requests.

    The account sends 24 of 32 requests a second through 12 hosts, so that each
    host sees two of them a second.
    """
    for step in range(240):
        now = step / 120
        account = 'large' if step % 4 else f'a{step % 16}'
        report = fleetmessages.QueueReport(
            {account: 0.27}, int(step % 8 == 0), 1, 1
        )
        message = fleetmessages.Exchange(
            0, '', {'e1': 1, 'e2': 1}, {}, queues={'s': report}
        )
        leader.report(f'h{step % 12}', send(message), now)
        states = leader.list_queues(now)
    reply = fleetmessages.ExchangeReply(True, 's1', queues=states)
    state = send(reply).queues['s']
    assert set(state.exceeding) == {'large'}
    assert state.waiting == 12


def test_host_of_an_earlier_version_reports_no_queue(leader):
    """Guards against messages that hosts of two versions cannot read."""
    message = fleetmessages.Exchange(0, '', {'e1': 20}, {})
    leader.report('h1', send(message), 0.0)
    assert leader.list_queues(0.1) == {}


def test_failures_of_a_host_without_links_are_forgotten(leader):
    """Guards against endpoints that all hosts avoid for the cut of some."""
    failures = {'e1': (2, 0)}
    for host_id in ('h1', 'h2'):
        message = fleetmessages.Exchange(0, '', {}, {}, failures)
        leader.report(host_id, send(message), 0.0)
    counts = leader.suspicion.counts['e1']
    assert set(counts.failures) == {'h1', 'h2'}
    for host_id in ('h1', 'h2'):
        message = fleetmessages.Exchange(
            0, '', {}, {}, failures, is_cut_off=True
        )
        leader.report(host_id, send(message), 0.1)
    assert not counts.failures


def test_host_in_doubt_is_named_to_nobody(leader):
    """Guards against relays that reach no endpoint."""
    for host_id, is_doubtful in (('h1', True), ('h2', False), ('h3', True)):
        message = fleetmessages.Exchange(
            0, '', {}, {}, availability_zone='z', is_doubtful=is_doubtful
        )
        leader.report(host_id, send(message), 0.0)
    wanting = fleetmessages.Exchange(
        0, '', {}, {}, availability_zone='z', wants_relays=True
    )
    assert leader.list_relays('h1', send(wanting), 0.1) == ('h2',)
    assert leader.list_relays('h1', send(message), 0.1) is None
