"""Logical time of the replicated groups: ticks of their leaders."""

import dataclasses
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import logicaltime

__all__ = ['TICK_PERIOD', 'TickedGroup', 'Ticker']

LOG = logbook.Logger('ticker')

# Seconds between ticks; well below `logicaltime.MAX_STEP_MS`.
TICK_PERIOD = 0.5
TICK_TIMEOUT = 2.0
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TickedGroup:
    """A replica of a group with its machine and command family."""

    group: object
    machine: object
    commands: object


@dataclasses.dataclass(frozen=True, slots=True)
class Anchor:
    """Logical time in milliseconds at a monotonic time in seconds."""

    time: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Pending:
    """A proposed tick, the time it leads to, and when it was proposed."""

    future: object
    target: int
    at: float


class Ticker:
    """Proposes ticks in each group that this host leads.

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
        """Begin to propose ticks."""
        self.thread.start()

    def run(self):
        """Propose ticks until closed."""
        while not self.closed.wait(TICK_PERIOD):
            for number, ticked in enumerate(self.groups):
                try:
                    base = ticked.machine.time
                    self.step(number, ticked, base, clock.monotonic())
                except Exception:
                    LOG.exception('event=tick_failed')

    def step(self, number, ticked, base, now):
        """Propose the next tick of a group if it is led here.

        Parameters
        ----------
        number : int
            Position of the group.
        ticked : TickedGroup
            The group.
        base : int
            Time of its machine, read before `now`, so that a tick never
            claims time that the group has already counted.
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
                # Measured on from the proposal, so that the time of its
                # commit counts; time that the machine cut off is not made
                # up for, since claims were given meanwhile.
                reached = min(pending.target, ticked.machine.time)
                self.anchors[number] = Anchor(reached, pending.at)
        anchor = self.anchors.setdefault(number, Anchor(base, now))
        if anchor.at < now:
            self.propose(number, ticked, anchor, now)

    def propose(self, number, ticked, anchor, now):
        """Propose a tick for the time since an anchor."""
        elapsed = int((now - anchor.at) * MILLISECONDS)
        tick = logicaltime.Tick(anchor.time, elapsed)
        future = ticked.group.propose(
            ticked.commands.encode(tick), now + TICK_TIMEOUT
        )
        self.pending[number] = Pending(future, anchor.time + elapsed, now)

    def close(self):
        """Stop proposing."""
        self.closed.set()
        if self.thread.ident is not None:
            self.thread.join()
