"""Logical time of the replicated groups: ticks of their leaders."""

import dataclasses
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach.state import logicaltime

__all__ = ['TICK_PERIOD', 'TickedGroup', 'Ticker']

LOG = logbook.Logger('ticker')

# Seconds between ticks; well below `logicaltime.MAX_STEP`.
TICK_PERIOD = 0.5
TICK_TIMEOUT = 2.0
MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class TickedGroup:
    """A replica of a group with its machine and command family."""

    group: object
    machine: object
    commands: object


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
            return
        pending = self.pending.get(number)
        if pending is not None and not pending.done():
            return
        anchor = self.anchors.get(number)
        self.anchors[number] = (base, now)
        if anchor is None:
            return
        elapsed = int((now - anchor[1]) * MILLISECONDS)
        command = ticked.commands.encode(logicaltime.Tick(anchor[0], elapsed))
        self.pending[number] = ticked.group.propose(
            command, now + TICK_TIMEOUT
        )

    def close(self):
        """Stop proposing."""
        self.closed.set()
        if self.thread.ident is not None:
            self.thread.join()
