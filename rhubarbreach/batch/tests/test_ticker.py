"""Tests of the leaders' ticks."""

import concurrent.futures

import pytest

from rhubarbreach.batch import ticker
from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs
from rhubarbreach.state import logicaltime


class SlowGroup:
    """Leader whose commands are applied when `settle` is called."""

    def __init__(self):
        self.is_leader = True
        self.machine = jobs.JobsMachine()
        self.waiting = []

    def propose(self, command, deadline):
        """Keep a command."""
        future = concurrent.futures.Future()
        self.waiting.append((command, future))
        return future

    def settle(self, refusal=None):
        """Apply or refuse what was proposed."""
        for command, future in self.waiting:
            reply = refusal or self.machine.apply(0, command)
            future.set_result(reply)
        self.waiting = []


class Bench:
    """A ticker that is stepped by hand."""

    def __init__(self):
        self.group = SlowGroup()
        self.ticked = ticker.TickedGroup(
            self.group, self.group.machine, jobcommands.COMMANDS
        )
        self.ticker = ticker.Ticker([self.ticked])

    def step(self, now):
        """Let the ticker look at the group."""
        base = self.group.machine.time
        self.ticker.step(0, self.ticked, base, now)


@pytest.fixture
def bench():
    """Return a ticker of one group."""
    return Bench()


def test_time_keeps_pace_with_slow_commits(bench):
    """Time must not run at half speed because commits take a while."""
    for number in range(21):
        bench.step(number * 0.5)
        if number % 2:
            bench.group.settle()
    bench.group.settle()
    assert 9000 <= bench.group.machine.time <= 10_000


def test_time_of_a_stopped_leader_is_not_made_up_for(bench):
    """A leader that stops for long must not end claims afterwards."""
    for now in (0.0, 0.5, 60.0, 60.5, 61.0):
        bench.step(now)
        bench.group.settle()
    assert bench.group.machine.time <= 1500 + logicaltime.MAX_STEP_MS


def test_new_leader_measures_from_its_own_start(bench):
    """Time under another leader must not be counted twice."""
    bench.step(0.0)
    bench.step(0.5)
    bench.group.settle()
    bench.group.is_leader = False
    bench.step(1.0)
    bench.group.is_leader = True
    bench.step(1.8)
    bench.step(2.0)
    refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no majority')
    bench.group.settle(refusal)
    bench.step(2.5)
    bench.step(3.0)
    bench.group.settle()
    assert bench.group.machine.time == 1000
