"""Entry hosts that may connect to endpoints for others."""

import random

__all__ = ['RelayPool']

# Relays that a host is told, of its own zone as far as there are any. Each of
# them gets a part of the requests, and some may have been lost meanwhile.
MAX_RELAYS = 8
# Time for which the report of a host that it may be cut off counts.
REPORT_SECONDS = 1.0


class RelayPool:
    """Hosts that may have lost their links to endpoints, and the others.

    Callers have to hold a lock.

    Parameters
    ----------
    shuffle : callable, optional
        Puts a list in random order.
    """

    def __init__(self, shuffle=random.shuffle):
        self.shuffle = shuffle
        self.doubtful_until = {}

    def report(self, host_id, is_doubtful, now):
        """Record whether a host may have lost its links to endpoints.

        Parameters
        ----------
        host_id : str
            Entry host.
        is_doubtful : bool
            What it has reported.
        now : float
            Seconds of the monotonic clock.
        """
        if is_doubtful:
            self.doubtful_until[host_id] = now + REPORT_SECONDS
        else:
            self.doubtful_until.pop(host_id, None)

    def choose(self, host_id, zone_by_host, now):
        """Return relays for a host, those of its own zone first.

        Parameters
        ----------
        host_id : str
            Host that needs them.
        zone_by_host : dict of str to str
            Availability zones of the entry hosts.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        tuple of str
        """
        zone = zone_by_host.get(host_id)
        near, far = [], []
        for other, other_zone in zone_by_host.items():
            if other != host_id and now >= self.doubtful_until.get(other, 0.0):
                (near if other_zone == zone else far).append(other)
        self.shuffle(near)
        self.shuffle(far)
        return tuple((near + far)[:MAX_RELAYS])
