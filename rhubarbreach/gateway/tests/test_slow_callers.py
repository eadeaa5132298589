"""Tests of streams whose callers are slow to read.

An endpoint cuts off a response that stays unread for some seconds.
"""

import re
import socket
import threading
import time
import types

import pytest

from rhubarbreach.gateway import responses
from rhubarbreach.gateway.tests import test_forward as forwarding
from rhubarbreach.web import connection
from rhubarbreach.web import memory

HEAD = forwarding.HEAD
END = forwarding.END
RESET = forwarding.RESET
UNREAD_SECONDS = 0.4
EVENT_BYTES = 100_000
# More than the buffers of all sockets between an endpoint and its caller.
EVENT_COUNT = 150
EVENT_ID = re.compile(rb'id: (\d+)\n')

forward_to = forwarding.forward_to


class StandIn(forwarding.FakeEndpoint):
    """Fake endpoint that cuts off a response that stays unread."""

    def answer(self, connection, parts):
        connection.settimeout(UNREAD_SECONDS)
        super().answer(connection, parts)


@pytest.fixture
def serve(monkeypatch, forward_to):
    """Return a function that forwards a stream to a slow caller."""

    def run(parts, read_after, pool=memory.UNBOUNDED, **options):
        class Caller(connection.Connection):
            def __init__(self):
                ours, callers = socket.socketpair()
                ours.setblocking(False)
                host = types.SimpleNamespace(memory=pool, draining=False)
                super().__init__(host, ours)
                self.sent = []
                reader = threading.Thread(target=self.read, args=(callers,))
                reader.daemon = True
                reader.start()
                # Closed once all is read.
                self.peer = types.SimpleNamespace(close=reader.join)
                run.caller = self

            def read(self, callers):
                time.sleep(read_after)
                while data := callers.recv(1 << 20):
                    self.sent.append(data)
                callers.close()

        monkeypatch.setattr(forwarding, 'FakeCaller', Caller)
        monkeypatch.setattr(forwarding, 'FakeEndpoint', StandIn)
        _, _, endpoint, seconds = forward_to(
            parts, 0.0, **{'timeout': 8.0, 'resumable': True} | options
        )
        data = b''.join(run.caller.sent)
        ids = [int(number) for number in EVENT_ID.findall(data)]
        return ids, data.endswith(responses.LAST_CHUNK), endpoint, seconds

    return run


def make_events(first, last):
    return [
        forwarding.chunk(b'id: %d\ndata: %s\n\n' % (n, b'd' * EVENT_BYTES))
        for n in range(first, last + 1)
    ]


def test_endpoint_is_read_on_while_its_caller_is_slow(serve):
    """Guards against a stream that its endpoint cuts off as unread."""
    parts = [HEAD, *make_events(1, EVENT_COUNT), END]
    ids, is_whole, endpoint, _ = serve(parts, 1.5)
    assert ids == list(range(1, EVENT_COUNT + 1))
    assert is_whole
    assert endpoint.count == 1


def test_queued_events_stay_in_order_when_a_stream_resumes(serve):
    """Guards against events of two endpoints that mix in the queue."""
    cut = EVENT_COUNT // 2
    ids, is_whole, endpoint, _ = serve(
        [HEAD, *make_events(1, cut)],
        1.5,
        later=[HEAD, *make_events(cut + 1, EVENT_COUNT), END],
        count=2,
    )
    assert ids == list(range(1, EVENT_COUNT + 1))
    assert is_whole
    assert endpoint.count == 2


def test_stream_that_breaks_off_gets_no_end_behind_its_queue(serve):
    """Guards against a part of a response that looks whole."""
    ids, is_whole, _, _ = serve(
        [HEAD, *make_events(1, 30), RESET], 1.0, resumable=False
    )
    assert ids == list(range(1, len(ids) + 1))
    assert not is_whole


def test_caller_that_never_reads_ends_at_its_deadline(serve):
    """Guards against a queue that outlives its request."""
    parts = [HEAD, *make_events(1, EVENT_COUNT), END]
    _, is_whole, _, seconds = serve(parts, 3.0, timeout=2.0)
    assert not is_whole
    assert seconds < 2.9


def test_slow_caller_is_disconnected_at_the_memory_of_its_host(serve):
    """Guards against queues that together exceed the memory."""
    pool = memory.MemoryPool(2_000_000)
    parts = [HEAD, *make_events(1, EVENT_COUNT), END]
    ids, is_whole, _, _ = serve(parts, 1.5, pool)
    assert ids == list(range(1, len(ids) + 1))
    assert not is_whole
    run_caller = serve.caller
    run_caller.outbox.close()
    assert pool.used_bytes == 0


def test_slow_caller_does_not_occupy_an_endpoint_that_is_done(serve):
    """Guards against slots that look used, and run times that look long.

    Requests are queued and refused by these figures.
    """
    views = []
    read_after = 1.5
    parts = [HEAD, *make_events(1, EVENT_COUNT), END]
    _, is_whole, _, seconds = serve(parts, read_after, on_view=views.append)
    assert is_whole
    assert seconds > read_after
    (loads,) = views
    assert loads.performance.run_seconds['s'] < read_after
    assert not loads.counts.copy_running()
