"""Requests on endpoints as one entry host counts them, by their sources."""

from rhubarbreach.fleet import zone_loads

__all__ = ['RequestCounts']


# Fraction of the slots of a service from which on online requests leave no
# room for hedges.
BUSY_FRACTION = 0.75
MAX_LOOKS = 24


class RequestCounts:
    """Requests of all hosts and batch items on endpoints.

    The requests of this host are counted here. Those of other hosts come from
    the leader, and for the hosts of this zone from their own reports while all
    of them report.

    The lock of the view protects all attributes. `update_peers`, `list_peers`,
    `format_load` and `copy_running` acquire it; all other methods have to be
    called with it. `get_utilization` may also be called without it, as it only
    reads numbers.

    Parameters
    ----------
    lock : threading.Lock
        Lock of the view.
    """

    def __init__(self, lock):
        self.lock = lock
        self.running = {}
        # Requests of hosts in other zones, and of the others in this zone.
        self.elsewhere = {}
        self.nearby = {}
        self.batch = {}
        # Longest age in seconds of what the leader has sent.
        self.load_age = 0.0
        self.zone_loads = zone_loads.ZoneLoads()

    def update(self, elsewhere, batch, nearby, age, now):
        """Replace the loads that the leader has sent.

        Parameters
        ----------
        elsewhere, batch : dict of str to int
            Requests of hosts in other zones, and batch items, by endpoint.
        nearby : dict of str to int or None
            Requests of the other hosts in this zone. They are used while not
            all of these hosts report to this one.
        age : float
            Longest age of the loads in seconds.
        now : float
            Seconds of the monotonic clock.
        """
        self.elsewhere = elsewhere
        self.batch = batch
        self.load_age = age
        totals = self.zone_loads.get_totals(now)
        self.nearby = (nearby or {}) if totals is None else totals

    def report_peer(self, host_id, running, now):
        """Store the running requests of another host of the zone."""
        self.zone_loads.report(host_id, running, now)
        totals = self.zone_loads.get_totals(now)
        if totals is not None:
            self.nearby = totals

    def is_peer(self, host_id):
        """Return whether a host is another one of the zone."""
        return host_id in self.zone_loads.peers

    def add(self, endpoint_id):
        """Count a request of this host on an endpoint."""
        self.running[endpoint_id] = self.running.get(endpoint_id, 0) + 1

    def remove(self, endpoint_id):
        """Remove a request of this host from an endpoint."""
        count = self.running.get(endpoint_id, 0) - 1
        if count > 0:
            self.running[endpoint_id] = count
        else:
            self.running.pop(endpoint_id, None)

    def count_online(self, endpoint_id):
        """Return the requests of all hosts on an endpoint."""
        return (
            self.running.get(endpoint_id, 0)
            + self.elsewhere.get(endpoint_id, 0)
            + self.nearby.get(endpoint_id, 0)
        )

    def count_free_slots(self, endpoints):
        """Return the slots of endpoints that online requests do not use."""
        running, elsewhere, nearby = self.running, self.elsewhere, self.nearby
        free = 0
        for endpoint in endpoints:
            name = endpoint.endpoint_id
            # As `count_online`, which takes three times as long.
            idle = endpoint.slots - running.get(name, 0)
            idle -= elsewhere.get(name, 0) + nearby.get(name, 0)
            if idle > 0:
                free += idle
        return free

    def count_used(self, endpoint_id):
        """Return the requests of all hosts and the items on an endpoint."""
        return self.count_online(endpoint_id) + self.batch.get(endpoint_id, 0)

    def make_counter(self):
        """Return a function like `count_used` for many calls in a row.

        It is valid while the lock is held, and looks up no attributes.
        """
        running, nearby = self.running, self.nearby
        elsewhere, batch = self.elsewhere, self.batch
        return lambda endpoint_id: (
            running.get(endpoint_id, 0)
            + nearby.get(endpoint_id, 0)
            + elsewhere.get(endpoint_id, 0)
            + batch.get(endpoint_id, 0)
        )

    def get_utilization(self, endpoint):
        """Return the fraction of an endpoint's slots that is in use."""
        return self.count_used(endpoint.endpoint_id) / max(1, endpoint.slots)

    def is_busy(self, endpoints):
        """Return whether online requests leave no room for hedges.

        Items of batch jobs yield to them and do not count. A part of the
        endpoints is looked at, evenly spread.
        """
        endpoints = endpoints[:: 1 + len(endpoints) // MAX_LOOKS]
        slots = sum(endpoint.slots for endpoint in endpoints)
        free = self.count_free_slots(endpoints)
        return free <= (1 - BUSY_FRACTION) * slots

    def is_half_idle(self, endpoints):
        """Return whether under half of the slots of endpoints are in use."""
        online = sum(self.count_online(e.endpoint_id) for e in endpoints)
        return online * 2 < sum(endpoint.slots for endpoint in endpoints)

    def has_free_slot(self, endpoint):
        """Return whether an online request begins there at once."""
        return self.count_online(endpoint.endpoint_id) < endpoint.slots

    def is_queue_full(self, endpoint, queue_limit):
        """Return whether no further request may wait at an endpoint."""
        online = self.count_online(endpoint.endpoint_id)
        return online >= endpoint.slots + queue_limit

    def list_open(self, rows, queue_limit, barred):
        """Return those of some endpoints at which a request may wait.

        A decision compares up to all endpoints of a service, so that no
        function is called for each of them.

        Parameters
        ----------
        rows : iterable of tuple
            Endpoints, each with its id and slots.
        queue_limit : int
            Requests that may wait at an endpoint.
        barred : set of str
            Endpoints that the request may not use.
        """
        running, nearby = self.running.get, self.nearby.get
        elsewhere = self.elsewhere.get
        # The own requests are few, and are only looked up if they decide.
        return [
            endpoint
            for endpoint, name, slots in rows
            if (others := elsewhere(name, 0) + nearby(name, 0))
            < slots + queue_limit
            and name not in barred
            and others + running(name, 0) < slots + queue_limit
        ]

    def update_peers(self, peers):
        """Replace the other hosts of the zone."""
        with self.lock:
            self.zone_loads.set_peers(peers)

    def list_peers(self):
        """Return the other hosts of the zone."""
        with self.lock:
            return tuple(self.zone_loads.peers)

    def copy_running(self):
        """Return the running requests of this host by endpoint."""
        with self.lock:
            return dict(self.running)

    def format_load(self, endpoint_id):
        """Return the known load of an endpoint as text for the log.

        Returns
        -------
        str
            Requests of this host, of the others in its zone, of those in
            other zones, and batch items, joined by plus signs.
        """
        with self.lock:
            counts = (self.running, self.nearby, self.elsewhere, self.batch)
            return '+'.join(str(c.get(endpoint_id, 0)) for c in counts)
