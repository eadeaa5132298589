"""Evacuations in force, as a store applies them to the endpoints."""

import threading

from rhubarbreach.fleet import evacuations

__all__ = ['EvacuatedZones']


class EvacuatedZones:
    """Evacuated zones of the ledger, and the zones that are known at all.

    The lock protects `known`, the evacuations last read, so that each
    restored zone is treated once.

    Parameters
    ----------
    settings : RoleSettings
        Settings of this store.
    ledger : Ledger
        Replicated state, which holds the evacuations.
    members : Members
        Stores of the fleet.
    usage : Usage
        Reports of entry hosts.
    endpoints : Endpoints
        Endpoints known to this store.
    """

    def __init__(self, settings, ledger, members, usage, endpoints):
        self.settings = settings
        self.ledger = ledger
        self.members = members
        self.usage = usage
        self.endpoints = endpoints
        self.lock = threading.Lock()
        self.known = evacuations.Evacuations()

    def read_evacuations(self, now):
        """Return the evacuations in force.

        The endpoints of a zone that is restored may be cold. They count as
        cold before any host learns that the zone is restored.
        """
        current = evacuations.Evacuations(*self.ledger.get_evacuated())
        with self.lock:
            previous = self.known
            if current.revision <= previous.revision:
                return previous
            for zone in self.ledger.list_restored(previous.revision):
                self.endpoints.treat_zone_as_cold(zone, now)
            self.known = current
        return current

    def list_endpoint_ids(self, zones):
        """Return the ids of the endpoints in evacuated zones."""
        if not zones:
            return frozenset()
        return frozenset(
            row.endpoint_id
            for row in self.endpoints.list_rows()
            if row.availability_zone in zones
        )

    def find_zones(self):
        """Return the known zones, and whether there are no others.

        Returns
        -------
        frozenset of str, bool
            Zones of the settings, or else those of hosts and endpoints, and
            the evacuated ones, which may be gone meanwhile.
        """
        _, evacuated = self.ledger.get_evacuated()
        if self.settings.zones:
            return evacuated.union(self.settings.zones), True
        return evacuated.union(
            (
                self.settings.availability_zone,
                *self.members.list_zones(),
                *self.usage.list_zones(),
                *(e.availability_zone for e in self.endpoints.list_rows()),
            )
        ), self.endpoints.is_complete()
