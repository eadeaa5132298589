"""Tests of endpoints and callers that fall silent for a moment and go on."""

import socket
import threading
import time
import types

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.gateway import responses
from rhubarbreach.gateway.tests import test_forward as forwarding
from rhubarbreach.web import connection as connections
from rhubarbreach.web import memory
from rhubarbreach.web import outbox
from rhubarbreach.web import server
from rhubarbreach.web import sockets

forward_to = forwarding.forward_to

HEAD = forwarding.HEAD
END = forwarding.END
SILENCE_SECONDS = 1.5
REFUSAL = b'HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n'
INCOMPLETE = b'HTTP/1.1 200 OK\r\n'


def make_events(first, last):
    return [forwarding.make_event(n) for n in range(first, last + 1)]


def list_ids(data):
    """Return the numbers of the events that a caller has received."""
    return [
        int(line.removeprefix(b'id: '))
        for line in data.split(b'\n')
        if line.startswith(b'id: ')
    ]


def respond(first, silence=None):
    """Return the parts of a response with the events from `first` to 3."""
    parts = [HEAD, *make_events(first, 3), END]
    return parts if silence is None else [silence, *parts]


OTHERS = {
    'none': lambda first: None,
    'refuses': lambda first: [REFUSAL],
    'breaks off': lambda first: [INCOMPLETE],
    'goes on': respond,
    'is silent': lambda first: respond(first, SILENCE_SECONDS),
    'fails': lambda first: [b'HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n'],
}


@pytest.mark.parametrize('is_fresh', [True, False])
@pytest.mark.parametrize('other', OTHERS)
@pytest.mark.parametrize('has_begun', [False, True])
def test_silence_of_a_sound_endpoint_ends_no_response(
    forward_to, has_begun, other, is_fresh
):
    """Guards against a stream given up before another endpoint goes on."""
    begin = [HEAD, *make_events(1, 1)] if has_begun else []
    rest = respond(2)[1:] if has_begun else respond(1)
    later = OTHERS[other](2 if has_begun else 1)
    refusal, data, endpoint, _ = forward_to(
        [*begin, SILENCE_SECONDS, *rest],
        0.0,
        timeout=5.0,
        resumable=True,
        longest_pause=0.4,
        later=later,
        count=1 if later is None else 2,
        is_fresh=is_fresh,
    )
    assert refusal is None
    assert list_ids(data) == [1, 2, 3]
    assert data.count(b'HTTP/1.1') == 1
    assert data.endswith(responses.LAST_CHUNK)
    # A host that is out of step asks no other endpoint to go on.
    is_asked = later is not None and (is_fresh or not has_begun)
    assert endpoint.count == 1 + is_asked


@pytest.mark.parametrize('has_begun', [False, True])
def test_endpoint_silent_for_good_is_left_early(forward_to, has_begun):
    """Guards against a wait for an endpoint when another one can go on."""
    loads = []
    begin = [HEAD, *make_events(1, 1)] if has_begun else []
    refusal, data, _, seconds = forward_to(
        [*begin, 6.0],
        0.0,
        timeout=5.0,
        resumable=True,
        later=respond(2 if has_begun else 1),
        count=2,
        on_view=loads.append,
    )
    assert refusal is None
    assert list_ids(data) == [1, 2, 3]
    assert seconds < 1.2
    assert not loads[0].counts.running
    failures = [failed for failed, _ in loads[0].health.outcomes.values()]
    assert sorted(failures) == [0, 1]


def test_verdict_on_a_silent_endpoint_is_taken_back(forward_to):
    """Guards against a sound endpoint that is avoided for a past silence."""
    loads = []
    _, data, endpoint, _ = forward_to(
        [HEAD, *make_events(1, 1), 0.8, *make_events(2, 3), 0.0, END],
        0.0,
        timeout=5.0,
        resumable=True,
        later=[REFUSAL],
        count=2,
        on_view=loads.append,
    )
    assert endpoint.count == 2
    assert list_ids(data) == [1, 2, 3]
    assert not loads[0].health.table.entries
    assert all(failed == 0 for failed, _ in loads[0].health.outcomes.values())
    count = forward_to.metrics.get_count
    assert count('forward_outcomes_total', outcome='stalled') == 1


