"""Tests of the handling of online requests."""

import concurrent.futures
import threading

import logbook
import msgspec
import pytest

from rhubarbreach.dispatch.tests import fakes


def get_error(body):
    """Return the error object of a response."""
    return msgspec.json.decode(body)['error']


def test_plain_and_streamed_responses_on_one_connection(start_entry):
    """Guards against wrong framing when a connection is reused."""
    entry = start_entry(
        lambda request: (
            request.stream(20)
            if request.json()['stream']
            else request.answer(b'{"ok":1}')
        )
    )
    client = entry.connect()
    for _ in range(3):
        status, headers, body = entry.chat(client=client)
        assert (status, body) == (200, b'{"ok":1}')
        assert headers['X-Request-Id']
        status, headers, body = entry.chat(stream=True, client=client)
        assert status == 200 and body.count(b'data: ') == 21
        assert body.endswith(b'data: [DONE]\n\n')
    for request in entry.endpoint.requests:
        assert 'authorization' not in request.headers


@pytest.mark.parametrize(
    'path, key, code, status',
    [
        ('/v1/chat/completions', None, 110, 401),
        ('/v1/chat/completions', 'no', 112, 401),
        ('/v1/chat/completions', 'k2', 140, 429),
        ('/private', 'k1', 113, 403),
        ('/private/../swaps', 'k1', 121, 404),
        ('/private/%2e%2e/swaps', 'k1', 121, 404),
        ('/nothing', 'k1', 121, 404),
    ],
)
def test_unauthorized_request_is_refused(start_entry, path, key, code, status):
    """Guards against a request that runs without authorization."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    entry.limiter.limited_accounts = {'a2'}
    body = b'{"model":"rota","messages":[]}'
    status_code, headers, response = entry.send_request(
        'POST', path, body, key=key
    )
    error = get_error(response)
    assert (status_code, error['code'], error['not_run']) == (
        status,
        code,
        True,
    )
    assert error['request_id'] == headers['X-Request-Id']
    assert headers['Retry-After'] == ('3' if code == 140 else None)
    assert not entry.endpoint.requests


@pytest.mark.parametrize(
    'body, code',
    [
        (b'{"model":"rota"', 100),
        (b'{"model":"rota"}', 100),
        (b'{"model":"rota","prompt":"\xff\xfe"}', 100),
        (b'{"model":"rota","prompt":"x","resume_from":3}', 100),
        (b'[]', 100),
        (b'', 100),
        (b'{"model":"none","prompt":"x"}', 120),
        (b'x' * 5000, 101),
        (b'x' * 500000, 101),
    ],
)
def test_malformed_body_is_refused(start_entry, body, code):
    """Guards against forwarding a malformed body, or failing on it."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    _, headers, response = entry.send_request('POST', '/v1/completions', body)
    assert get_error(response)['code'] == code
    assert not entry.endpoint.requests


def test_service_headers(start_entry):
    """Guards against a key or an unlisted header reaching an endpoint."""
    entry = start_entry(
        lambda request: request.answer(request.path.encode()), kind='service'
    )
    status, _, body = entry.send_request(
        'PUT',
        '/open/a%20b?c=d',
        b'x',
        X_Api_Key='secret',
        Cookie='secret',
        Content_Type='text/x',
    )
    assert (status, body) == (200, b'/open/a%20b?c=d')
    headers = entry.endpoint.requests[0].headers
    assert headers['content-type'] == 'text/x'
    assert 'secret' not in headers.values()
    assert not any('k1' in value for value in headers.values())


def test_duplicates_run_once(start_entry):
    """Guards against running a non-idempotent request more than once."""
    proceed = threading.Event()

    def handle(request):
        proceed.wait(20)
        request.answer(b'{"n":1}')

    entry = start_entry(handle, kind='service')

    def send(_):
        return entry.send_request(
            'POST', '/swaps/1', b'x', Idempotency_Key='s1'
        )

    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        futures = [pool.submit(send, n) for n in range(8)]
        entry.endpoint.wait_for(entry.endpoint.requests)
        proceed.set()
        responses = {future.result()[0::2] for future in futures}
    assert responses == {(200, b'{"n":1}')}
    assert len(entry.endpoint.requests) == 1
    conflict = entry.send_request(
        'POST', '/swaps/1', b'y', Idempotency_Key='s1'
    )
    assert get_error(conflict[2])['code'] == 130
    assert entry.send_request('GET', '/v1/requests/s1')[2] == b'{"n":1}'
    assert entry.send_request('GET', '/v1/requests/s1', key='k2')[0] == 404


