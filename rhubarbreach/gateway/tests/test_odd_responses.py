"""Tests of early responses and of statuses that do not exist."""

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import codes
from rhubarbreach.gateway import responses
from rhubarbreach.gateway.tests import test_forward
from rhubarbreach.web import memory

forward_to = test_forward.forward_to
RESET = test_forward.RESET
BODY = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
FRAMINGS = {
    'length': b'Content-Length: %d\r\n\r\n%s' % (len(BODY), BODY),
    'chunked': b'Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
    % (len(BODY), BODY),
    'none': b'\r\n' + BODY,
}
SOUND = b'HTTP/1.1 200 OK\r\n' + FRAMINGS['chunked']
KINDS = list(catalogs.RouteKind)[:3]
# An early response, which comes while the body of the request is sent.
UPLOAD = b'u' * 8_000_000
PART = b'HTTP/1.1 200 OK\r\n\r\n' + BODY[:20]


@pytest.mark.parametrize('status', ['000', '099', '199', '600', '999'])
@pytest.mark.parametrize('framing', FRAMINGS)
@pytest.mark.parametrize('kind', KINDS)
def test_invalid_status_is_no_answer(forward_to, status, framing, kind):
    """Guards against a caller that gets a status such as 999."""
    response = b'HTTP/1.1 %s X\r\n%s' % (status.encode(), FRAMINGS[framing])
    refusal, data, endpoint, _ = forward_to(
        [response], 0.0, kind=kind, timeout=1.0
    )
    assert refusal.code in (
        codes.ResultCode.ENDPOINT_FAILED,
        codes.ResultCode.DEADLINE_EXCEEDED,
    )
    assert refusal.ran is codes.Ran.UNKNOWN
    assert not data
    assert endpoint.count == 1


@pytest.mark.parametrize('status', ['600', '999'])
def test_stream_after_an_invalid_status_runs_elsewhere(forward_to, status):
    """Guards against a stream that ends with the fault of one endpoint."""
    response = b'HTTP/1.1 %s X\r\n%s' % (status.encode(), FRAMINGS['length'])
    refusal, data, endpoint, _ = forward_to(
        [response], 0.0, resumable=True, count=2, later=[SOUND]
    )
    assert refusal is None
    assert endpoint.count == 2
    assert data.count(b'data: ') == 2
    assert data.endswith(responses.LAST_CHUNK)


def test_not_run_with_an_invalid_status_is_uncertain(forward_to):
    """Guards against a call that may run once and is run again."""
    response = b'HTTP/1.1 999 X\r\nNot-Run: 1\r\n' + FRAMINGS['length']
    refusal, _, endpoint, _ = forward_to(
        [response], 0.0, kind=catalogs.RouteKind.ONCE, count=2
    )
    assert refusal.ran is codes.Ran.UNKNOWN
    assert endpoint.count == 1


@pytest.mark.parametrize('end', [[RESET], [0.3, RESET], [0.3]])
@pytest.mark.parametrize('kind', KINDS)
def test_early_response_without_length_is_not_whole(forward_to, end, kind):
    """Guards against a part of a body that callers get as a whole one."""
    refusal, data, _, _ = forward_to(
        [PART, *end], 0.0, kind=kind, unread=True, body=UPLOAD
    )
    assert not data.endswith(responses.LAST_CHUNK)
    assert refusal is None or refusal.ran is codes.Ran.UNKNOWN
    if kind is not catalogs.RouteKind.STREAM:
        assert refusal is not None
        assert not data


def test_head_of_many_short_lines_counts_by_its_cost(forward_to):
    """Guards against heads that together exceed the memory of a host."""
    pool = memory.MemoryPool(1_000_000)
    sizes = []
    open_holding = pool.open

    def open_watched(end):
        holding = open_holding(end)
        resize = holding.resize
        holding.resize = lambda size: (sizes.append(size), resize(size))
        return holding

    pool.open = open_watched
    refusal, _, _, _ = forward_to(
        [b'HTTP/1.1 200 OK\r\n' + b'a:\r\n' * 15_000],
        0.0,
        response_memory=pool,
    )
    assert refusal is not None
    assert max(sizes) > 1_000_000
    assert (pool.used_bytes, pool.holdings) == (0, set())
