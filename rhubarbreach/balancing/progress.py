"""Progress of one response, and the pace of its events."""

__all__ = ['Progress']


class Progress:
    """Events of a response that have arrived.

    `has_begun` is whether the endpoint runs the request, as far as known.
    """

    __slots__ = ('arrived_at', 'events', 'gap', 'has_begun')

    def __init__(self):
        self.events = 0
        self.arrived_at = 0.0
        # Seconds between the last two events; infinite if not known.
        self.gap = float('inf')
        self.has_begun = False

    def add(self, count, now):
        """Add events that have arrived together.

        Parameters
        ----------
        count : int
            Number of the events.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        float or None
            Seconds between two events. None without an event before, and if
            several events have arrived together, as this host was slow to
            read then.

        Notes
        -----
        Of the last two gaps the shorter one is returned. A host that is slow
        to read makes one gap longer, and an endpoint that is slow makes all.
        """
        previous, self.arrived_at = self.arrived_at, now
        self.events += count
        if self.events == count or count > 1:
            self.gap = float('inf')
            return None
        shorter = min(self.gap, now - previous)
        self.gap = now - previous
        return shorter