def test_endpoint_that_was_just_asked_is_not_silent(forward_to):
    """Guards against a verdict on an endpoint that had no time to answer."""
    loads = []
    _, data, endpoint, _ = forward_to(
        [HEAD, *make_events(1, 1), 0.7],
        0.0,
        timeout=5.0,
        resumable=True,
        # It is asked when the first one is silent, which then breaks off.
        later=[0.3, *respond(2)],
        last=respond(2),
        count=3,
        max_attempts=3,
        on_view=loads.append,
    )
    assert endpoint.count == 3
    assert list_ids(data) == [1, 2, 3]
    assert sorted(f for f, _ in loads[0].health.outcomes.values()) == [0, 1]
    count = forward_to.metrics.get_count
    assert count('forward_outcomes_total', outcome='stalled') == 1


@pytest.mark.parametrize('delay', [0.0, 0.02, 0.05, 0.1, 0.2, 0.4])
def test_events_of_two_endpoints_never_mix(forward_to, delay):
    """Guards against a stream whose two endpoints both go on."""
    old = [HEAD, *make_events(1, 1), 0.6 + delay]
    for event in make_events(2, 9):
        old += [event, 0.01]
    new = [HEAD, 0.1]
    for event in make_events(2, 9):
        new += [event.replace(b'data: t', b'data: u'), 0.01]
    _, data, _, _ = forward_to(
        [*old, END],
        0.0,
        timeout=5.0,
        resumable=True,
        later=[*new, END],
        count=2,
    )
    assert list_ids(data) == list(range(1, 10))
    assert data.count(b'data: u') in (0, 8)
    assert data.endswith(responses.LAST_CHUNK)


def test_two_endpoints_that_go_on_at_once_do_not_end_the_stream(
    forward_to, monkeypatch
):
    """Guards against reading an attempt that another one has superseded."""
    wait_readable = sockets.wait_readable

    def wait_for_all(watched, *arguments):
        if len(watched) == 3:
            # Both endpoints have sent events before the sockets are polled.
            time.sleep(0.8)
        return wait_readable(watched, *arguments)

    monkeypatch.setattr(sockets, 'wait_readable', wait_for_all)
    refusal, data, endpoint, _ = forward_to(
        [HEAD, *make_events(1, 1), 1.0, *make_events(2, 3), END],
        0.0,
        timeout=5.0,
        resumable=True,
        later=respond(2, 0.1),
        count=2,
    )
    assert refusal is None
    assert endpoint.count == 2
    assert list_ids(data) == [1, 2, 3]
    assert data.endswith(responses.LAST_CHUNK)


def test_silent_request_that_may_run_once_is_sent_once(forward_to):
    """Guards against a second run of a request that may run only once."""
    refusal, data, endpoint, _ = forward_to(
        [HEAD, *make_events(1, 1), SILENCE_SECONDS, *make_events(2, 3), END],
        0.0,
        timeout=5.0,
        later=respond(2),
        count=2,
    )
    assert refusal is None
    assert list_ids(data) == [1, 2, 3]
    assert endpoint.count == 1


def test_silent_request_without_a_response_is_refused_at_its_deadline(
    forward_to,
):
    """Guards against a request that is neither answered nor refused."""
    refusal, data, _, seconds = forward_to(
        [5.0], 0.0, timeout=1.5, resumable=True
    )
    assert refusal.code == codes.ResultCode.DEADLINE_EXCEEDED
    assert refusal.ran == codes.Ran.UNKNOWN
    assert not data
    assert 1.5 <= seconds < 2.0


@pytest.mark.parametrize('silent_for', [0.5, 5.0])
def test_silence_of_the_leader_cuts_no_stream(forward_to, silent_for):
    """Guards against a stream that is cut before its host is in step again.

    Its endpoint breaks off meanwhile, and another one may go on.
    """
    in_step_at = clock.monotonic() + silent_for
    _, data, endpoint, seconds = forward_to(
        [HEAD, *make_events(1, 1), forwarding.RESET],
        0.0,
        timeout=2.0,
        resumable=True,
        later=respond(2),
        count=2,
        is_fresh=lambda now: now >= in_step_at,
    )
    is_heard = silent_for < 2.0
    assert endpoint.count == 1 + is_heard
    assert list_ids(data) == ([1, 2, 3] if is_heard else [1])
    assert data.endswith(responses.LAST_CHUNK) == is_heard
    assert abs(seconds - min(silent_for, 2.0)) < 0.4


