"""Tests of early responses and of statuses that do not exist."""

import socket

import pytest

from rhubarbreach import codes
from rhubarbreach.dispatch.tests import fakes

HEAD = (
    b'HTTP/1.1 %s X\r\nContent-Type: application/json\r\nX-Attempt-Id: %s\r\n'
)
BODY = b'{"not_run": true}'
LENGTH = b'Content-Length: %d\r\n\r\n' % len(BODY)
UPLOAD = b'u' * 8_000_000


def answer_with(status, framing=LENGTH):
    def handle(request):
        head = HEAD % (status.encode(), request.attempt_id.encode())
        request.connection.sendall(head + framing + BODY)
        request.file.close()
        request.connection.close()

    return handle


@pytest.mark.parametrize('status', ['000', '099', '199', '600', '999'])
@pytest.mark.parametrize('framing', [LENGTH, b'\r\n'])
def test_invalid_status_is_no_answer(
    start_endpoint, start_executor, make_call, status, framing
):
    """Guards against a status such as 999 that counts as an answer."""
    endpoint = start_endpoint(answer_with(status, framing), kind='service')
    call = make_call(stream=False, idempotent=False, body=b'{}')
    result = start_executor(endpoint).execute(call)
    assert isinstance(result, codes.Refusal)
    assert result.ran is codes.Ran.UNKNOWN
    assert len(endpoint.requests) == 1


@pytest.mark.parametrize('status', ['000', '600', '999'])
def test_idempotent_call_with_an_invalid_status_runs_elsewhere(
    start_endpoint, start_executor, make_call, status
):
    """Guards against a call that ends with the fault of one endpoint."""
    odd = start_endpoint(answer_with(status), kind='service')
    sound = start_endpoint(lambda request: request.answer(b'{"b": 2}'))
    result = start_executor(odd, sound).execute(make_call(stream=False))
    assert (result.status, result.body) == (200, b'{"b": 2}')


class EarlyEndpoint(fakes.FakeEndpoint):
    """Endpoint that answers and resets before it has read the body."""

    def serve(self, connection):
        """Answer a request once its head has arrived."""
        with connection:
            data = b''
            while b'\r\n\r\n' not in data:
                data += connection.recv(1024)
            if b'/cancel' in data:
                return
            self.record(self.requests, data)
            head = data.partition(b'\r\n\r\n')[0].lower()
            attempt = head.partition(b'x-attempt-id: ')[2].split(b'\r\n')[0]
            connection.sendall(HEAD % (b'200', attempt) + b'\r\n' + BODY[:5])
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0'
            )


def test_early_response_without_length_is_not_whole(start_executor, make_call):
    """Guards against a part of a body that callers get as a whole one."""
    endpoint = EarlyEndpoint(None, kind='service')
    call = make_call(stream=False, idempotent=False, body=UPLOAD)
    result = start_executor(endpoint).execute(call)
    endpoint.close()
    assert isinstance(result, codes.Refusal)
    assert result.ran is codes.Ran.UNKNOWN
    assert len(endpoint.requests) == 1
