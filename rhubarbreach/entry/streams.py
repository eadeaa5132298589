"""Relaying of an answer to a caller while its connection is watched."""

import concurrent.futures

import logbook

from rhubarbreach import codes
from rhubarbreach.dispatch import sink as sink_module

__all__ = ['DetachedSink', 'make_head', 'run_watched']

LOG = logbook.Logger('entry')
CLOSE_SECONDS = 30.0
UNWATCH_SECONDS = 10.0


class DetachedSink:
    """Sink of a recorded call, which goes on when its caller is gone.

    Parameters
    ----------
    inner : dispatch.sink.CallerSink
        Sink of the caller.
    """

    congested = False

    def __init__(self, inner):
        self.inner = inner

    def write(self, data):
        """Send to the caller if it is there and keeps up."""
        if self.inner.congested:
            self.inner.slow = True
            self.inner.abort()
        self.inner.write(data)
        return True

    def finish(self):
        """End the stream."""
        self.inner.finish()


def make_head(request):
    """Return status line and headers of a stream."""
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
    """Run a call while its caller's connection is watched.

    Parameters
    ----------
    executor : dispatch.executor.Executor
        Runs the call.
    call : dispatch.call.Call
        What to run.
    request : app.EntryRequest
        Request of the caller.
    recorded : bool
        Whether the call goes on when the caller is gone.

    Returns
    -------
    (CallResult or codes.Refusal, bool)
        Result, and whether it was already sent as a stream.
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
        target = None
        if call.stream:
            target = DetachedSink(sink) if recorded else sink
        result = executor.execute(call, target)
        sent = sink.started
        if sent:
            finish_stream(loop, sink, connection, chunked)
    finally:
        loop.unwatch(sink).result(UNWATCH_SECONDS)
    if sink.gone:
        connection.close_connection = True
        sent = True
    if isinstance(result, codes.Refusal) or result.refusal is not None:
        LOG.info('event=call_refused request_id={}', call.request_id)
    return result, sent


def finish_stream(loop, sink, connection, chunked):
    """Send the end of a stream and wait until the caller has it."""
    if not sink.finished:
        loop.call_soon(sink.finish)
    try:
        whole = sink.closed.result(CLOSE_SECONDS)
    except concurrent.futures.TimeoutError:
        whole = False
    if not whole or not chunked:
        connection.close_connection = True
