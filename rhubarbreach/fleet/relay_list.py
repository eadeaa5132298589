"""Entry hosts that connect to endpoints for one that does not reach them."""

import random
import threading

__all__ = ['RelayList']

# Time for which relays are asked for after they were needed, and for which
# those that a leader has named count.
WANTED_SECONDS = 3.0
KNOWN_SECONDS = 1.0
# The same once there is no leader.
REMEMBERED_SECONDS = 10.0
# Time for which a relay that did not serve is tried last.
AVOID_SECONDS = 1.0


class RelayList:
    """Relays of an entry host, as the leader names them.

    Parameters
    ----------
    request_exchange : callable
        Starts an exchange with the leader.
    list_peers : callable
        Returns the other hosts of the zone, which are used without a leader,
        after the relays that it named last.
    shuffle : callable, optional
        Puts a list in random order.
    """

    def __init__(self, request_exchange, list_peers, shuffle=random.shuffle):
        self.request_exchange = request_exchange
        self.list_peers = list_peers
        self.shuffle = shuffle
        self.lock = threading.Lock()
        self.hosts = ()
        self.known_until = float('-inf')
        self.wanted_until = float('-inf')
        self.avoided_until = {}

    def is_wanted(self, now):
        """Return whether the leader is to name relays."""
        return now < self.wanted_until

    def update(self, hosts, now):
        """Store the relays that the leader has named.

        Parameters
        ----------
        hosts : sequence of str
            Host ids, those to try first at the front.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            self.hosts = tuple(hosts)
            self.known_until = now + KNOWN_SECONDS
            self.avoided_until = {
                host_id: until
                for host_id, until in self.avoided_until.items()
                if now < until
            }

    def find(self, now, has_leader):
        """Return the relays, the one to try first at the front.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        has_leader : bool
            Whether a leader can be asked.

        Returns
        -------
        list of str or None
            None while the answer of the leader is awaited.
        """
        was_wanted = self.is_wanted(now)
        self.wanted_until = now + WANTED_SECONDS
        if now < self.known_until:
            hosts = list(self.hosts)
        elif has_leader:
            if not was_wanted:
                self.request_exchange()
            return None
        else:
            hosts = self.list_remembered(now)
        return sorted(
            hosts, key=lambda host_id: now < self.avoided_until.get(host_id, 0)
        )

    def list_remembered(self, now):
        """Return relays while there is no leader.

        All hosts of the own zone may be cut off, so that those that a leader
        has named shortly before come first.
        """
        named = []
        with self.lock:
            if now < self.known_until + REMEMBERED_SECONDS:
                named = list(self.hosts)
        peers = [host for host in self.list_peers() if host not in named]
        self.shuffle(named)
        self.shuffle(peers)
        return named + peers

    def avoid(self, host_id, now):
        """Try a relay last for some time, as it has not served."""
        with self.lock:
            self.avoided_until[host_id] = now + AVOID_SECONDS
