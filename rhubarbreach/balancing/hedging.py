"""Decision whether a request that has no event yet is also sent elsewhere.

Designed for endpoints that share their machines with others and stand still
for 0.2 to 0.8 s at random while slots are free elsewhere. The second endpoint
is asked as late as the objective allows, only where a slot is free, and for a
small part of the requests, so that an overload does not grow by it.
"""

import collections
import dataclasses
import enum

__all__ = [
    'Budget',
    'FirstTimes',
    'HedgingPolicy',
    'Plan',
    'Verdict',
    'choose_spare',
]

# Quantiles of the times to the first event: the usual time, and the time after
# which most first events have arrived. One in six streams was slow where
# endpoints stand still, so a higher quantile would be a slow one.
USUAL_QUANTILE = 0.5
MOST_QUANTILE = 0.8
# Both as a part of the objective until times were observed, and the number of
# times that these guesses count for.
INITIAL_USUAL = 0.25
INITIAL_MOST = 0.5
PRIOR_TIMES = 4
# Relative step of a quantile for each time observed.
QUANTILE_STEP = 0.04
MIN_SECONDS = 0.001
# Usual times that a hedge gets until the objective has passed, as half of the
# first events take longer than one.
RESERVE_FACTOR = 1.5
# Time in which a connection is made and the request is read.
SEND_SECONDS = 0.01
# A decision that comes later than planned by this much shows that this host
# stood still or has no processor time. Events that have arrived are then read
# first, for the same time.
LATE_SECONDS = 0.03
# Window of the budget.
WINDOW_SECONDS = 4.0
# Endpoints that are looked at for a free slot, and of which the best is taken.
MAX_LOOKS = 64
SAMPLE_SIZE = 6
# Free slots that an endpoint of another zone must have. Its counts are 20 to
# 150 ms old.
FAR_FREE_SLOTS = 2


