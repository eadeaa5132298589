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
