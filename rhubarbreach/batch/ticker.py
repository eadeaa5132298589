"""Ticks by which leaders advance the logical time of their groups."""

import dataclasses
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import logicaltime

__all__ = ['TICK_PERIOD_SECONDS', 'TickedGroup', 'Ticker']

LOG = logbook.Logger('ticker')

# Well below `logicaltime.MAX_STEP_MS`, the longest advance by one tick.
TICK_PERIOD_SECONDS = 0.5
TICK_TIMEOUT_SECONDS = 2.0
MILLISECONDS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TickedGroup:
    """Replica of a group with its state machine and command codec."""

    group: object
    machine: object
    commands: object


@dataclasses.dataclass(frozen=True, slots=True)
class Anchor:
    """Logical time in milliseconds at the monotonic time `at` in seconds."""

    time: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PendingTick:
    """Proposed tick that has not been applied yet.

    `target` is the logical time in milliseconds to which it advances the
    group, `at` the monotonic time in seconds of the proposal.
    """

    future: object
    target: int
    at: float


class Ticker:
    """Thread that proposes ticks to each group that this host leads.

    Parameters
    ----------
    groups : sequence of TickedGroup
        Replicas on this host.
    """

    def __init__(self, groups):
        self.groups = tuple(groups)
        self.anchors = {}
        self.pending = {}
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='ticker', daemon=True
        )

    def start(self):
        """Start the thread that proposes ticks."""
        self.thread.start()

    def run(self):
        """Propose ticks until the ticker is closed."""
        while not self.closed.wait(TICK_PERIOD_SECONDS):
            for number, ticked in enumerate(self.groups):
                try:
                    base = ticked.machine.time
                    self.step(number, ticked, base, clock.monotonic())
                except Exception:
                    LOG.exception('event=tick_failed')

    def step(self, number, ticked, base, now):
        """Propose the next tick of a group if this host leads it.

        Parameters
        ----------
        number : int
            Index of the group.
        ticked : TickedGroup
            The group.
        base : int
            Logical time of its state machine, read before `now`, so that a
            tick never counts time that the group has already counted.
        now : float
            Monotonic seconds.
        """
        if not ticked.group.is_leader:
            self.anchors.pop(number, None)
            self.pending.pop(number, None)
            return
        pending = self.pending.get(number)
        if pending is not None:
            if not pending.future.done():
                return
            del self.pending[number]
            if isinstance(pending.future.result(), codes.Refusal):
                self.anchors.pop(number, None)
            else:
                # The next tick is measured from the proposal, so that it
                # includes the time of the commit. Time beyond `MAX_STEP_MS`,
                # which the state machine discards, is not recovered, since
                # claims may have been granted meanwhile.
                reached = min(pending.target, ticked.machine.time)
                self.anchors[number] = Anchor(reached, pending.at)
        anchor = self.anchors.setdefault(number, Anchor(base, now))
        if anchor.at < now:
            self.propose(number, ticked, anchor, now)

    def propose(self, number, ticked, anchor, now):
        """Propose a tick for the time elapsed since an anchor."""
        elapsed = int((now - anchor.at) * MILLISECONDS_PER_SECOND)
        tick = logicaltime.Tick(anchor.time, elapsed)
        future = ticked.group.propose(
            ticked.commands.encode(tick), now + TICK_TIMEOUT_SECONDS
        )
        self.pending[number] = PendingTick(future, anchor.time + elapsed, now)

    def close(self):
        """Stop proposing ticks."""
        self.closed.set()
        if self.thread.ident is not None:
            self.thread.join()