class Verdict(enum.Enum):
    """What becomes of a hedge that is due."""

    SEND = 'send'
    TOO_LATE = 'objective'
    BUSY = 'busy'
    NO_BUDGET = 'budget'
    NO_SLOT = 'no_slot'


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Times of a hedge in seconds of the monotonic clock.

    `due_at` is when the second endpoint is asked, and `give_up_at` the last
    moment at which it usually begins within the objective.
    """

    due_at: float
    give_up_at: float

    def is_late(self, now):
        """Return whether the decision comes late, as this host stood still."""
        return now - self.due_at > LATE_SECONDS

    def postpone(self, now):
        """Return the plan after events that have arrived were read.

        It is never due if the objective cannot be met then.
        """
        due_at = now + LATE_SECONDS
        if due_at > self.give_up_at:
            due_at = float('inf')
        return Plan(due_at, self.give_up_at)


class FirstTimes:
    """Quantiles of the times to the first event at endpoints of a service.

    Each time moves a quantile up or down in relative steps. A time of which
    only a lower bound is known counts rightly if the bound is above it.
    """

    __slots__ = ('count', 'most', 'usual')

    def __init__(self, objective):
        self.count = 0
        self.usual = INITIAL_USUAL * objective
        self.most = INITIAL_MOST * objective

    def add(self, seconds):
        """Add an observed time."""
        self.count += 1
        step = max(QUANTILE_STEP, 1 / (self.count + PRIOR_TIMES))
        self.usual = move(self.usual, seconds, USUAL_QUANTILE, step)
        self.most = max(
            self.usual, move(self.most, seconds, MOST_QUANTILE, step)
        )


def move(value, seconds, quantile, step):
    """Return the estimate of a quantile after one more time."""
    if seconds > value:
        return value * (1 + step * quantile)
    return max(MIN_SECONDS, value * (1 - step * (1 - quantile)))


class Budget:
    """Hedges that a host may send: a small part of its requests.

    In any window they are at most that part of its requests, or one. In the
    long run they are no more than the part either, as each request earns it.

    Parameters
    ----------
    fraction : float
        The part.
    """

    def __init__(self, fraction):
        self.fraction = fraction
        self.requests = collections.deque()
        self.hedges = collections.deque()
        self.credit = 1.0

    @property
    def limit(self):
        """Hedges that may be sent in the window that ends now."""
        return max(1.0, self.fraction * len(self.requests))

    def record_request(self, now):
        """Count a request."""
        self.expire(now)
        self.requests.append(now)
        self.credit = min(self.limit, self.credit + self.fraction)

    def expire(self, now):
        """Forget what was before the window."""
        since = now - WINDOW_SECONDS
        for times in (self.requests, self.hedges):
            while times and times[0] < since:
                times.popleft()

    def has_rest(self, now):
        """Return whether a hedge may be sent now."""
        self.expire(now)
        return self.credit >= 1 and len(self.hedges) + 1 <= self.limit

    def spend(self, now):
        """Count a hedge."""
        self.hedges.append(now)
        self.credit -= 1


class HedgingPolicy:
    """Decisions of one host on hedges.

    Not safe for threads: callers hold a lock.

    Parameters
    ----------
    fraction : float
        Part of the requests that may be hedged, 0 for none.
    """

    def __init__(self, fraction):
        self.budget = Budget(fraction)
        self.times = {}

    @property
    def is_enabled(self):
        """Whether this host sends hedges."""
        return self.budget.fraction > 0

    def get_times(self, service, objective):
        """Return the `FirstTimes` of a service."""
        times = self.times.get(service)
        if times is None:
            times = self.times[service] = FirstTimes(objective)
        return times

    def record_first(self, service, objective, seconds):
        """Learn the time to a first event, or a lower bound of it."""
        self.get_times(service, objective).add(seconds)

    def plan(self, service, objective, received_at, sent_at):
        """Return the `Plan` of a hedge of a request.

        Parameters
        ----------
        service : str
            Service of the request.
        objective : float
            Time to its first event that is meant, in seconds.
        received_at, sent_at : float
            When it was read, and when it was sent to its first endpoint, in
            seconds of the monotonic clock.
        """
        times = self.get_times(service, objective)
        due = received_at + objective - SEND_SECONDS
        return Plan(
            max(due - RESERVE_FACTOR * times.usual, sent_at + times.most),
            due - times.usual,
        )

    def judge(self, plan, now, is_busy):
        """Return the `Verdict` on a hedge that is due.

        Parameters
        ----------
        plan : Plan
            Its times.
        now : float
            Seconds of the monotonic clock.
        is_busy : bool
            Whether online requests use most slots of the service.
        """
        if now > plan.give_up_at:
            return Verdict.TOO_LATE
        if is_busy:
            return Verdict.BUSY
        if not self.budget.has_rest(now):
            return Verdict.NO_BUDGET
        return Verdict.SEND


def choose_spare(endpoints, zone, count_used, is_allowed, slowness, draw):
    """Return an endpoint with a free slot for a hedge, or None.

    A bounded number of endpoints is looked at, from a random one on, so that
    hosts that wait for the same endpoint do not all ask the same other one.

    Parameters
    ----------
    endpoints : sequence
        Endpoints of the service with their ids, zones and slots.
    zone : str
        Zone of this host, whose endpoints are preferred.
    count_used : callable
        Returns the requests and items at an endpoint, by its id.
    is_allowed : callable
        Returns whether an endpoint may be asked.
    slowness : callable
        Returns how long work takes at an endpoint, 1 being as usual.
    draw : callable
        Returns a random number below 1.
    """
    near, far = [], []
    count = len(endpoints)
    start = int(draw() * count)
    for number in range(start, start + min(count, MAX_LOOKS)):
        endpoint = endpoints[number % count]
        free = endpoint.slots - count_used(endpoint.endpoint_id)
        if free <= 0:
            continue
        if endpoint.availability_zone == zone:
            if is_allowed(endpoint):
                near.append((endpoint, free))
                if len(near) == SAMPLE_SIZE:
                    break
        elif (
            free >= FAR_FREE_SLOTS
            and not near
            and len(far) < SAMPLE_SIZE
            and is_allowed(endpoint)
        ):
            far.append((endpoint, free))
    best = None
    lowest = float('inf')
    for endpoint, free in near or far:
        rank = slowness(endpoint) * (2 - free / endpoint.slots)
        if rank < lowest:
            lowest = rank
            best = endpoint
    return best
