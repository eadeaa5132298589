"""Relaying of a response to a caller whose connection is watched."""

import concurrent.futures

import logbook

from rhubarbreach import codes
from rhubarbreach.dispatch import sink as sink_module

__all__ = ['DetachedSink', 'make_head', 'run_watched']

LOG = logbook.Logger('entry')
# Time for which the event loop may take to notice that a caller has stalled.
FLUSH_TIMEOUT_SECONDS = 30.0
UNWATCH_TIMEOUT_SECONDS = 10.0
# Bytes held for a caller that pauses while its recorded call continues.
MAX_HELD_BYTES = 4 << 20


class DetachedSink:
    """Sink of a recorded call, which continues after its caller is gone.

    Parameters
    ----------
    caller_sink : dispatch.sink.CallerSink
        Sink of the caller.
    """

    congested = False

    def __init__(self, caller_sink):
        self.caller_sink = caller_sink

    def write(self, data):
        """Send to the caller unless it is gone or too slow."""
        if self.caller_sink.buffered_bytes > MAX_HELD_BYTES:
            self.caller_sink.slow = True
            self.caller_sink.abort()
        self.caller_sink.write(data)
        return True

    def finish(self):
        """End the stream."""
        self.caller_sink.finish()


def make_head(request):
    """Return the encoded head of a stream, and whether it is chunked."""
    connection = request.connection
    chunked = connection.request_version == 'HTTP/1.1'
    lines = [
        'HTTP/1.1 200 OK',
        'Content-Type: text/event-stream; charset=utf-8',
        'Cache-Control: no-cache',
        f'X-Request-Id: {request.request_id}',
        'Transfer-Encoding: chunked' if chunked else 'Connection: close',
    ]
    return '\r\n'.join([*lines, '', '']).encode('latin-1'), chunked


def run_watched(executor, call, request, recorded):
    """Run a call while the connection of its caller is watched.

    Parameters
    ----------
    executor : dispatch.executor.Executor
        Runs the call.
    call : dispatch.call.Call
        Call to run.
    request : app.EntryRequest
        Request of the caller.
    recorded : bool
        Whether the call continues after the caller is gone.

    Returns
    -------
    (CallResult or codes.Refusal, bool)
        Result, and whether no response is left to send because it was
        streamed or the caller is gone.
    """
    loop = executor.loop
    connection = request.connection
    head, chunked = make_head(request)
    connection.connection.setblocking(False)
    sink = sink_module.CallerSink(connection.connection, head, chunked)
    request.sink = sink
    if not recorded:
        sink.on_lost = lambda _: executor.cancel(call.request_id)
    loop.watch(sink)
    try:
        stream_sink = None
        if call.stream:
            stream_sink = DetachedSink(sink) if recorded else sink
        result = executor.execute(call, stream_sink)
        sent = sink.started
        if sent:
            finish_stream(loop, sink, connection, chunked)
    finally:
        loop.unwatch(sink).result(UNWATCH_TIMEOUT_SECONDS)
    if sink.aborted:
        connection.close_connection = True
        sent = True
    if isinstance(result, codes.Refusal) or result.refusal is not None:
        LOG.info('event=call_refused request_id={}', call.request_id)
    return result, sent


def finish_stream(loop, sink, connection, chunked):
    """Finish a stream and wait until all bytes are handed to the socket."""
    if not sink.finished:
        loop.call_soon(sink.finish)
    flushed = wait_until_flushed(sink)
    if not flushed or not chunked:
        connection.close_connection = True


def wait_until_flushed(sink):
    """Wait while the caller reads; return whether the socket has all bytes."""
    while True:
        since = sink.stalled_since
        try:
            return sink.closed.result(FLUSH_TIMEOUT_SECONDS)
        except concurrent.futures.TimeoutError:
            if sink.stalled_since == since:
                return False
