"""Tests of the load generator."""

import socket
import threading

import pytest

from rhubarbreach.bench import load

HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)


def make_chunk(data):
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


@pytest.fixture
def start_server():
    listener = socket.create_server(('127.0.0.1', 0))

    def start(answer):
        def run():
            connection, _ = listener.accept()
            with connection:
                # A close with unread bytes would reset the connection.
                while b'}' not in connection.recv(65536):
                    continue
                connection.sendall(HEAD + answer)

        threading.Thread(target=run, daemon=True).start()
        return f'127.0.0.1:{listener.getsockname()[1]}'

    yield start
    listener.close()


def send(address):
    arrival = load.Arrival(0.0, 'a', 'k', '/v1/completions', 'p', 1)
    return load.send_request(lambda: address, arrival, 'rota', 0.0)


def test_closed_connection_is_reported_in_detail(start_server):
    """Guards against a lost host that is reported as a rule violation.

    The rule checks skip incomplete answers with a `detail`.
    """
    sample = send(start_server(make_chunk(b': comment\n\n')))
    assert not sample.complete
    assert 'IncompleteRead' in sample.detail


def test_answer_without_end_marker_is_incomplete_without_detail(start_server):
    """Guards against a truncated answer that is not detected.

    Without a `detail`, the rule checks report it as a violation.
    """
    sample = send(start_server(make_chunk(b': comment\n\n') + b'0\r\n\r\n'))
    assert not sample.complete
    assert sample.detail == ''