def test_record_of_open_route_needs_no_key(start_entry):
    """Guards against a record of an open route that only a key can read."""
    entry = start_entry(lambda request: request.answer(b'{}'), kind='service')
    entry.send_request('POST', '/open', b'x', key=None, Idempotency_Key='s1')
    entry.send_request('POST', '/swaps', b'x', Idempotency_Key='s2')
    assert entry.send_request('GET', '/v1/requests/s1', key=None)[0] == 200
    assert entry.send_request('GET', '/v1/requests/s2', key=None)[0] == 401


def test_unknown_outcome_never_runs_again(start_entry):
    """Guards against a retry after the endpoint failed during the call."""
    entry = start_entry(
        lambda request: request.reset_connection(), kind='service'
    )
    for _ in range(2):
        _, _, body = entry.send_request(
            'POST', '/swaps', b'x', Idempotency_Key='s1'
        )
        error = get_error(body)
        assert (error['code'], error['not_run']) == (152, 'unknown')
    assert len(entry.endpoint.requests) == 1


def test_recorded_stream_continues_after_caller_disconnects(start_entry):
    """Guards against losing an accepted request when its caller is gone."""
    proceed = threading.Event()

    def handle(request):
        request.begin()
        request.send(fakes.make_event(request.attempt_id, 0))
        proceed.wait(20)
        request.send(fakes.make_sse(request.attempt_id, 1, 4))
        request.end()

    entry = start_entry(handle)
    client = entry.connect()
    body = b'{"model":"rota","prompt":"x","stream":true}'
    headers = {'Authorization': 'Bearer k1', 'Idempotency-Key': 's1'}
    client.request('POST', '/v1/completions', body, headers)
    response = client.getresponse()
    response.read(10)
    response.close()
    client.close()
    proceed.set()
    duplicate = entry.send_request(
        'POST', '/v1/completions', body, Idempotency_Key='s1'
    )
    assert duplicate[2].count(b'data: ') == 5
    assert len(entry.endpoint.requests) == 1


def test_revoked_key_is_refused_on_open_connection(start_entry):
    """Guards against authenticating only the first request of a connection."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    client = entry.connect()
    assert entry.chat(client=client)[0] == 200
    del entry.view.keys['k1']
    assert entry.chat(client=client)[0] == 401


def test_exception_details_are_not_exposed(start_entry, monkeypatch):
    """Guards against internals in a response, and keys or bodies in logs."""
    entry = start_entry(lambda request: None)

    def fail(call, sink):
        raise KeyError('secret', call.body)

    monkeypatch.setattr(entry.executor, 'execute', fail)
    entry.view.keys['secret'] = 'a1'
    handler = logbook.TestHandler()
    with handler.applicationbound():
        status, _, body = entry.chat(key='secret')
    assert status == 500 and b'KeyError' not in body
    assert get_error(body)['not_run'] == 'unknown'
    logged = ' '.join(handler.formatted_records)
    assert 'type=KeyError' in logged
    assert 'secret' not in logged and 'messages' not in logged


def test_short_deadline_is_refused(start_entry):
    """Guards against queueing a request that cannot finish in time."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    _, headers, body = entry.chat(X_Deadline_Ms='1')
    assert get_error(body)['code'] == 142 and headers['Retry-After']


def test_announcement_needs_no_key(start_entry):
    """Guards against announcements that are lost or require a key."""
    entry = start_entry(lambda request: None)
    status, _, body = entry.send_request(
        'POST', '/internal/announce', b'{"endpoint_id":"e"}', key=None
    )
    assert (status, body) == (200, b'{"announce_to":[]}')
    assert entry.announced == [{'endpoint_id': 'e'}]
