"""Tests of connections whose peer stands still for a moment."""

import contextlib
import socket
import threading
import time

import pytest

from rhubarbreach import clock
from rhubarbreach.web import client
from rhubarbreach.web import errors

SILENCE_SECONDS = 2.0
BODY = bytes(8 * 1024 * 1024)
RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


@contextlib.contextmanager
def serve_after(seconds):
    """Answer one request of `BODY`, after a time without reading any of it."""

    def serve():
        connection, _ = listener.accept()
        with connection:
            time.sleep(seconds)
            received = 0
            while received < len(BODY):
                part = connection.recv(1024 * 1024)
                if not part:
                    return
                received += len(part)
            connection.sendall(RESPONSE)

    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f'127.0.0.1:{listener.getsockname()[1]}'


def test_long_request_waits_for_an_endpoint_that_stands_still():
    """Guards against ending the connection to a sound endpoint."""
    with serve_after(SILENCE_SECONDS) as address:
        now = clock.monotonic()
        call = client.Call(
            address,
            client.encode_request('POST', b'/', (), BODY),
            now + 1.0,
            now + 10.0,
        )
        with contextlib.suppress(errors.DeadlineError):
            while not call.is_complete:
                call.read(now + 10.0)
        call.close()
    assert call.is_sent
    assert call.is_complete


def test_request_that_may_no_longer_be_sent_is_not_sent():
    """Guards against a process that stands still before it sends."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        now = clock.monotonic()
        with pytest.raises(errors.WithheldError):
            client.Call(
                f'127.0.0.1:{listener.getsockname()[1]}',
                b'GET / HTTP/1.1\r\n\r\n',
                now + 1.0,
                now + 1.0,
                lambda: False,
            )
        connection, _ = listener.accept()
        with connection:
            assert connection.recv(1024) == b''
