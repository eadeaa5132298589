"""Tests of the accounts that the leader names."""

import types

import pytest

from rhubarbreach.fleet import fair_share
from rhubarbreach.protocol import fleetmessages

RUN_SECONDS = 0.5
STEP_SECONDS = 0.05


@pytest.fixture
def queues():
    return fair_share.FleetQueues()


@pytest.fixture
def replay(queues):
    """Return a function that reports demands of accounts by two hosts."""
    endpoints = [
        types.SimpleNamespace(endpoint_id=f'e{n}', service='s', slots=8)
        for n in range(5)
    ]
    running = {f'e{n}': 8 for n in range(5)}

    def report(rates, begin, seconds, unmet=1):
        """Report requests a second by account; return the queues' state."""
        for step in range(round(seconds / STEP_SECONDS)):
            now = begin + step * STEP_SECONDS
            for host_id in ('h1', 'h2'):
                message = fleetmessages.QueueReport(
                    {a: rate * STEP_SECONDS / 2 for a, rate in rates.items()},
                    round(40 / RUN_SECONDS * STEP_SECONDS / 2),
                    unmet,
                    unmet,
                )
                queues.report(host_id, {'s': message}, now)
            queues.update(endpoints, running, now)
        return queues.list_states().get('s', fleetmessages.QueueState())

    return report


@pytest.mark.parametrize(
    'demands, capacity, level',
    [
        ((1, 2, 3), 6, float('inf')),
        ((1, 2, 9), 6, 3),
        ((4, 4, 4), 6, 2),
        ((), 6, float('inf')),
        ((5,), 0, 0),
    ],
)
def test_level_of_fair_shares(demands, capacity, level):
    """Guards against accounts that lose a part of their share to others."""
    assert fair_share.compute_level(demands, capacity) == level


def test_account_that_sends_several_times_its_load_is_named(replay):
    """Guards against an overload that the other accounts pay for.

    The load of the others needs three quarters of 80 requests a second. Peaks
    last 2.4 s, so that the account is to be named within the first of them.
    """
    usual = {f'a{n}': 6.0 for n in range(10)}
    assert replay(usual, 0.0, 2.0).exceeding == {}
    state = replay(usual | {'a0': 48.0}, 2.0, 1.0)
    assert set(state.exceeding) == {'a0'}
    state = replay(usual | {'a0': 48.0}, 3.0, 2.0)
    # 26 of 48 requests a second are left for it.
    assert state.exceeding['a0'] == pytest.approx(1 - 26 / 48, abs=0.1)
    assert state.waiting == 2
    assert replay(usual, 5.0, 2.0).exceeding == {}


def test_no_account_is_named_while_slots_are_free(replay):
    """Guards against an account that waits beside free slots."""
    state = replay({'a0': 300.0, 'a1': 1.0}, 0.0, 3.0, unmet=0)
    assert state == fleetmessages.QueueState()


def test_new_leader_learns_the_demands_again(replay, queues):
    """Guards against names of a former leadership of the same store."""
    rates = {'a0': 200.0, 'a1': 10.0}
    assert 'a0' in replay(rates, 0.0, 1.0).exceeding
    assert replay({'a1': 10.0}, 60.0, 0.2).exceeding == {}
    assert 'a0' in replay(rates, 60.2, 1.0).exceeding


def test_few_accounts_are_named(replay):
    """Guards against large messages and a fleet that names half of it."""
    rates = {f'a{n}': 40.0 for n in range(20)} | {'b': 2.0}
    exceeding = replay(rates, 0.0, 2.0).exceeding
    assert len(exceeding) == fair_share.MAX_ACCOUNTS
    assert 'b' not in exceeding


def test_odd_reports_do_not_name_an_account(replay, queues):
    """Guards against a host whose report spoils the shares of all."""
    odd = {'a1': float('nan'), 'a2': float('inf'), 'a3': -1e9}
    message = fleetmessages.QueueReport(odd, -(10**9), -5, -5)
    queues.report('odd', {'s': message, 'unknown': message}, 0.0)
    state = replay({'a0': 200.0, 'a1': 5.0}, 0.0, 1.0)
    assert set(state.exceeding) == {'a0'}
    assert state.waiting == 2
