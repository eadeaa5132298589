"""Allocation of the slots of an endpoint by its home host.

The home host of an endpoint leases its slots to the hosts that use it.
"""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.limits import concurrency
from rhubarbreach.protocol import limitmessages
from rhubarbreach import rendezvous

__all__ = [
    'HostReport',
    'LEASE_DURATION_SECONDS',
    'SlotAllocator',
    'Slots',
    'divide_slots',
]

# Seconds for which leased slots may be used without a further report.
LEASE_DURATION_SECONDS = 1.0
# Half-life in seconds of the difference between the peak of online work and
# its current value. Slots that online requests release are kept free for a
# while, because the next ones arrive before a batch item would complete.
PEAK_HALF_LIFE_SECONDS = 0.5
# Slots that batch work leaves free, so that most online requests need no
# preemption. A preempted item has to process its partial output again.
ONLINE_RESERVE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class HostReport:
    """Last report of one host about one endpoint.

    Parameters
    ----------
    use : SlotUse
        Reported use and demand.
    leased : int
        Slots leased to the host by the last reply.
    expires_at : float
        Monotonic time in seconds by which the lease has certainly ended.
    """

    use: limitmessages.SlotUse
    leased: int
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """Slots of one endpoint leased to one host.

    Parameters
    ----------
    online, batch : int
        Slots for online and for batch work.
    others : int
        Requests of other hosts that are running on the endpoint.
    exclusive : bool
        Whether the host has exclusive use of the endpoint.
    """

    online: int
    batch: int
    others: int
    exclusive: bool = False


def divide_slots(slots, wanted, weights):
    """Divide slots among hosts by weighted max-min fairness.

    Parameters
    ----------
    slots : int
        Slots to divide.
    wanted : dict of str to int
        Slots that each host can use.
    weights : dict of str to float
        Weight of each host.

    Returns
    -------
    dict of str to int
        Slots of each host.
    """
    allocated = dict.fromkeys(wanted, 0)
    unsatisfied_hosts = [host for host in wanted if wanted[host] > 0]
    for _ in range(min(slots, sum(wanted.values()))):
        host = min(
            unsatisfied_hosts,
            key=lambda name: (
                (allocated[name] + 1) / max(weights[name], 1e-9),
                name,
            ),
        )
        allocated[host] += 1
        if allocated[host] >= wanted[host]:
            unsatisfied_hosts.remove(host)
    return allocated


