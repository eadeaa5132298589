"""Encoding of tagged unions of data classes."""

import msgspec

from rhubarbreach import exceptions

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
        """Encode a value as MessagePack."""
        body = msgspec.Raw(ENCODER.encode(value))
        return ENCODER.encode((type(value).__name__, body))

    def decode(self, data):
        """Decode a value from MessagePack.

        Raises
        ------
        MessageError
            If the data is malformed or its class is not in the union.
        """
        try:
            name, body = PAIR_DECODER.decode(data)
            return self.decoders[name].decode(body)
        except KeyError as error:
            raise exceptions.MessageError(f'unknown type {error}') from error
        except msgspec.DecodeError as error:
            raise exceptions.MessageError(str(error)) from error
