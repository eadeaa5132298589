"""Slots of endpoints as used by one host."""

import dataclasses
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import home
from rhubarbreach.protocol import limitmessages

__all__ = ['BATCH', 'ONLINE', 'REPORT_PERIOD', 'SlotTable', 'Use']

# Kinds of slots; equal to the values of `scheduling.work.Lane`.
ONLINE = 'online'
BATCH = 'batch'

# Seconds between two reports to a home host.
REPORT_PERIOD = 0.1
# Online requests that a host may run on an endpoint without a lease, so
# that the first request does not wait for a reply of the home host and a
# lost home host does not stop online work.
UNLEASED_ONLINE = 2
# Requests by which online work may exceed the leased slots at once; the
# home host takes the slots back from batch work of other hosts.
ONLINE_EXCESS = 2


@dataclasses.dataclass(slots=True)
class Use:
    """Slots of one endpoint on this host.

    Parameters
    ----------
    online, batch : int
        Requests running.
    online_leased, batch_leased : int
        Slots leased by the home host.
    others : int
        Requests of other hosts that ran there then.
    expires_at : float
        When the lease ends.
    alone : bool
        Whether the home host gave the whole endpoint.
    want_alone : bool
        Whether a crash suspect waits for the whole endpoint.
    online_waiting, batch_waiting : int
        Requests that could use further slots here.
    first_tokens, inter_tokens : list of float
        Latencies since the last report, in seconds.
    """

    online: int = 0
    batch: int = 0
    online_leased: int = 0
    batch_leased: int = 0
    others: int = 0
    expires_at: float = 0.0
    alone: bool = False
    want_alone: bool = False
    online_waiting: int = 0
    batch_waiting: int = 0
    first_tokens: list = dataclasses.field(default_factory=list)
    inter_tokens: list = dataclasses.field(default_factory=list)

    def count(self):
        """Return the requests running."""
        return self.online + self.batch


class SlotTable:
    """Slots that this host holds, and those it issues as a home host.

    Parameters
    ----------
    host_id : str
        This host.
    fixed : int
        Slots per endpoint for the baseline policy; 0 leases slots.
    """

    def __init__(self, host_id, fixed=0):
        self.host_id = host_id
        self.fixed = fixed
        self.lock = threading.RLock()
        self.uses = {}
        self.homes = {}
        self.batch_weight = 1.0

    def get_use(self, endpoint_id):
        """Return the `Use` of an endpoint."""
        use = self.uses.get(endpoint_id)
        if use is None:
            use = self.uses[endpoint_id] = Use()
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
            Monotonic seconds.
        """
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed:
                return use.count() < self.fixed
            if use.want_alone:
                return False
            if now >= use.expires_at:
                return kind == ONLINE and (use.count() < UNLEASED_ONLINE)
            total = use.online_leased + use.batch_leased
            if kind == BATCH:
                return use.batch < use.batch_leased and use.count() < total
            return use.count() < total

    def may_exceed(self, endpoint_id, now):
        """Return whether online work may start beyond the lease."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed or use.want_alone:
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
            Monotonic seconds.

        Returns
        -------
        bool
            Whether a slot was taken.
        """
        with self.lock:
            if not self.has_free(endpoint_id, kind, now):
                return False
            self.take(endpoint_id, kind)
            return True

    def take(self, endpoint_id, kind):
        """Count a request as running, whether or not a slot is free."""
        use = self.get_use(endpoint_id)
        if kind == ONLINE:
            use.online += 1
        else:
            use.batch += 1

    def release(self, endpoint_id, kind):
        """Give a slot back."""
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
        """Return by how many requests batch work exceeds its slots."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if self.fixed:
                return 0
            if use.want_alone or now >= use.expires_at:
                return use.batch
            total = use.online_leased + use.batch_leased
            return min(use.batch, max(0, use.count() - total))

    def count_running(self, endpoint_id):
        """Return the requests of this host on an endpoint."""
        with self.lock:
            return self.get_use(endpoint_id).count()

    def get_load(self, endpoint_id, now):
        """Return the requests on an endpoint by the home host's last reply.

        Returns
        -------
        int or None
            This host's requests are exact, those of others as old as the
            reply; None without a valid lease.
        """
        with self.lock:
            use = self.get_use(endpoint_id)
            if now >= use.expires_at:
                return None
            return use.count() + use.others

    def want_alone(self, endpoint_id, wanted):
        """Ask for a whole endpoint, or give it back."""
        with self.lock:
            use = self.get_use(endpoint_id)
            use.want_alone = wanted
            if not wanted:
                use.alone = False

    def is_alone(self, endpoint_id, now):
        """Return whether the whole endpoint is this host's."""
        with self.lock:
            use = self.get_use(endpoint_id)
            if use.count():
                return False
            return bool(self.fixed) or (use.alone and now < use.expires_at)

    def set_waiting(self, endpoint_id, online, batch):
        """Set how many requests could use further slots of an endpoint."""
        with self.lock:
            use = self.get_use(endpoint_id)
            use.online_waiting = online
            use.batch_waiting = batch

    def make_request(self, endpoint_ids):
        """Return the report for the home host of some endpoints.

        Parameters
        ----------
        endpoint_ids : iterable of str
            Endpoints with the same home host.
        """
        with self.lock:
            uses = tuple(self.make_use(name) for name in endpoint_ids)
        return limitmessages.SlotRequest(uses)

    def make_use(self, endpoint_id):
        """Return the report about one endpoint and start a new one."""
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
            use.want_alone,
        )

    def accept_reply(self, request, reply, sent_at):
        """Take over leased slots.

        Parameters
        ----------
        request : SlotRequest
            What was asked.
        reply : SlotReply or Refusal
            What the home host answered.
        sent_at : float
            Monotonic seconds when the request was sent; the lease counts
            from then.
        """
        if isinstance(reply, codes.Refusal):
            return
        duration = reply.duration * (1 - clock.MAX_DRIFT)
        with self.lock:
            for index, asked in enumerate(request.uses):
                use = self.get_use(asked.endpoint_id)
                use.online_leased = reply.online[index]
                use.batch_leased = reply.batch[index]
                use.alone = reply.alone[index]
                use.others = reply.others[index]
                use.expires_at = sent_at + duration

    def answer(self, host_id, request, now, slots_of):
        """Issue slots as the home host.

        Parameters
        ----------
        host_id : str
            Host that asks.
        request : SlotRequest
            Its report.
        now : float
            Monotonic seconds.
        slots_of : callable
            Returns the slots that an endpoint reports, 0 if unknown.

        Returns
        -------
        SlotReply
            Leased slots.
        """
        results = []
        with self.lock:
            for use in request.uses:
                found = self.homes.get(use.endpoint_id)
                if found is None:
                    found = self.homes[use.endpoint_id] = home.Home(
                        use.endpoint_id, now
                    )
                found.limit.set_reported(slots_of(use.endpoint_id))
                results.append(found.request(host_id, use, now))
        return limitmessages.SlotReply(
            tuple(slots.online for slots in results),
            tuple(slots.batch for slots in results),
            home.LEASE_DURATION,
            tuple(slots.alone for slots in results),
            tuple(slots.others for slots in results),
        )

    def forget_homes(self, kept):
        """Stop being the home host of endpoints that are not kept."""
        with self.lock:
            for endpoint_id in set(self.homes) - set(kept):
                del self.homes[endpoint_id]


def mean(values):
    """Return the mean of a list, 0 when it is empty."""
    return sum(values) / len(values) if values else 0.0
