"""Tests of the message codec."""

import pytest

from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import logmessages


def make_envelope(message):
    return codec.Envelope('host-1', 7, False, 99, message)


def test_message_with_nested_data_classes_survives_the_codec():
    """Guards against fields that are lost or change type on the wire."""
    refusal = codes.Refusal(codes.ResultCode.NOT_LEADER, 'ask host-2')
    reply = logmessages.ClusterReply(None, refusal, 'host-2')
    envelope = make_envelope(reply)
    assert codec.decode(codec.encode(envelope)) == envelope


def test_fields_at_their_defaults_are_not_sent():
    """Guards against exchanges that grow with each optional field."""
    message = fleetmessages.Exchange(3, 'stamp', {'e': 2}, {}, {'e': (0, 1)})
    data = codec.encode(make_envelope(message))
    assert b'outcomes' in data
    assert b'departures' not in data
    assert codec.decode(data) == make_envelope(message)


@pytest.mark.parametrize('data', [b'', b'\xc1', b'\x91\x01', b'x' * 50])
def test_malformed_data_raises_message_error(data):
    """Guards against malformed data of a peer that stops the receiver."""
    with pytest.raises(exceptions.MessageError):
        codec.decode(data)


def test_oversized_message_is_refused():
    """Guards against a message that exhausts the receiver's memory."""
    size = codec.MAX_MESSAGE_BYTES
    command = logmessages.ClusterCommand('jobs-0', b'x' * size, 1.0)
    with pytest.raises(exceptions.MessageError):
        codec.encode(make_envelope(command))
