"""Slots of endpoints as issued by their home host."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.limits import concurrency
from rhubarbreach.membership import rendezvous
from rhubarbreach.protocol import limitmessages

__all__ = ['Demand', 'Home', 'LEASE_DURATION', 'Slots', 'divide_slots']

# Seconds for which leased slots may be used without another report.
LEASE_DURATION = 1.0
# Seconds in which the distance of the peak of online work to its present
# value halves. Slots that online requests have left are kept free for a
# while, because the next ones come before a batch item would be done.
PEAK_HALF_LIFE = 0.5
# Slots that batch work does not fill, so that most online requests find a
# free one: a preempted item has to read its answer so far again.
ONLINE_RESERVE = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Last report of one host about one endpoint.

    Parameters
    ----------
    use : SlotUse
        As reported.
    leased : int
        Slots leased to the host by the last reply.
    expires_at : float
        When the lease ends for certain.
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
        Requests of other hosts that run on the endpoint.
    alone : bool
        Whether nothing else runs on the endpoint.
    """

    online: int
    batch: int
    others: int
    alone: bool = False


def divide_slots(slots, wanted, weights):
    """Divide slots over hosts, max-min fair by weight.

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
    given = dict.fromkeys(wanted, 0)
    open_hosts = [host for host in wanted if wanted[host] > 0]
    for _ in range(min(slots, sum(wanted.values()))):
        host = min(
            open_hosts,
            key=lambda name: (
                (given[name] + 1) / max(weights[name], 1e-9),
                name,
            ),
        )
        given[host] += 1
        if given[host] >= wanted[host]:
            open_hosts.remove(host)
    return given


class Home:
    """Slots of one endpoint, held by its home host.

    Parameters
    ----------
    endpoint_id : str
        Endpoint.
    now : float
        When the host became the home host. Until leases of the former home
        host have ended only the demand of online requests is served.
    settings : LimitSettings
        Bounds of the learned limit.
    """

    def __init__(self, endpoint_id, now, settings=concurrency.DEFAULT):
        self.endpoint_id = endpoint_id
        self.limit = concurrency.ConcurrencyLimit(settings, now)
        self.started_at = now
        self.demands = {}
        self.peak = 0.0
        self.peak_at = now
        self.alone_host = None

    def request(self, host_id, use, now):
        """Take a report and return the slots leased to the host.

        Parameters
        ----------
        host_id : str
            Host that reports.
        use : SlotUse
            What it uses and wants.
        now : float
            Monotonic seconds.

        Returns
        -------
        Slots
            Leased to the host.
        """
        self.expire(now)
        self.limit.observe(use.first_token, use.inter_token)
        known = self.demands.get(host_id)
        leased = known.leased if known else 0
        self.demands[host_id] = Demand(use, leased, now)
        self.limit.update(self.count_running(), now)
        slots = self.divide(host_id, now)
        alone = self.decide_alone(host_id, use, now)
        if self.alone_host is not None:
            slots = Slots(int(alone), 0, slots.others, alone)
        expires_at = now + LEASE_DURATION * (1 + clock.MAX_DRIFT)
        leased = slots.online + slots.batch
        self.demands[host_id] = Demand(use, leased, expires_at)
        return slots

    def count_running(self):
        """Return the requests that run according to the reports."""
        return sum(
            demand.use.online_running + demand.use.batch_running
            for demand in self.demands.values()
        )

    def expire(self, now):
        """Forget hosts whose lease has ended."""
        for host_id, demand in list(self.demands.items()):
            if demand.expires_at < now:
                del self.demands[host_id]
                if self.alone_host == host_id:
                    self.alone_host = None

    def divide(self, host_id, now):
        """Return the `Slots` of one host."""
        limit = self.limit.get()
        uses = {name: demand.use for name, demand in self.demands.items()}
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
        if now < self.started_at + LEASE_DURATION * (1 + clock.MAX_DRIFT):
            return Slots(max(1, online[host_id]), 0, running_elsewhere)
        others = self.count_held(host_id, uses)
        peak = self.update_peak(sum(online.values()), now)
        batch = self.divide_batch(limit - round(peak), uses)[host_id]
        running = uses[host_id].batch_running
        free = max(0, limit - others - online[host_id])
        if batch < running:
            batch = self.keep_running(host_id, uses, limit, batch)
        else:
            batch = max(running, min(batch, free))
        headroom = self.divide_headroom(host_id, limit, uses)
        headroom = max(0, min(headroom, free - batch))
        return Slots(online[host_id] + headroom, batch, running_elsewhere)

    def divide_headroom(self, host_id, limit, uses):
        """Return the free slots leased to a host in advance.

        The hosts that get one more are ranked differently at each endpoint,
        so that each host finds a free slot at some endpoint.
        """
        running = sum(
            use.online_running + use.batch_running for use in uses.values()
        )
        ranked = rendezvous.rank_hosts(self.endpoint_id, uses, len(uses))
        each, rest = divmod(max(0, limit - running), len(ranked))
        return each + (ranked.index(host_id) < rest)

    def update_peak(self, online, now):
        """Return the decaying maximum of the slots for online work."""
        factor = 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE)
        self.peak_at = now
        self.peak = max(online, online + (self.peak - online) * factor)
        return self.peak

    def divide_batch(self, room, uses):
        """Return the batch slots that each host should have."""
        wanted = {
            name: use.batch_running + use.batch_waiting
            for name, use in uses.items()
        }
        weights = {name: use.batch_weight for name, use in uses.items()}
        return divide_slots(max(0, room - ONLINE_RESERVE), wanted, weights)

    def keep_running(self, host_id, uses, limit, target):
        """Return the slots of a host that runs more batch work than due.

        Running items are kept, and their slots not filled again, while the
        endpoint has room; what exceeds the limit is given back at once.
        """
        running = uses[host_id].batch_running
        total = sum(
            use.online_running + use.online_waiting + use.batch_running
            for use in uses.values()
        )
        return max(target, running - max(0, total - limit))

    def count_held(self, host_id, uses):
        """Return slots that other hosts may hold until they report again."""
        return sum(
            max(
                uses[name].online_running + uses[name].batch_running,
                demand.leased,
            )
            for name, demand in self.demands.items()
            if name != host_id
        )

    def decide_alone(self, host_id, use, now):
        """Return whether the host has the endpoint for itself."""
        if not use.alone:
            if self.alone_host == host_id:
                self.alone_host = None
            return False
        if self.alone_host is None:
            self.alone_host = host_id
        if self.alone_host != host_id:
            return False
        started = self.started_at + LEASE_DURATION * (1 + clock.MAX_DRIFT)
        return now >= started and all(
            demand.leased == 0
            and demand.use.online_running + demand.use.batch_running == 0
            for name, demand in self.demands.items()
            if name != host_id
        )
