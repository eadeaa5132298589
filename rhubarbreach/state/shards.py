"""Immutable map whose changed copy shares most of its memory."""

__all__ = ['ShardedMap']

# A change copies one shard and the tuple of shards: with 13,000 entries
# that is 51 entries and 256 references instead of 13,000 entries.
SHARD_COUNT = 256
EMPTY = {}


class ShardedMap:
    """Map that is never modified; `put` and `remove` return a new one.

    Parameters
    ----------
    pairs : iterable of tuple, optional
        Keys and values of the map.
    """

    __slots__ = ('ordered', 'shards', 'size')

    def __init__(self, pairs=()):
        shards = [EMPTY] * SHARD_COUNT
        for key, value in pairs:
            place = hash(key) % SHARD_COUNT
            if shards[place] is EMPTY:
                shards[place] = {}
            shards[place][key] = value
        self.ordered = None
        self.shards = tuple(shards)
        self.size = sum(len(shard) for shard in shards)

    def __len__(self):
        return self.size

    def __eq__(self, other):
        if not isinstance(other, ShardedMap):
            return NotImplemented
        return self.shards == other.shards

    def __hash__(self):
        return hash(self.size)

    def __contains__(self, key):
        return key in self.shards[hash(key) % SHARD_COUNT]

    def get(self, key, default=None):
        """Return the value of a key, or the default."""
        return self.shards[hash(key) % SHARD_COUNT].get(key, default)

    def put(self, key, value):
        """Return a map in which a key has a value."""
        return self.replace_shard(key, {key: value})

    def remove(self, key):
        """Return a map without a key."""
        if key not in self:
            return self
        return self.replace_shard(key, {})

    def replace_shard(self, key, entries):
        """Return a map in which `entries` replace the entry of a key."""
        place = hash(key) % SHARD_COUNT
        old = self.shards[place]
        shard = {**old, **entries}
        if not entries:
            del shard[key]
        changed = ShardedMap.__new__(ShardedMap)
        changed.ordered = None
        changed.shards = (
            *self.shards[:place],
            shard,
            *self.shards[place + 1 :],
        )
        changed.size = self.size + len(shard) - len(old)
        return changed

    def values(self):
        """Return the values sorted by their keys, as a tuple.

        The tuple is kept, since the map never changes.
        """
        if self.ordered is None:
            self.ordered = tuple(value for _, value in self.items())
        return self.ordered

    def items(self):
        """Return the pairs sorted by their keys, as a tuple."""
        pairs = [pair for shard in self.shards for pair in shard.items()]
        return tuple(sorted(pairs, key=lambda pair: pair[0]))
