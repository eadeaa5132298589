"""Order of the requests that wait at an entry host, and their refusal.

Designed for load peaks in which all slots are in use, one account sends
several times its usual load, or endpoints have slowed down. Engines admit in
order of arrival and have no priorities, so that requests wait in front of
them. A request is bound to an endpoint when a slot is free for it, and is
refused as soon as it cannot begin in time any more.
"""

import collections
import dataclasses
import math

from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.gateway import slot_rate

__all__ = [
    'AdmissionQueue',
    'Limits',
    'Ranks',
    'Service',
    'Waiter',
    'compute_limits',
    'compute_slot_share',
    'is_exceeding',
]

# Most requests that wait at a host for one service. The bound on their time
# leaves fewer; this one bounds the threads that wait.
MAX_WAITING = 256
# Intervals between two slots of a host that a request waits for its own, in
# the estimate of its wait: about the median of a random interval.
OWN_WAIT_INTERVALS = 0.5
# Time in which a request of an account beyond its share gets a slot or is
# refused, relative to the objective. A refusal helps its caller only within
# that time.
EXCESS_WAIT_OBJECTIVES = 0.25
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
# Accounts whose requests are counted.
MAX_ACCOUNTS = 16384
# Run time until one was measured.
DEFAULT_RUN_SECONDS = 1.0
# A host that has just started does not know the number of entry hosts. It
# assumes at least this number for the first moments, in which the others
# report to the leader for the first time.
ASSUMED_HOSTS = 32
SETTLE_SECONDS = 0.1
# Exchanges after which the loads of all hosts have arrived, and the bound on a
# host that has just started ends. With 2 s, slots stayed idle in a replay.
START_EXCHANGES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Times of one request, in seconds of the monotonic clock.

    Parameters
    ----------
    begin_by : float
        Time by which it has to get a slot to be in time.
    excess_by : float
        Time at which it is refused while its account exceeds its share.
    give_up_at : float
        Time at which it is refused otherwise.
    """

    begin_by: float
    excess_by: float
    give_up_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waiter:
    """Request that waits for a slot.

    Parameters
    ----------
    number : int
        Number of the request at this host.
    account : str
        Client account, empty if unknown.
    limits : Limits
        Times by which it has to get a slot.
    is_returned : bool
        Whether it came back after a refusal.
    rank : float
        Number in [0, 1), evenly spread over the requests of an account. The
        request exceeds the share of its account if the number is below the
        fraction that the leader has named.
    has_exclusions : bool
        Whether endpoints have declined it, so that others may find a slot
        where it does not.
    """

    number: int
    account: str
    limits: Limits
    is_returned: bool = False
    rank: float = 1.0
    has_exclusions: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """What a host knows of a service. Times are in seconds.

    Parameters
    ----------
    slots, free : int
        Slots of all endpoints, and those of them that loads show as free.
    run_seconds : float or None
        Mean run time of requests, None if it is unknown.
    age : float
        Age of the loads.
    hosts : int
        Entry hosts.
    waiting : int
        Requests within the share of their account that wait at all hosts.
    exceeding : dict of str to float
        Accounts that exceed their share, with the fraction of their requests
        that is beyond it.
    """

    slots: int
    free: int
    run_seconds: float | None
    age: float
    hosts: int
    waiting: int
    exceeding: dict[str, float]

    @property
    def expected_rate(self):
        """Slots per second that a host gets if all get as many."""
        run_seconds = self.run_seconds or DEFAULT_RUN_SECONDS
        return self.slots / self.hosts / run_seconds


def compute_limits(
    arrived_at, objective, deadline, is_returned, hold_until=0.0
):
    """Return the `Limits` of a request.

    Parameters
    ----------
    arrived_at : float
        Time at which the request was read.
    objective : float
        Latency objective in seconds.
    deadline : float
        Time at which its caller leaves.
    is_returned : bool
        Whether it came back after a refusal. It has no further attempt, and
        waits for idle slots when it is late.
    hold_until : float
        Time until which it is not refused, as the loads are not known yet.
    """
    begin_by = arrived_at + choice.MAX_WAIT_OBJECTIVES * objective
    excess_by = arrived_at + EXCESS_WAIT_OBJECTIVES * objective
    give_up_at = begin_by
    if is_returned:
        give_up_at = arrived_at + choice.MAX_RETRY_WAIT_OBJECTIVES * objective
        excess_by = begin_by
    give_up_at = max(give_up_at, hold_until)
    return Limits(
        min(begin_by, deadline),
        min(max(excess_by, hold_until), deadline),
        min(give_up_at, deadline),
    )


def is_exceeding(waiter, exceeding):
    """Return whether a request is beyond the share of its account.

    Parameters
    ----------
    waiter : Waiter
        Request that waits.
    exceeding : dict of str to float
        Fraction of the requests of accounts that exceeds their share.
    """
    return waiter.rank < exceeding.get(waiter.account, 0.0)


def compute_slot_share(slots, hosts, seconds):
    """Return the requests that a host that has just started may run.

    After a power loss of all machines the callers come back at once, and each
    host would send its requests to endpoints that all the others fill too.

    Parameters
    ----------
    slots : int
        Slots of all endpoints of the service.
    hosts : int
        Entry hosts that the leader knows.
    seconds : float
        Time since the host got its first loads.
    """
    if seconds < SETTLE_SECONDS:
        hosts = max(hosts, ASSUMED_HOSTS)
    return max(1, slots // max(1, hosts))


class Ranks:
    """Ranks of the requests of each account, evenly spread over [0, 1).

    Multiples of the golden ratio spread evenly however many there are, so that
    an account gets its share at each host, and not by chance.
    """

    def __init__(self):
        self.counts = collections.Counter()

    def draw(self, account):
        """Return the rank of the next request of an account."""
        if len(self.counts) > MAX_ACCOUNTS:
            self.counts.clear()
        self.counts[account] += 1
        return self.counts[account] * GOLDEN_RATIO % 1.0


class AdmissionQueue:
    """Requests of one service that wait at this host.

    Callers have to hold a lock. `exceeding` is that of the service as last
    known.
    """

    def __init__(self):
        self.waiters = {}
        self.exceeding = {}
        self.rate = slot_rate.SlotRate()
        self.backlog = slot_rate.Backlog()
        # Slots per second of the last decision.
        self.last_rate = 0.0

    def get_sort_key(self, waiter, now):
        """Return the sort key of a request; see docs/design/queueing.md."""
        return (
            now > waiter.limits.begin_by,
            is_exceeding(waiter, self.exceeding),
            not waiter.is_returned,
            waiter.limits.begin_by,
            waiter.number,
        )

    def list_ordered(self, now):
        """Return the waiting requests, the next one first."""
        return sorted(
            self.waiters.values(),
            key=lambda waiter: self.get_sort_key(waiter, now),
        )

    def record_arrival(self, now):
        """Count a request that asks for a slot."""
        self.backlog.record_arrival(now, self.last_rate)

    def add(self, waiter, now):
        """Add a request."""
        self.advance(now)
        self.waiters[waiter.number] = waiter

    def remove(self, waiter, now, has_slot=False):
        """Remove a request that has got a slot, was refused, or has left."""
        self.advance(now)
        if self.waiters.pop(waiter.number, None) is not None and has_slot:
            self.rate.record_start()

    def advance(self, now):
        """Count the time in which requests have waited."""
        self.rate.advance(now, bool(self.waiters))

    def step(self, service, acquire, now, draw, released=None):
        """Send requests to free slots, and refuse those without a chance.

        Parameters
        ----------
        service : Service
            What is known of the service.
        acquire : callable
            Returns an `Endpoint` with a free slot or a `Refusal` for a waiter,
            and the endpoint to which the choice is limited, or None.
        now : float
            Seconds of the monotonic clock.
        draw : callable
            Returns a random number between two bounds.
        released : str, optional
            Endpoint at which a request of this host has ended. Its slot is
            handed over.

        Returns
        -------
        list of (Waiter, Endpoint or Refusal)
            Requests that wait no longer.
        """
        self.advance(now)
        self.exceeding = service.exceeding
        results = []
        for waiter in self.list_ordered(now):
            if not self.may_take(waiter, service, released, draw):
                if is_exceeding(waiter, self.exceeding):
                    # It holds up no request within the share of its account.
                    continue
                break
            chosen = acquire(waiter, released)
            if not isinstance(chosen, codes.Refusal):
                self.remove(waiter, now, has_slot=True)
                results.append((waiter, chosen))
                if released is not None:
                    break
            elif released is None and (
                chosen.code is not codes.ResultCode.QUEUE_FULL
            ):
                # It cannot be served, so it is not held.
                self.remove(waiter, now)
                results.append((waiter, chosen))
            elif not waiter.has_exclusions:
                break
        return results + self.refuse(service, now, draw)

    def refuse(self, service, now, draw):
        """Refuse the requests that can no longer begin in time.

        Returns
        -------
        list of (Waiter, Refusal)
            Requests that wait no longer; see `step` for the parameters.
        """
        self.exceeding = service.exceeding
        results = []
        for waiter in self.list_refused(service, now):
            self.remove(waiter, now)
            refusal = self.make_refusal(
                service, now, draw, 'no slot becomes free in time'
            )
            results.append((waiter, refusal))
        return results

    def count_within_share(self):
        """Return the waiting requests within the share of their account."""
        return sum(
            not is_exceeding(waiter, self.exceeding)
            for waiter in self.waiters.values()
        )

    def may_take(self, waiter, service, released, draw):
        """Return whether a request may use a free slot that the host knows.

        All hosts see the same free slots in the loads. If these are fewer than
        the requests that may want them before new loads arrive, a request
        takes one with the probability that leaves one for each. Without this
        all hosts sent their waiting requests to the same slot.

        Requests beyond the share of their account leave these slots to others,
        also that of a request of this host that has ended.
        """
        is_excess = is_exceeding(waiter, self.exceeding)
        waiting = max(service.waiting, self.count_within_share())
        if released is not None:
            return not is_excess or not waiting
        if waiter.has_exclusions or not service.free:
            # It takes no slot from others, or may have no endpoint left.
            return True
        if service.free * 2 > service.slots:
            return True
        own = self.backlog.get_arrival_rate()
        # A host with far more requests than the others would expect as many of
        # each of them, and refuse its own beside free slots.
        others = min(own, service.expected_rate) * (service.hosts - 1)
        contenders = waiting + service.age * (own + others)
        if service.free >= contenders:
            return True
        return not is_excess and draw(0.0, contenders) < service.free

    def get_limit(self, waiter):
        """Return the time at which a request is refused."""
        if is_exceeding(waiter, self.exceeding):
            return min(waiter.limits.excess_by, waiter.limits.give_up_at)
        return waiter.limits.give_up_at

    def list_refused(self, service, now):
        """Return the requests that can no longer begin in time.

        A request is refused by an estimate only while its caller still has
        time for a second attempt, and while no slot is left for it. After that
        it is kept while it has a chance.

        Parameters
        ----------
        service : Service
            What is known of the service.
        now : float
            Seconds of the monotonic clock.
        """
        self.advance(now)
        self.last_rate = rate = self.rate.get_rate(service.expected_rate)
        refused = []
        kept = 0
        for waiter in self.list_ordered(now):
            limit = self.get_limit(waiter)
            # All endpoints may be gone while requests wait.
            wait = (kept + OWN_WAIT_INTERVALS) / rate if rate else math.inf
            begins_at = now + wait
            is_hopeless = (
                begins_at > limit
                and now <= waiter.limits.excess_by
                and kept >= service.free
            )
            if now >= limit or is_hopeless or kept >= MAX_WAITING:
                refused.append(waiter)
            else:
                kept += 1
        return refused

    def make_refusal(self, service, now, draw, reason):
        """Return the refusal of a request that was not run.

        Parameters
        ----------
        service : Service
            What is known of the service.
        now : float
            Seconds of the monotonic clock.
        draw : callable
            Returns a random number between two bounds.
        reason : str
            Reason for the log.
        """
        self.advance(now)
        rate = self.rate.get_rate(service.expected_rate)
        return codes.Refusal(
            codes.ResultCode.QUEUE_FULL,
            reason,
            retry_after=self.backlog.draw_retry_after(
                len(self.waiters), rate, now, draw
            ),
        )
