"""Encoding of tagged unions of data classes."""

import msgspec

from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['TaggedUnion']

ENCODER = msgspec.msgpack.Encoder()
PAIR_DECODER = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class TaggedUnion:
    """Codec of a closed set of data classes.

    A value is encoded as a pair of its class name and its body.

    Parameters
    ----------
    *classes : type
        Data classes with distinct names.
    """

    def __init__(self, *classes):
        self.decoders = {}
        for cls in classes:
            self.add(cls)

    def add(self, cls):
        """Add a class to the union and return it."""
        self.decoders[cls.__name__] = msgspec.msgpack.Decoder(cls)
        return cls

    def encode(self, value):
        """Encode a value as MessagePack.

        Raises
        ------
        MessageError
            If a field cannot be encoded.
        """
        body = msgspec.Raw(serialization.encode(ENCODER, value))
        return ENCODER.encode((type(value).__name__, body))

    def read_name(self, data):
        """Return the class name of an encoded value.

        Raises
        ------
        MessageError
            If the data is malformed.
        """
        name, _ = serialization.decode(PAIR_DECODER, data)
        return name

    def decode(self, data):
        """Decode a value from MessagePack.

        Raises
        ------
        MessageError
            If the data is malformed or its class is not in the union.
        """
        try:
            name, body = serialization.decode(PAIR_DECODER, data)
            return serialization.decode(self.decoders[name], body)
        except KeyError as error:
            raise exceptions.MessageError(f'unknown type {error}') from error
