"""Encoding and decoding of data that other processes send or read.

All faults of the data raise `MessageError`. The decoder itself has further
error classes, for example for nesting, and its limit on the nesting depends on
the number of calls on the stack of the reader.
"""

import re

import msgspec

from rhubarbreach import exceptions

__all__ = [
    'MAX_DEPTH',
    'MAX_INTEGER',
    'MIN_INTEGER',
    'check_depth',
    'decode',
    'decode_json',
    'encode',
    'estimate_decoded_bytes',
]

# Range of integers in messages, commands and snapshots.
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
# Every reader can decode a document of this depth, whatever calls it.
MAX_DEPTH = 64
# Memory that a value of a JSON document takes once it is decoded: an entry of
# a dict has two of them, its name and its value.
VALUE_BYTES = 160
VALUE_STARTS = (b',', b':', b'[', b'{')
# Bytes of a character in a string that holds one from beyond the first 65,536,
# with the copy that the decoder makes of a string with escapes.
MAX_CHARACTER_BYTES = 4 + 1
# Strings, which may contain brackets, and brackets.
JSON_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[{\]}]', re.DOTALL)


def encode(encoder, value):
    """Encode a value.

    Raises
    ------
    MessageError
        If a number is out of range or a text is not valid Unicode.
    """
    try:
        return encoder.encode(value)
    except (OverflowError, UnicodeEncodeError) as error:
        raise exceptions.MessageError(str(error)) from error


def decode(decoder, data):
    """Decode a value.

    Raises
    ------
    MessageError
        If the data is malformed, too deeply nested or of another type.
    """
    try:
        return decoder.decode(data)
    except (
        msgspec.DecodeError,
        RecursionError,
        UnicodeDecodeError,
    ) as error:
        raise exceptions.MessageError(str(error)) from error


def decode_json(decoder, document):
    """Decode a JSON document that any sender may have written.

    The depth is checked first, as the decoder needs more stack for nested
    values of any type than the threads of a server have.

    Raises
    ------
    MessageError
        If the document is malformed, nested more deeply than `MAX_DEPTH` or
        of another type.
    """
    check_depth(document)
    return decode(decoder, document)


def estimate_decoded_bytes(document):
    """Return a bound on the memory of a JSON document once it is decoded.

    Many short values take a multiple of their bytes.

    Parameters
    ----------
    document : bytes
        JSON text.

    Returns
    -------
    int
        Bytes, without those of the text.
    """
    is_plain = document.isascii() and b'\\' not in document
    character_bytes = 1 if is_plain else MAX_CHARACTER_BYTES
    values = sum(map(document.count, VALUE_STARTS))
    return character_bytes * len(document) + VALUE_BYTES * values


def check_depth(document):
    """Check that all readers of a JSON document can decode its nesting.

    Parameters
    ----------
    document : bytes
        JSON text.

    Raises
    ------
    MessageError
        If it is nested more deeply than `MAX_DEPTH`.
    """
    if document.count(b'[') + document.count(b'{') <= MAX_DEPTH:
        return
    depth = 0
    for match in JSON_TOKEN.finditer(document):
        token = match[0]
        if token in (b'[', b'{'):
            depth += 1
        elif token in (b']', b'}'):
            depth -= 1
        if depth > MAX_DEPTH:
            raise exceptions.MessageError(
                f'the document is nested more than {MAX_DEPTH} levels deep'
            )
