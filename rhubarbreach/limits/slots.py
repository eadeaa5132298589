"""Slots of endpoints that one host uses."""

import dataclasses
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import home
from rhubarbreach.protocol import limitmessages

__all__ = [
    'BATCH',
    'EndpointUse',
    'ONLINE',
    'REPORT_PERIOD_SECONDS',
    'SlotTable',
]

# Kinds of slots; equal to the values of `scheduling.work.Lane`.
ONLINE = 'online'
BATCH = 'batch'

# Seconds between two reports to a home host.
REPORT_PERIOD_SECONDS = 0.1
# Online requests that a host may run on an endpoint without a lease, so that
# the first request does not wait for the home host's reply and online work
# continues when the home host is lost.
UNLEASED_ONLINE = 2
# Requests by which online work may exceed the leased slots without waiting.
# The home host then takes slots back from batch work of other hosts.
ONLINE_EXCESS = 2


@dataclasses.dataclass(slots=True)
class EndpointUse:
    """Use of the slots of one endpoint by this host.

    Parameters
    ----------
    online, batch : int
        Running requests.
    online_leased, batch_leased : int
        Slots leased by the home host.
    others : int
        Requests of other hosts that were running there when the lease was
        granted.
    expires_at : float
        Monotonic time in seconds at which the lease ends.
    exclusive : bool
        Whether the home host granted exclusive use of the endpoint.
    wants_exclusive : bool
        Whether a crash suspect waits for exclusive use of the endpoint.
    online_waiting, batch_waiting : int
        Waiting requests that could use further slots of the endpoint.
    first_tokens, inter_tokens : list of float
        Latencies since the last report, in seconds.
    """

    online: int = 0
    batch: int = 0
    online_leased: int = 0
    batch_leased: int = 0
    others: int = 0
    expires_at: float = 0.0
    exclusive: bool = False
    wants_exclusive: bool = False
    online_waiting: int = 0
    batch_waiting: int = 0
    first_tokens: list = dataclasses.field(default_factory=list)
    inter_tokens: list = dataclasses.field(default_factory=list)

    def count(self):
        """Return the number of running requests."""
        return self.online + self.batch


