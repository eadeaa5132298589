"""Event loop that moves the bytes between endpoints and callers."""

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

__all__ = ['Loop']

LOG = logbook.Logger('dispatch')
AttemptEnd = attempt_module.AttemptEnd

# Deadlines, stalls and slow callers are checked at this interval.
SWEEP_SECONDS = 0.05
MAX_IDLE_HANDLES = 256
MAX_IDLE_CONNECTIONS = 4096

# A stream without a byte for so long counts as hung. The bound for the
# first byte stands in the attempt.
STREAM_STALL_SECONDS = 10.0

# How long the connection of a stream is kept after its end marker, so that
# it can be used again.
LINGER_SECONDS = 1.0


class Loop:
    """One thread with a curl multi handle and an epoll selector.

    Parameters
    ----------
    metrics : observe.metrics.Metrics
        Counts dropped events and broken attempts.
    """

    def __init__(self, metrics):
        self.metrics = metrics
        self.selector = selector.Selector()
        self.commands = collections.deque()
        self.callers = callers.CallerTable(self.selector, metrics)
        self.transfers = {}
        self.dirty = []
        self.idle_handles = []
        self.timer_at = None
        self.now = clock.monotonic()
        self.next_sweep = self.now
        self.closing = False
        self.waiting = False
        self.multi = pycurl.CurlMulti()
        self.multi.setopt(pycurl.M_SOCKETFUNCTION, self.selector.handle_curl)
        self.multi.setopt(pycurl.M_TIMERFUNCTION, self.handle_timer)
        self.multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)
        self.thread = threading.Thread(
            target=self.run, name='dispatch-loop', daemon=True
        )
        self.thread.start()

    # Called from any thread.

    def call_soon(self, function, *arguments):
        """Run a function on the loop thread."""
        self.commands.append((function, arguments))
        # The loop looks at the commands after it has set this flag.
        if self.waiting:
            self.selector.wake()

    def start(self, attempt):
        """Start an attempt.

        Parameters
        ----------
        attempt : attempt.Attempt
            What to send.

        Returns
        -------
        concurrent.futures.Future
            Completes with an `attempt.AttemptResult`.
        """
        transfer = transfer_module.Transfer(
            attempt, self.dirty, clock.monotonic()
        )
        self.call_soon(self.add_transfer, transfer)
        return transfer.future

    def cancel(self, attempt_id, end=AttemptEnd.CANCELLED):
        """Cancel an attempt here and on its endpoint."""
        self.call_soon(self.cancel_transfer, attempt_id, end)

    def watch(self, sink):
        """Notice when the caller of a sink is gone."""
        self.callers.add(sink)

    def unwatch(self, sink):
        """Forget a caller; the future completes when that is done."""
        done = concurrent.futures.Future()
        self.call_soon(self.callers.remove, sink, done)
        return done

    def close(self):
        """Stop the thread; running attempts end as cancelled."""
        self.call_soon(self.stop)
        self.thread.join()

    # Called on the loop thread.

    def stop(self):
        """Cancel all attempts and leave the loop."""
        for attempt_id in tuple(self.transfers):
            self.cancel_transfer(attempt_id, AttemptEnd.CANCELLED)
        self.closing = True

    def run(self):
        """Serve until closed."""
        while not self.closing:
            try:
                self.run_pass()
            except Exception as error:
                self.note_fault(error)
        while self.commands:
            function, arguments = self.commands.popleft()
            function(*arguments)
        for curl in self.idle_handles:
            curl.close()
        self.multi.close()
        self.selector.close()

    def run_pass(self):
        """Wait for events and process all of them."""
        until = self.next_sweep
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
        if self.dirty:
            self.process_received()
        self.collect_finished()
        if now >= self.next_sweep:
            self.next_sweep = now + SWEEP_SECONDS
            self.sweep()

    def handle_timer(self, milliseconds):
        """Keep the time at which libcurl wants to be called."""
        if milliseconds < 0:
            self.timer_at = None
        else:
            self.timer_at = clock.monotonic() + milliseconds / 1000

    def add_transfer(self, transfer):
        """Hand an attempt to libcurl."""
        if self.closing:
            self.settle(transfer, AttemptEnd.NOT_SENT, 'loop closed')
            return
        curl = self.idle_handles.pop() if self.idle_handles else pycurl.Curl()
        transfer_module.configure_handle(curl, transfer)
        transfer.started_at = transfer.received_at = clock.monotonic()
        self.transfers[transfer.attempt.attempt_id] = transfer
        self.multi.add_handle(curl)

    def process_received(self):
        """Pass the bytes of this pass on, attempt by attempt."""
        dirty = self.dirty[:]
        self.dirty.clear()
        for transfer in dirty:
            chunks = transfer.chunks
            data = chunks[0] if len(chunks) == 1 else b''.join(chunks)
            chunks.clear()
            if transfer.linger_until is not None:
                self.metrics.count('dispatch_late_bytes_total', len(data))
            elif transfer.curl is not None and data:
                self.guard(self.process_data, transfer, data)

    def guard(self, function, transfer, *arguments):
        """Let a fault in one attempt end that attempt only."""
        try:
            function(transfer, *arguments)
        except Exception as error:
            self.note_fault(error)
            if transfer.curl is not None:
                self.release_handle(transfer)
            if not transfer.future.done():
                self.end_early(transfer, AttemptEnd.BROKEN, 'internal fault')

    def note_fault(self, error):
        """Count and log a fault of this process."""
        self.metrics.count('dispatch_loop_errors_total')
        LOG.error('event=loop_error {}', errors.describe_fault(error))

    def process_data(self, transfer, data):
        """Process bytes of one attempt."""
        transfer.received_at = self.now
        if transfer.first_byte_at is None:
            self.begin_body(transfer)
        if transfer.curl is None:
            return
        if transfer.relay is not None:
            self.relay_events(transfer, data)
        else:
            self.keep_body(transfer, data)

    def begin_body(self, transfer):
        """Check the head of an answer when its first bytes arrive."""
        transfer.first_byte_at = self.now
        transfer.parse_head()
        if transfer.is_crossed():
            self.abort(transfer, AttemptEnd.CROSSED, 'answer of another')
        elif transfer.relay is not None:
            self.selector.make_steady(
                transfer.curl.getinfo(pycurl.ACTIVESOCKET)
            )

    def relay_events(self, transfer, data):
        """Pass events on and react to what the relay found."""
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

    def keep_body(self, transfer, data):
        """Collect the body of an answer that is no stream."""
        transfer.body.append(data)
        transfer.body_bytes += len(data)
        if transfer.body_bytes > transfer_module.MAX_BODY_BYTES:
            self.abort(transfer, AttemptEnd.BROKEN, 'body too large')

    def pause(self, transfer):
        """Stop reading from the endpoint until the caller has caught up."""
        if transfer.paused:
            return
        transfer.paused = True
        transfer.relay.sink.resume = lambda: self.unpause(transfer)
        transfer.curl.pause(pycurl.PAUSE_RECV)

    def unpause(self, transfer):
        """Read from the endpoint again."""
        if transfer.paused and transfer.curl is not None:
            transfer.paused = False
            transfer.received_at = self.now
            transfer.curl.pause(pycurl.PAUSE_CONT)

    def collect_finished(self):
        """Settle the attempts that libcurl has finished."""
        more = True
        while more:
            more, finished, failed = self.multi.info_read()
            if self.dirty:
                self.process_received()
            for curl in finished:
                self.guard(self.finish, curl.transfer, 0, '')
            for curl, number, message in failed:
                self.guard(self.finish, curl.transfer, number, message)

    def finish(self, transfer, number, message):
        """Settle an attempt whose transfer is over."""
        if transfer is None or transfer.curl is None:
            return
        transfer.parse_head()
        self.release_handle(transfer)
        if transfer.future.done():
            return
        if number:
            end = AttemptEnd.BROKEN if transfer.sent else AttemptEnd.NOT_SENT
            self.end_early(transfer, end, message)
        elif transfer.is_crossed():
            self.end_early(transfer, AttemptEnd.CROSSED, 'answer of another')
        elif transfer.relay is not None:
            # Without chunks the end of a process looks like a whole body.
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
        """Drop a running attempt."""
        transfer.parse_head()
        self.release_handle(transfer)
        if not transfer.future.done():
            if not transfer.sent and end is AttemptEnd.STALLED:
                end = AttemptEnd.NOT_SENT
            self.end_early(transfer, end, detail)

    def end_early(self, transfer, end, detail):
        """Settle an attempt without an answer and tell its endpoint."""
        self.metrics.count('dispatch_attempts_ended_early_total', end=end)
        if (
            transfer.sent
            and transfer.attempt.path != attempt_module.CANCEL_PATH
        ):
            self.send_cancel(transfer.attempt)
        self.settle(transfer, end, detail)

    def send_cancel(self, attempt):
        """Ask an endpoint to stop an attempt; its answer does not matter."""
        if self.closing:
            return
        cancel = attempt_module.make_cancel(attempt, self.now)
        self.add_transfer(
            transfer_module.Transfer(cancel, self.dirty, self.now)
        )

    def release_handle(self, transfer):
        """Take the curl handle from an attempt."""
        transfer.note_sent()
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

    def sweep(self):
        """End attempts past their deadlines and callers that stall."""
        now = self.now
        for transfer in tuple(self.transfers.values()):
            if transfer.linger_until is not None:
                if now > transfer.linger_until:
                    self.release_handle(transfer)
            elif now > transfer.attempt.deadline:
                self.abort(transfer, AttemptEnd.EXPIRED, 'deadline')
            elif transfer.first_byte_at is None:
                if now > transfer.attempt.first_byte_deadline:
                    self.abort(transfer, AttemptEnd.STALLED, 'no first byte')
            elif (
                not transfer.paused
                and now - transfer.received_at > STREAM_STALL_SECONDS
            ):
                self.abort(transfer, AttemptEnd.STALLED, 'no further byte')
        self.callers.check_stalled(now)
