"""Tests of the ticks that leaders propose."""

import concurrent.futures

import pytest

from rhubarbreach.batch import ticker
from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs
from rhubarbreach.state import logicaltime


class SlowGroup:
    """Fake leader whose commands are applied when `settle` is called."""

    def __init__(self):
        self.is_leader = True
        self.machine = jobs.JobsMachine()
        self.waiting = []

    def propose(self, command, deadline):
        """Queue a command."""
        future = concurrent.futures.Future()
        self.waiting.append((command, future))
        return future

    def settle(self, refusal=None):
        """Apply or refuse all queued commands."""
        for command, future in self.waiting:
            reply = refusal or self.machine.apply(0, command)
            future.set_result(reply)
        self.waiting = []


class Harness:
    """Ticker of one group whose steps are called by the test."""

    def __init__(self):
        self.group = SlowGroup()
        self.ticked = ticker.TickedGroup(
            self.group, self.group.machine, jobcommands.COMMANDS
        )
        self.ticker = ticker.Ticker([self.ticked])

    def step(self, now):
        """Run a step of the ticker at a monotonic time."""
        base = self.group.machine.time
        self.ticker.step(0, self.ticked, base, now)


@pytest.fixture
def harness():
    """Return a harness with a new group."""
    return Harness()


def test_time_keeps_pace_with_slow_commits(harness):
    """Logical time must not run at half speed when commits are slow."""
    for number in range(21):
        harness.step(number * 0.5)
        if number % 2:
            harness.group.settle()
    harness.group.settle()
    assert 9000 <= harness.group.machine.time <= 10_000


def test_time_of_a_paused_leader_is_not_recovered(harness):
    """A leader that resumes after a long pause must not expire claims."""
    for now in (0.0, 0.5, 60.0, 60.5, 61.0):
        harness.step(now)
        harness.group.settle()
    assert harness.group.machine.time <= 1500 + logicaltime.MAX_STEP_MS


def test_new_leader_measures_from_its_election(harness):
    """Time that passed under another leader must not be counted twice."""
    harness.step(0.0)
    harness.step(0.5)
    harness.group.settle()
    harness.group.is_leader = False
    harness.step(1.0)
    harness.group.is_leader = True
    harness.step(1.8)
    harness.step(2.0)
    refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no majority')
    harness.group.settle(refusal)
    harness.step(2.5)
    harness.step(3.0)
    harness.group.settle()
    assert harness.group.machine.time == 1000
