"""View of the prompt prefixes that are cached by endpoints."""

import collections

__all__ = ['CacheView']

# A prefix that has not been used for this long counts as evicted.
MAX_AGE_SECONDS = 120.0
# Minimum age of all prefixes of an endpoint after a gap in its events, since
# the missing events may be evictions.
GAP_AGE_SECONDS = 60.0
# Prefixes tracked for each endpoint, at about 100 bytes each.
MAX_PREFIXES = 4096


class CacheView:
    """Prefix digests for each endpoint.

    The digests are hints for routing and may be outdated.
    """

    def __init__(self):
        self.prefixes = collections.defaultdict(collections.OrderedDict)
        self.next_events = {}

    def add(self, endpoint_id, digests, now):
        """Record prefixes that an endpoint has processed.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        digests : iterable of bytes
            Digests of prefixes.
        now : float
            Monotonic seconds.
        """
        cached = self.prefixes[endpoint_id]
        for digest in digests:
            cached[digest] = now
            cached.move_to_end(digest)
        while len(cached) > MAX_PREFIXES:
            cached.popitem(last=False)

    def evict(self, endpoint_id, digests):
        """Record prefixes that an endpoint has evicted."""
        cached = self.prefixes[endpoint_id]
        for digest in digests:
            cached.pop(digest, None)

    def apply_events(self, endpoint_id, first, after, stored, evicted, now):
        """Apply cache events of an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        first, after : int
            Sequence number of the first event, and the number after that of
            the last event.
        stored, evicted : iterable of bytes
            Digests of prefixes.
        now : float
            Monotonic seconds.
        """
        expected = self.next_events.get(endpoint_id, first)
        if first != expected:
            self.age_prefixes(endpoint_id, now)
        self.next_events[endpoint_id] = after
        self.add(endpoint_id, stored, now)
        self.evict(endpoint_id, evicted)

    def age_prefixes(self, endpoint_id, now):
        """Raise the age of the prefixes of an endpoint after a gap."""
        cached = self.prefixes[endpoint_id]
        for digest in cached:
            cached[digest] = min(cached[digest], now - GAP_AGE_SECONDS)

    def forget(self, endpoint_id):
        """Remove all prefixes of an endpoint, for example after a restart."""
        self.prefixes.pop(endpoint_id, None)
        self.next_events.pop(endpoint_id, None)

    def match(self, endpoint_id, prefix, now):
        """Return the fraction of a prompt that an endpoint has cached.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        prefix : tuple of bytes
            Digests of the prefixes of the prompt, shortest first.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Between 0 and 1.
        """
        cached = self.prefixes.get(endpoint_id)
        if not cached or not prefix:
            return 0.0
        for length in range(len(prefix), 0, -1):
            used_at = cached.get(prefix[length - 1])
            if used_at is not None and now - used_at < MAX_AGE_SECONDS:
                return length / len(prefix)
        return 0.0
