"""Tests of the emulated engine endpoint."""

import http.client
import json
import socket

import pytest

from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import tokens


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


@pytest.fixture
def emulated():
    settings = endpoint.EndpointSettings(
        'endpoint-1', 'zone-1', find_address(), ('rota',), ()
    )
    speed = engine.EngineSettings(slots=2, step_base=0.002)
    one = endpoint.EngineEndpoint(settings, speed)
    yield one
    one.close()


def post(emulated, path, body):
    connection = http.client.HTTPConnection(emulated.settings.listen)
    connection.request(
        'POST', path, json.dumps(body), {'X-Attempt-Id': 'attempt-1'}
    )
    response = connection.getresponse()
    return response.status, response.read()


def make_body(**fields):
    return {'model': 'rota', 'prompt': 'plan', 'max_tokens': 6, **fields}


def read_contents(data):
    events = [part for part in data.decode().split('\n\n') if part]
    assert events[-1] == 'data: [DONE]'
    decoded = [json.loads(event[6:]) for event in events[:-1]]
    return [one['choices'][0]['delta']['content'] for one in decoded]


def test_resumed_stream_continues_the_same_answer(emulated):
    """Guards against an emulator that cannot reveal a bad resume."""
    path = '/v1/completions'
    _, whole = post(emulated, path, make_body(stream=True))
    _, rest = post(emulated, path, make_body(stream=True, resume_from=4))
    assert read_contents(whole)[4:] == read_contents(rest)
    assert len(read_contents(whole)) == 6


def test_stream_resumed_after_its_last_token_only_ends(emulated):
    """Guards against an extra token of a stream that lost only its end."""
    body = make_body(stream=True, resume_from=6)
    _, data = post(emulated, '/v1/completions', body)
    assert read_contents(data) == []


def test_plain_answer_holds_all_tokens(emulated):
    """Guards against a short answer of the emulator itself."""
    status, data = post(emulated, '/v1/completions', make_body())
    content = json.loads(data)['choices'][0]['message']['content']
    words = [tokens.make_token('plan', index) for index in range(6)]
    assert (status, content) == (200, ''.join(words))


def test_old_fencing_number_is_refused(emulated):
    """Guards against tests of fencing that cannot fail."""
    order = {'order': 'role', 'order_id': 'a', 'role': 'serve', 'fencing': 5}
    assert post(emulated, '/orders', order)[0] == 200
    assert post(emulated, '/orders', {**order, 'fencing': 4})[0] == 409


def test_sequences_beyond_the_slots_wait_in_arrival_order(emulated):
    """Guards against an emulator without head-of-line blocking."""
    many = [engine.Sequence(f'a{n}', 'x', 0, 50) for n in range(4)]
    for sequence in many:
        emulated.engine.submit(sequence)
    assert many[3].output.get(timeout=30) == 0
    assert many[0].output.qsize() == 51
