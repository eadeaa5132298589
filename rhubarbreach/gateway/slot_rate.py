"""Rate at which an entry host gets slots, and the backlog of refused requests.

Designed for load peaks in which all slots are in use for seconds: the rate
says how long a request would wait, and when a refused one may come back.
"""

import math

__all__ = ['Backlog', 'SlotRate']

# Time constant of the measured rate. Peaks last one to three seconds, and in
# half a second a host of a large fleet gets three slots or more.
RATE_SECONDS = 0.5
# Weight of the expected rate in seconds of measurement. A host gets few slots
# a second, so that chance would decide without it.
PRIOR_SECONDS = 0.5
# Time constant of the rate at which requests arrive.
ARRIVAL_SECONDS = 1.0
# Part of the slots that refused requests may expect while new requests use
# all of them. Peaks end, and a rate of zero would send callers away for good.
MIN_SPARE_FRACTION = 0.2
# Smallest rate, against a division by zero.
MIN_RATE = 1e-3
# Bounds on the time after which a refused caller may return. An earlier return
# finds the same requests in the slots.
MIN_RETRY_SECONDS = 0.6
MAX_RETRY_SECONDS = 2.5
# Callers return at random up to this multiple of the time.
RETRY_SPREAD = 1.25


class SlotRate:
    """Slots that requests of one host have got while requests waited.

    `waited` and `started` are decaying sums: the seconds in which requests
    waited, and the requests that were sent in them.
    """

    def __init__(self):
        self.waited = 0.0
        self.started = 0.0
        self.updated_at = None

    def advance(self, now, is_waiting):
        """Add the time since the last call.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        is_waiting : bool
            Whether requests have waited since the last call.
        """
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        decay = math.exp(-max(0.0, elapsed) / RATE_SECONDS)
        self.waited = self.waited * decay + is_waiting * max(0.0, elapsed)
        self.started *= decay

    def record_start(self):
        """Count a waiting request that has got a slot."""
        self.started += 1.0

    def get_rate(self, expected):
        """Return the slots per second that this host gets.

        Parameters
        ----------
        expected : float
            Rate that is expected without a measurement.
        """
        weighed = self.started + expected * PRIOR_SECONDS
        return weighed / (self.waited + PRIOR_SECONDS)


class Backlog:
    """Refused requests of one host that have been told when to come back.

    `owed` is the number of them that are not due yet, and `arrivals` the
    decaying number of requests that arrived.
    """

    def __init__(self):
        self.owed = 0.0
        self.arrivals = 0.0
        self.updated_at = None

    def advance(self, now, rate):
        """Age the arrivals, and reduce the backlog by the slots left over.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        rate : float
            Slots per second that this host gets.
        """
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        spare = self.get_spare_rate(rate)
        self.owed = max(0.0, self.owed - spare * elapsed)
        self.arrivals *= math.exp(-max(0.0, elapsed) / ARRIVAL_SECONDS)

    def record_arrival(self, now, rate):
        """Count a request; see `advance`."""
        self.advance(now, rate)
        self.arrivals += 1.0

    def get_arrival_rate(self):
        """Return the requests per second that arrive at this host."""
        return self.arrivals / ARRIVAL_SECONDS

    def get_spare_rate(self, rate):
        """Return the slots per second that new requests leave over."""
        spare = rate - self.get_arrival_rate()
        return max(spare, MIN_SPARE_FRACTION * rate)

    def draw_retry_after(self, waiting, rate, now, draw):
        """Return the seconds after which a refused caller may return.

        Parameters
        ----------
        waiting : int
            Requests that wait at this host.
        rate : float
            Slots per second that this host gets.
        now : float
            Seconds of the monotonic clock.
        draw : callable
            Returns a random number between two bounds.
        """
        self.advance(now, rate)
        self.owed += 1.0
        spare = self.get_spare_rate(rate)
        seconds = (waiting + self.owed) / max(spare, MIN_RATE)
        seconds *= draw(1.0, RETRY_SPREAD)
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
