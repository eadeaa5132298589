"""Tests of the path of an online request."""

import msgspec


def get_error(body):
    """Return the error object of an answer."""
    return msgspec.json.decode(body)['error']


def test_plain_and_stream(start_entry):
    """Guards against a broken answer or framing on a kept connection."""
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
