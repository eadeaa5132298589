"""Threads of an entry host whose requests wait for a slot.

The decisions are made by `admission`. An entry host runs one thread for each
connection; the one in which a slot becomes known decides for all of them.
"""

import collections
import itertools
import random
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.gateway import admission
from rhubarbreach.gateway import model
from rhubarbreach.protocol import fleetmessages

__all__ = ['AdmissionControl', 'Call']

LOG = eventlog.Logger('admission')

# Interval at which a waiting request looks whether its caller has
# disconnected, for which 0.5 s are allowed.
CHECK_SECONDS = 0.1
# Shortest time between two log lines on requests that wait.
LOG_INTERVAL_SECONDS = 1.0


class Call:
    """Request that asks for a slot.

    Parameters
    ----------
    service, account : str
        Service of the request, and its client account.
    limits : Limits
        Times by which it has to get a slot.
    is_returned : bool
        Whether it came back after a refusal.
    excluded : collection of str
        Endpoints that have already been tried.
    can_retry : bool
        Whether it can be sent to a further endpoint.
    is_caller_gone : callable
        Returns whether the caller has disconnected.
    cost : Cost, optional
        Predicted cost of the request.
    """

    def __init__(
        self,
        service,
        account,
        limits,
        is_returned,
        excluded,
        can_retry,
        is_caller_gone,
        cost=None,
    ):
        self.service = service
        self.account = account
        self.limits = limits
        self.is_returned = is_returned
        self.excluded = excluded
        self.can_retry = can_retry
        self.is_caller_gone = is_caller_gone
        self.cost = cost
        self.result = None
        self.decided = threading.Event()


