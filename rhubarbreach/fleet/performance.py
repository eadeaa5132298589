"""Run times, speeds and costs of requests that one entry host has learned."""

from rhubarbreach.balancing import costs

__all__ = ['Performance']

# Weight of the newest request in the moving average of run times.
RUN_TIME_WEIGHT = 0.05


class Performance:
    """What a host has learned from the requests that it has sent.

    The lock of the view protects all attributes but `capacity_tokens`, which
    is replaced as a whole and read without it. All methods acquire the lock,
    except for `set_services`.

    Parameters
    ----------
    lock : threading.Lock
        Lock of the view.
    directory : Directory
        Endpoints that the host knows.
    table : balancing.endpoints.EndpointTable
        Work and speed of the endpoints.
    """

    def __init__(self, lock, directory, table):
        self.lock = lock
        self.directory = directory
        self.table = table
        # Mean run time of the requests of each service.
        self.run_seconds = {}
        self.costs = costs.CostModel()
        # Memory of an endpoint of each service in tokens, 0 if unknown.
        self.capacity_tokens = {}

    def set_services(self, services):
        """Take the properties of services from a configuration.

        Parameters
        ----------
        services : iterable of catalog.model.Service
            Services of the configuration in force.
        """
        self.capacity_tokens = {
            service.name: service.capacity_tokens for service in services
        }

    def record_run(self, service, seconds):
        """Add the run time of a completed request to its average."""
        with self.lock:
            average = self.run_seconds.get(service, seconds)
            average += (seconds - average) * RUN_TIME_WEIGHT
            self.run_seconds[service] = average

    def predict_cost(self, service, route, account, statement, objective=0.0):
        """Return the `Cost` of a request; see `CostModel.predict`."""
        capacity_tokens = self.capacity_tokens.get(service, 0)
        with self.lock:
            return self.costs.predict(
                route, account, statement, objective, capacity_tokens
            )

    def record_answer(self, cost, events):
        """Learn from a whole answer; see `CostModel.learn`."""
        with self.lock:
            self.costs.learn(cost, events)

    def record_load(self, endpoint_id, load, now):
        """Store the load that an endpoint has reported in a response.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that has responded.
        load : ServerLoad
            Load that it reports.
        now : float
            Seconds of the monotonic clock.
        """
        with self.lock:
            endpoint = self.directory.endpoints.get(endpoint_id)
            if endpoint is not None:
                self.table.record_load(
                    endpoint_id, endpoint.service, load, now
                )

    def note_first_event(self, endpoint_id, cost, now):
        """Record that an endpoint has begun a request of this host."""
        with self.lock:
            endpoint = self.directory.endpoints.get(endpoint_id)
            if endpoint is not None:
                self.table.note_first_event(
                    endpoint_id, endpoint.service, cost, now
                )

    def record_gap(self, endpoint, gap, now):
        """Record the time between two events; see `Slowness.record_gap`."""
        with self.lock:
            self.table.slowness.record_gap(
                endpoint.endpoint_id, endpoint.service, gap, now
            )

    def list_slow(self, now):
        """Return the endpoints that are slow now, in order."""
        with self.lock:
            return self.table.slowness.list_slow(now)

    def pop_slowness(self):
        """Return what this host has learned of speeds since the last call."""
        with self.lock:
            return self.table.slowness.pop_news()
