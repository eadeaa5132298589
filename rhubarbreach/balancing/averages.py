"""Moving averages in tables of bounded size."""

import collections

__all__ = ['Average', 'AverageTable']


class Average:
    """Moving average of values and of their squares.

    The first values count equally, until the weight of the newest one has
    fallen to `weight`.
    """

    __slots__ = ('count', 'mean', 'square')

    def __init__(self):
        self.count = 0
        self.mean = 0.0
        self.square = 0.0

    @property
    def variance(self):
        """Mean squared distance from the mean."""
        return max(0.0, self.square - self.mean * self.mean)

    def add(self, value, weight):
        """Add a value."""
        self.count += 1
        weight = max(weight, 1 / self.count)
        self.mean += (value - self.mean) * weight
        self.square += (value * value - self.square) * weight


class AverageTable:
    """Moving averages by key; the least recently used ones are forgotten.

    Parameters
    ----------
    max_entries : int
        Most keys that are remembered.
    weight : float
        Weight of the newest value.
    """

    def __init__(self, max_entries, weight):
        self.max_entries = max_entries
        self.weight = weight
        self.entries = collections.OrderedDict()

    def get(self, key):
        """Return the `Average` of a key, or None if it has no values."""
        return self.entries.get(key)

    def add(self, key, value):
        """Add a value to the average of a key."""
        average = self.entries.get(key)
        if average is None:
            average = self.entries[key] = Average()
            if len(self.entries) > self.max_entries:
                self.entries.popitem(last=False)
        else:
            self.entries.move_to_end(key)
        average.add(value, self.weight)
