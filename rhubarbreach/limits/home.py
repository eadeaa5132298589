"""Slots of endpoints as issued by their home host."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.limits import concurrency
from rhubarbreach.protocol import messages

__all__ = ['Demand', 'Home', 'LEASE_DURATION', 'divide_slots']

# Seconds for which leased slots may be used without another report.
LEASE_DURATION = 1.0
# Slots kept free of batch work for online requests of a host that holds
# none; the engine would otherwise let them wait behind batch items until
# the preempted ones have stopped.
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

    use: messages.SlotUse
    leased: int
    expires_at: float


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
    now : float
        When the host became the home host. Until leases of the former home
        host have ended only the demand of online requests is served.
    settings : LimitSettings
        Bounds of the learned limit.
    """

    def __init__(self, now, settings=concurrency.DEFAULT):
        self.limit = concurrency.ConcurrencyLimit(settings, now)
        self.started_at = now
        self.demands = {}
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
        tuple of int, int and bool
            Slots for online and for batch work, and whether the host has
            the endpoint alone.
        """
        self.expire(now)
        self.limit.observe(use.first_token, use.inter_token)
        known = self.demands.get(host_id)
        leased = known.leased if known else 0
        self.demands[host_id] = Demand(use, leased, now)
        self.limit.update(self.count_running(), now)
        online, batch = self.divide(host_id, now)
        alone = self.decide_alone(host_id, use, now)
        if self.alone_host is not None:
            online, batch = (1, 0) if alone else (0, 0)
        expires_at = now + LEASE_DURATION * (1 + clock.MAX_DRIFT)
        self.demands[host_id] = Demand(use, online + batch, expires_at)
        return online, batch, alone

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
        """Return the online and batch slots of one host."""
        limit = self.limit.get()
        uses = {name: demand.use for name, demand in self.demands.items()}
        online_wanted = {
            name: use.online_running + use.online_waiting
            for name, use in uses.items()
        }
        equal = dict.fromkeys(uses, 1.0)
        online = divide_slots(limit, online_wanted, equal)
        if now < self.started_at + LEASE_DURATION * (1 + clock.MAX_DRIFT):
            return max(1, online[host_id]), 0
        spare = max(0, limit - sum(online.values()) - ONLINE_RESERVE)
        batch_wanted = {
            name: use.batch_running + use.batch_waiting
            for name, use in uses.items()
        }
        weights = {name: use.batch_weight for name, use in uses.items()}
        batch = divide_slots(spare, batch_wanted, weights)
        held = self.count_held(host_id, uses)
        free = max(0, limit - held - online[host_id])
        return online[host_id], min(batch[host_id], free)

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
