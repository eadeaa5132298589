"""Exchange of slots, service counters and strikes between hosts.

The home host of an endpoint is the entry host that leases out its slots.
"""

import threading

import logbook

from rhubarbreach.limits import slots
from rhubarbreach.placement import waiting
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import limitmessages
from rhubarbreach import rendezvous

__all__ = ['Exchange', 'find_home', 'group_by_home']

LOG = logbook.Logger('scheduler')

# Time to wait for the reply of a home host.
REPLY_TIMEOUT_SECONDS = 0.5
# Interval of the service counters that are sent to each host.
COUNTERS_INTERVAL_SECONDS = 0.5


def find_home(endpoint, hosts):
    """Return the home host of an endpoint.

    Parameters
    ----------
    endpoint : EndpointInfo
        Endpoint.
    hosts : iterable of HostInfo
        Live hosts.

    Returns
    -------
    str or None
        Host id by rendezvous hashing over the entry hosts in the zone of the
        endpoint, or over all entry hosts if the zone has none. Draining hosts
        are left out unless all entry hosts are draining.
    """
    entry_hosts = [host for host in hosts if 'entry' in host.roles]
    available_hosts = [
        host for host in entry_hosts if not host.draining
    ] or entry_hosts
    local_hosts = [
        host for host in available_hosts if host.zone == endpoint.zone
    ]
    ids = [host.host_id for host in local_hosts or available_hosts]
    ranked = rendezvous.rank_hosts(endpoint.endpoint_id, ids, 1)
    return ranked[0] if ranked else None


def group_by_home(endpoints, hosts):
    """Return lists of endpoint ids by home host id."""
    groups = {}
    for endpoint in endpoints:
        home_id = find_home(endpoint, hosts)
        groups.setdefault(home_id, []).append(endpoint.endpoint_id)
    return groups


class Exchange:
    """Exchange between the scheduler of one host and the other hosts.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler whose lock guards the queue, the slots and the suspects.
    host_id : str
        This host.
    membership : Membership or None
        Live hosts; None for a single host.
    link : Link or None
        Link to the other hosts.
    """

    def __init__(self, scheduler, host_id, membership, link):
        self.scheduler = scheduler
        self.host_id = host_id
        self.membership = membership
        self.link = link
        self.stopped = threading.Event()
        self.next_counters = 0.0
        self.thread = threading.Thread(
            target=self.run, name='slot-exchange', daemon=True
        )
        if link is not None:
            link.register(limitmessages.SlotRequest, self.lease_slots)
            link.register(hostmessages.ServiceCounters, self.merge_counters)
            link.register(hostmessages.StrikeReport, self.merge_strike)

    def start(self):
        """Start the exchange thread."""
        self.thread.start()

    def close(self):
        """Stop the exchange thread; leases of this host expire."""
        self.stopped.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self):
        """Report to the home hosts until the exchange is closed."""
        while True:
            try:
                self.report(self.scheduler.monotonic())
            except Exception:
                # Without this thread, the slots of this host would expire.
                LOG.exception('event=report_failed')
            if self.stopped.wait(slots.REPORT_PERIOD_SECONDS):
                return

    def report(self, now):
        """Send a report to each home host, and the counters when due."""
        if self.scheduler.slots.fixed_slots:
            return
        endpoints = self.scheduler.registry.list_all(now)
        with self.scheduler.lock:
            waiting.update_demand(self.scheduler.core, now)
        for home_id, endpoint_ids in self.group_endpoints(endpoints).items():
            self.request_slots(home_id, endpoint_ids, now)
        if now >= self.next_counters:
            self.next_counters = now + COUNTERS_INTERVAL_SECONDS
            self.send_counters()

    def group_endpoints(self, endpoints):
        """Return the endpoint ids by home host.

        Endpoints that have another home host now are dropped from the slot
        table of this host.
        """
        if self.membership is None:
            groups = {
                self.host_id: [endpoint.endpoint_id for endpoint in endpoints]
            }
        else:
            groups = group_by_home(endpoints, self.membership.alive())
        self.scheduler.slots.drop_allocators(groups.get(self.host_id, ()))
        return groups

    def request_slots(self, home_id, endpoint_ids, now):
        """Report the use of endpoints to their home host and request slots."""
        if not endpoint_ids:
            return
        request = self.scheduler.slots.make_request(endpoint_ids)
        if home_id == self.host_id or self.link is None:
            self.accept_slots(
                request, self.lease_slots(self.host_id, request), now
            )
            return
        future = self.link.call(home_id, request, now + REPLY_TIMEOUT_SECONDS)
        future.add_done_callback(
            lambda completed: self.accept_slots(
                request, completed.result(), now
            )
        )

    def accept_slots(self, request, reply, sent_at):
        """Accept the leased slots and wake the scheduler."""
        self.scheduler.slots.accept_reply(request, reply, sent_at)
        self.scheduler.wake()

    def lease_slots(self, sender_id, request):
        """Lease slots to a host, as the home host of the endpoints."""
        return self.scheduler.slots.lease_slots(
            sender_id, request, self.scheduler.monotonic(), self.get_slots
        )

    def get_slots(self, endpoint_id):
        """Return the number of slots of an endpoint, or 0 if unknown."""
        endpoint = self.scheduler.registry.get(endpoint_id)
        return 0 if endpoint is None else endpoint.load.slots

    def list_others(self):
        """Return the ids of the other live hosts."""
        if self.membership is None:
            return []
        return [
            host.host_id
            for host in self.membership.alive()
            if host.host_id != self.host_id
        ]

    def send_counters(self):
        """Send the changed service totals to the other hosts."""
        with self.scheduler.lock:
            message = self.scheduler.core.queue.totals.pop_changed()
        if message is None:
            return
        for host_id in self.list_others():
            self.link.send(host_id, message)

    def merge_counters(self, sender_id, message):
        """Merge the service totals of another host."""
        with self.scheduler.lock:
            self.scheduler.core.queue.merge_remote(sender_id, message)

    def send_strikes(self):
        """Send new strike reports to the other hosts."""
        with self.scheduler.lock:
            reports = self.scheduler.core.pop_reports()
        for report in reports:
            for host_id in self.list_others():
                self.link.send(host_id, report)

    def merge_strike(self, _sender_id, report):
        """Merge a strike report of another host."""
        with self.scheduler.lock:
            self.scheduler.core.suspects.merge(
                report, self.scheduler.monotonic()
            )
