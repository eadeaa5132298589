"""Conversion between data classes and protobuf messages."""

import dataclasses

from rhubarbreach.operators import operators_pb2

__all__ = ['from_message', 'make_result', 'to_message']


def to_message(value, message_class):
    """Return a message with the fields of a data class.

    Parameters
    ----------
    value : object
        Data class whose field names occur in the message.
    message_class : type
        Class of `operators_pb2`.

    Returns
    -------
    object
        Message; fields that the message class lacks are omitted.
    """
    names = message_class.DESCRIPTOR.fields_by_name
    return message_class(
        **{
            field.name: getattr(value, field.name)
            for field in dataclasses.fields(value)
            if field.name in names
        }
    )


def from_message(message, cls):
    """Return a data class with the fields of a message.

    Parameters
    ----------
    message : object
        Message of `operators_pb2`.
    cls : type
        Data class whose field names occur in the message.

    Returns
    -------
    object
        Instance of `cls`; repeated fields become tuples.
    """
    values = {}
    for field in dataclasses.fields(cls):
        descriptor = message.DESCRIPTOR.fields_by_name[field.name]
        value = getattr(message, field.name)
        repeated = descriptor.is_repeated
        values[field.name] = tuple(value) if repeated else value
    return cls(**values)


def make_result(refusal):
    """Return the result message of a refused call."""
    return operators_pb2.Result(
        code=int(refusal.code), reason=refusal.reason, ran=refusal.ran.value
    )
