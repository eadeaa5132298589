"""Forwarding of requests to endpoints and of responses to callers."""

from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import heads
from rhubarbreach.gateway import model
from rhubarbreach.gateway import resume
from rhubarbreach.web import answers
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import sockets

__all__ = ['RequestForwarder']

LOG = eventlog.Logger('forward')

# A connection within a region takes 3 ms, and a host without power never
# responds. The latency objective is 300 ms.
CONNECT_TIMEOUT_SECONDS = 0.15
# Limits the time for which a caller that does not read occupies a slot of an
# endpoint.
CALLER_SEND_TIMEOUT_SECONDS = 2.0
# A stream that can resume at another endpoint does so after this multiple of
# the route's latency objective or longest pause without an event.
EVENT_TIMEOUT_FACTOR = 3.0
# The same for a route that states neither.
DEFAULT_EVENT_TIMEOUT_SECONDS = 1.2
# Bytes of a body that have already arrived are read beyond the deadline for
# this long, as this host itself may have been suspended.
LATE_READ_SECONDS = 0.25
FIRST_SERVER_ERROR = 500
# A request counts as retried if its caller waits for less than this fraction
# of the timeout of the route.
RETRY_TIMEOUT_FRACTION = 0.95
LAST_CHUNK = b'0\r\n\r\n'


