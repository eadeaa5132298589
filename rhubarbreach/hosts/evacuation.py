"""Evacuations of availability zones, as operators request them at any store.

See docs/design/evacuations.md.
"""

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog

__all__ = ['EvacuationCalls']

LOG = eventlog.Logger('evacuation')

# Operators repeat a call at another store after 1 s. This one goes on in case
# it is the only one that finds the next leader.
CALL_TIMEOUT_SECONDS = 2.0


class EvacuationCalls:
    """Calls to start and end the evacuation of a zone.

    Parameters
    ----------
    query : callable
        Reads the ledger; takes a query and a deadline in seconds of the
        monotonic clock, and returns the reply or a `Refusal`.
    propose : callable
        Commits a command; takes a command and some seconds, and returns the
        reply or a `Refusal`.
    find_zones : callable
        Returns the known zones, and whether there are no others.
    """

    def __init__(self, query, propose, find_zones):
        self.query = query
        self.propose = propose
        self.find_zones = find_zones

    def start(self, zone, is_caller_there):
        """Evacuate a zone; return None or a `Refusal`.

        Parameters
        ----------
        zone : str
            Availability zone.
        is_caller_there : callable
            Returns whether the caller has not given up.
        """
        return self.change(zone, True, is_caller_there)

    def end(self, zone, is_caller_there):
        """End the evacuation of a zone; return None or a `Refusal`."""
        return self.change(zone, False, is_caller_there)

    def change(self, zone, is_evacuated, is_caller_there):
        """Carry out a call; log and return its outcome."""
        started_at = clock.monotonic()
        refusal = self.find_unknown(zone) or self.commit(
            zone,
            is_evacuated,
            is_caller_there,
            started_at + CALL_TIMEOUT_SECONDS,
        )
        LOG.info(
            'event={} zone={!r} outcome={} seconds={:.3f}',
            'evacuation_started' if is_evacuated else 'evacuation_ended',
            zone,
            'done' if refusal is None else refusal.code.name.lower(),
            clock.monotonic() - started_at,
        )
        return refusal

    def find_unknown(self, zone):
        """Return the refusal of a zone that is not known, or None."""
        zones, is_complete = self.find_zones()
        if zone in zones:
            return None
        if is_complete:
            return codes.Refusal(
                codes.ResultCode.NOT_FOUND, f'unknown zone {zone!r}'
            )
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'not all zones are known yet'
        )

    def commit(self, zone, is_evacuated, is_caller_there, deadline):
        """Commit a change of a zone unless it is made; return a refusal.

        A caller that has given up may have made other calls since, which this
        one must not undo. Calls that are made after the zone was read defeat
        the command.
        """
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'the zone changes all the time'
        )
        while clock.monotonic() < deadline:
            state = self.query(commands.ReadEvacuation(zone), deadline)
            if isinstance(state, codes.Refusal):
                return state
            if not is_caller_there():
                return codes.Refusal(
                    codes.ResultCode.CANCELLED, 'the caller has given up'
                )
            if not state.revision and not is_evacuated:
                return codes.Refusal(
                    codes.ResultCode.REVISION_CONFLICT,
                    f'zone {zone!r} was never evacuated',
                )
            if state.revision and state.is_evacuated == is_evacuated:
                return None
            kind = (
                commands.StartEvacuation
                if is_evacuated
                else commands.EndEvacuation
            )
            reply = self.propose(
                kind(zone, state.revision),
                clock.remaining(deadline, clock.monotonic()),
            )
            if isinstance(reply, codes.Refusal):
                return reply
            if not isinstance(reply, commands.Superseded):
                return None
        return refusal
