"""Exchange of slots, service counters and strikes between hosts."""

import threading

from rhubarbreach.limits import slots
from rhubarbreach.membership import rendezvous
from rhubarbreach.placement import waiting
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import limitmessages

__all__ = ['Exchange', 'find_home', 'group_by_home']

# Seconds for which the reply of a home host is awaited.
REPLY_TIMEOUT = 0.5
# Seconds between two messages with service counters to each host.
COUNTERS_PERIOD = 0.5


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
        Host id by rendezvous hash over the entry hosts of its zone, or
        over all when its zone has none.
    """
    entry = [host for host in hosts if 'entry' in host.roles]
    staying = [host for host in entry if not host.draining] or entry
    local = [host for host in staying if host.zone == endpoint.zone]
    ids = [host.host_id for host in local or staying]
    ranked = rendezvous.rank_hosts(endpoint.endpoint_id, ids, 1)
    return ranked[0] if ranked else None


def group_by_home(endpoints, hosts):
    """Return lists of endpoint ids by the id of their home host."""
    groups = {}
    for endpoint in endpoints:
        home_id = find_home(endpoint, hosts)
        groups.setdefault(home_id, []).append(endpoint.endpoint_id)
    return groups


class Exchange:
    """Messages of the scheduler of one host.

    Parameters
    ----------
    scheduler : Scheduler
        Owner of queue, slots and suspects; its lock guards them.
    host_id : str
        This host.
    membership : Membership or None
        Live hosts, None for a single host.
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
            link.register(limitmessages.SlotRequest, self.answer)
            link.register(hostmessages.ServiceCounters, self.merge_counters)
            link.register(hostmessages.StrikeReport, self.merge_strike)

    def start(self):
        """Start reporting."""
        self.thread.start()

    def close(self):
        """Stop reporting; leases of this host end by themselves."""
        self.stopped.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self):
        """Report to the home hosts until closed."""
        while True:
            self.report(self.scheduler.monotonic())
            if self.stopped.wait(slots.REPORT_PERIOD):
                return

    def report(self, now):
        """Send one report to each home host and the counters if due."""
        if self.scheduler.slots.fixed_slots:
            return
        endpoints = self.scheduler.registry.list_all(now)
        with self.scheduler.lock:
            waiting.update_demand(self.scheduler.core, now)
        for home_id, endpoint_ids in self.group(endpoints).items():
            self.ask_home(home_id, endpoint_ids, now)
        if now >= self.next_counters:
            self.next_counters = now + COUNTERS_PERIOD
            self.send_counters()

    def group(self, endpoints):
        """Return the endpoint ids by home host; drop former homes."""
        if self.membership is None:
            groups = {
                self.host_id: [endpoint.endpoint_id for endpoint in endpoints]
            }
        else:
            groups = group_by_home(endpoints, self.membership.alive())
        self.scheduler.slots.drop_allocators(groups.get(self.host_id, ()))
        return groups

    def ask_home(self, home_id, endpoint_ids, now):
        """Report use of some endpoints and take the slots leased."""
        if not endpoint_ids:
            return
        request = self.scheduler.slots.make_request(endpoint_ids)
        if home_id == self.host_id or self.link is None:
            self.accept(request, self.answer(self.host_id, request), now)
            return
        future = self.link.call(home_id, request, now + REPLY_TIMEOUT)
        future.add_done_callback(
            lambda done: self.accept(request, done.result(), now)
        )

    def accept(self, request, reply, sent_at):
        """Take over the leased slots and let the scheduler use them."""
        self.scheduler.slots.accept_reply(request, reply, sent_at)
        self.scheduler.wake()

    def answer(self, sender_id, request):
        """Issue slots as the home host."""
        return self.scheduler.slots.answer(
            sender_id, request, self.scheduler.monotonic(), self.get_slots
        )

    def get_slots(self, endpoint_id):
        """Return the slots that an endpoint reports, 0 if unknown."""
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
        """Send the service totals that changed."""
        with self.scheduler.lock:
            message = self.scheduler.core.queue.totals.pop_changed()
        if message is None:
            return
        for host_id in self.list_others():
            self.link.send(host_id, message)

    def merge_counters(self, sender_id, message):
        """Take the service totals of another host."""
        with self.scheduler.lock:
            self.scheduler.core.queue.merge_remote(sender_id, message)

    def send_reports(self):
        """Send new strikes to all hosts."""
        with self.scheduler.lock:
            reports = self.scheduler.core.take_reports()
        for report in reports:
            for host_id in self.list_others():
                self.link.send(host_id, report)

    def merge_strike(self, _sender_id, report):
        """Take a strike of another host."""
        with self.scheduler.lock:
            self.scheduler.core.suspects.merge(
                report, self.scheduler.monotonic()
            )