class RequestForwarder:
    """Forwarding of one request of a caller.

    Parameters
    ----------
    app : App
        Provides the endpoints, the rates and the dialect.
    connection : Connection
        Connection of the caller.
    request : Request
        Request as received from the caller.
    info : CallInfo
        Properties taken from its headers.
    route : Route
        Route of the request.
    account : Account or None
        Client account of the request.
    """

    def __init__(self, app, connection, request, info, route, account):
        self.app = app
        self.connection = connection
        self.request = request
        self.info = info
        self.route = route
        self.account = account
        self.started_at = clock.monotonic()
        timeout = route.timeout
        if info.timeout is not None:
            timeout = min(timeout, info.timeout)
        self.deadline = self.started_at + timeout
        self.response_started = False
        self.last_id = info.last_event_id
        # Version at which the stream began; None before it has.
        self.software_version = None
        self.origin_revision = 0
        # Unproven ends of the stream after its last event.
        self.agreeing_ends = 0
        self.unproven_endpoint_id = None
        # Whether the current attempt may have reached its endpoint.
        self.is_sent = False
        self.endpoint = None
        self.sent = 0
        self.declined = 0
        self.first_event = None
        self.was_answered = False
        self.last_event_at = self.started_at
        self.run_started_at = self.started_at
        self.attempt_started_at = self.started_at
        self.load = None

    def run(self):
        """Try endpoints until the request is done; return its refusal.

        Returns
        -------
        Refusal or None
            None if no refusal is to be sent.
        """
        service = indexes.choose_target(self.route)
        if resume.is_take_up(self.route, self.info):
            origin = resume.find_origin(
                self.app, self.route, self.info, self.account
            )
            if isinstance(origin, codes.Refusal):
                return origin
            service = origin.service
            self.software_version = origin.software_version
            self.origin_revision = origin.revision
        excluded = set()
        quarantine = self.app.leader_client.quarantine
        if self.app.view.has_high_utilization(service):
            self.app.leader_client.refresh_loads()
        while True:
            now = clock.monotonic()
            # A quarantine may begin while the request is retried.
            refusal = quarantine.find_refusal(
                self.info.prompt, now
            ) or resume.find_stale_refusal(
                self.app, self.software_version, now
            )
            if refusal is not None:
                return self.refuse_unplaced(refusal)
            endpoint = self.acquire(service, excluded, now)
            if isinstance(endpoint, codes.Refusal):
                return self.refuse_unplaced(endpoint)
            may_send, tried_part = quarantine.begin_trial(
                self.info.prompt, now
            )
            if not may_send:
                # Another request has used the trial of the part.
                self.app.view.release(endpoint.endpoint_id)
                continue
            self.endpoint = endpoint
            self.load = self.app.view.format_load(endpoint.endpoint_id)
            if not self.response_started:
                self.record_origin(endpoint)
            try:
                outcome = self.attempt(endpoint)
            finally:
                self.app.view.release(endpoint.endpoint_id)
                if tried_part is not None:
                    quarantine.end_trial(tried_part, self.is_sent)
            self.record_outcome(endpoint, outcome)
            excluded.add(endpoint.endpoint_id)
            remaining = self.deadline - clock.monotonic()
            step = decide.decide_next(
                outcome,
                self.route,
                self.sent,
                self.declined,
                self.response_started,
                remaining,
            )
            match step:
                case decide.Stop():
                    return None
                case decide.Refuse(refusal=refusal):
                    return refusal
                case decide.Abort(reason=reason):
                    self.connection.keep_alive = False
                    self.log('cut', reason)
                    return None

    def acquire(self, service, excluded, now):
        """Return an endpoint for the next attempt, or a refusal.

        If there is no other one, an endpoint whose response had an unproven
        end may tell itself whether it has anything to add.
        """
        allowed = [excluded]
        if self.agreeing_ends:
            allowed.append(excluded - {self.endpoint.endpoint_id})
        for endpoint_ids in allowed:
            endpoint = self.app.view.acquire(
                service,
                endpoint_ids,
                now,
                self.choose_queue_limit(service),
                self.can_retry(),
                self.software_version,
            )
            if not isinstance(endpoint, codes.Refusal):
                break
        return endpoint

    def choose_queue_limit(self, service):
        """Return the queue limit of endpoints for this request.

        A retried request is recognized by its time limit, which is shorter
        than the timeout of the route. A stream that has begun cannot go to
        endpoints of other software versions.
        """
        timeout = self.info.timeout
        is_retried = (
            timeout is not None
            and timeout < self.route.timeout * RETRY_TIMEOUT_FRACTION
        )
        view = self.app.view
        has_begun = self.software_version is not None
        is_late = bool(self.sent or has_begun) or (
            is_retried and not view.is_overload_sustained(service)
        )
        return view.choose_queue_limit(service, self.route.objective, is_late)

    def refuse_unplaced(self, refusal):
        """End a request for which no endpoint is left.

        Returns
        -------
        Refusal or None
            None if a part of the response was already sent.
        """
        if self.response_started:
            self.connection.keep_alive = False
            self.log('cut', refusal.reason)
            return None
        if self.sent:
            return codes.Refusal(
                codes.ResultCode.ENDPOINT_FAILED,
                refusal.reason,
                codes.Ran.UNKNOWN,
            )
        return refusal

    def record_outcome(self, endpoint, outcome):
        """Count an attempt and update the health of its endpoint."""
        now = clock.monotonic()
        match outcome:
            case model.NotRun(reason=reason, endpoint_failed=failed):
                self.declined += 1
                if failed:
                    self.app.view.record_failure(endpoint.endpoint_id, now)
                self.log('declined', reason)
            case model.Broken(reason=reason):
                self.sent += 1
                self.app.view.record_failure(endpoint.endpoint_id, now)
                self.log('broken', reason)
            case model.Delivered(status=status):
                self.app.view.record_success(endpoint.endpoint_id)
                if status in heads.SUCCESS:
                    self.app.view.record_run(
                        endpoint.service, now - self.run_started_at
                    )
                self.log('delivered', f'status {status}', 'answered')
            case model.Unproven(reason=reason):
                self.sent += 1
                self.log('unproven', reason)
            case model.TimedOut():
                self.sent += 1
                self.log('timed_out', '')
            case model.CallerGone():
                self.log('caller_gone', '')

    def log(self, outcome, reason, event='attempt'):
        """Log and count a decision on the request.

        Delivered responses have an event name of their own, so that their
        lines do not displace those of failures.
        """
        self.app.metrics.count('forward_outcomes_total', outcome=outcome)
        LOG.info(
            'event={} request={} route={} endpoint={} load={} outcome={} '
            'sent={} declined={} last_event={} first_event={} '
            'seconds={:.3f} reason={!r}',
            event,
            self.info.request_id,
            self.route.name,
            self.endpoint.endpoint_id if self.endpoint else None,
            self.load,
            outcome,
            self.sent,
            self.declined,
            self.last_id,
            self.first_event,
            clock.monotonic() - self.started_at,
            reason,
        )

    def attempt(self, endpoint):
        """Send the request to an endpoint and relay its response."""
        self.is_sent = False
        now = clock.monotonic()
        remaining = self.deadline - now
        headers = self.app.dialect.encode_call(
            self.request,
            self.info,
            self.account,
            endpoint.endpoint_id,
            remaining,
            self.last_id,
        )
        try:
            call = client.Call(
                endpoint.address,
                client.encode_request(
                    self.request.method,
                    self.request.target,
                    headers,
                    self.request.body,
                ),
                min(self.deadline, now + CONNECT_TIMEOUT_SECONDS),
                self.deadline,
            )
        except errors.ConnectError as error:
            return model.NotRun(str(error))
        except errors.DeadlineError:
            self.is_sent = True
            return model.TimedOut()
        self.is_sent = True
        holding = self.app.response_memory.open(call.interrupt)
        try:
            return self.relay(call, holding)
        except errors.ConnectionEndedError as error:
            if holding.is_ended:
                return model.Broken('ended for the memory of this host')
            self.record_crash(call.head is not None)
            return model.Broken(str(error))
        except errors.BadMessageError as error:
            return model.Broken(f'malformed response: {error}')
        except errors.DeadlineError:
            return model.TimedOut()
        finally:
            holding.close()
            call.close()

    def relay(self, call, holding):
        """Relay a response as it arrives; return the outcome."""
        body = answers.Body(holding)
        stream = None
        self.run_started_at = self.last_event_at = clock.monotonic()
        self.attempt_started_at = self.run_started_at
        is_checked = False
        watched = [call.socket, self.connection.socket]
        while not (call.is_complete or (stream and stream.is_over)):
            read_deadline = self.get_read_deadline()
            ready = sockets.wait_readable(watched, read_deadline)
            if not ready:
                return self.end_unfinished(read_deadline)
            if self.connection.socket in ready:
                if self.has_caller_disconnected():
                    return model.CallerGone()
                # The caller has sent its next request, which is read later.
                watched = [call.socket]
            if call.socket not in ready:
                continue
            parts = call.read(self.deadline)
            now = clock.monotonic()
            if call.head is None:
                if now >= read_deadline:
                    return self.end_unfinished(read_deadline)
                continue
            if not is_checked:
                is_checked = True
                if self.is_stream(call.head):
                    # An engine answers with the first event. Other endpoints
                    # answer when they are done.
                    self.run_started_at = now
                outcome = self.check_head(call.head)
                if outcome is not None:
                    return outcome
                if self.is_stream(call.head):
                    stream = answers.EventStream(call.head)
            if stream is None:
                body.feed(parts)
                if now >= self.deadline + LATE_READ_SECONDS:
                    return model.TimedOut()
                continue
            blocks = stream.feed(parts)
            holding.resize(stream.held_bytes)
            # Comments keep a connection open, but are no progress.
            if any(events.get_data(block) is not None for block in blocks):
                self.last_event_at = now
                self.record_answer()
            elif now >= read_deadline and not call.is_complete:
                return self.end_unfinished(read_deadline)
            if not self.send_events(call.head, blocks):
                return model.CallerGone()
        if stream is None:
            return self.finish_body(call.head, body)
        return self.finish_stream(call.head, stream)

    def record_crash(self, has_head):
        """Report a crash of the endpoint that this request may have caused.

        An endpoint that crashes during an answer crashes for another reason.

        Parameters
        ----------
        has_head : bool
            Whether the head of a response had arrived.
        """
        if not self.was_answered:
            self.app.leader_client.quarantine.record_crash(
                self.endpoint.endpoint_id,
                self.info.prompt,
                has_head,
                clock.monotonic(),
                self.endpoint.service,
            )

    def record_answer(self):
        """Record that an endpoint has begun to answer the request."""
        if not self.was_answered:
            self.was_answered = True
            self.app.leader_client.quarantine.record_answer(
                self.info.prompt, clock.monotonic(), self.endpoint.service
            )

    def record_origin(self, endpoint):
        """Record the endpoint as the origin of the stream."""
        if self.software_version is None:
            self.origin_revision += 1
        resume.record_origin(
            self.app,
            self.route,
            self.info,
            self.account,
            endpoint,
            self.origin_revision,
        )

    def record_departure(self):
        """Send no more requests to the endpoint, and report it."""
        if self.app.view.record_departure(self.endpoint):
            self.log('answered', 'the endpoint is leaving', 'departure')
            self.app.leader_client.request_loads()

    def end_unfinished(self, read_deadline):
        """Return the outcome of a response that stopped making progress."""
        if read_deadline < self.deadline:
            self.log('stalled', 'no event in time')
            return model.Broken('no event in time')
        return model.TimedOut()

    def can_retry(self):
        """Return whether the request may be retried after the next attempt."""
        return (
            self.route.is_repeatable
            and self.sent + 1 < self.route.max_attempts
        )

    def get_read_deadline(self):
        """Return the deadline for the next bytes of the endpoint."""
        is_stream = self.route.kind is catalogs.RouteKind.STREAM
        if not (is_stream and self.can_retry()):
            return self.deadline
        timeout = EVENT_TIMEOUT_FACTOR * max(
            self.route.objective, self.route.longest_pause
        )
        timeout = timeout or DEFAULT_EVENT_TIMEOUT_SECONDS
        return min(self.deadline, self.last_event_at + timeout)

    def has_caller_disconnected(self):
        """Return whether the caller has closed its connection."""
        try:
            return not self.connection.socket.recv(1, sockets.socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_stream(self, head):
        """Return whether a response is relayed event by event."""
        is_stream = self.route.kind is catalogs.RouteKind.STREAM
        return is_stream and heads.is_event_stream(head)

    def check_head(self, head):
        """Return the outcome if a response must not be relayed, else None."""
        dialect = self.app.dialect
        outcome = heads.check_identity(head, self.info.request_id, dialect)
        if dialect.is_leaving(head) and heads.is_own(head, outcome):
            self.record_departure()
        if outcome is not None:
            return outcome
        if self.response_started and not self.is_stream(head):
            return model.Broken(f'status {head.status} while resuming')
        if head.status >= FIRST_SERVER_ERROR and self.can_retry():
            return model.Broken(f'status {head.status}')
        if head.status in heads.SUCCESS and not dialect.is_signed(head):
            return model.Broken('response is not signed')
        return None

    def send_events(self, head, blocks):
        """Send complete events; return False if the caller is gone."""
        data = []
        for block in blocks:
            number = events.get_id(block)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
                self.handle_new_event()
            data.append(b'%x\r\n%s\r\n' % (len(block), block))
        if not data:
            return True
        if not self.response_started:
            self.first_event = round(clock.monotonic() - self.started_at, 3)
            data.insert(0, self.encode_head(head))
        return self.send(b''.join(data))

    def handle_new_event(self):
        """Forget unproven ends; the last endpoint broke off its response."""
        if self.agreeing_ends:
            self.agreeing_ends = 0
            self.app.view.record_failure(
                self.unproven_endpoint_id, clock.monotonic()
            )

    def encode_head(self, head):
        """Return the head of a chunked response."""
        self.response_started = True
        self.software_version = self.endpoint.software_version
        lines = [b'HTTP/1.1 %d %s' % (head.status, head.reason)]
        lines.extend(b'%s: %s' % pair for pair in heads.filter_headers(head))
        lines.append(b'Transfer-Encoding: chunked')
        if self.app.is_closing(self.connection):
            self.connection.keep_alive = False
            lines.append(b'Connection: close')
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def send(self, data):
        """Send bytes to the caller; return False if it is gone."""
        send_deadline = clock.monotonic() + CALLER_SEND_TIMEOUT_SECONDS
        try:
            self.connection.send(data, min(send_deadline, self.deadline))
        except (errors.ConnectionEndedError, errors.DeadlineError):
            self.connection.keep_alive = False
            return False
        return True

    def finish_body(self, head, body):
        """Send a complete response that is no stream; return the outcome."""
        is_delimited = answers.is_delimited(head)
        judgement = body.judge_end(is_delimited)
        if judgement.end is answers.End.BROKEN:
            return model.Broken(judgement.reason)
        if head.status in heads.SUCCESS and (body.size or is_delimited):
            self.record_answer()
        if self.app.is_closing(self.connection):
            self.connection.keep_alive = False
        try:
            self.connection.send_response(
                head.status,
                heads.filter_headers(head),
                body.join(),
                head.reason,
            )
        except (errors.ConnectionEndedError, errors.DeadlineError):
            self.connection.keep_alive = False
            return model.CallerGone()
        return model.Delivered(head.status)

    def finish_stream(self, head, stream):
        """End the stream of the caller if it is whole; return the outcome."""
        judgement = stream.judge_end(
            self.was_answered or self.last_id is not None
        )
        match judgement.end:
            case answers.End.BROKEN:
                # The end of the connection may end a response without a
                # length, also that of an endpoint that crashes.
                self.record_crash(True)
                return model.Broken(judgement.reason)
            case answers.End.UNPROVEN if self.needs_proof():
                self.agreeing_ends += 1
                self.unproven_endpoint_id = self.endpoint.endpoint_id
                if self.agreeing_ends < answers.MIN_AGREEING_ENDS:
                    return model.Unproven(judgement.reason)
        data = b''
        if not self.response_started:
            data = self.encode_head(head)
        if stream.rest:
            data += b'%x\r\n%s\r\n' % (len(stream.rest), stream.rest)
        if not self.send(data + LAST_CHUNK):
            return model.CallerGone()
        return model.Delivered(head.status)

    def needs_proof(self):
        """Return whether an unproven end does not yet complete the stream.

        Without a further attempt the end of a response with events is taken
        as it is. One without any shows nothing.
        """
        has_event = self.last_event_at > self.attempt_started_at
        return self.last_id is not None and (self.can_retry() or not has_event)
