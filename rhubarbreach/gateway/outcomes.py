"""Record of the attempts of a request: counts, health and log."""

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.gateway import heads
from rhubarbreach.gateway import model

__all__ = ['OutcomeRecorder']

LOG = eventlog.Logger('forward')


class OutcomeRecorder:
    """Recorder of the outcomes of one request.

    Parameters
    ----------
    app : App
        Provides the health of endpoints and the metrics.
    info : CallInfo
        Properties of the request.
    route : Route
        Route of the request.
    writer : ResponseWriter
        Response to the caller.
    """

    def __init__(self, app, info, route, writer):
        self.app = app
        self.info = info
        self.route = route
        self.writer = writer
        self.started_at = clock.monotonic()
        # Endpoints on which the request may have run, and how often it was
        # declined, without the attempts that are running.
        self.endpoint_ids = set()
        self.declined = 0
        # Whether an endpoint has begun to answer the request.
        self.was_answered = False
        # Attempt that was recorded last.
        self.attempt = None

    @property
    def sent(self):
        """Number of endpoints on which the request may have run."""
        return len(self.endpoint_ids)

    def record(self, attempt, outcome):
        """Count an attempt and update the health of its endpoint."""
        now = clock.monotonic()
        view = self.app.view
        endpoint_id = attempt.endpoint.endpoint_id
        match outcome:
            case model.NotRun(reason=reason, endpoint_failed=failed):
                self.declined += 1
                if failed:
                    view.record_failure(endpoint_id, now)
                self.log('declined', reason, attempt)
            case model.Broken(reason=reason):
                self.endpoint_ids.add(endpoint_id)
                view.record_failure(endpoint_id, now)
                self.log('broken', reason, attempt)
            case model.Delivered(status=status):
                view.health.record_success(endpoint_id)
                if status in heads.SUCCESS:
                    self.record_completion(attempt)
                    ended_at = attempt.ended_at or now
                    view.performance.record_run(
                        attempt.endpoint.service,
                        ended_at - attempt.run_started_at,
                    )
                    self.learn_cost(attempt)
                self.log('delivered', f'status {status}', attempt, 'answered')
            case model.Unproven(reason=reason):
                self.endpoint_ids.add(endpoint_id)
                self.log('unproven', reason, attempt)
            case model.Unconfirmed():
                self.endpoint_ids.add(endpoint_id)
                self.log('unconfirmed', 'version may be outdated', attempt)
            case model.Superseded():
                self.endpoint_ids.add(endpoint_id)
                if attempt.is_stalled:
                    view.record_failure(endpoint_id, now)
                self.log('superseded', '', attempt)
            case model.Unread():
                self.endpoint_ids.add(endpoint_id)
                if not attempt.is_hedge:
                    view.health.record_stall(endpoint_id, now)
                self.log('unread', 'request was not read in time', attempt)
            case model.TimedOut():
                self.endpoint_ids.add(endpoint_id)
                self.log('timed_out', '', attempt)
            case model.CallerGone():
                self.log('caller_gone', '', attempt)

    def record_head(self, attempt, head, now):
        """Record the load that an endpoint reports in the head of a response.

        Parameters
        ----------
        attempt : Attempt
            Attempt whose response has begun.
        head : Head
            Head of the response.
        now : float
            Seconds of the monotonic clock.
        """
        load = self.app.dialect.get_load(head)
        if load is not None:
            self.app.view.performance.record_load(
                attempt.endpoint.endpoint_id, load, now
            )
        if head.status in heads.SUCCESS:
            # An engine sends the head with the first event.
            attempt.progress.has_begun = True
            is_near = attempt.endpoint.availability_zone == self.app.view.zone
            self.app.metrics.count(
                'answers_begun_total', zone='own' if is_near else 'other'
            )
            self.app.view.performance.note_first_event(
                attempt.endpoint.endpoint_id, attempt.cost, now
            )

    def record_events(self, attempt, count, now):
        """Record that events of a stream have arrived together."""
        gap = attempt.progress.add(count, now)
        if gap is not None:
            self.app.view.performance.record_gap(attempt.endpoint, gap, now)

    def learn_cost(self, attempt):
        """Learn the cost of a request that one endpoint has answered."""
        is_whole = self.info.last_event_id is None and self.sent == 0
        if attempt.cost is not None and is_whole:
            events = attempt.progress.events
            self.app.view.performance.record_answer(attempt.cost, events)
            if events:
                metrics = self.app.metrics
                metrics.count('events_written_total', events)
                metrics.count('events_predicted_total', attempt.cost.events)

    def record_settled(self, attempt):
        """Count a stream that was delivered without a proof of its end."""
        self.app.view.health.record_success(attempt.endpoint.endpoint_id)
        self.log('settled', 'end without a proof', attempt, 'answered')

    def record_stall(self, attempt):
        """Avoid an endpoint whose silence lets another one be sought."""
        if attempt.is_stalled:
            return
        attempt.is_stalled = True
        self.app.view.health.record_stall(
            attempt.endpoint.endpoint_id, clock.monotonic()
        )
        self.log('stalled', 'no event in time', attempt)

    def record_progress(self, attempt):
        """Take the verdict on a silent endpoint back, as it goes on."""
        attempt.has_event = True
        if attempt.first_event_at is None:
            attempt.first_event_at = clock.monotonic()
        if attempt.is_stalled:
            attempt.is_stalled = False
            self.app.view.record_recovery(attempt.endpoint.endpoint_id)

    def record_crash(self, attempt, has_head):
        """Report a crash of the endpoint that this request may have caused.

        Responses also break off after their first event at endpoints that go
        on, so that this is checked.

        Parameters
        ----------
        attempt : Attempt
            Attempt that has ended.
        has_head : bool
            Whether the head of a response had arrived.
        """
        now = clock.monotonic()
        run_started_at = attempt.first_event_at
        if run_started_at is None and self.was_answered and has_head:
            # An endpoint that went on with the stream crashed at once.
            run_started_at = attempt.sent_at
        if run_started_at is not None or not self.was_answered:
            self.app.crash_checks.add(
                attempt.endpoint,
                self.info.prompt,
                now,
                None if run_started_at is None else now - run_started_at,
                has_head,
                attempt.is_resuming,
            )

    def record_answer(self, attempt):
        """Record that an endpoint has begun to answer the request."""
        if not self.was_answered:
            self.was_answered = True
            self.app.leader_client.quarantine.record_answer(
                self.info.prompt, clock.monotonic(), attempt.endpoint.service
            )

    def record_completion(self, attempt):
        """Record that an endpoint has answered the request from its start.

        The rest of a stream that another endpoint began says nothing about
        its first part.
        """
        if not attempt.is_resuming:
            self.app.leader_client.quarantine.record_completion(
                self.info.prompt, clock.monotonic(), attempt.endpoint.service
            )

    def record_departure(self, attempt):
        """Send no more requests to the endpoint, and report it."""
        if self.app.view.directory.record_departure(attempt.endpoint):
            self.log(
                'answered', 'the endpoint is leaving', attempt, 'departure'
            )
            self.app.leader_client.schedule.request_loads()

    def record_coldness(self, attempt):
        """Count an endpoint as cold that says so and was not known to be."""
        now = clock.monotonic()
        view = self.app.view
        if self.app.dialect.is_cold(attempt.head) and not view.cold.is_cold(
            attempt.endpoint, now
        ):
            view.record_cold(attempt.endpoint.endpoint_id, now)

    def log(self, outcome, reason, attempt=None, event='attempt'):
        """Log and count a decision on the request.

        Delivered responses have an event name of their own, so that their
        lines do not displace those of failures.
        """
        self.attempt = attempt or self.attempt
        self.app.metrics.count('forward_outcomes_total', outcome=outcome)
        LOG.info(
            'event={} request={} route={} endpoint={} load={} outcome={} '
            'sent={} declined={} last_event={} first_event={} '
            'send_seconds={} seconds={:.3f} reason={!r}',
            event,
            self.info.request_id,
            self.route.name,
            self.attempt.endpoint.endpoint_id if self.attempt else None,
            self.attempt.load if self.attempt else None,
            outcome,
            self.sent,
            self.declined,
            self.writer.last_id,
            self.format_first_event(),
            self.attempt.send_seconds if self.attempt else None,
            clock.monotonic() - self.started_at,
            reason,
        )

    def format_first_event(self):
        """Return the seconds until the first event was sent, or None."""
        if self.writer.started_at is None:
            return None
        return round(self.writer.started_at - self.started_at, 3)
