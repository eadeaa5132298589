"""Tests of the server's timeouts, threads and failed handlers."""

import contextlib
import socket
import sys
import threading
import time
import types

import pytest

from rhubarbreach.catalog import model
from rhubarbreach import clock
from rhubarbreach.web import connection as connection_module
from rhubarbreach.web import errors
from rhubarbreach.web import memory
from rhubarbreach.web import server
from rhubarbreach.web import threads

LIMITS = model.CallerLimits(512, 2048, 0.4, 1.0)
REQUEST = b'GET / HTTP/1.1\r\n\r\n'
UPGRADE = (
    b'POST / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n'
    b'Content-Length: 1\r\n\r\nx'
)


@pytest.fixture
def start_server():
    """Return a function that starts a server with a handler and limits."""
    with contextlib.ExitStack() as stack:

        def start(handle, limits=LIMITS, request_memory=memory.UNBOUNDED):
            started = server.Server(
                '127.0.0.1:0', handle, lambda: limits, 'test', request_memory
            )
            stack.callback(started.close)
            return started

        yield start


def send(web_server, data=REQUEST):
    """Send bytes; return all that is received on the connection."""
    address = ('127.0.0.1', web_server.port)
    received = b''
    with socket.create_connection(address, 5) as caller:
        caller.sendall(data)
        while part := caller.recv(65536):
            received += part
    return received


def answer(connection, _):
    connection.keep_alive = False
    connection.send_response(200)


def fail(*_):
    raise RuntimeError('x')


@pytest.mark.parametrize(
    'data',
    [
        REQUEST,
        b'POST / HTTP/1.1\r\nExpect: 100-continue\r\n'
        b'Content-Length: 1\r\n\r\n',
    ],
    ids=['request', 'request with an interim response'],
)
def test_request_whose_handler_fails_is_answered(start_server, data):
    """Guards against a request that was read and gets no answer."""
    web_server = start_server(fail)
    address = ('127.0.0.1', web_server.port)
    with socket.create_connection(address, 5) as caller:
        caller.sendall(data)
        if b'Expect' in data:
            assert caller.recv(100).startswith(b'HTTP/1.1 100 ')
            caller.sendall(b'x')
        head = caller.recv(1000)
        assert head.startswith(b'HTTP/1.1 500 ')
        assert b'Connection: close' in head
        assert caller.recv(1000) == b''


@pytest.mark.parametrize(
    'error', [errors.DeadlineError, errors.ConnectionEndedError]
)
def test_request_is_answered_after_an_error_of_another_connection(
    start_server, error
):
    """Guards against taking a failed endpoint for a caller that is gone."""

    def fail_elsewhere(*_):
        raise error('x')

    web_server = start_server(fail_elsewhere)
    assert send(web_server).startswith(b'HTTP/1.1 500 ')


def test_second_request_whose_handler_fails_is_answered(start_server):
    """Guards against taking the last response for the one that is due."""
    handlers = [lambda connection, _: connection.send_response(200), fail]
    web_server = start_server(lambda *arguments: handlers.pop(0)(*arguments))
    received = send(web_server, REQUEST + REQUEST)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 500 ' in received


@pytest.mark.parametrize('is_first', [False, True])
def test_lack_of_threads_loses_no_request(start_server, monkeypatch, is_first):
    """Guards against closing a connection that a thread may still serve."""
    begun = threading.Event()
    released = threading.Event()

    def wait(connection, request):
        begun.set()
        released.wait(5.0)
        answer(connection, request)

    web_server = start_server(wait)
    address = ('127.0.0.1', web_server.port)
    lacking = threading.Event()
    start = threading.Thread.start

    def fail_to_start(thread):
        if lacking.is_set():
            return start(thread)
        lacking.set()
        raise RuntimeError("can't start new thread")

    with contextlib.ExitStack() as stack:
        callers = []
        for is_lacking in [True] if is_first else [False, True]:
            if is_lacking:
                monkeypatch.setattr(threading.Thread, 'start', fail_to_start)
            caller = socket.create_connection(address, 5)
            callers.append(stack.enter_context(caller))
            caller.sendall(REQUEST)
            assert (lacking if is_lacking else begun).wait(5.0)
        released.set()
        for caller in callers:
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')
    # The server goes on.
    assert send(web_server).startswith(b'HTTP/1.1 200 ')
    assert web_server.drain(clock.monotonic() + 5.0)


