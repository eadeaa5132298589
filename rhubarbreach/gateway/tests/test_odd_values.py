"""Tests of numbers in responses of endpoints."""

from rhubarbreach import codes
from rhubarbreach.gateway.tests import test_forward

forward_to = test_forward.forward_to


def test_event_id_out_of_range_breaks_the_stream(forward_to):
    """Guards against a connection that is closed without an answer."""
    event = test_forward.chunk(b'id: %s\ndata: a\n\n' % (b'9' * 5000))
    refusal, data, _, _ = forward_to([test_forward.HEAD, event], 0.0)
    assert refusal.code is codes.ResultCode.ENDPOINT_FAILED
    assert not data