class AdmissionControl:
    """Requests that wait for a slot at this host.

    Parameters
    ----------
    view : View
        Endpoints and their loads.
    leader_client : LeaderClient
        Queues of the other hosts.
    metrics : Metrics
        Counters and latencies.
    """

    def __init__(self, view, leader_client, metrics):
        self.view = view
        self.leader_client = leader_client
        self.metrics = metrics
        self.lock = threading.Lock()
        self.queues = collections.defaultdict(admission.AdmissionQueue)
        self.calls = {}
        self.numbers = itertools.count()
        self.ranks = admission.Ranks()
        # What is reported to the leader, by service.
        self.demands = collections.defaultdict(collections.Counter)
        self.completed = collections.Counter()
        self.refused = collections.Counter()
        self.next_log = float('-inf')
        view.on_free = self.handle_free
        leader_client.collect_queues = self.collect_queues

    def describe(self, service, now):
        """Return the `Service` as known now."""
        slots, free, run_seconds, age = self.view.describe_service(service)
        queue = self.leader_client.get_queue(service, now)
        return admission.Service(
            slots,
            free,
            run_seconds,
            age,
            max(1, self.leader_client.schedule.entry_host_count),
            queue.waiting,
            queue.exceeding,
        )

    def get_starting_seconds(self, now):
        """Return the seconds since the first loads of a starting host.

        Returns
        -------
        float or None
            None once the loads of the other hosts are known.
        """
        client = self.leader_client
        if client.has_complete_loads or client.first_reply_at is None:
            return None
        seconds = now - client.first_reply_at
        is_starting = (
            seconds < admission.START_EXCHANGES * client.schedule.interval
        )
        return seconds if is_starting else None

    def get_hold_until(self, now):
        """Return until when requests are held, as no loads are known yet."""
        seconds = self.get_starting_seconds(now)
        if seconds is None:
            return 0.0
        return now + admission.SETTLE_SECONDS

    def acquire(self, call):
        """Return an endpoint for a request, which may wait for it.

        Parameters
        ----------
        call : Call
            Request.

        Returns
        -------
        Endpoint, Refusal or CallerGone
        """
        began_at = clock.monotonic()
        service = call.service
        with self.lock:
            queue = self.queues[service]
            if not call.excluded:
                # Later attempts of a declined request are no new demand.
                queue.record_arrival(began_at)
                if not call.is_returned:
                    self.demands[service][call.account] += 1
            if self.is_calm(queue, service, began_at):
                result = self.acquire_any(call, began_at)
                if not isinstance(result, codes.Refusal):
                    call.result = result
                    return result
            waiter = admission.Waiter(
                next(self.numbers),
                call.account,
                call.limits,
                call.is_returned,
                self.ranks.draw(call.account),
                bool(call.excluded),
            )
            self.calls[waiter.number] = call
            queue.add(waiter, began_at)
            self.step(service, began_at)
        if call.result is None:
            self.wait(call, waiter)
            self.record_wait(call, clock.monotonic() - began_at)
        return call.result

    def is_calm(self, queue, service, now):
        """Return whether a request need not be compared with others."""
        return (
            not queue.waiters
            and self.get_starting_seconds(now) is None
            and not self.view.has_high_utilization(service)
        )

    def acquire_any(self, call, now, choices=None):
        """Return an endpoint with a free slot, or a refusal."""
        result = self.view.acquire(
            call.service,
            call.excluded,
            now,
            0,
            call.can_retry,
            choices=choices,
            cost=call.cost,
        )
        if (
            isinstance(result, codes.Refusal)
            and result.code is codes.ResultCode.NO_ENDPOINT
            and self.view.cold.has_limit(call.service)
            and self.leader_client.has_leader
            and self.view.cold.needs_permit(
                call.service, call.excluded, None, now
            )
        ):
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                'all endpoints are cold, and there is no permit yet',
            )
        return result

    def wait(self, call, waiter):
        """Wait until it is decided what becomes of a request."""
        while call.result is None:
            with self.lock:
                due = self.queues[call.service].get_limit(waiter)
            remaining = clock.remaining(due, clock.monotonic())
            if call.decided.wait(min(remaining, CHECK_SECONDS)):
                return
            is_gone = call.is_caller_gone()
            with self.lock:
                now = clock.monotonic()
                if call.result is None and is_gone:
                    self.queues[call.service].remove(waiter, now)
                    del self.calls[waiter.number]
                    call.result = model.CallerGone()
                elif call.result is None:
                    self.check(call.service, now)

    def check(self, service, now):
        """Refuse requests whose time is over; the lock is held.

        Slots that the loads show as free are used when the leader sends loads,
        as each further attempt would take them from other hosts. Without a
        leader only the hosts of the zone send loads. Requests that wait while
        endpoints are cold ask for permits again, as permits expire soon.
        """
        if self.view.cold.has_limit(service):
            self.leader_client.waits.request_permits(
                service, len(self.queues[service].waiters)
            )
        if not self.leader_client.has_queues(now):
            self.step(service, now)
            return
        self.finish(
            service,
            self.queues[service].refuse(
                self.describe(service, now), now, random.uniform
            ),
        )

    def step(self, service, now, released=None):
        """Send requests to free slots; the lock is held."""
        self.finish(
            service,
            self.queues[service].step(
                self.describe(service, now),
                self.acquire_slot,
                now,
                random.uniform,
                released,
            ),
        )

    def finish(self, service, results):
        """Wake the threads whose requests wait no longer."""
        for waiter, result in results:
            call = self.calls.pop(waiter.number)
            if isinstance(result, codes.Refusal):
                self.refused[service] += 1
            call.result = result
            call.decided.set()

    def acquire_slot(self, waiter, released):
        """Return an endpoint with a free slot for a waiter, or a refusal."""
        call = self.calls[waiter.number]
        now = clock.monotonic()
        if released is not None and not self.view.is_sound(released, now):
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                'the endpoint has failed or takes no requests',
            )
        seconds = self.get_starting_seconds(now)
        if seconds is not None:
            slots, *_ = self.view.describe_service(call.service)
            share = admission.compute_slot_share(
                slots, self.leader_client.schedule.entry_host_count, seconds
            )
            if slots and self.view.count_own(call.service) >= share:
                return codes.Refusal(
                    codes.ResultCode.QUEUE_FULL,
                    'the loads of other hosts are not known yet',
                )
        choices = None if released is None else {released}
        return self.acquire_any(call, now, choices)

    def handle_free(self, endpoint_id):
        """Hand over slots that may have become free.

        Parameters
        ----------
        endpoint_id : str or None
            Endpoint at which a request of this host has ended, None if new
            loads have arrived.
        """
        endpoint = self.view.directory.endpoints.get(endpoint_id)
        with self.lock:
            if endpoint is not None:
                self.completed[endpoint.service] += 1
            if not self.calls:
                return
            now = clock.monotonic()
            for service, queue in self.queues.items():
                if queue.waiters and (
                    endpoint is None or endpoint.service == service
                ):
                    self.step(service, now, endpoint_id)

    def record_wait(self, call, seconds):
        """Count and log a request that has waited."""
        match call.result:
            case codes.Refusal():
                outcome = 'refused'
            case model.CallerGone():
                outcome = 'caller_gone'
            case _:
                outcome = 'sent'
        self.metrics.count('waits_total', outcome=outcome)
        self.metrics.observe('wait_seconds', seconds)
        now = clock.monotonic()
        with self.lock:
            if now < self.next_log:
                return
            self.next_log = now + LOG_INTERVAL_SECONDS
            waiting = len(self.calls)
            service = self.describe(call.service, now)
        LOG.info(
            'event=requests_waiting service={} waiting={} fleet={} free={} '
            'slots={} exceeding={} outcome={} seconds={:.3f}',
            call.service,
            waiting,
            service.waiting,
            service.free,
            service.slots,
            service.exceeding,
            outcome,
            seconds,
        )

    def add_retry_after(self, service, refusal):
        """Return a refusal with the time after which to come back."""
        if refusal.code is not codes.ResultCode.QUEUE_FULL or (
            refusal.retry_after is not None
        ):
            return refusal
        now = clock.monotonic()
        with self.lock:
            self.refused[service] += 1
            return self.queues[service].make_refusal(
                self.describe(service, now),
                now,
                random.uniform,
                refusal.reason,
            )

    def collect_queues(self):
        """Return the `QueueReport` of each service since the last call."""
        with self.lock:
            reports = {}
            for service, queue in self.queues.items():
                report = fleetmessages.QueueReport(
                    dict(self.demands[service]),
                    self.completed[service],
                    queue.count_within_share(),
                    self.refused[service] + len(queue.waiters),
                )
                if report != fleetmessages.QueueReport():
                    reports[service] = report
            self.demands.clear()
            self.completed.clear()
            self.refused.clear()
        return reports
