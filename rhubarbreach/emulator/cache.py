"""Emulated prefix cache whose events are delayed and partly lost."""

import collections
import dataclasses

__all__ = ['CacheEvent', 'PrefixCache']

MAX_EVENTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """Event about a prefix block that was stored or evicted."""

    sequence: int
    action: str
    digest: str
    published_at: float


class PrefixCache:
    """Least recently used cache of prefix blocks.

    Parameters
    ----------
    capacity : int
        Maximum number of blocks.
    delay : float
        Delay before an event is published, in seconds.
    loss : float
        Probability that an event is never published.
    random : random.Random
        Generator that decides which events are lost.
    """

    def __init__(self, capacity, delay, loss, random):
        self.capacity = capacity
        self.delay = delay
        self.loss = loss
        self.random = random
        self.blocks = collections.OrderedDict()
        self.events = collections.deque(maxlen=MAX_EVENTS)
        self.sequence = 0

    def count_hits(self, digests):
        """Return the number of leading blocks that are cached."""
        hits = 0
        for digest in digests:
            if digest not in self.blocks:
                break
            self.blocks.move_to_end(digest)
            hits += 1
        return hits

    def store(self, digests, now):
        """Store blocks, evicting the least recently used ones if needed."""
        for digest in digests:
            if digest not in self.blocks:
                self.publish('stored', digest, now)
            self.blocks[digest] = True
            self.blocks.move_to_end(digest)
        while len(self.blocks) > self.capacity:
            evicted, _ = self.blocks.popitem(last=False)
            self.publish('evicted', evicted, now)

    def publish(self, action, digest, now):
        """Schedule an event, or lose it at random.

        A lost event leaves a gap in the sequence numbers.
        """
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

    def get_used_fraction(self):
        """Return the fraction of the capacity that is in use."""
        return len(self.blocks) / self.capacity
