"""Tests of event ids, addresses and deadlines that are out of range."""

import pytest

from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import sockets


@pytest.mark.parametrize('digits', [20, 5000])
def test_event_id_out_of_range_is_an_error_of_the_stream(digits):
    """Guards against an id that cannot be sent when the stream is resumed."""
    with pytest.raises(errors.BadMessageError):
        events.get_id(b'id: %s\ndata: a\n\n' % (b'9' * digits))
    assert events.get_id(b'id: 00%d\n\n' % 10**15) == 10**15


@pytest.mark.parametrize(
    'address',
    [
        '127.0.0.1:99999',
        '127.0.0.1:-1',
        '127.0.0.1\0:80',
        '127.0.0.1:' + '9' * 5000,
        '127.0.0.1',
        '\ud800:80',
        '',
    ],
)
def test_address_that_cannot_be_used_is_a_failed_connection(address):
    """Guards against an address that ends the request of a caller."""
    with pytest.raises(errors.ConnectError):
        sockets.connect(address, 0.0)
