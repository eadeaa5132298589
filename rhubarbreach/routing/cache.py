"""View of the prompt prefixes that endpoints hold in their caches."""

import collections

__all__ = ['CacheView']

# Seconds after which a prefix counts as evicted without further use.
MAX_AGE = 120.0
# Age in seconds given to all prefixes of an endpoint at a gap in its
# events, because some of them may have been evicted unseen.
GAP_AGE = 60.0
# Prefixes remembered for each endpoint, about 100 bytes each.
MAX_PREFIXES = 4096


class CacheView:
    """Prefix digests for each endpoint. Hints only: they may be wrong."""

    def __init__(self):
        self.prefixes = collections.defaultdict(collections.OrderedDict)
        self.positions = {}

    def add(self, endpoint_id, digests, now):
        """Note prefixes that an endpoint has processed.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        digests : iterable of bytes
            Digests of prefixes.
        now : float
            Monotonic seconds.
        """
        held = self.prefixes[endpoint_id]
        for digest in digests:
            held[digest] = now
            held.move_to_end(digest)
        while len(held) > MAX_PREFIXES:
            held.popitem(last=False)

    def evict(self, endpoint_id, digests):
        """Note prefixes that an endpoint no longer holds."""
        held = self.prefixes[endpoint_id]
        for digest in digests:
            held.pop(digest, None)

    def apply_events(self, endpoint_id, first, after, stored, evicted, now):
        """Take cache events of an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        first, after : int
            Number of the first event and number behind the last one.
        stored, evicted : iterable of bytes
            Digests of prefixes.
        now : float
            Monotonic seconds.
        """
        expected = self.positions.get(endpoint_id, first)
        if first != expected:
            self.age_all(endpoint_id, now)
        self.positions[endpoint_id] = after
        self.add(endpoint_id, stored, now)
        self.evict(endpoint_id, evicted)

    def age_all(self, endpoint_id, now):
        """Let the prefixes of an endpoint expire sooner."""
        held = self.prefixes[endpoint_id]
        for digest in held:
            held[digest] = min(held[digest], now - GAP_AGE)

    def forget(self, endpoint_id):
        """Drop what is known of an endpoint, such as after its restart."""
        self.prefixes.pop(endpoint_id, None)
        self.positions.pop(endpoint_id, None)

    def match(self, endpoint_id, prefix, now):
        """Return which fraction of a prompt an endpoint has cached.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        prefix : tuple of bytes
            Digests of growing prefixes, shortest first.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Between 0 and 1.
        """
        held = self.prefixes.get(endpoint_id)
        if not held or not prefix:
            return 0.0
        for count in range(len(prefix), 0, -1):
            seen = held.get(prefix[count - 1])
            if seen is not None and now - seen < MAX_AGE:
                return count / len(prefix)
        return 0.0
