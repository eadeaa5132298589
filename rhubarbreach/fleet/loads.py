"""Running requests of each endpoint, summed over entry hosts."""

import collections

__all__ = ['Loads']

# A report expires after this time, and its host then counts as having no
# running requests. Hosts report several times a second.
REPORT_TTL_SECONDS = 2.0


class Loads:
    """Latest report of each host: its running requests by endpoint."""

    def __init__(self):
        self.reports = {}

    def report(self, host_id, running, now):
        """Store the report of a host; return whether its total has grown."""
        _, previous = self.reports.get(host_id, (now, {}))
        self.reports[host_id] = (now, running)
        return sum(running.values()) > sum(previous.values())

    def sum_others(self, host_id, now):
        """Return the running requests by endpoint of all hosts but one."""
        total = collections.Counter()
        for other_id, (time, running) in self.reports.items():
            if other_id != host_id and now - time <= REPORT_TTL_SECONDS:
                total.update(running)
        return dict(total)

    def count_hosts(self, now):
        """Return the number of hosts whose report has not expired."""
        return sum(
            now - time <= REPORT_TTL_SECONDS
            for time, _ in self.reports.values()
        )