class SlotTable:
    """Slots that this host holds and those it leases as a home host.

    Parameters
    ----------
    host_id : str
        This host.
    fixed_slots : int
        Slots per endpoint under the baseline policy, 0 to lease slots.
    """

    def __init__(self, host_id, fixed_slots=0):
        self.host_id = host_id
        self.fixed_slots = fixed_slots
        self.lock = threading.RLock()
        self.uses = {}
        self.allocators = {}
        self.batch_weight = 1.0

    def get_use(self, endpoint_id):
        """Return the use of an endpoint."""
        use = self.uses.get(endpoint_id)
        if use is None:
            use = self.uses[endpoint_id] = EndpointUse()
        return use

    def has_free(self, endpoint_id, kind, now):
        """Return whether a request may start on an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        kind : str
            `ONLINE` or `BATCH`.
        now : float
            Monotonic time in seconds.
        """
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed_slots:
                return use.count() < self.fixed_slots
            if use.wants_exclusive:
                return False
            if now >= use.expires_at:
                return kind == ONLINE and (use.count() < UNLEASED_ONLINE)
            total = use.online_leased + use.batch_leased
            if kind == BATCH:
                return use.batch < use.batch_leased and use.count() < total
            return use.count() < total

    def may_exceed(self, endpoint_id, now):
        """Return whether online work may exceed the leased slots."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed_slots or use.wants_exclusive:
                return False
            total = 0
            if now < use.expires_at:
                total = use.online_leased + use.batch_leased
            return use.online < total + ONLINE_EXCESS

    def acquire(self, endpoint_id, kind, now):
        """Take a slot if one is free.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        kind : str
            `ONLINE` or `BATCH`.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether a slot was taken.
        """
        with self.lock:
            if not self.has_free(endpoint_id, kind, now):
                return False
            self.force_acquire(endpoint_id, kind)
            return True

    def force_acquire(self, endpoint_id, kind):
        """Count a request as running, whether or not a slot is free."""
        use = self.get_use(endpoint_id)
        if kind == ONLINE:
            use.online += 1
        else:
            use.batch += 1

    def release(self, endpoint_id, kind):
        """Release a slot."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if kind == ONLINE:
                use.online = max(0, use.online - 1)
            else:
                use.batch = max(0, use.batch - 1)

    def observe(self, endpoint_id, first_token, inter_token, _now):
        """Record the latencies of a request for the next report."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if first_token:
                use.first_tokens.append(first_token)
            if inter_token:
                use.inter_tokens.append(inter_token)

    def count_excess(self, endpoint_id, now):
        """Return the number of batch requests that exceed the slots.

        Without a lease there is none: the home host may only be silent, and
        its next lease tells whether others need the slots.
        """
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed_slots:
                return 0
            if use.wants_exclusive:
                return use.batch
            if now >= use.expires_at:
                return 0
            total = use.online_leased + use.batch_leased
            return min(use.batch, max(0, use.count() - total))

    def count_running(self, endpoint_id):
        """Return the number of requests of this host on an endpoint."""
        with self.lock:
            return self.get_use(endpoint_id).count()

    def get_load(self, endpoint_id, now):
        """Return the number of requests of all hosts on an endpoint.

        Returns
        -------
        int or None
            The count of this host's requests is current, that of other hosts
            is from the home host's last reply. None without a valid lease.
        """
        with self.lock:
            use = self.get_use(endpoint_id)
            if now >= use.expires_at:
                return None
            return use.count() + use.others

    def request_exclusive(self, endpoint_id, wanted):
        """Request exclusive use of an endpoint, or end it."""
        with self.lock:
            use = self.get_use(endpoint_id)
            use.wants_exclusive = wanted
            if not wanted:
                use.exclusive = False

    def is_exclusive(self, endpoint_id, now):
        """Return whether this host may start exclusive use of an endpoint."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if use.count():
                return False
            return bool(self.fixed_slots) or (
                use.exclusive and now < use.expires_at
            )

    def set_waiting(self, endpoint_id, online, batch):
        """Set the number of requests that could use further slots."""
        with self.lock:
            use = self.get_use(endpoint_id)
            use.online_waiting = online
            use.batch_waiting = batch

    def make_request(self, endpoint_ids):
        """Return the report to the home host of some endpoints.

        Parameters
        ----------
        endpoint_ids : iterable of str
            Endpoints with the same home host.
        """
        with self.lock:
            uses = tuple(self.make_report(name) for name in endpoint_ids)
        return limitmessages.SlotRequest(uses)

    def make_report(self, endpoint_id):
        """Return the report about one endpoint and reset its latencies."""
        use = self.get_use(endpoint_id)
        first_token = mean(use.first_tokens)
        inter_token = mean(use.inter_tokens)
        use.first_tokens.clear()
        use.inter_tokens.clear()
        return limitmessages.SlotUse(
            endpoint_id,
            use.online,
            use.online_waiting,
            use.batch,
            use.batch_waiting,
            first_token,
            inter_token,
            self.batch_weight,
            use.wants_exclusive,
        )

    def accept_reply(self, request, reply, sent_at):
        """Apply the leased slots of a reply.

        Parameters
        ----------
        request : SlotRequest
            Request that was sent.
        reply : SlotReply or Refusal
            Reply of the home host.
        sent_at : float
            Monotonic time in seconds at which the request was sent and the
            lease begins.
        """
        if isinstance(reply, codes.Refusal):
            return
        duration = reply.duration * (1 - clock.MAX_DRIFT)
        with self.lock:
            for index, reported in enumerate(request.uses):
                use = self.get_use(reported.endpoint_id)
                use.online_leased = reply.online[index]
                use.batch_leased = reply.batch[index]
                use.exclusive = reply.alone[index]
                use.others = reply.others[index]
                use.expires_at = sent_at + duration

    def lease_slots(self, host_id, request, now, get_reported_slots):
        """Lease slots as the home host.

        Parameters
        ----------
        host_id : str
            Host that sent the report.
        request : SlotRequest
            Report of the host.
        now : float
            Monotonic time in seconds.
        get_reported_slots : callable
            Returns the number of slots that an endpoint reports, 0 if
            unknown.

        Returns
        -------
        SlotReply
            Slots leased to the host.
        """
        results = []
        with self.lock:
            for use in request.uses:
                allocator = self.allocators.get(use.endpoint_id)
                if allocator is None:
                    allocator = self.allocators[use.endpoint_id] = (
                        home.SlotAllocator(use.endpoint_id, now)
                    )
                allocator.limit.set_reported_slots(
                    get_reported_slots(use.endpoint_id)
                )
                results.append(allocator.handle_report(host_id, use, now))
        return limitmessages.SlotReply(
            tuple(slots.online for slots in results),
            tuple(slots.batch for slots in results),
            home.LEASE_DURATION_SECONDS,
            tuple(slots.exclusive for slots in results),
            tuple(slots.others for slots in results),
        )

    def drop_allocators(self, endpoint_ids):
        """Drop the allocators of all other endpoints."""
        with self.lock:
            for endpoint_id in set(self.allocators) - set(endpoint_ids):
                del self.allocators[endpoint_id]


def mean(values):
    """Return the mean of a list, 0 when it is empty."""
    return sum(values) / len(values) if values else 0.0