class SlotAllocator:
    """Allocator of the slots of one endpoint, run by its home host.

    Parameters
    ----------
    endpoint_id : str
        Endpoint.
    now : float
        Monotonic time in seconds at which the host became the home host.
        Until the leases of the former home host have ended, only online
        demand is served, and batch items that run keep their slots.
    settings : LimitSettings
        Bounds of the adaptive concurrency limit.
    """

    def __init__(self, endpoint_id, now, settings=concurrency.DEFAULT):
        self.endpoint_id = endpoint_id
        self.limit = concurrency.ConcurrencyLimit(settings, now)
        self.started_at = now
        self.reports = {}
        self.online_peak = 0.0
        self.online_peak_at = now
        self.exclusive_host_id = None

    def handle_report(self, host_id, use, now):
        """Process a report and return the slots leased to the host.

        Parameters
        ----------
        host_id : str
            Host that reports.
        use : SlotUse
            Slots that the host uses and wants.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        Slots
            Slots leased to the host.
        """
        self.drop_expired(now)
        self.limit.observe(use.first_token, use.inter_token)
        previous = self.reports.get(host_id)
        leased = previous.leased if previous else 0
        self.reports[host_id] = HostReport(use, leased, now)
        self.limit.update(self.count_running(), now)
        slots = self.allocate(host_id, now)
        exclusive = self.decide_exclusive(host_id, use, now)
        if self.exclusive_host_id is not None:
            slots = Slots(int(exclusive), 0, slots.others, exclusive)
        expires_at = now + LEASE_DURATION_SECONDS * (1 + clock.MAX_DRIFT)
        leased = slots.online + slots.batch
        self.reports[host_id] = HostReport(use, leased, expires_at)
        return slots

    def count_running(self):
        """Return the number of running requests according to the reports."""
        return sum(
            report.use.online_running + report.use.batch_running
            for report in self.reports.values()
        )

    def drop_expired(self, now):
        """Drop the reports of hosts whose lease has ended."""
        for host_id, report in list(self.reports.items()):
            if report.expires_at < now:
                del self.reports[host_id]
                if self.exclusive_host_id == host_id:
                    self.exclusive_host_id = None

    def allocate(self, host_id, now):
        """Return the slots to lease to one host."""
        limit = self.limit.get()
        uses = {name: report.use for name, report in self.reports.items()}
        online_wanted = {
            name: use.online_running + use.online_waiting
            for name, use in uses.items()
        }
        online = divide_slots(limit, online_wanted, dict.fromkeys(uses, 1.0))
        running_elsewhere = sum(
            use.online_running + use.batch_running
            for name, use in uses.items()
            if name != host_id
        )
        if now < self.started_at + LEASE_DURATION_SECONDS * (
            1 + clock.MAX_DRIFT
        ):
            kept = self.shrink_batch(host_id, uses, limit, 0)
            return Slots(max(1, online[host_id]), kept, running_elsewhere)
        reserved_elsewhere = self.count_reserved_elsewhere(host_id, uses)
        peak = self.update_peak(sum(online.values()), now)
        batch = self.divide_batch(limit - round(peak), uses)[host_id]
        running = uses[host_id].batch_running
        free = max(0, limit - reserved_elsewhere - online[host_id])
        if batch < running:
            batch = self.shrink_batch(host_id, uses, limit, batch)
        else:
            batch = max(running, min(batch, free))
        headroom = self.divide_headroom(host_id, limit, uses)
        headroom = max(0, min(headroom, free - batch))
        return Slots(online[host_id] + headroom, batch, running_elsewhere)

    def divide_headroom(self, host_id, limit, uses):
        """Return the free slots to lease to a host in advance.

        The remainder goes to hosts that are ranked differently for each
        endpoint, so that each host has a free slot at some endpoint.
        """
        running = sum(
            use.online_running + use.batch_running for use in uses.values()
        )
        ranked = rendezvous.rank_hosts(self.endpoint_id, uses, len(uses))
        per_host, remainder = divmod(max(0, limit - running), len(ranked))
        return per_host + (ranked.index(host_id) < remainder)

    def update_peak(self, online, now):
        """Return the decaying maximum of the slots used by online work."""
        factor = 0.5 ** ((now - self.online_peak_at) / PEAK_HALF_LIFE_SECONDS)
        self.online_peak_at = now
        self.online_peak = max(
            online, online + (self.online_peak - online) * factor
        )
        return self.online_peak

    def divide_batch(self, free_slots, uses):
        """Return the target number of batch slots of each host."""
        wanted = {
            name: use.batch_running + use.batch_waiting
            for name, use in uses.items()
        }
        weights = {name: use.batch_weight for name, use in uses.items()}
        return divide_slots(
            max(0, free_slots - ONLINE_RESERVE), wanted, weights
        )

    def shrink_batch(self, host_id, uses, limit, target):
        """Return the batch slots of a host that runs more than its target.

        While the endpoint is within its limit, running items keep their
        slots, but a slot that is released is not filled again. Slots beyond
        the limit are taken back immediately.
        """
        running = uses[host_id].batch_running
        total = sum(
            use.online_running + use.online_waiting + use.batch_running
            for use in uses.values()
        )
        return max(target, running - max(0, total - limit))

    def count_reserved_elsewhere(self, host_id, uses):
        """Return the slots that others may use until their next report."""
        return sum(
            max(
                uses[name].online_running + uses[name].batch_running,
                report.leased,
            )
            for name, report in self.reports.items()
            if name != host_id
        )

    def decide_exclusive(self, host_id, use, now):
        """Return whether the host has exclusive use of the endpoint."""
        if not use.alone:
            if self.exclusive_host_id == host_id:
                self.exclusive_host_id = None
            return False
        if self.exclusive_host_id is None:
            self.exclusive_host_id = host_id
        if self.exclusive_host_id != host_id:
            return False
        started = self.started_at + LEASE_DURATION_SECONDS * (
            1 + clock.MAX_DRIFT
        )
        return now >= started and all(
            report.leased == 0
            and report.use.online_running + report.use.batch_running == 0
            for name, report in self.reports.items()
            if name != host_id
        )