def test_connections_after_a_lack_of_threads_are_served(
    start_server, monkeypatch
):
    """Guards against a request that waits for other connections to end."""
    web_server = start_server(
        lambda connection, _: connection.send_response(200),
        model.CallerLimits(512, 2048, 5.0, 5.0),
    )
    address = ('127.0.0.1', web_server.port)
    start = threading.Thread.start
    lacking = threading.Event()

    def fail_once(thread):
        if lacking.is_set():
            return start(thread)
        lacking.set()
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, 'start', fail_once)
    with socket.create_connection(address, 5) as caller:
        caller.sendall(REQUEST)
        assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')
    assert lacking.is_set()
    with contextlib.ExitStack() as stack:
        for _ in range(4):
            caller = socket.create_connection(address, 5)
            stack.enter_context(caller)
            caller.settimeout(1.0)
            caller.sendall(REQUEST)
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')


def test_server_accepts_connections_after_an_unexpected_error(
    start_server, monkeypatch
):
    """Guards against a host that takes no connection any more."""
    web_server = start_server(answer)
    open_holding = web_server.memory.open
    failed = threading.Event()

    def fail_once(*arguments):
        if not failed.is_set():
            failed.set()
            raise MemoryError
        return open_holding(*arguments)

    monkeypatch.setattr(
        web_server,
        'memory',
        types.SimpleNamespace(
            open=fail_once,
            parse_lock=web_server.memory.parse_lock,
            buffers=web_server.memory.buffers,
            share=1.0,
        ),
    )
    with contextlib.suppress(ConnectionResetError):
        assert send(web_server) == b''
    assert failed.is_set()
    assert send(web_server).startswith(b'HTTP/1.1 200 ')


def test_answer_is_delivered_before_a_connection_with_a_next_request_ends(
    start_server,
):
    """Guards against resetting a connection whose caller still reads."""
    body = bytes(4 * 1024 * 1024)
    begun = threading.Event()
    released = threading.Event()

    def answer_last(connection, _):
        begun.set()
        released.wait(5.0)
        connection.keep_alive = False
        connection.send_response(200, (), body)

    web_server = start_server(answer_last)
    with socket.create_connection(('127.0.0.1', web_server.port), 5) as caller:
        caller.sendall(REQUEST)
        assert begun.wait(5.0)
        caller.sendall(REQUEST)
        released.set()
        received = b''
        while part := caller.recv(65536):
            # The caller is slower than the server.
            time.sleep(0.002)
            received += part
    assert received.endswith(body)


def test_idle_connections_make_room_for_new_ones(start_server, monkeypatch):
    """Guards against a request that waits for idle connections to end."""
    monkeypatch.setattr(server, 'MAX_CONNECTIONS', 2)
    limits = model.CallerLimits(512, 2048, 5.0, 5.0)
    web_server = start_server(
        lambda connection, _: connection.send_response(200), limits
    )
    address = ('127.0.0.1', web_server.port)
    with contextlib.ExitStack() as stack:
        # One that is about to send its first request is spared.
        new = stack.enter_context(socket.create_connection(address, 5))
        callers = [new]
        for _ in range(3):
            caller = socket.create_connection(address, 5)
            callers.insert(0, stack.enter_context(caller))
            caller.settimeout(1.0)
            caller.sendall(REQUEST)
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')
        # The one in use last was kept.
        for caller in (callers[0], new):
            caller.sendall(REQUEST)
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')


