"""Registry of the messages between hosts.

Messages are frozen data classes in the other modules of this package. Times
in messages are durations in seconds, because the monotonic clocks of two
hosts cannot be compared; the receiver converts them to deadlines on arrival.
"""

import dataclasses

__all__ = ['REGISTRY', 'frozen_message']

REGISTRY = {}


def frozen_message(cls):
    """Make a class a frozen data class and register it for the codec."""
    cls = dataclasses.dataclass(frozen=True, slots=True)(cls)
    if cls.__name__ in REGISTRY:
        raise TypeError(f'message class {cls.__name__} is already registered')
    REGISTRY[cls.__name__] = cls
    return cls
