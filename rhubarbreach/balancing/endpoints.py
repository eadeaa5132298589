"""What an entry host knows about the work and the speed of endpoints.

Designed for endpoints that are slowed down for a moment or for good, and for
queues inside engines that no host can see: a request of this host that has
waited long for its first event shows that the queue at its endpoint is long,
however few requests are counted there.
"""

import collections
import dataclasses

from rhubarbreach.balancing import averages
from rhubarbreach.balancing import prompts
from rhubarbreach.balancing import speeds

__all__ = ['EndpointTable', 'ServerLoad']

# A request that has waited for its first event beyond the usual time by this
# much is in a queue.
QUEUED_SECONDS = 0.1
# Usual time to the first event until one was observed.
INITIAL_FIRST_SECONDS = 0.05
# Weight of the newest request in the usual time to the first event.
FIRST_WEIGHT = 0.02
# Answers after which the time to read a token is used. Before, differences of
# prompts are too few to tell it from the rest of the time.
MIN_READS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load that an endpoint reports in a response.

    `percent` is how long work takes there now, 100 being as usual; None if it
    does not report it.
    """

    running: int
    waiting: int
    slots: int
    percent: int | None = None


class ReadTimes:
    """Time to the first event of one service, by tokens to read.

    A regression line over requests that did not wait for a slot.
    """

    __slots__ = ('products', 'seconds', 'tokens')

    def __init__(self):
        self.tokens = averages.Average()
        self.seconds = averages.Average()
        self.products = averages.Average()

    def add(self, tokens, seconds):
        """Add a request."""
        self.tokens.add(tokens, FIRST_WEIGHT)
        self.seconds.add(seconds, FIRST_WEIGHT)
        self.products.add(tokens * seconds, FIRST_WEIGHT)

    def fit(self):
        """Return the seconds without reading, and those for each token."""
        count = self.seconds.count
        if not count:
            return INITIAL_FIRST_SECONDS, 0.0
        mean = self.seconds.mean
        variance = self.tokens.variance
        if count < MIN_READS or variance < 1:
            return mean, 0.0
        slope = (self.products.mean - self.tokens.mean * mean) / variance
        slope = max(0.0, slope)
        return max(0.0, mean - slope * self.tokens.mean), slope


class EndpointTable:
    """Work, speed and cached prompts of endpoints, as this host knows them.

    Not safe for threads: callers hold a lock.
    """

    def __init__(self):
        self.slowness = speeds.Slowness()
        self.loads = {}
        # Times at which requests of this host were sent that have not begun.
        self.waiting = {}
        # Tokens that requests of this host may hold in an endpoint's memory.
        self.held_tokens = collections.Counter()
        self.cached = {}
        self.read_times = collections.defaultdict(ReadTimes)

    def begin(self, endpoint_id, cost, now):
        """Count a request that is sent to an endpoint."""
        self.waiting.setdefault(endpoint_id, collections.deque()).append(now)
        if cost is not None:
            self.held_tokens[endpoint_id] += cost.held_tokens

    def note_first_event(self, endpoint_id, service, cost, now):
        """Record that a request of this host has begun.

        Engines admit in order of arrival, so the oldest one of this host has.
        """
        waiting = self.waiting.get(endpoint_id)
        if not waiting:
            return
        seconds = now - waiting.popleft()
        if cost is None or not cost.is_stated:
            return
        cached = self.cached.setdefault(endpoint_id, prompts.CachedPrompts())
        load = self.loads.get(endpoint_id)
        if load is not None and not load.waiting and load.running < load.slots:
            slowness = self.slowness.get(endpoint_id, service, now)
            self.read_times[service].add(
                cached.count_unread(cost), seconds / slowness
            )
        cached.record(cost)

    def end(self, endpoint_id, cost, has_begun):
        """Remove a request that has ended, or that was never answered."""
        if cost is not None:
            self.held_tokens[endpoint_id] -= cost.held_tokens
            if not self.held_tokens[endpoint_id]:
                del self.held_tokens[endpoint_id]
        waiting = self.waiting.get(endpoint_id)
        if waiting is None:
            return
        if waiting and not has_begun:
            waiting.popleft()
        if not waiting:
            del self.waiting[endpoint_id]

    def record_load(self, endpoint_id, service, load, now):
        """Store the load that an endpoint has reported in a response."""
        self.loads[endpoint_id] = load
        if load.percent is not None:
            self.slowness.record_report(
                endpoint_id, service, load.percent, now
            )

    def count_stuck(self, endpoint_id, expected_seconds, now):
        """Return the own requests that have waited long for an event."""
        waiting = self.waiting.get(endpoint_id)
        if not waiting:
            return 0
        sent_before = now - QUEUED_SECONDS - expected_seconds
        if waiting[0] > sent_before:
            return 0
        return sum(sent_at <= sent_before for sent_at in waiting)

    def count_unread(self, endpoint_id, cost):
        """Return the tokens that an endpoint has to read of a request."""
        cached = self.cached.get(endpoint_id)
        if cached is None:
            return cost.prompt_tokens
        return cached.count_unread(cost)

    def keep(self, endpoint_ids):
        """Forget all other endpoints."""
        self.slowness.keep(endpoint_ids)
        for table in (self.loads, self.waiting, self.cached):
            for endpoint_id in list(table):
                if endpoint_id not in endpoint_ids:
                    del table[endpoint_id]
