"""Availability zones to whose endpoints nothing is sent.

An operator evacuates a zone, and the stores replicate that. Entry hosts learn
it from the leader several times a second. A process that has stood still knows
only what it knew before, and must not send its next request by that.
"""

import dataclasses

__all__ = ['ContactGuard', 'Evacuations', 'exclude_zones', 'find_restored']

# Exchanges with the leader are due at least every 0.4 s, and each ends within
# 0.6 s. A host whose last one began longer ago than this has stood still.
STANDSTILL_SECONDS = 1.5
# Time of failed exchanges after which a host that has stood still counts as
# cut off from the stores, and goes on with what it knows. It finds a leader
# within 1 s if there is one.
CUT_OFF_SECONDS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuations:
    """Evacuated zones under the revision of the ledger that lists them."""

    revision: int = 0
    zones: frozenset = frozenset()

    def update(self, revision, zones):
        """Return the evacuations after the reply of a leader.

        A former leader that does not know its successor yet may send an older
        revision, which is ignored.

        Parameters
        ----------
        revision : int
            Revision of the reply.
        zones : iterable of str or None
            Evacuated zones; None if the host has this revision.
        """
        if zones is None or revision <= self.revision:
            return self
        return Evacuations(revision, frozenset(zones))


class ContactGuard:
    """Detection of a process that has stood still, by its own exchanges.

    It addresses hosts that are paused while a zone is evacuated: all requests
    that wait in them go on at once. A host that is cut off from the stores
    exchanges in vain, but regularly, and is not held back.

    Parameters
    ----------
    now : float
        Seconds of the monotonic clock.
    is_enabled : bool
        Whether zones of this deployment are evacuated. Otherwise a host that
        has stood still goes on at once.
    """

    def __init__(self, now, is_enabled=True):
        self.is_enabled = is_enabled
        self.exchanged_at = now
        # Until when the host waits for the stores after it has stood still.
        self.resumes_at = float('-inf')

    def begin_exchange(self, now):
        """Record that an exchange begins.

        Returns
        -------
        bool
            Whether the host has stood still since the last one.
        """
        stood_still = now - self.exchanged_at > STANDSTILL_SECONDS
        if stood_still:
            self.resumes_at = now + CUT_OFF_SECONDS
        self.exchanged_at = now
        return stood_still

    def end_exchange(self, sent):
        """Record the answer of a leader to an exchange that began at `sent`.

        An answer from before the process stood still changes nothing, as the
        next exchange has not begun yet or began later.
        """
        if sent >= self.exchanged_at:
            self.resumes_at = float('-inf')

    def may_send(self, now):
        """Return whether what the host knows may be used."""
        return not self.is_enabled or (
            now - self.exchanged_at <= STANDSTILL_SECONDS
            and now >= self.resumes_at
        )


def exclude_zones(endpoints, zones):
    """Return endpoints by id, with those of some zones as draining.

    Parameters
    ----------
    endpoints : dict of str to Endpoint
        Endpoints by id.
    zones : collection of str
        Evacuated zones.
    """
    if not zones:
        return endpoints
    return {
        endpoint_id: dataclasses.replace(endpoint, is_draining=True)
        if endpoint.availability_zone in zones
        else endpoint
        for endpoint_id, endpoint in endpoints.items()
    }


def find_restored(before, after):
    """Return the zones whose evacuation has ended between two states."""
    return before.zones - after.zones
