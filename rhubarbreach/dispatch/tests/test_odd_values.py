"""Tests of responses, prompts and addresses that cannot be used."""

import dataclasses

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import prompt

NESTED = b'{"a":' * 5000 + b'0' + b'}' * 5000


@pytest.mark.parametrize('status', [400, 500])
def test_nested_error_response_ends_the_call(
    start_endpoint, start_executor, make_call, status
):
    """Guards against a call that waits until its deadline after its end."""
    endpoint = start_endpoint(lambda request: request.answer(NESTED, status))
    call = make_call(stream=False, idempotent=False, body=b'{}')
    started_at = clock.monotonic()
    result = start_executor(endpoint).execute(call)
    assert clock.monotonic() - started_at < 5.0
    assert isinstance(result, codes.Refusal) == (status == 500)


@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1\0:80', '\ud800:80', ':']
)
def test_address_that_cannot_be_used_is_not_sent(
    start_endpoint, start_executor, make_call, address
):
    """Guards against an entry that holds a call until its deadline."""
    endpoints = [
        start_endpoint(lambda request: request.answer(b'{}')) for _ in range(2)
    ]
    executor = start_executor(*endpoints)
    entries = executor.scheduler.endpoints
    entries[0] = dataclasses.replace(entries[0], address=address)
    call = make_call(stream=False, idempotent=False, body=b'{}')
    result = executor.execute(call)
    assert (result.status, result.endpoint_id) == (200, 'e1')


@pytest.mark.parametrize('depth', [150, 900, 5000])
def test_nested_prompt_is_digested_or_skipped(depth):
    """Guards against a call that a prompt stops before its first attempt."""
    nested = b'[' * depth + b'"a"' + b']' * depth
    body = b'{"messages":%b,"prompt":%b}' % (nested, nested)
    assert isinstance(prompt.list_prefixes(body), tuple)
