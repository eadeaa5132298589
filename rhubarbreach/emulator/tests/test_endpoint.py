"""Tests of the emulated engine endpoint."""

import http.client
import json

import pytest

from rhubarbreach.consensus.tests import ports
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import tokens


@pytest.fixture
def emulated_engine():
    settings = endpoint.EndpointSettings(
        'endpoint-1', 'zone-1', ports.find_address(), ('rota',), ()
    )
    engine_settings = engine.EngineSettings(slots=2, step_base=0.002)
    engine_endpoint = endpoint.EngineEndpoint(settings, engine_settings)
    yield engine_endpoint
    engine_endpoint.close()


def post(emulated_engine, path, body):
    connection = http.client.HTTPConnection(emulated_engine.settings.listen)
    connection.request(
        'POST', path, json.dumps(body), {'X-Attempt-Id': 'attempt-1'}
    )
    response = connection.getresponse()
    return response.status, response.read()


def make_body(**fields):
    return {'model': 'rota', 'prompt': 'plan', 'max_tokens': 6, **fields}


def read_contents(data):
    events = [event for event in data.decode().split('\n\n') if event]
    assert events[-1] == 'data: [DONE]'
    decoded = [json.loads(event[6:]) for event in events[:-1]]
    return [event['choices'][0]['delta']['content'] for event in decoded]


def test_resumed_stream_continues_the_same_completion(emulated_engine):
    """Guards against an emulator that hides faults of resumed streams."""
    path = '/v1/completions'
    _, full = post(emulated_engine, path, make_body(stream=True))
    _, resumed = post(
        emulated_engine, path, make_body(stream=True, resume_from=4)
    )
    assert read_contents(full)[4:] == read_contents(resumed)
    assert len(read_contents(full)) == 6


def test_stream_resumed_after_its_last_token_only_ends(emulated_engine):
    """Guards against an extra token when only the end marker was lost."""
    body = make_body(stream=True, resume_from=6)
    _, data = post(emulated_engine, '/v1/completions', body)
    assert read_contents(data) == []


def test_completion_without_streaming_contains_all_tokens(emulated_engine):
    """Guards against emulated completions that lack tokens."""
    status, data = post(emulated_engine, '/v1/completions', make_body())
    content = json.loads(data)['choices'][0]['message']['content']
    expected_tokens = [tokens.make_token('plan', index) for index in range(6)]
    assert (status, content) == (200, ''.join(expected_tokens))


def test_order_with_stale_fencing_token_is_refused(emulated_engine):
    """Guards against fencing tests that pass without fencing."""
    order = {'order': 'role', 'order_id': 'a', 'role': 'serve', 'fencing': 5}
    assert post(emulated_engine, '/orders', order)[0] == 200
    assert post(emulated_engine, '/orders', {**order, 'fencing': 4})[0] == 409


def test_sequences_beyond_the_slots_wait_in_arrival_order(emulated_engine):
    """Guards against an emulator that hides head-of-line blocking."""
    sequences = [engine.Sequence(f'a{n}', 'x', 0, 50) for n in range(4)]
    for sequence in sequences:
        emulated_engine.engine.submit(sequence)
    assert sequences[3].output.get(timeout=30) == 0
    assert sequences[0].output.qsize() == 51
