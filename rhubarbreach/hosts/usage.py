"""Use and failures of endpoints, as entry hosts and stores report them."""

import threading

from rhubarbreach import eventlog
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import suspicion

__all__ = ['Usage']

LOG = eventlog.Logger('usage')

# Endpoints that fail for several hosts are told this often, in seconds; hosts
# ask each 0.15 s.
SUSPECTS_SECONDS = 0.1


class Usage:
    """What the leader knows of the use of endpoints.

    Parameters
    ----------
    list_endpoints : callable
        Returns the endpoints by id.
    """

    def __init__(self, list_endpoints):
        self.list_endpoints = list_endpoints
        self.lock = threading.Lock()
        self.loads = loads.Loads()
        self.suspicion = suspicion.Suspicion()
        self.suspects = frozenset()
        self.suspects_due = 0.0

    def report(self, host_id, message, now):
        """Take the report of an entry host.

        Parameters
        ----------
        host_id : str
            Entry host.
        message : Exchange
            Its requests on each endpoint, and their outcomes.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        bool, dict of str to int, int
            Whether the host runs more than before, the requests of other
            hosts on each endpoint, and the number of entry hosts.
        """
        with self.lock:
            more = self.loads.report(host_id, message.running, now)
            for endpoint_id, seen in message.outcomes.items():
                self.suspicion.add(endpoint_id, host_id, *seen, now)
            others = self.loads.sum_others(host_id, now)
            return more, others, max(1, self.loads.count_hosts(now))

    def note_outcome(self, endpoint_id, host_id, failures, successes, now):
        """Take what a store has seen of an endpoint into account."""
        with self.lock:
            self.suspicion.add(endpoint_id, host_id, failures, successes, now)

    def sum_online(self, now):
        """Return the online requests on each endpoint."""
        with self.lock:
            return self.loads.sum_others(None, now)

    def list_suspects(self, now):
        """Return the endpoints that fail for several hosts."""
        if now < self.suspects_due:
            return self.suspects
        self.suspects_due = now + SUSPECTS_SECONDS
        services = {}
        for endpoint_id, endpoint in self.list_endpoints().items():
            services.setdefault(endpoint.service, []).append(endpoint_id)
        with self.lock:
            found = self.suspicion.list_suspects(services, now)
        if found != self.suspects:
            LOG.info('event=endpoints_suspect endpoints={}', sorted(found))
        self.suspects = frozenset(found)
        return self.suspects
