"""Tests of messages and commands that cannot be decoded or encoded."""

import subprocess
import sys

import msgspec
import pytest

from rhubarbreach import exceptions
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import tagged

NESTED = b'\x91' * 5000 + b'\x90'


def test_nested_message_raises_message_error():
    """Guards against an error that the receiver of messages doesn't know."""
    body = msgspec.msgpack.encode(['s', 0, False, 0, 'EndpointNews'])
    data = b'\x96' + body[1:] + NESTED
    with pytest.raises(exceptions.MessageError):
        codec.decode(data)


def test_nested_command_raises_message_error():
    """Guards against a committed command that stops the state machine."""
    union = tagged.TaggedUnion(fleetmessages.EndpointNews)
    data = b'\x92' + msgspec.msgpack.encode('EndpointNews') + NESTED
    with pytest.raises(exceptions.MessageError):
        union.decode(data)


@pytest.mark.parametrize('slots', [2**64, -(2**63) - 1])
def test_number_out_of_range_raises_message_error(slots):
    """Guards against an encoder error that stops a periodic task."""
    notice = fleetmessages.EndpointNotice(
        'e', 's', '10.0.0.1:80', 'z', slots, 'ready', 1, 1
    )
    news = fleetmessages.EndpointNews((notice,))
    with pytest.raises(exceptions.MessageError):
        codec.encode(codec.Envelope('s', 0, False, 0, news))


def test_invalid_text_raises_message_error():
    """Guards against an encoder error that stops a periodic task."""
    message = fleetmessages.RetirementCall('\ud800', False)
    with pytest.raises(exceptions.MessageError):
        codec.encode(codec.Envelope('s', 0, False, 0, message))


DECODE_ON_A_SMALL_STACK = """
import threading
import msgspec
from rhubarbreach import exceptions
from rhubarbreach import serialization
from rhubarbreach.web import server

def decode():
    document = b'{"a":' + b'[' * 960 + b']' * 960 + b'}'
    try:
        serialization.decode_json(msgspec.json.Decoder(dict), document)
    except exceptions.MessageError:
        print('refused')

threading.stack_size(server.STACK_BYTES)
thread = threading.Thread(target=decode)
thread.start()
thread.join()
"""


def test_nested_document_does_not_end_the_process():
    """Guards against a stack overflow on a thread of a server."""
    result = subprocess.run(
        [sys.executable, '-c', DECODE_ON_A_SMALL_STACK],
        capture_output=True,
        text=True,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, 'refused\n')
