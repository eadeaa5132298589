"""Hedged requests: a second endpoint for streams that may be late.

See `balancing.hedging` for the decision and `balancing.overdue` for the
endpoints that are avoided because of it.
"""

import threading

from rhubarbreach.balancing import hedging
from rhubarbreach.balancing import overdue
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach.gateway import attempt as attempts
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import model
from rhubarbreach.gateway import resume

__all__ = ['HedgeControl', 'RequestHedge']

# Time in which a hedge is connected and sent. The events of the first endpoint
# wait meanwhile. A connection within a region takes 3 ms.
SEND_SECONDS = 0.05
FIRST_SERVER_ERROR = 500


class HedgeControl:
    """Hedges of one host.

    Parameters
    ----------
    view : View
        Endpoints and their loads.
    metrics : Metrics
        Counters.
    fraction : float
        Part of the requests that may be hedged, 0 for none.
    """

    def __init__(self, view, metrics, fraction):
        self.view = view
        self.metrics = metrics
        self.lock = threading.Lock()
        self.policy = hedging.HedgingPolicy(fraction)

    def plan(self, service, objective, received_at, sent_at, is_new=True):
        """Return the `Plan` of a hedge; count its request if it is new."""
        with self.lock:
            if is_new:
                self.policy.budget.record_request(sent_at)
            return self.policy.plan(service, objective, received_at, sent_at)

    def record_first(self, service, objective, seconds):
        """Learn the time to a first event; see `HedgingPolicy`."""
        with self.lock:
            self.policy.record_first(service, objective, seconds)

    def acquire(self, plan, now, is_busy, find_endpoint):
        """Return the `Verdict` on a hedge, and its endpoint or None."""
        endpoint = None
        with self.lock:
            verdict = self.policy.judge(plan, now, is_busy)
            if verdict is hedging.Verdict.SEND:
                endpoint = find_endpoint()
                if endpoint is None:
                    verdict = hedging.Verdict.NO_SLOT
                else:
                    self.policy.budget.spend(now)
        if endpoint is None:
            self.metrics.count('hedges_withheld_total', reason=verdict.value)
        else:
            self.metrics.count('hedges_total')
        return verdict, endpoint


class RequestHedge:
    """Hedge of one request.

    Parameters
    ----------
    app : App
        Provides the endpoints, the quarantine and the hedges of the host.
    info : CallInfo
        Properties of the request.
    route : Route
        Route of the request.
    search : EndpointSearch
        Endpoints that the request was sent to.
    received_at : float
        Time at which the request was read, in seconds of the monotonic clock.
    """

    def __init__(self, app, info, route, search, received_at):
        self.app = app
        self.info = info
        self.route = route
        self.search = search
        self.received_at = received_at
        self.plan = None
        # When the hedge is due; infinite if there is none to send.
        self.due_at = float('inf')
        # Attempt that may be hedged, and the hedge.
        self.first = None
        self.attempt = None

    def begin(self, attempt):
        """Plan the hedge of the first attempt of a request."""
        search = self.search
        if (
            not self.app.hedges.policy.is_enabled
            or self.route.kind is not catalogs.RouteKind.STREAM
            or self.route.objective <= 0
            or search.recorder.sent
            or search.running != [attempt]
            or search.writer.is_started
        ):
            return
        is_new = self.first is None
        self.first = attempt
        attempt.found_slot = (
            self.app.view.counts.get_utilization(attempt.endpoint) <= 1
        )
        self.plan = self.app.hedges.plan(
            attempt.endpoint.service,
            self.route.objective,
            self.received_at,
            attempt.sent_at,
            is_new,
        )
        self.due_at = self.plan.due_at

    def is_due(self, now):
        """Return whether it is to be decided on the hedge."""
        return now >= self.due_at

    def may_repeat(self, now):
        """Return whether the request may be sent to a second endpoint.

        A request that endpoints may crash on is not.
        """
        first = self.first
        quarantine = self.app.leader_client.quarantine
        return (
            self.search.running == [first]
            and not self.search.writer.is_started
            # A response that is no stream is complete soon.
            and (first.head is None or first.stream is not None)
            and self.route.is_repeatable
            and self.search.count_remaining() > 0
            and first.tried_part is None
            and not quarantine.list_held(self.info.prompt, now)
            and quarantine.suspects.isdisjoint(self.info.prompt)
            and not resume.find_stale_refusal(
                self.app, self.search.software_version, now
            )
            and self.search.writer.deadline - now
            > decide.MIN_REMAINING_SECONDS
        )

    def place(self):
        """Return the hedge if it is to be sent now, else None."""
        now = clock.monotonic()
        first = self.first
        service = first.endpoint.service
        view = self.app.view
        if self.plan.is_late(now):
            self.app.metrics.count('hedges_withheld_total', reason='late')
            self.plan = self.plan.postpone(now)
            self.due_at = self.plan.due_at
            return None
        self.due_at = float('inf')
        is_busy = view.is_busy(service)
        if (
            first.head is None
            and overdue.may_be_overdue(first.found_slot, is_busy)
            and view.mark_overdue(
                first.endpoint.endpoint_id, first.sent_at, now
            )
        ):
            self.app.metrics.count('endpoints_overdue_total')
        if not self.may_repeat(now):
            return None
        search = self.search
        _, endpoint = self.app.hedges.acquire(
            self.plan,
            now,
            is_busy,
            lambda: view.acquire_spare(
                service,
                search.excluded,
                search.software_version,
                search.cost,
                now,
            ),
        )
        if endpoint is None:
            return None
        load = view.counts.format_load(endpoint.endpoint_id)
        self.attempt = attempts.Attempt(endpoint, load, None, search.cost)
        self.attempt.is_hedge = self.attempt.found_slot = True
        search.recorder.log('hedged', 'no event in time', first, 'hedge')
        return self.attempt

    def note_event(self, attempt, now):
        """Record an event of an attempt before its recorder does."""
        view = self.app.view
        view.note_event(attempt.endpoint.endpoint_id, now)
        self.due_at = float('inf')
        if attempt.has_event:
            return
        if attempt.found_slot:
            self.learn(attempt, now)
        if attempt is self.attempt:
            self.app.metrics.count('hedges_won_total')

    def record_end(self, attempt, outcome):
        """Learn from an attempt that has ended."""
        if attempt is not self.first:
            return
        self.due_at = float('inf')
        is_late = isinstance(outcome, model.Superseded) and (
            self.attempt is not None and not attempt.has_event
        )
        if is_late and attempt.found_slot:
            # It would have taken longer still.
            self.learn(attempt, clock.monotonic())

    def learn(self, attempt, now):
        """Learn the time that an attempt has waited for its first event."""
        self.app.hedges.record_first(
            attempt.endpoint.service,
            self.route.objective,
            now - attempt.sent_at,
        )

    def has_returned(self, attempt):
        """Return whether a hedge has ended and the first attempt goes on."""
        return attempt.is_hedge and self.first in self.search.running

    def judge_status(self, attempt):
        """Return the outcome of an error while several attempts run.

        Without its hedge, the response of the first attempt would be
        delivered.
        """
        status = attempt.head.status
        if self.attempt is not None and status < FIRST_SERVER_ERROR:
            if attempt is self.attempt and self.first in self.search.running:
                return model.Superseded()
            if attempt is self.first and len(self.search.running) == 2:
                return None
        return model.Broken(f'status {status}, others go on')
