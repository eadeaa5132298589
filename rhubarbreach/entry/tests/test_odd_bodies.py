"""Tests of deeply nested bodies, which a decoder cannot read."""

import pytest

NESTED = [b'[' * depth + b']' * depth for depth in (150, 940, 1900)]


@pytest.mark.parametrize('nested', NESTED)
@pytest.mark.parametrize('field', [b'other', b'messages', b'prompt'])
def test_nested_completion_is_refused(start_entry, nested, field):
    """Guards against an internal error for a body of a caller."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    body = b'{"model":"rota","messages":[],"%b":%b}' % (field, nested)
    status, _, answer = entry.send_request(
        'POST', '/v1/chat/completions', body
    )
    assert status == 400
    assert b'MALFORMED_BODY' in answer
    assert not entry.endpoint.requests


@pytest.mark.parametrize('nested', NESTED[2:])
def test_nested_announcement_is_refused(start_entry, nested):
    """Guards against an internal error for a body of an endpoint."""
    entry = start_entry(lambda request: request.answer(b'{}'))
    body = b'{"other":%b}' % nested
    status, _, answer = entry.send_request('POST', '/internal/announce', body)
    assert status == 400
    assert b'MALFORMED_BODY' in answer
