"""Search of endpoints for the attempts of one request.

Each endpoint is asked once, as long as there are others. One that was only
silent, slow or full may be asked again.
"""

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.gateway import admission
from rhubarbreach.gateway import askable
from rhubarbreach.gateway import attempt as attempts
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import model
from rhubarbreach.gateway import resume
from rhubarbreach.gateway import waiting

__all__ = ['EndpointSearch']

# A request counts as retried if its caller waits for less than this fraction
# of the timeout of the route.
RETRY_TIMEOUT_FRACTION = 0.95
# Time for which a stream without an endpoint waits for one. Callers abandon a
# silent stream after two seconds or more. One that ends before may be taken up
# at another host, which may reach other endpoints.
WAIT_SECONDS = 1.2
# Refusals that may end as soon as an endpoint has room.
UNAVAILABLE = (codes.ResultCode.NO_ENDPOINT, codes.ResultCode.QUEUE_FULL)


class EndpointSearch:
    """Endpoints that one request was sent to, and that it may be sent to.

    Parameters
    ----------
    app : App
        Provides the endpoints and the quarantine.
    info : CallInfo
        Properties of the request.
    route : Route
        Route of the request.
    writer : ResponseWriter
        Response to the caller.
    recorder : OutcomeRecorder
        Outcomes of the attempts that have ended.
    running : list of Attempt
        Attempts that run, which the caller of this class updates.
    account : str
        Client account of the request, empty if there is none.
    received_at : float
        Time at which the request was read, in seconds of the monotonic clock.
    is_caller_gone : callable
        Returns whether the caller has disconnected.
    """

    def __init__(
        self,
        app,
        info,
        route,
        writer,
        recorder,
        running,
        account,
        received_at,
        is_caller_gone,
    ):
        self.app = app
        self.info = info
        self.route = route
        self.writer = writer
        self.recorder = recorder
        self.running = running
        self.account = account
        self.received_at = received_at
        self.is_caller_gone = is_caller_gone
        # Version at which the stream began; None before it has.
        self.software_version = None
        # Endpoints that have been asked.
        self.excluded = set()
        self.askable = askable.AskableEndpoints()
        # Endpoints that have declined while no other one was at work.
        self.declined = 0
        # Until when to wait for an endpoint, as none is at work.
        self.wait_until = float('inf')
        # Predicted cost of the request, None until its service is known.
        self.cost = None

    def begin(self, attempt):
        """Record that an attempt begins."""
        endpoint_id = attempt.endpoint.endpoint_id
        self.excluded.add(endpoint_id)
        self.askable.begin(endpoint_id)

    def record(self, attempt, outcome):
        """Record the outcome of an attempt that no longer runs."""
        now = clock.monotonic()
        if not isinstance(outcome, model.NotRun | model.Unread):
            self.wait_until = now + WAIT_SECONDS
        elif isinstance(outcome, model.NotRun) and not self.running:
            self.declined += 1
        self.askable.record(attempt.endpoint.endpoint_id, outcome, now)

    def place(self, service, prompt, proof):
        """Acquire an endpoint for the next attempt.

        Parameters
        ----------
        service : str
            Service of the request.
        prompt : tuple of str
            Parts of its prompt that may be in quarantine.
        proof : EndProof or None
            Unproven end of the stream. Its endpoint is asked first.

        Returns
        -------
        Attempt, Refusal or CallerGone
        """
        quarantine = self.app.leader_client.quarantine
        while True:
            if not self.app.leader_client.wait_for_contact():
                return codes.Refusal(
                    codes.ResultCode.NO_ENDPOINT,
                    'this host has stood still and reaches no leader',
                )
            now = clock.monotonic()
            # A quarantine may begin while the request is retried.
            refusal = quarantine.find_refusal(prompt, now)
            if refusal is not None:
                return refusal
            if proof is not None and proof.may_ask_again:
                attempt = self.repeat_last(proof)
                if attempt is not None:
                    return attempt
            refusal = resume.find_stale_refusal(
                self.app, self.software_version, now
            )
            if refusal is not None:
                return refusal
            if self.app.view.cold.has_limit(service):
                self.app.leader_client.waits.wait_for_permit(
                    service, self.excluded, self.software_version
                )
                now = clock.monotonic()
            endpoint = self.acquire(service, now)
            if isinstance(endpoint, codes.Refusal | model.CallerGone):
                return endpoint
            may_send, tried_part = quarantine.begin_trial(prompt, now)
            if may_send:
                load = self.app.view.counts.format_load(endpoint.endpoint_id)
                return attempts.Attempt(endpoint, load, tried_part, self.cost)
            # Another request has used the trial of the part.
            self.app.view.release(endpoint.endpoint_id, self.cost)
            self.app.view.notify_free()

    def repeat_last(self, proof):
        """Return an attempt at the endpoint whose end is to be proven.

        Returns
        -------
        Attempt or None
            None if the endpoint takes no new requests.
        """
        proof.may_ask_again = False
        endpoint = self.app.view.acquire_again(proof.endpoint)
        if endpoint is None:
            return None
        load = self.app.view.counts.format_load(endpoint.endpoint_id)
        proof.repeat = attempts.Attempt(endpoint, load, None)
        return proof.repeat

    def acquire(self, service, now):
        """Return an endpoint for the next attempt, or why there is none.

        Returns
        -------
        Endpoint, Refusal or CallerGone
        """
        if self.is_new():
            return self.app.admission.acquire(self.make_call(service, now))
        result = self.acquire_now(service, now)
        is_refused = isinstance(result, codes.Refusal) and not (
            self.writer.is_started or self.recorder.sent or self.running
        )
        if is_refused:
            return self.app.admission.add_retry_after(service, result)
        return result

    def is_new(self):
        """Return whether the request waits at this host for a slot.

        Streams that go on, and requests that may have run at an endpoint, are
        sent to engines in which they may wait for longer.
        """
        return (
            self.route.objective > 0
            and self.software_version is None
            and not self.writer.is_started
            and not self.recorder.sent
            and not self.running
        )

    def make_call(self, service, now):
        """Return the `Call` that waits for a slot for this request."""
        deadline = self.writer.deadline - decide.MIN_REMAINING_SECONDS
        is_returned = self.is_returned()
        limits = admission.compute_limits(
            self.received_at,
            self.route.objective,
            deadline,
            is_returned,
            self.app.admission.get_hold_until(now),
        )
        return waiting.Call(
            service,
            self.account,
            limits,
            is_returned,
            self.excluded,
            self.count_remaining() > 1,
            self.is_caller_gone,
            self.cost,
        )

    def is_returned(self):
        """Return whether the request came back after a refusal.

        It is recognized by its time limit, which is shorter than the timeout
        of the route.
        """
        timeout = self.info.timeout
        return (
            timeout is not None
            and timeout < self.route.timeout * RETRY_TIMEOUT_FRACTION
        )

    def acquire_now(self, service, now):
        """Return an endpoint, at which the request may wait, or a refusal."""
        if not self.route.is_repeatable or self.count_remaining() > 0:
            endpoint = self.app.view.acquire(
                service,
                self.excluded,
                now,
                self.choose_queue_limit(service),
                self.count_remaining() > 1,
                self.software_version,
                cost=self.cost,
            )
            is_found = not isinstance(endpoint, codes.Refusal)
            if is_found or not self.may_have_run():
                return endpoint
        return self.acquire_spare(service, now)

    def acquire_spare(self, service, now):
        """Return an endpoint that was asked before, or is avoided.

        An endpoint that has just failed may hold a request for long, so only
        a stream that has begun, or is silent elsewhere, is sent there.
        """
        choices = self.list_askable() & self.askable.list_ready(
            now, bool(self.running)
        )
        may_be_held = self.writer.is_started or bool(self.running)
        if may_be_held and self.count_remaining() > 0:
            choices |= self.list_untried(service)
        return self.app.view.acquire(
            service,
            (),
            now,
            self.choose_queue_limit(service),
            False,
            self.software_version,
            choices,
            self.cost,
        )

    def list_askable(self):
        """Return the ids of the endpoints that may be asked again."""
        if not self.may_have_run():
            return set()
        endpoint_ids = self.askable.list_all()
        if self.count_remaining() <= 0:
            endpoint_ids &= self.recorder.endpoint_ids
        return endpoint_ids

    def list_untried(self, service):
        """Return the ids of the endpoints that were not asked."""
        endpoint_ids = self.app.view.directory.list_endpoint_ids(
            service, self.software_version
        )
        return endpoint_ids - self.excluded

    def may_have_run(self):
        """Return whether the request may have run, and may run again."""
        return self.route.is_repeatable and bool(
            self.recorder.sent or self.running
        )

    def count_remaining(self):
        """Return to how many more endpoints the request may be sent."""
        if not self.route.is_repeatable:
            return 0
        # An endpoint that is asked once more is no further endpoint.
        endpoint_ids = self.recorder.endpoint_ids.union(
            attempt.endpoint.endpoint_id for attempt in self.running
        )
        return self.route.max_attempts - len(endpoint_ids)

    def can_retry(self):
        """Return whether the request may be sent to a further endpoint."""
        return self.count_remaining() > 0 or bool(self.list_askable())

    def can_wait(self, service, refusal):
        """Return whether a stream may go on at an endpoint later.

        The caller has a part of it, so that a refusal would cut it.
        """
        now = clock.monotonic()
        is_in_time = self.writer.deadline - now > decide.MIN_REMAINING_SECONDS
        if not (self.writer.is_started and is_in_time):
            return False
        if resume.find_stale_refusal(self.app, self.software_version, now):
            return True
        if refusal.code not in UNAVAILABLE or now >= self.wait_until:
            return False
        if self.count_remaining() > 0 and self.list_untried(service):
            return True
        return bool(
            self.list_askable()
            & self.app.view.directory.list_endpoint_ids(
                service, self.software_version
            )
        )

    def must_pause(self, outcome):
        """Return whether to pause before one more endpoint is asked.

        The whole fleet is full if many endpoints have declined.
        """
        return (
            isinstance(outcome, model.NotRun)
            and (self.writer.is_started or bool(self.running))
            and self.recorder.declined > decide.MAX_DECLINED
        )

    def choose_queue_limit(self, service):
        """Return the queue limit of endpoints for this request.

        A stream that has begun cannot go to endpoints of other software
        versions.
        """
        has_begun = self.software_version is not None
        is_late = bool(
            self.recorder.sent or self.running or self.is_returned()
        )
        return self.app.view.choose_queue_limit(
            service, self.route.objective, is_late, has_begun
        )
