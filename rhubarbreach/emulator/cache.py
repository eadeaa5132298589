"""Prefix cache of limited memory with late and incomplete events."""

import collections
import dataclasses

__all__ = ['CacheEvent', 'PrefixCache']

KEPT_EVENTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A prefix block that was stored or evicted."""

    sequence: int
    action: str
    digest: str
    published_at: float


class PrefixCache:
    """Least recently used cache of prefix blocks.

    Parameters
    ----------
    capacity : int
        Blocks.
    delay : float
        Seconds after which an event is published.
    loss : float
        Fraction of the events that are never published.
    random : random.Random
        Decides which events are lost.
    """

    def __init__(self, capacity, delay, loss, random):
        self.capacity = capacity
        self.delay = delay
        self.loss = loss
        self.random = random
        self.blocks = collections.OrderedDict()
        self.events = collections.deque(maxlen=KEPT_EVENTS)
        self.sequence = 0

    def count_hits(self, digests):
        """Return how many leading blocks are stored."""
        hits = 0
        for digest in digests:
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            hits += 1
        return hits

    def store(self, digests, now):
        """Store blocks and evict the least recently used ones."""
        for digest in digests:
            if digest not in self.blocks:
                self.publish('stored', digest, now)
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self.publish('evicted', evicted, now)

    def publish(self, action, digest, now):
        """Queue an event unless it is lost."""
        self.sequence += 1
        if self.random.random() < self.loss:
            return
        self.events.append(
            CacheEvent(self.sequence, action, digest, now + self.delay)
        )

    def get_events(self, after, now):
        """Return the published events with a sequence above `after`."""
        return [
            event
            for event in self.events
            if event.sequence > after and event.published_at <= now
        ]

    def get_used(self):
        """Return the used fraction of the cache."""
        return len(self.blocks) / self.capacity