@pytest.mark.parametrize('takes_over', [False, True])
def test_origin_is_the_endpoint_that_goes_on(forward_to, takes_over):
    """Guards against a stream taken up at a version that did not begin it."""
    _, data, endpoint, _ = forward_to(
        [1.0, *respond(1)],
        0.0,
        timeout=5.0,
        resumable=True,
        later=respond(1) if takes_over else [REFUSAL],
        count=2,
        versions=['v1', 'v2'],
    )
    assert endpoint.count == 2
    assert list_ids(data) == [1, 2, 3]
    first, *others = forward_to.origins
    last = max(forward_to.origins, key=lambda origin: origin.revision)
    assert forward_to.origins[1].software_version != first.software_version
    assert (last.software_version != first.software_version) == takes_over
    assert len({origin.revision for origin in forward_to.origins}) == len(
        forward_to.origins
    )


def test_endpoint_that_does_not_read_holds_no_events_back(forward_to):
    """Guards against events that wait while another endpoint is asked."""
    begin = [HEAD, *make_events(1, 1)]
    refusal, data, _, seconds = forward_to(
        [0.2, *begin, 0.8, *make_events(2, 3), END],
        0.0,
        timeout=5.0,
        resumable=True,
        later=[5.0],
        count=2,
        body=b'x' * 100_000,
    )
    assert refusal is None
    assert list_ids(data) == [1, 2, 3]
    assert seconds < 2.0


@pytest.fixture
def socket_pair():
    """Connected sockets with small buffers, the first one non-blocking."""
    pair = socket.socketpair()
    for end in pair:
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    pair[0].setblocking(False)
    yield pair
    for end in pair:
        sockets.close_socket(end)


def test_caller_that_stands_still_for_a_moment_gets_its_response(socket_pair):
    """Guards against a response cut while its caller does not read."""
    ours, callers = socket_pair
    queue = outbox.Outbox(ours, memory.UNBOUNDED.open())

    def send(data, deadline):
        queue.put(data)
        queue.wait(deadline)

    connection = types.SimpleNamespace(
        keep_alive=True, send=send, queue=queue.put, outbox=queue
    )
    writer = responses.ResponseWriter(
        types.SimpleNamespace(is_closing=lambda _: False),
        connection,
        clock.monotonic() + 5.0,
    )
    received = []

    def read():
        time.sleep(2.2)
        while data := callers.recv(65_536):
            received.append(data)

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    head = types.SimpleNamespace(status=200, reason=b'OK', headers=())
    assert writer.send_blocks(head, [b'x' * 200_000])
    assert writer.send_end(head, b'')
    sockets.shut_down(ours)
    reader.join(5.0)
    assert b''.join(received).endswith(responses.LAST_CHUNK)


def test_whole_response_reaches_a_caller_that_reads_slowly(monkeypatch):
    """Guards against a body cut before the deadline of its request."""
    monkeypatch.setattr(connections, 'RESPONSE_TIMEOUT_SECONDS', 0.3)
    head = types.SimpleNamespace(status=200, reason=b'OK', headers=())
    body = b'x' * 16_000_000

    def handle(connection, _):
        writer = responses.ResponseWriter(
            types.SimpleNamespace(is_closing=lambda _: True),
            connection,
            clock.monotonic() + 5.0,
        )
        writer.send_whole(head, body)

    web_server = server.Server(
        '127.0.0.1:0', handle, lambda: catalogs.DEFAULT_LIMITS, 'test'
    )
    address = ('127.0.0.1', web_server.port)
    size = 0
    with socket.create_connection(address, 5) as caller:
        caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        time.sleep(0.8)
        while data := caller.recv(1_000_000):
            size += len(data)
    web_server.close()
    assert size > len(body)