def test_connection_made_before_a_stop_is_served(start_server, monkeypatch):
    """Guards against a connection that is reset before it is accepted."""
    web_server = start_server(answer)
    address = ('127.0.0.1', web_server.port)
    start = web_server.start
    begun = threading.Event()

    def start_slowly(client_socket):
        begun.set()
        threading.Event().wait(0.3)
        start(client_socket)

    monkeypatch.setattr(web_server, 'start', start_slowly)
    with contextlib.ExitStack() as stack:
        callers = []
        for _ in range(2):
            caller = stack.enter_context(socket.create_connection(address, 5))
            caller.sendall(REQUEST)
            assert begun.wait(5.0)
            callers.append(caller)
        assert web_server.drain(clock.monotonic() + 5.0)
        for caller in callers:
            assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('seconds', [1e7, 1e300])
def test_long_idle_timeout_does_not_end_connections(start_server, seconds):
    """Guards against a timeout that the system call for it cannot hold."""
    limits = model.CallerLimits(512, 2048, seconds, seconds)
    web_server = start_server(answer, limits)
    address = ('127.0.0.1', web_server.port)
    with socket.create_connection(address, 5) as caller:
        caller.settimeout(0.2)
        with pytest.raises(TimeoutError):
            caller.recv(1)
        caller.settimeout(5.0)
        caller.sendall(REQUEST)
        assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('is_begun', [False, True], ids=['waiting', 'begun'])
def test_request_at_the_end_of_a_drain_is_answered(start_server, is_begun):
    """Guards against a request that is read and cut without an answer."""
    begun = threading.Event()
    resume = threading.Event()
    failures = []

    def wait(connection, _):
        if is_begun:
            connection.send(b'HTTP/1.1 200 OK\r\n\r\nfirst')
        begun.set()
        resume.wait(5.0)
        try:
            connection.send_response(200)
        except errors.ConnectionEndedError as error:
            failures.append(error)
            raise

    web_server = start_server(wait)
    address = ('127.0.0.1', web_server.port)
    with socket.create_connection(address, 5) as caller:
        caller.sendall(REQUEST)
        assert begun.wait(5.0)
        assert not web_server.drain(clock.monotonic() + 0.2)
        head = caller.recv(1000)
        if is_begun:
            assert head == b'HTTP/1.1 200 OK\r\n\r\nfirst'
        else:
            assert head.startswith(b'HTTP/1.1 504 ')
            assert b'Connection: close' in head
            assert caller.recv(1000) == b''
            resume.set()
            assert web_server.drain(clock.monotonic() + 5.0)
            assert failures
    resume.set()


def test_bodies_beyond_the_memory_of_a_host_are_refused(start_server):
    """Guards against large requests that together exceed the memory."""
    limits = model.CallerLimits(512, 4_000_000, 2.0, 2.0)
    pool = memory.MemoryPool(5_000_000)
    is_handled = threading.Event()
    is_released = threading.Event()

    def wait(connection, _):
        is_handled.set()
        is_released.wait(5.0)
        connection.send_response(200)

    web_server = start_server(wait, limits, pool)
    size = 3_000_000
    request = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
    request += b'x' * size
    with socket.create_connection(('127.0.0.1', web_server.port), 5) as held:
        held.sendall(request)
        # One that is not handled yet may be the larger of the two.
        assert is_handled.wait(5.0)
        assert pool.used_bytes >= size
        # The second one is refused although its body was still on the way.
        refused = send(web_server, request)
        assert refused.startswith(b'HTTP/1.1 503 ')
        assert b'\r\nRetry-After: ' in refused
        is_released.set()
        assert held.recv(65536).startswith(b'HTTP/1.1 200 ')
        # The connection is kept open, and holds nothing.
        held.sendall(REQUEST)
        assert held.recv(65536).startswith(b'HTTP/1.1 200 ')
        # The bytes of a request are returned after its answer is sent.
        deadline = clock.monotonic() + 5.0
        while pool.used_bytes and clock.monotonic() < deadline:
            threading.Event().wait(0.01)
        assert not pool.used_bytes


