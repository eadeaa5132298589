"""Encoding of messages as MessagePack envelopes."""

import dataclasses
import functools

import msgspec

from rhubarbreach import exceptions
from rhubarbreach.protocol import configmessages
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import limitmessages
from rhubarbreach.protocol import logmessages
from rhubarbreach.protocol import membermessages
from rhubarbreach.protocol import messages
from rhubarbreach.protocol import streammessages
from rhubarbreach.protocol import workmessages
from rhubarbreach import serialization

__all__ = ['Envelope', 'MAX_MESSAGE_BYTES', 'decode', 'encode']

MAX_MESSAGE_BYTES = 2 * 1024 * 1024

# Importing these modules registers their messages.
MESSAGE_MODULES = (
    configmessages,
    fleetmessages,
    hostmessages,
    limitmessages,
    logmessages,
    membermessages,
    streammessages,
    workmessages,
)


class WireEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """Envelope on the wire; the body is decoded once its type is known."""

    sender_id: str
    call_id: int
    is_reply: bool
    stamp: int
    kind: str
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Message with its sender and its call.

    Parameters
    ----------
    sender_id : str
        Host id of the sender.
    call_id : int
        Number that pairs a call with its reply; 0 for a one-way message.
    is_reply : bool
        Whether this is the reply to call `call_id` of the receiver.
    stamp : int
        Hybrid clock of the sender when it sent the message.
    message : object or None
        One of the classes of `rhubarbreach.protocol.messages`.
    """

    sender_id: str
    call_id: int
    is_reply: bool
    stamp: int
    message: object


ENCODER = msgspec.msgpack.Encoder()
ENVELOPE_DECODER = msgspec.msgpack.Decoder(WireEnvelope)


@functools.cache
def get_decoder(kind):
    """Return the decoder of one message type."""
    return msgspec.msgpack.Decoder(messages.REGISTRY[kind])


@functools.cache
def list_defaults(kind):
    """Return the field names of a message type, with their defaults."""
    return tuple(
        (field.name, get_default(field))
        for field in dataclasses.fields(messages.REGISTRY[kind])
    )


def get_default(field):
    """Return the default of a field, `MISSING` if it has none."""
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def list_fields(message):
    """Return the fields of a message by name, but for those at defaults.

    Most fields of an exchange are at their defaults, and their names would be
    half of its bytes. The receiver restores them.
    """
    return {
        name: value
        for name, default in list_defaults(type(message).__name__)
        if (value := getattr(message, name)) != default
    }


def encode(envelope):
    """Encode an envelope.

    Parameters
    ----------
    envelope : Envelope
        Message with its sender.

    Returns
    -------
    bytes
        Envelope as MessagePack.

    Raises
    ------
    MessageError
        If the result is larger than `MAX_MESSAGE_BYTES`, or a field cannot
        be encoded.
    """
    message = envelope.message
    kind = ''
    body = None
    if message is not None:
        kind = type(message).__name__
        body = list_fields(message)
    wire = WireEnvelope(
        envelope.sender_id,
        envelope.call_id,
        envelope.is_reply,
        envelope.stamp,
        kind,
        msgspec.Raw(serialization.encode(ENCODER, body)),
    )
    data = ENCODER.encode(wire)
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.MessageError(
            f'{kind} of {len(data)} bytes exceeds the limit of '
            f'{MAX_MESSAGE_BYTES} bytes'
        )
    return data


def decode(data):
    """Decode an envelope.

    Parameters
    ----------
    data : bytes
        MessagePack of an envelope.

    Returns
    -------
    Envelope
        Message with its sender.

    Raises
    ------
    MessageError
        If the data is too large, malformed or of an unknown type.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise exceptions.MessageError(
            f'message of {len(data)} bytes exceeds the limit of '
            f'{MAX_MESSAGE_BYTES} bytes'
        )
    try:
        wire = serialization.decode(ENVELOPE_DECODER, data)
        message = None
        if wire.kind:
            message = serialization.decode(get_decoder(wire.kind), wire.body)
    except KeyError as error:
        raise exceptions.MessageError(
            f'unknown message type {error}'
        ) from error
    return Envelope(
        wire.sender_id, wire.call_id, wire.is_reply, wire.stamp, message
    )
