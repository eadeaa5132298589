"""Running requests of each endpoint, summed over entry hosts."""

import collections
import secrets

__all__ = ['Loads', 'LoadsByZone', 'subtract_own']

# A report expires after this time, and its host then counts as having no
# running requests. Hosts report several times a second.
REPORT_TTL_SECONDS = 2.0
# Interval at which expired reports are searched for.
EXPIRY_INTERVAL_SECONDS = 0.25
REVISION_BITS = 32


class Loads:
    """Latest report of each host, and the sums of all reports by endpoint.

    The sums are updated by the difference between two reports of a host, so
    the cost of a report does not depend on the number of hosts.
    """

    def __init__(self):
        self.reports = {}
        self.totals = collections.Counter()
        self.next_expiry = float('-inf')

    def report(self, host_id, running, now):
        """Store the report of a host; return whether its total has grown."""
        self.expire(now)
        _, previous = self.reports.get(host_id, (now, {}))
        self.reports[host_id] = (now, running)
        self.add(previous, -1)
        self.add(running, 1)
        return sum(running.values()) > sum(previous.values())

    def add(self, running, sign):
        """Add a report to the sums, or subtract it."""
        totals = self.totals
        for endpoint_id, count in running.items():
            total = totals[endpoint_id] + sign * count
            if total:
                totals[endpoint_id] = total
            else:
                del totals[endpoint_id]

    def expire(self, now):
        """Remove the expired reports when it is due; return their hosts."""
        if now < self.next_expiry:
            return ()
        self.next_expiry = now + EXPIRY_INTERVAL_SECONDS
        expired = [
            host_id
            for host_id, (time, _) in self.reports.items()
            if now - time > REPORT_TTL_SECONDS
        ]
        for host_id in expired:
            self.remove(host_id)
        return expired

    def remove(self, host_id):
        """Remove the report of a host, if there is one."""
        _, running = self.reports.pop(host_id, (None, {}))
        self.add(running, -1)

    def get_totals(self, now):
        """Return the running requests of all hosts by endpoint."""
        self.expire(now)
        return self.totals

    def count_hosts(self, now):
        """Return the number of hosts whose report has not expired."""
        self.expire(now)
        return len(self.reports)


class LoadsByZone:
    """Reports of entry hosts, summed for each availability zone.

    `revision` changes whenever a host joins or leaves a zone. It begins at
    random, since the revisions of several leaders must not be mixed up.
    """

    def __init__(self):
        self.fleet = Loads()
        self.zones = {}
        self.zone_by_host = {}
        self.revision = secrets.randbits(REVISION_BITS)

    def report(self, host_id, zone, running, now):
        """Store the report of a host; return whether its total has grown."""
        self.expire(now)
        previous = self.zone_by_host.get(host_id)
        if previous != zone:
            if previous is not None:
                self.zones[previous].remove(host_id)
            self.zone_by_host[host_id] = zone
            self.revision += 1
        self.zones.setdefault(zone, Loads()).report(host_id, running, now)
        return self.fleet.report(host_id, running, now)

    def expire(self, now):
        """Remove the expired reports when it is due."""
        for host_id in self.fleet.expire(now):
            self.zones[self.zone_by_host.pop(host_id)].remove(host_id)
            self.revision += 1

    def get_zone_totals(self, zone):
        """Return the running requests of a zone's hosts by endpoint."""
        zone_loads = self.zones.get(zone)
        return {} if zone_loads is None else zone_loads.totals

    def list_hosts(self, zone):
        """Return the ids of the hosts of a zone."""
        zone_loads = self.zones.get(zone)
        return () if zone_loads is None else tuple(zone_loads.reports)


def subtract_own(totals, own):
    """Return the running requests of the other hosts by endpoint.

    Parameters
    ----------
    totals : dict of str to int
        Sums over all hosts.
    own : dict of str to int
        Report of this host that is included in the sums.
    """
    return {
        endpoint_id: others
        for endpoint_id, total in totals.items()
        if (others := total - own.get(endpoint_id, 0)) > 0
    }