def test_request_without_memory_to_handle_it_is_refused(start_server):
    """Guards against requests that exceed the memory once they are decoded."""
    pool = memory.MemoryPool(5_000_000)
    sizes = {b'/much': 4_000_000, b'/beyond': 6_000_000, b'/more': 2_000_000}
    is_handled = threading.Event()
    is_released = threading.Event()

    def wait(connection, request):
        with connection.reserve(sizes[request.target]):
            is_handled.set()
            is_released.wait(5.0)
        connection.send_response(200)

    web_server = start_server(wait, model.DEFAULT_LIMITS, pool)
    request = b'GET %s HTTP/1.1\r\nConnection: close\r\n\r\n'
    with socket.create_connection(('127.0.0.1', web_server.port), 5) as held:
        held.sendall(request % b'/much')
        assert is_handled.wait(5.0)
        refused = send(web_server, request % b'/more')
        assert refused.startswith(b'HTTP/1.1 503 ')
        assert b'\r\nRetry-After: ' in refused
        refused = send(web_server, request % b'/beyond')
        assert refused.startswith(b'HTTP/1.1 413 ')
        is_released.set()
        assert held.recv(65536).startswith(b'HTTP/1.1 200 ')
    assert send(web_server, request % b'/more').startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize(
    ('second', 'status'),
    [
        (
            b'POST / HTTP/1.1\r\nContent-Length: 3000\r\n\r\n' + bytes(3000),
            413,
        ),
        (b'GET / HTTP/1.1\r\nX: ' + b'x' * 600 + b'\r\n\r\n', 431),
        (b'no request\r\n\r\n', 400),
        (UPGRADE, 400),
    ],
)
def test_request_before_an_invalid_one_gets_its_own_answer(
    start_server, second, status
):
    """Guards against a whole request that gets the refusal of the next."""
    web_server = start_server(
        lambda connection, _: connection.send_response(200)
    )
    received = send(web_server, REQUEST + second)
    assert received.startswith(b'HTTP/1.1 200 ')
    assert b'HTTP/1.1 %d ' % status in received
    assert received.count(b'HTTP/1.1 ') == 2


def test_request_for_an_upgrade_is_not_handled(start_server):
    """Guards against a request that is handled without its body."""
    web_server = start_server(fail)
    received = send(web_server, UPGRADE)
    assert received.startswith(b'HTTP/1.1 400 ')
    assert received.count(b'HTTP/1.1 ') == 1


def test_request_without_an_answer_gets_none_of_the_next(start_server):
    """Guards against an answer that belongs to another request."""
    handlers = [lambda *_: None, answer]
    web_server = start_server(lambda *arguments: handlers.pop(0)(*arguments))
    assert send(web_server, REQUEST + REQUEST) == b''
    assert handlers


@pytest.mark.parametrize('pipelined', [b'', REQUEST])
def test_connection_of_a_closed_server_ends_quietly(
    start_server, monkeypatch, pipelined
):
    """Guards against a socket that is closed while its thread uses it.

    The thread logged a failure, or could wait on the descriptor of another
    connection.
    """
    handled = []
    failures = []
    monkeypatch.setattr(
        connection_module.LOG,
        'exception',
        lambda *_: failures.append(sys.exception()),
    )

    def close_server(connection, _):
        connection.send_response(200)
        handled.append(connection)
        web_server.close()

    web_server = start_server(close_server)
    assert send(web_server, REQUEST + pipelined).startswith(b'HTTP/1.1 200 ')
    end = clock.monotonic() + 5.0
    while web_server.connections and clock.monotonic() < end:
        time.sleep(0.01)
    assert not web_server.connections
    assert [c.socket.fileno() for c in handled] == [-1]
    assert failures == []


def test_closed_pool_runs_the_tasks_that_wait():
    """Guards against sockets that no thread closes."""
    pool = threads.ThreadPool(1, 'test')
    may_end, is_run = threading.Event(), threading.Event()
    for task in (lambda: may_end.wait(5.0), is_run.set):
        pool.add(task)
        pool.start_missing()
    pool.close()
    may_end.set()
    assert is_run.wait(5.0)
