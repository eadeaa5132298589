"""Event loop that transfers bytes between endpoints and callers."""

import collections
import concurrent.futures
import os
import threading

import logbook
import pycurl

from rhubarbreach import clock
from rhubarbreach.dispatch import attempt as attempt_module
from rhubarbreach.dispatch import callers
from rhubarbreach.dispatch import errors
from rhubarbreach.dispatch import selector
from rhubarbreach.dispatch import transfer as transfer_module
from rhubarbreach.web import answers
from rhubarbreach.web import errors as web_errors
from rhubarbreach.web import memory

__all__ = ['Loop']

LOG = logbook.Logger('dispatch')
AttemptEnd = attempt_module.AttemptEnd

# Interval at which deadlines, stalls and slow callers are checked.
TIMEOUT_CHECK_SECONDS = 0.05
MAX_IDLE_HANDLES = 256
MAX_IDLE_CONNECTIONS = 4096

# An endpoint without new bytes for this long counts as silent. The time of its
# first byte is part of the attempt.
STREAM_SILENT_SECONDS = 10.0

# Time after the end marker of a stream for the HTTP response to end, so that
# its connection can be reused.
LINGER_SECONDS = 1.0

# Bytes of the bodies of all responses that are not streams.
MAX_HELD_BYTES = 256 << 20


