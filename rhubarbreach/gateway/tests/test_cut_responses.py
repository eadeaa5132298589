"""Tests of responses that an endpoint cuts off."""

import pytest

from rhubarbreach.catalog import model as catalogs
from rhubarbreach import codes
from rhubarbreach.gateway import responses
from rhubarbreach.gateway.tests import test_forward

forward_to = test_forward.forward_to
RESPONSES = {
    'chunked': b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1d\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\r\n1\r\n\n\r\n0\r\n\r\n',
    'length': b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n'
    b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n',
}


def cut_sizes(response):
    head = response.index(b'\r\n\r\n') + 4
    return (0, 9, 12, 17, 25, head - 4, head - 2, head - 1, head)


@pytest.mark.parametrize('framing', RESPONSES)
@pytest.mark.parametrize('kind', list(catalogs.RouteKind)[:3])
def test_cut_head_is_not_delivered(forward_to, framing, kind):
    """Guards against a cut head that callers get as a whole response."""
    response = RESPONSES[framing]
    for size in cut_sizes(response):
        refusal, data, endpoint, _ = forward_to(
            [response[:size]], 0.0, kind=kind
        )
        assert refusal.code is codes.ResultCode.ENDPOINT_FAILED, size
        assert refusal.ran is codes.Ran.UNKNOWN
        assert not data


@pytest.mark.parametrize('framing', RESPONSES)
def test_stream_after_a_cut_head_is_whole(forward_to, framing):
    """Guards against a short stream if another endpoint can run it."""
    response = RESPONSES[framing]
    for size in cut_sizes(response):
        refusal, data, endpoint, _ = forward_to(
            [response[:size]],
            0.0,
            resumable=True,
            count=2,
            later=[response],
        )
        assert refusal is None, size
        assert endpoint.count == 2
        assert data.count(b'data: ') == 2
        assert data.endswith(responses.LAST_CHUNK)


@pytest.mark.parametrize('framing', RESPONSES)
def test_cut_body_is_not_framed_as_whole(forward_to, framing):
    """Guards against a stream without its last events that looks whole."""
    response = RESPONSES[framing]
    head = response.index(b'\r\n\r\n') + 4
    for size in range(head, len(response)):
        refusal, data, _, _ = forward_to([response[:size]], 0.0)
        assert not data.endswith(responses.LAST_CHUNK), response[head:size]
        assert refusal is None or not data
