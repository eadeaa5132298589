"""Accounts that use more than their fair share of a saturated fleet.

Designed for an account that sends several times its usual load while all slots
are in use. A host sees a few requests of an account in a second, so that the
leader adds up what all hosts report. Shares are max-min fair: no account below
the level loses anything to one above it.
"""

import math

from rhubarbreach import eventlog
from rhubarbreach.fleet import loads
from rhubarbreach.protocol import fleetmessages

__all__ = ['FairShare', 'FleetQueues', 'compute_level']

LOG = eventlog.Logger('fair_share')

# Time constant of the demands of accounts. With 1.5 s an account that sends
# eight times its load was named a second after it began; peaks last seconds.
DEMAND_SECONDS = 0.5
# Time constant of the run time and the capacity.
CAPACITY_SECONDS = 3.0
# Time for which the fleet counts as saturated after a host had requests that
# waited or were refused. Hosts exchange messages every 0.15 s or less often.
SATURATED_SECONDS = 1.0
# Accounts that are named, those with the largest excess first. With eight, the
# exchanges of 66 hosts took 13.4 KB/s a host in a peak; the target is 13 KB/s.
MAX_ACCOUNTS = 4
# Smallest excess for which an account is named, as a fraction of its requests.
# Large accounts are a little above the level in each overload.
MIN_EXCESS = 0.3
# Requests in the sums below which chance decides.
MIN_REQUESTS = 5.0
# Interval at which the accounts are computed again. Hosts of a large fleet
# exchange messages 800 times a second.
UPDATE_SECONDS = 0.05
# Shortest time between two log lines on accounts that exceed their share.
LOG_INTERVAL_SECONDS = 1.0
# Shortest mean run time, against a division by zero.
MIN_RUN_SECONDS = 1e-3
# An account below this demand is forgotten.
MIN_DEMAND = 0.01


def compute_level(demands, capacity):
    """Return the level at which demands, each cut at it, use the capacity.

    Parameters
    ----------
    demands : iterable of float
        Demands of accounts.
    capacity : float
        Work that can be done, in the same unit.

    Returns
    -------
    float
        Infinity if all demands can be met.
    """
    remaining = capacity
    ordered = sorted(demands)
    for position, demand in enumerate(ordered):
        level = remaining / (len(ordered) - position)
        if demand > level:
            return level
        remaining -= demand
    return float('inf')


class FairShare:
    """Demands of all accounts on a service, as entry hosts report them.

    Work is counted in requests.
    """

    def __init__(self):
        self.demands = {}
        self.completed = 0.0
        self.running_seconds = 0.0
        self.saturated_until = float('-inf')
        self.updated_at = None

    def advance(self, running, now):
        """Age the sums, and add the time that requests have run.

        Parameters
        ----------
        running : int
            Requests of all hosts that run, at most the slots.
        now : float
            Seconds of the monotonic clock.
        """
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if elapsed <= 0:
            return
        decay = math.exp(-elapsed / CAPACITY_SECONDS)
        self.completed *= decay
        self.running_seconds *= decay
        self.running_seconds += running * elapsed
        decay = math.exp(-elapsed / DEMAND_SECONDS)
        self.demands = {
            account: demand * decay
            for account, demand in self.demands.items()
            if demand > MIN_DEMAND
        }

    def report(self, report, now):
        """Record the `QueueReport` of an entry host."""
        for account, work in report.demands.items():
            if work > 0 and math.isfinite(work):
                self.demands[account] = self.demands.get(account, 0.0) + work
        self.completed += max(0, report.completed)
        if report.unmet > 0:
            self.saturated_until = now + SATURATED_SECONDS

    def list_exceeding(self, slots, now):
        """Return the accounts that exceed their share.

        Parameters
        ----------
        slots : int
            Slots of all endpoints.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        dict of str to float
            Fraction of the requests of each account that is beyond its share;
            empty while the service is not saturated.
        """
        if now >= self.saturated_until or self.completed < MIN_REQUESTS:
            return {}
        # The sums hold the demand of the time constant.
        run_seconds = self.running_seconds / self.completed
        capacity = slots / max(run_seconds, MIN_RUN_SECONDS) * DEMAND_SECONDS
        level = compute_level(self.demands.values(), capacity)
        excess = {
            account: 1.0 - level / demand
            for account, demand in self.demands.items()
            if demand > max(level, MIN_REQUESTS)
        }
        named = sorted(excess, key=excess.get, reverse=True)[:MAX_ACCOUNTS]
        return {
            a: round(excess[a], 2) for a in named if excess[a] > MIN_EXCESS
        }


class FleetQueues:
    """Requests that wait at all entry hosts, as the leader knows them.

    Callers have to hold a lock.
    """

    def __init__(self):
        self.shares = {}
        self.waiting = loads.Loads()
        self.next_update = float('-inf')
        self.exceeding = {}
        self.next_log = float('-inf')

    def report(self, host_id, reports, now):
        """Record the reports of an entry host by service."""
        waiting = {
            service: report.waiting
            for service, report in reports.items()
            if report.waiting > 0
        }
        self.waiting.report(host_id, waiting, now)
        for service, report in reports.items():
            share = self.shares.setdefault(service, FairShare())
            share.report(report, now)

    def update(self, endpoints, running, now):
        """Compute the accounts that exceed their share when it is due.

        Parameters
        ----------
        endpoints : iterable
            Endpoints, with their service and slots.
        running : dict of str to int
            Requests of all hosts by endpoint.
        now : float
            Seconds of the monotonic clock.
        """
        if now < self.next_update:
            return
        self.next_update = now + UPDATE_SECONDS
        slots = {}
        used = {}
        for endpoint in endpoints:
            service = endpoint.service
            count = min(running.get(endpoint.endpoint_id, 0), endpoint.slots)
            slots[service] = slots.get(service, 0) + endpoint.slots
            used[service] = used.get(service, 0) + count
        # A service without endpoints is forgotten.
        self.shares = {s: self.shares[s] for s in self.shares if s in slots}
        exceeding = {}
        for service, share in self.shares.items():
            share.advance(used[service], now)
            accounts = share.list_exceeding(slots[service], now)
            if accounts:
                exceeding[service] = accounts
        if exceeding and now >= self.next_log:
            self.next_log = now + LOG_INTERVAL_SECONDS
            for service, accounts in exceeding.items():
                LOG.info(
                    'event=accounts_exceeding service={} accounts={}',
                    service,
                    accounts,
                )
        self.exceeding = exceeding

    def list_states(self):
        """Return the `QueueState` of each service whose requests wait."""
        return {
            service: fleetmessages.QueueState(
                self.waiting.totals.get(service, 0),
                self.exceeding.get(service, {}),
            )
            for service in self.waiting.totals.keys() | self.exceeding.keys()
        }