class Loop:
    """Event loop thread with a curl multi handle and an epoll selector.

    Parameters
    ----------
    metrics : observe.metrics.Metrics
        Counts late bytes, failed attempts, lost callers and errors.
    max_held_bytes : float, optional
        Bound of the responses that are held together.
    """

    def __init__(self, metrics, max_held_bytes=None):
        self.metrics = metrics
        self.selector = selector.Selector()
        self.commands = collections.deque()
        self.callers = callers.CallerTable(self.selector, metrics)
        self.transfers = {}
        self.unprocessed = []
        self.idle_handles = []
        self.timer_at = None
        self.memory = memory.MemoryPool(max_held_bytes or MAX_HELD_BYTES)
        self.now = clock.monotonic()
        self.next_timeout_check = self.now
        self.closing = False
        self.waiting = False
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(
            pycurl.M_SOCKETFUNCTION, self.selector.handle_curl_socket
        )
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.handle_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self.thread = threading.Thread(
            target=self.run, name='dispatch-loop', daemon=True
        )
        self.thread.start()

    # The methods from here on may be called from any thread.

    def call_soon(self, function, *arguments):
        """Run a function on the loop thread."""
        self.commands.append((function, arguments))
        # The loop sets this flag before it checks for commands, so none is
        # missed.
        if self.waiting:
            self.selector.wake()

    def start(self, attempt):
        """Start an attempt.

        Parameters
        ----------
        attempt : attempt.Attempt
            Request to send.

        Returns
        -------
        concurrent.futures.Future
            Completes with an `attempt.AttemptResult`.
        """
        transfer = self.make_transfer(attempt, clock.monotonic())
        self.call_soon(self.add_transfer, transfer)
        return transfer.future

    def make_transfer(self, attempt, now):
        """Return the transfer of an attempt."""
        holding = self.memory.open(
            lambda: self.cancel_transfer(attempt.attempt_id, AttemptEnd.BROKEN)
        )
        return transfer_module.Transfer(
            attempt, self.unprocessed, now, holding
        )

    def cancel(self, attempt_id, end=AttemptEnd.CANCELLED):
        """Cancel an attempt on this host and on its endpoint."""
        self.call_soon(self.cancel_transfer, attempt_id, end)

    def watch(self, sink):
        """Watch the caller of a sink for a closed connection."""
        self.callers.add(sink)

    def unwatch(self, sink):
        """Stop watching a caller; the returned future completes then."""
        done = concurrent.futures.Future()
        self.call_soon(self.callers.remove, sink, done)
        return done

    def close(self):
        """Cancel the running attempts and stop the thread."""
        self.call_soon(self.stop)
        self.thread.join()

    # The methods from here on are called on the loop thread only.

    def stop(self):
        """Cancel all attempts and end the loop."""
        for attempt_id in tuple(self.transfers):
            self.cancel_transfer(attempt_id, AttemptEnd.CANCELLED)
        self.closing = True

    def run(self):
        """Run the loop until it is closed."""
        while not self.closing:
            try:
                self.run_once()
            except Exception as error:
                self.report_error(error)
        while self.commands:
            function, arguments = self.commands.popleft()
            function(*arguments)
        for curl in self.idle_handles:
            curl.close()
        self.multi.close()
        self.selector.close()

    def run_once(self):
        """Wait for events and process all of them."""
        until = self.next_timeout_check
        if self.timer_at is not None:
            until = min(until, self.timer_at)
        self.waiting = True
        events = self.selector.poll(0.0 if self.commands else until)
        self.waiting = False
        self.now = self.callers.now = now = clock.monotonic()
        curl_masks = self.selector.curl_masks
        sinks = self.callers.sinks
        action = self.multi.socket_action
        for fd, mask in events:
            if fd in curl_masks:
                # EPOLLIN, EPOLLOUT and EPOLLERR as CURL_CSELECT_ flags.
                action(fd, mask & 1 | (mask & 4) >> 1 | (mask & 8) >> 1)
            elif fd in sinks:
                sinks[fd].handle_event(mask)
            elif fd == self.selector.wake_fd:
                os.eventfd_read(fd)
        while self.commands:
            function, arguments = self.commands.popleft()
            function(*arguments)
        if self.timer_at is not None and self.timer_at <= now:
            self.timer_at = None
            action(pycurl.SOCKET_TIMEOUT, 0)
        if self.unprocessed:
            self.process_received()
        self.collect_finished()
        if now >= self.next_timeout_check:
            self.next_timeout_check = now + TIMEOUT_CHECK_SECONDS
            self.check_timeouts()

    def handle_timer(self, milliseconds):
        """Set the time at which libcurl has to be called."""
        if milliseconds < 0:
            self.timer_at = None
        else:
            self.timer_at = clock.monotonic() + milliseconds / 1000

    def add_transfer(self, transfer):
        """Start the transfer of an attempt."""
        if self.closing:
            self.settle(transfer, AttemptEnd.NOT_SENT, 'event loop closed')
            return
        curl = self.idle_handles.pop() if self.idle_handles else pycurl.Curl()
        try:
            transfer_module.configure_handle(curl, transfer)
        except (TypeError, ValueError, pycurl.error) as error:
            # The address or a header holds characters that cannot be sent.
            transfer.curl = curl.transfer = None
            curl.close()
            self.settle(transfer, AttemptEnd.NOT_SENT, str(error))
            return
        transfer.started_at = transfer.received_at = clock.monotonic()
        self.transfers[transfer.attempt.attempt_id] = transfer
        self.multi.add_handle(curl)

    def process_received(self):
        """Process the bytes received in this iteration."""
        unprocessed = self.unprocessed[:]
        self.unprocessed.clear()
        for transfer in unprocessed:
            chunks = transfer.chunks
            data = chunks[0] if len(chunks) == 1 else b''.join(chunks)
            chunks.clear()
            if transfer.linger_until is not None:
                self.metrics.count('dispatch_late_bytes_total', len(data))
            elif transfer.curl is not None and data:
                self.run_isolated(self.process_data, transfer, data)

    def run_isolated(self, function, transfer, *arguments):
        """Call a function so that an exception ends only its attempt."""
        try:
            function(transfer, *arguments)
        except Exception as error:
            self.report_error(error)
            if transfer.curl is not None:
                self.release_handle(transfer)
            if not transfer.future.done():
                self.end_early(transfer, AttemptEnd.BROKEN, 'internal error')

    def report_error(self, error):
        """Count and log an exception."""
        self.metrics.count('dispatch_loop_errors_total')
        LOG.error('event=loop_error {}', errors.describe_exception(error))

    def process_data(self, transfer, data):
        """Process received bytes of an attempt."""
        transfer.received_at = self.now
        transfer.attempt.silence.end()
        if transfer.first_byte_at is None:
            self.begin_body(transfer)
        if transfer.curl is None:
            return
        if transfer.relay is not None:
            self.relay_events(transfer, data)
        else:
            self.collect_body(transfer, data)

    def begin_body(self, transfer):
        """Check status line and headers at the first bytes of the body."""
        transfer.first_byte_at = self.now
        transfer.parse_head()
        if transfer.is_mismatched():
            self.abort(transfer, AttemptEnd.CROSSED, 'attempt id mismatch')
        elif transfer.relay is not None:
            self.selector.mark_stream(
                transfer.curl.getinfo(pycurl.ACTIVESOCKET)
            )

    def relay_events(self, transfer, data):
        """Relay the events of a stream and handle its end or fault."""
        relay = transfer.relay
        relay.feed(data, self.now)
        if relay.done:
            transfer.linger_until = self.now + LINGER_SECONDS
            relay.finish()
            self.settle(transfer, AttemptEnd.ANSWERED)
        elif relay.fault is not None:
            end = AttemptEnd.INCOMPLETE
            if relay.fault == 'caller gone':
                end = AttemptEnd.CALLER_GONE
            self.abort(transfer, end, str(relay.fault))
        elif relay.sink is not None and getattr(
            relay.sink, 'congested', False
        ):
            self.pause(transfer)

    def collect_body(self, transfer, data):
        """Collect the body of a response that is not a stream."""
        try:
            transfer.body.feed([data])
        except web_errors.BadMessageError as error:
            self.abort(transfer, AttemptEnd.BROKEN, str(error))

    def pause(self, transfer):
        """Pause reading from the endpoint until the caller catches up."""
        if transfer.paused:
            return
        transfer.paused = True
        transfer.relay.sink.resume = lambda: self.unpause(transfer)
        transfer.curl.pause(pycurl.PAUSE_RECV)

    def unpause(self, transfer):
        """Resume reading from the endpoint."""
        if transfer.paused and transfer.curl is not None:
            transfer.paused = False
            transfer.received_at = self.now
            transfer.curl.pause(pycurl.PAUSE_CONT)

    def collect_finished(self):
        """Settle the attempts whose transfers libcurl has finished."""
        more = True
        while more:
            more, finished, failed = self.multi.info_read()
            if self.unprocessed:
                self.process_received()
            for curl in finished:
                self.run_isolated(self.finish, curl.transfer, 0, '')
            for curl, curl_code, message in failed:
                self.run_isolated(
                    self.finish, curl.transfer, curl_code, message
                )

    def finish(self, transfer, curl_code, message):
        """Settle an attempt whose transfer has ended."""
        if transfer is None or transfer.curl is None:
            return
        transfer.parse_head()
        self.release_handle(transfer)
        if transfer.future.done():
            return
        judgement = transfer.judge_end()
        if curl_code:
            end = AttemptEnd.BROKEN if transfer.sent else AttemptEnd.NOT_SENT
            self.end_early(transfer, end, message)
        elif judgement.end is answers.End.BROKEN:
            self.end_early(transfer, AttemptEnd.BROKEN, judgement.reason)
        elif transfer.is_mismatched():
            self.end_early(transfer, AttemptEnd.CROSSED, 'attempt id mismatch')
        elif transfer.relay is not None:
            # Without chunked encoding, a connection closed by the end of the
            # endpoint process looks like a complete body.
            chunked = 'transfer-encoding' in transfer.headers
            end = AttemptEnd.INCOMPLETE if chunked else AttemptEnd.BROKEN
            self.end_early(transfer, end, 'no end marker')
        else:
            self.settle(transfer, AttemptEnd.ANSWERED)

    def cancel_transfer(self, attempt_id, end):
        """Cancel an attempt by its id."""
        transfer = self.transfers.get(attempt_id)
        if transfer is not None and not transfer.future.done():
            self.abort(transfer, end, 'cancelled')

    def abort(self, transfer, end, detail):
        """Stop a running attempt and settle it."""
        transfer.parse_head()
        self.release_handle(transfer)
        if not transfer.future.done():
            if not transfer.sent and end is AttemptEnd.STALLED:
                end = AttemptEnd.NOT_SENT
            self.end_early(transfer, end, detail)

    def end_early(self, transfer, end, detail):
        """Settle a failed attempt and cancel it on its endpoint."""
        self.metrics.count('dispatch_attempts_ended_early_total', end=end)
        if (
            transfer.sent
            and transfer.attempt.path != attempt_module.CANCEL_PATH
        ):
            self.send_cancel(transfer.attempt)
        self.settle(transfer, end, detail)

    def send_cancel(self, attempt):
        """Ask an endpoint to stop an attempt and ignore the response."""
        if self.closing:
            return
        cancel = attempt_module.make_cancel(attempt, self.now)
        self.add_transfer(self.make_transfer(cancel, self.now))

    def release_handle(self, transfer):
        """Detach the curl handle of an attempt; reuse or close the handle."""
        transfer.record_sent()
        curl = transfer.curl
        transfer.curl = curl.transfer = None
        self.transfers.pop(transfer.attempt.attempt_id, None)
        self.multi.remove_handle(curl)
        if len(self.idle_handles) < MAX_IDLE_HANDLES:
            curl.reset()
            self.idle_handles.append(curl)
        else:
            curl.close()

    def settle(self, transfer, end, detail=''):
        """Complete the future of an attempt."""
        if not transfer.future.done():
            transfer.future.set_result(transfer.make_result(end, detail))
        transfer.body.holding.close()

    def check_timeouts(self):
        """End expired attempts and slow callers; mark silent endpoints.

        A silent endpoint may go on, so its attempt does not end.
        """
        now = self.now
        for transfer in tuple(self.transfers.values()):
            if transfer.linger_until is not None:
                if now > transfer.linger_until:
                    self.release_handle(transfer)
            elif now > transfer.attempt.deadline:
                self.abort(transfer, AttemptEnd.EXPIRED, 'deadline exceeded')
            elif transfer.first_byte_at is None:
                if now > transfer.attempt.silent_at:
                    transfer.attempt.silence.begin()
            elif (
                not transfer.paused
                and now - transfer.received_at > STREAM_SILENT_SECONDS
            ):
                transfer.attempt.silence.begin()
        self.callers.check_stalled(now)
