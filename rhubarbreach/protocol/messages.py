"""Registry of the messages between hosts.

Messages are frozen data classes in the modules beside this one. Times in
messages are durations in seconds, because monotonic clocks of two hosts
cannot be compared; the receiver turns them into deadlines at once.
"""

import dataclasses

__all__ = ['REGISTRY', 'frozen_message']

REGISTRY = {}


def frozen_message(cls):
    """Make a class a frozen data class and register it for the codec."""
    cls = dataclasses.dataclass(frozen=True, slots=True)(cls)
    if cls.__name__ in REGISTRY:
        raise TypeError(f'two messages are named {cls.__name__}')
    REGISTRY[cls.__name__] = cls
    return cls
