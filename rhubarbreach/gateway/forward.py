"""Forwarding of requests to endpoints and of responses to callers.

A stream that is silent for long is not given up. It goes on at the endpoint
that sends the next event first: the silent one, or another one that is asked
to continue. The calls to all others are closed then, so that the events of two
endpoints never mix.
"""

import time

from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import cold_permits
from rhubarbreach.gateway import crash_checks
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import heads
from rhubarbreach.gateway import hedges
from rhubarbreach.gateway import model
from rhubarbreach.gateway import outcomes
from rhubarbreach.gateway import proof as proofs
from rhubarbreach.gateway import responses
from rhubarbreach.gateway import resume
from rhubarbreach.gateway import search
from rhubarbreach.web import answers
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import sockets

__all__ = ['RequestForwarder']

# A connection within a region takes 3 ms, and a host without power never
# responds. The latency objective is 300 ms.
CONNECT_TIMEOUT_SECONDS = 0.15
# Time in which an endpoint has to read a request that another one may still
# go on with, as the events of the other one wait meanwhile.
TAKEOVER_SEND_SECONDS = 0.15
# Pause before another endpoint is sought again for a stream that is silent.
TAKEOVER_RETRY_SECONDS = 0.25
# Interval at which a stream that waits for the leader or for an endpoint looks
# for it.
POLL_SECONDS = 0.05
# Bytes of a body that have already arrived are read beyond the deadline for
# this long, as this host itself may have been suspended.
LATE_READ_SECONDS = 0.25
FIRST_SERVER_ERROR = 500


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
    received_at : float, optional
        Time at which the request was read, in seconds of the monotonic clock;
        now if not given.
    """

    def __init__(
        self,
        app,
        connection,
        request,
        info,
        route,
        account,
        received_at=None,
    ):
        self.app = app
        self.connection = connection
        self.request = request
        self.info = info
        self.route = route
        self.account = account
        timeout = route.timeout
        if info.timeout is not None:
            timeout = min(timeout, info.timeout)
        now = clock.monotonic()
        self.deadline = now + timeout
        self.writer = responses.ResponseWriter(
            app, connection, self.deadline, info.last_event_id
        )
        self.origin = None
        self.origin_revision = 0
        # Evidence on the end of the stream; None if it has no unproven end.
        self.proof = None
        # Whether a response broke off after the last event.
        self.was_broken_off = False
        # Running attempts, the oldest first.
        self.attempts = []
        # When another endpoint is sought for a stream that is silent.
        self.takeover_at = float('inf')
        self.is_caller_watched = True
        self.recorder = outcomes.OutcomeRecorder(app, info, route, self.writer)
        self.search = search.EndpointSearch(
            app,
            info,
            route,
            self.writer,
            self.recorder,
            self.attempts,
            '' if account is None else account.name,
            now if received_at is None else received_at,
            self.has_caller_disconnected,
        )
        self.hedge = hedges.RequestHedge(
            app, info, route, self.search, self.search.received_at
        )

    def run(self):
        """Try endpoints until the request is done; return its refusal.

        Returns
        -------
        Refusal or None
            None if no refusal is to be sent.
        """
        service = self.find_service()
        if isinstance(service, codes.Refusal):
            return service
        if self.app.view.has_high_utilization(service):
            self.app.leader_client.waits.refresh_loads()
        self.search.cost = self.app.view.performance.predict_cost(
            service,
            self.route.name,
            '' if self.account is None else self.account.name,
            self.info.statement,
            self.route.objective,
        )
        try:
            return self.serve(service)
        finally:
            for attempt in list(self.attempts):
                is_handed_over = attempt.ended_at is not None
                self.close_attempt(attempt)
                if not is_handed_over:
                    self.app.view.notify_free(attempt.endpoint.endpoint_id)

    def find_service(self):
        """Return the service of the request, or its refusal."""
        if not resume.is_take_up(self.route, self.info):
            return indexes.choose_target(self.route)
        origin = resume.find_origin(
            self.app, self.route, self.info, self.account
        )
        if isinstance(origin, codes.Refusal):
            return origin
        self.search.software_version = origin.software_version
        self.origin_revision = origin.revision
        return origin.service

    def serve(self, service):
        """Run attempts until the request is done; return its refusal."""
        while True:
            if self.is_proof_over():
                outcome = self.settle_end()
            elif self.hedge.is_due(clock.monotonic()):
                outcome = self.start_hedge()
            elif self.attempts and not self.is_takeover_due(clock.monotonic()):
                outcome = self.relay()
            else:
                outcome = self.start_attempt(service)
            match outcome:
                case None:
                    continue
                case codes.Refusal() if self.attempts:
                    self.takeover_at = (
                        clock.monotonic() + TAKEOVER_RETRY_SECONDS
                    )
                    continue
                case codes.Refusal() if self.proof is not None:
                    # No endpoint is left that could tell more.
                    self.proof.settle_at = clock.monotonic()
                    continue
                case codes.Refusal() if self.search.can_wait(service, outcome):
                    if not self.wait(POLL_SECONDS):
                        return None
                    continue
                case codes.Refusal():
                    return self.refuse_unplaced(outcome)
            if self.attempts and not decide.is_final(outcome):
                if self.hedge.has_returned(self.recorder.attempt):
                    continue
                # The others go on. One more may be asked at once.
                self.takeover_at = clock.monotonic()
                if self.search.must_pause(outcome):
                    self.takeover_at += TAKEOVER_RETRY_SECONDS
                continue
            if self.proof is not None and not isinstance(
                outcome, model.Delivered | model.CallerGone
            ):
                if not self.may_seek_proof(outcome):
                    self.proof.settle_at = clock.monotonic()
                continue
            step = decide.decide_next(
                outcome,
                self.route,
                self.recorder.sent,
                self.search.declined,
                self.writer.is_started,
                self.deadline - clock.monotonic(),
                bool(self.search.list_askable()),
            )
            match step:
                case decide.Retry() if self.search.must_pause(outcome):
                    if not self.wait(TAKEOVER_RETRY_SECONDS):
                        return None
                case decide.Stop():
                    return None
                case decide.Refuse(refusal=refusal):
                    return refusal
                case decide.Abort(reason=reason):
                    self.connection.keep_alive = False
                    self.recorder.log('cut', reason)
                    return None

    def wait(self, seconds):
        """Wait a little; return False if the caller is gone meanwhile."""
        caller = self.connection.socket
        until = min(clock.monotonic() + seconds, self.deadline)
        if self.is_caller_watched and sockets.wait_readable([caller], until):
            if self.has_caller_disconnected():
                return False
            self.is_caller_watched = False
        time.sleep(clock.remaining(until, clock.monotonic()))
        return True

    def refuse_unplaced(self, refusal):
        """End a request for which no endpoint is left.

        Returns
        -------
        Refusal or None
            None if a part of the response was already sent.
        """
        if self.writer.is_started:
            self.connection.keep_alive = False
            self.recorder.log('cut', refusal.reason)
            return None
        if self.recorder.sent:
            return codes.Refusal(
                codes.ResultCode.ENDPOINT_FAILED,
                refusal.reason,
                codes.Ran.UNKNOWN,
            )
        return refusal

    def start_attempt(self, service):
        """Send the request to an endpoint, beside those that are silent.

        Returns
        -------
        Refusal, outcome of the attempt or None
            None if the attempt has begun.
        """
        now = clock.monotonic()
        for other in self.attempts:
            if now >= other.silent_at:
                self.recorder.record_stall(other)
        prompt = self.info.prompt
        if self.proof is not None:
            # To ask about the end of a response takes no further endpoint.
            prompt = ()
        elif self.recorder.was_answered:
            quarantine = self.app.leader_client.quarantine
            prompt = quarantine.select_late(prompt)
        attempt = self.search.place(service, prompt, self.proof)
        if isinstance(attempt, codes.Refusal | model.CallerGone):
            return attempt
        outcome = self.begin_attempt(attempt)
        if outcome is None:
            self.postpone_takeover(attempt)
            self.hedge.begin(attempt)
        return outcome

    def start_hedge(self):
        """Send the request to a second endpoint if that is worth it.

        The first one is not silent for it, and goes on if the second fails.

        Returns
        -------
        outcome of the attempt or None
        """
        attempt = self.hedge.place()
        if attempt is None:
            return None
        outcome = self.begin_attempt(attempt)
        if outcome is None:
            attempt.silent_at = self.get_silent_at()
        return outcome

    def begin_attempt(self, attempt):
        """Send the request; return the outcome if that fails, else None."""
        self.attempts.append(attempt)
        self.search.begin(attempt)
        if not self.writer.is_started:
            self.record_origin(attempt.endpoint)
        outcome = self.send_request(attempt)
        if outcome is not None:
            return self.end_attempt(attempt, outcome)
        return None

    def send_request(self, attempt):
        """Send the request; return the outcome if that fails, else None."""
        now = clock.monotonic()
        start_before = attempt.endpoint.start_before
        if now >= start_before:
            return model.NotRun('the permit has ended', False)
        send_deadline = self.deadline
        connect_seconds = CONNECT_TIMEOUT_SECONDS
        if attempt.is_hedge:
            connect_seconds = hedges.SEND_SECONDS
            send_deadline = min(send_deadline, now + connect_seconds)
        elif len(self.attempts) > 1:
            send_deadline = min(send_deadline, now + TAKEOVER_SEND_SECONDS)
        if self.proof is not None:
            send_deadline = min(send_deadline, self.proof.settle_at)
        attempt.is_resuming = bool(self.writer.last_id)
        headers = self.app.dialect.encode_call(
            self.request,
            self.info,
            self.account,
            attempt.endpoint.endpoint_id,
            self.deadline - now,
            self.writer.last_id,
        )
        try:
            attempt.open(
                client.encode_request(
                    self.request.method,
                    self.request.target,
                    headers,
                    self.request.body,
                ),
                min(
                    self.deadline,
                    now + connect_seconds,
                    start_before + cold_permits.CONNECT_SECONDS,
                ),
                send_deadline,
                self.app.response_memory,
                lambda: self.may_send_to(attempt.endpoint),
                self.app.connector,
            )
        except errors.WithheldError as error:
            return model.NotRun(str(error), endpoint_failed=False)
        except errors.ConnectRefusedError as error:
            return model.NotRun(str(error))
        except errors.ConnectError as error:
            return model.NotRun(str(error), not attempt.is_hedge)
        except errors.DeadlineError:
            if attempt.is_hedge or send_deadline < self.deadline:
                return model.Unread()
            return model.TimedOut()
        return None

    def may_send_to(self, endpoint):
        """Return whether a request may still be sent to a chosen endpoint.

        It may have left while the connection was made.
        """
        return self.app.leader_client.may_send_to(
            endpoint
        ) and not self.app.view.directory.has_left(endpoint)

    def end_attempt(self, attempt, outcome):
        """Close an attempt, count its outcome and return it."""
        self.close_attempt(attempt)
        if isinstance(outcome, model.Broken) and attempt.has_event:
            self.was_broken_off = True
        if self.is_proof_lost(attempt, outcome):
            # A process may end while it is asked.
            self.proof.is_endpoint_gone = self.has_crashed(attempt)
            if self.proof.is_endpoint_gone:
                self.recorder.record_crash(self.proof.attempt, True)
        self.recorder.record(attempt, outcome)
        self.hedge.record_end(attempt, outcome)
        self.search.record(attempt, outcome)
        if not isinstance(outcome, model.NotRun) and attempt.ended_at is None:
            # The slot is handed over once a failure is known. An endpoint that
            # declines has none, whatever the loads show.
            self.app.view.notify_free(attempt.endpoint.endpoint_id)
        return outcome

    def close_attempt(self, attempt):
        """Close the call of an attempt and release its endpoint."""
        self.attempts.remove(attempt)
        attempt.close()
        if attempt.ended_at is None:
            self.release(attempt)
        if attempt.tried_part is not None:
            self.app.leader_client.quarantine.end_trial(
                attempt.tried_part, attempt.is_sent
            )

    def release(self, attempt):
        """Remove an attempt from the load of its endpoint."""
        self.app.view.release(
            attempt.endpoint.endpoint_id,
            attempt.cost,
            attempt.progress.has_begun,
        )

    def hand_over(self, attempt):
        """Hand over the slot of a response that is complete.

        Its caller may be slow to read the rest, which no endpoint has to wait
        for.
        """
        self.release(attempt)
        attempt.ended_at = clock.monotonic()
        self.app.view.notify_free(attempt.endpoint.endpoint_id)

    def relay(self):
        """Relay responses until an attempt ends or another one is due.

        Returns
        -------
        outcome of an attempt or None
            None if another endpoint is to be asked.
        """
        while True:
            for attempt in self.attempts:
                if attempt.is_over:
                    outcome = self.call_step(self.finish, attempt)
                    return self.end_attempt(attempt, outcome)
            watched = [attempt.call.socket for attempt in self.attempts]
            caller = self.connection.socket
            if self.is_caller_watched:
                watched.append(caller)
            ready = sockets.wait_readable(
                watched,
                self.get_wait_deadline(),
                caller if self.writer.has_unread else None,
            )
            waited_until = clock.monotonic()
            if caller in ready and self.writer.has_unread:
                if not self.writer.flush():
                    return self.end_attempt(
                        self.attempts[-1], model.CallerGone()
                    )
                if not sockets.is_readable(caller):
                    ready.remove(caller)
            if self.is_caller_watched and caller in ready:
                if self.has_caller_disconnected():
                    return self.end_attempt(
                        self.attempts[-1], model.CallerGone()
                    )
                # The caller has sent its next request, which is read later.
                self.is_caller_watched = False
            for attempt in list(self.attempts):
                # The one before may have superseded it.
                is_running = attempt in self.attempts
                if not is_running or attempt.call.socket not in ready:
                    continue
                outcome = self.call_step(self.read, attempt)
                if outcome is not None:
                    return self.end_attempt(attempt, outcome)
            if not ready and clock.monotonic() >= self.deadline:
                if self.proof is not None and self.is_proof_disputed():
                    # A silent endpoint might have had more to send.
                    self.proof = None
                return self.end_attempt(self.attempts[-1], model.TimedOut())
            # Events may have arrived while the caller was slow to read.
            if (
                self.is_takeover_due(waited_until)
                or self.hedge.is_due(waited_until)
                or self.is_proof_over()
            ):
                return None

    def call_step(self, step, attempt):
        """Read or finish the response of an attempt.

        Returns
        -------
        outcome of the attempt or None
            None if the response goes on.
        """
        try:
            return step(attempt)
        except errors.ConnectionEndedError as error:
            if attempt.holding.is_ended:
                return model.Broken('ended for the memory of this host')
            self.recorder.record_crash(attempt, attempt.head is not None)
            return model.Broken(str(error))
        except errors.BadMessageError as error:
            return model.Broken(f'malformed response: {error}')
        except errors.DeadlineError:
            return model.TimedOut()

    def read(self, attempt):
        """Relay the bytes that have arrived; return the outcome, if any."""
        parts = attempt.read(self.deadline)
        now = clock.monotonic()
        head = attempt.head
        if head is None:
            return model.TimedOut() if now >= self.deadline else None
        if not attempt.is_head_checked:
            attempt.is_head_checked = True
            self.recorder.record_head(attempt, head, now)
            if self.is_stream(head):
                # An engine answers with the first event. Other endpoints
                # answer when they are done.
                attempt.run_started_at = now
            outcome = self.check_head(attempt)
            if outcome is not None:
                return outcome
            if self.is_stream(head):
                attempt.stream = answers.EventStream(head)
        if attempt.stream is None:
            attempt.body.feed(parts)
            is_late = now >= self.deadline + LATE_READ_SECONDS
            return model.TimedOut() if is_late else None
        blocks = attempt.feed_events(parts)
        if self.is_version_uncertain(
            attempt, now
        ) and self.writer.has_new_event(blocks):
            # The stream was broken off, and goes on when the leader is heard.
            self.proof = None
            self.was_broken_off = True
            return model.Unconfirmed()
        # Comments keep a connection open, but are no progress.
        count = sum(events.get_data(block) is not None for block in blocks)
        if count:
            self.recorder.record_events(attempt, count, now)
            self.hedge.note_event(attempt, now)
            self.record_progress(attempt)
        elif now >= self.deadline and not attempt.call.is_complete:
            return model.TimedOut()
        if not self.relay_events(attempt, blocks):
            return model.CallerGone()
        return None

    def is_version_uncertain(self, attempt, now):
        """Return whether an endpoint that was asked again may have restarted.

        Only what it adds needs its version, not that it adds nothing.
        """
        return (
            self.proof is not None
            and attempt is self.proof.repeat
            and resume.find_stale_refusal(
                self.app, self.search.software_version, now
            )
            is not None
        )

    def record_progress(self, attempt):
        """Record that an endpoint has sent an event."""
        self.recorder.record_progress(attempt)
        self.postpone_takeover(attempt)
        self.recorder.record_answer(attempt)

    def postpone_takeover(self, attempt):
        """Seek another endpoint only after a further silence of this one."""
        attempt.silent_at = self.takeover_at = self.get_silent_at()

    def get_silent_at(self):
        """Return when an endpoint is silent if no event comes from now on."""
        return clock.monotonic() + decide.get_stall_seconds(self.route)

    def is_takeover_due(self, now):
        """Return whether another endpoint is to be asked to go on."""
        return now >= self.takeover_at and self.may_take_over()

    def may_take_over(self):
        """Return whether another endpoint may go on with the stream."""
        return (
            self.route.kind is catalogs.RouteKind.STREAM
            and self.search.can_retry()
            # Without a position the other one would send all events again.
            and (self.writer.last_id is not None or not self.writer.is_started)
        )

    def drop_others(self, attempt):
        """Give up all other attempts, as this one goes on."""
        for other in list(self.attempts):
            if other is not attempt:
                self.end_attempt(other, model.Superseded())

    def record_origin(self, endpoint):
        """Record the endpoint as the origin of the stream."""
        if self.search.software_version is None:
            self.origin_revision += 1
        self.origin = endpoint
        resume.record_origin(
            self.app,
            self.route,
            self.info,
            self.account,
            endpoint,
            self.origin_revision,
        )

    def get_wait_deadline(self):
        """Return until when to wait for bytes of the endpoints."""
        deadline = min(self.deadline, self.hedge.due_at)
        if self.may_take_over():
            deadline = min(deadline, self.takeover_at)
        if self.proof is not None and not self.is_proof_disputed():
            deadline = min(deadline, self.proof.settle_at)
        return deadline

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

    def check_head(self, attempt):
        """Return the outcome if a response must not be relayed, else None."""
        head = attempt.head
        dialect = self.app.dialect
        outcome = heads.check_identity(head, self.info.request_id, dialect)
        if self.app.view.cold.has_limit(attempt.endpoint.service):
            self.recorder.record_coldness(attempt)
        if dialect.is_leaving(head) and heads.is_own(head, outcome):
            self.recorder.record_departure(attempt)
        if outcome is not None:
            return outcome
        is_resuming = self.writer.is_started or self.proof is not None
        if is_resuming and not self.is_stream(head):
            return model.Broken(f'status {head.status} while resuming')
        if head.status >= FIRST_SERVER_ERROR and self.search.can_retry():
            return model.Broken(f'status {head.status}')
        if head.status not in heads.SUCCESS and len(self.attempts) > 1:
            return self.hedge.judge_status(attempt)
        if head.status in heads.SUCCESS and not dialect.is_signed(head):
            return model.Broken('response is not signed')
        return None

    def relay_events(self, attempt, blocks):
        """Send new events; return False if the caller is gone."""
        previous_id = self.writer.last_id
        blocks = self.writer.select_new(blocks)
        if self.writer.last_id != previous_id:
            self.handle_new_event()
        if any(map(events.is_event, blocks)):
            self.drop_others(attempt)
        elif len(self.attempts) > 1:
            # Comments do not decide which endpoint goes on.
            return True
        if not blocks:
            return True
        self.begin_response(attempt)
        return self.writer.send_blocks(attempt.head, blocks)

    def begin_response(self, attempt):
        """Record where the response begins, unless it has begun."""
        if self.writer.is_started:
            return
        if self.origin is not attempt.endpoint:
            # An endpoint was asked later, and this one has gone on.
            self.record_origin(attempt.endpoint)
        self.search.software_version = attempt.endpoint.software_version

    def handle_new_event(self):
        """Drop the evidence on an end before the event."""
        self.was_broken_off = False
        if self.proof is not None:
            # The endpoint broke off its response.
            self.app.view.record_failure(
                self.proof.endpoint.endpoint_id, clock.monotonic()
            )
            self.proof = None

    def finish(self, attempt):
        """End the response of the caller; return the outcome."""
        if attempt.stream is None:
            return self.finish_body(attempt)
        return self.finish_stream(attempt)

    def finish_body(self, attempt):
        """Send a complete response that is no stream; return the outcome."""
        head = attempt.head
        is_delimited = answers.is_delimited(head)
        judgement = attempt.body.judge_end(is_delimited)
        if judgement.end is answers.End.BROKEN:
            return model.Broken(judgement.reason)
        if not is_delimited and self.has_crashed(attempt):
            return self.break_off(attempt)
        if head.status in heads.SUCCESS and (
            attempt.body.size or is_delimited
        ):
            self.recorder.record_answer(attempt)
        self.drop_others(attempt)
        self.hand_over(attempt)
        if not self.writer.send_whole(head, attempt.body.join()):
            return model.CallerGone()
        return model.Delivered(head.status)

    def finish_stream(self, attempt):
        """End the stream of the caller if it is whole; return the outcome."""
        judgement = attempt.stream.judge_end(
            self.recorder.was_answered or self.writer.last_id is not None
        )
        match judgement.end:
            case answers.End.BROKEN:
                # The end of the connection may end a response without a
                # length, also that of an endpoint that crashes.
                self.recorder.record_crash(attempt, True)
                return model.Broken(judgement.reason)
            case answers.End.UNPROVEN if self.may_be_proven():
                if not self.is_proven(attempt):
                    return model.Unproven(judgement.reason)
            case answers.End.UNPROVEN if self.has_crashed(attempt):
                return self.break_off(attempt)
        self.drop_others(attempt)
        self.begin_response(attempt)
        self.hand_over(attempt)
        if not self.writer.send_end(attempt.head, attempt.stream.rest):
            return model.CallerGone()
        if self.proof is not None:
            # The attempt that confirms the end has sent no event.
            self.recorder.record_completion(self.proof.attempt)
        return model.Delivered(attempt.head.status)

    def has_crashed(self, attempt):
        """Return whether an endpoint in service is gone after its response.

        This is all that tells whether a response without a length is whole, if
        the request cannot be sent again after its last event.
        """
        return crash_checks.has_crashed(
            self.app.connector,
            self.app.leader_client,
            self.app.view.directory,
            attempt.endpoint,
        )

    def break_off(self, attempt):
        """Return the outcome of a response whose endpoint has crashed."""
        self.recorder.record_crash(attempt, True)
        return model.Broken('endpoint is gone after a response without length')

    def may_be_proven(self):
        """Return whether endpoints can be asked to go on with the stream."""
        return self.writer.last_id is not None and self.route.is_repeatable

    def is_proven(self, attempt):
        """Return whether an end without a length completes the stream."""
        proof = self.proof
        if proof is not None and proof.is_confirmed_by_another_end():
            return True
        self.proof = proofs.EndProof(
            attempt,
            [other for other in self.attempts if other is not attempt],
            self.was_broken_off,
            clock.monotonic(),
        )
        return False

    def is_proof_lost(self, attempt, outcome):
        """Return whether an endpoint that was asked again may be gone."""
        is_lost = isinstance(outcome, model.Broken) or not attempt.is_sent
        return (
            is_lost and self.proof is not None and attempt is self.proof.repeat
        )

    def may_seek_proof(self, outcome):
        """Return whether one more endpoint may be asked about the end."""
        if isinstance(outcome, model.TimedOut):
            return False
        return self.proof.may_ask_again or (
            self.search.can_retry()
            and self.recorder.declined <= decide.MAX_DECLINED
            and self.deadline - clock.monotonic()
            > decide.MIN_REMAINING_SECONDS
        )

    def is_proof_disputed(self):
        """Return whether an older attempt may still send the next event."""
        return self.proof.is_disputed(self.attempts)

    def is_proof_over(self):
        """Return whether the end is to be settled by what is known of it."""
        return (
            self.proof is not None
            and clock.monotonic() >= self.proof.settle_at
            and not self.is_proof_disputed()
        )

    def settle_end(self):
        """End the stream by what is known of its end; return the outcome."""
        proof, self.proof = self.proof, None
        if not proof.is_whole():
            self.was_broken_off = True
            return model.Broken('no proof that the response is whole')
        self.drop_others(proof.attempt)
        self.begin_response(proof.attempt)
        rest = proof.attempt.stream.rest
        if not self.writer.send_end(proof.attempt.head, rest):
            return model.CallerGone()
        self.recorder.record_completion(proof.attempt)
        self.recorder.record_settled(proof.attempt)
        return model.Delivered(proof.attempt.head.status)
