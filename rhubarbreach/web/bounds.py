"""Bounds of connections, and whether they fit memory and descriptors."""

import dataclasses

__all__ = [
    'Bounds',
    'DEFAULT_BOUNDS',
    'find_contradictions',
    'find_min_message_bytes',
    'find_share',
    'make_bounds',
]

# Resident set of a process without callers, and of a connection with its
# thread while a request is read in part; both measured (32 MB and 24 KB).
BASE_BYTES = 40_000_000
CONNECTION_BYTES = 32_000
# A snapshot of the jobs is made beside them.
JOB_COPIES = 2
# A body is held, copied when it is complete and copied when it is sent on.
COPIES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that no caller within the limits on requests reaches.

    Parameters
    ----------
    max_pipelined : int
        Requests of one connection that may wait for the one before them. One
        more is refused as not run. A read of 64 KiB holds up to 3,600.
    max_framing_ratio : float
        Bytes of chunk framing for each byte of a body. Chunks of one byte have
        five.
    room_seconds : float
        Time without a whole request after which a connection may end for a new
        one. Callers send a request within some milliseconds.
    """

    max_pipelined: int = 64
    max_framing_ratio: float = 16.0
    room_seconds: float = 1.0


DEFAULT_BOUNDS = Bounds()


def make_bounds(settings):
    """Return the bounds in the settings of a host."""
    return Bounds(
        settings.max_pipelined,
        settings.max_framing_ratio,
        settings.room_seconds,
    )


def find_min_message_bytes(limits):
    """Return the bytes that one request takes with its copies.

    Parameters
    ----------
    limits : CallerLimits
        Limits on single requests.
    """
    return COPIES * (limits.max_header_bytes + limits.max_body_bytes)


def find_share(settings, job_bytes):
    """Return the part of its limits that a store can use beside its jobs.

    Load pattern: a crowd that comes while many accepted jobs are owed.

    Parameters
    ----------
    settings : RoleSettings
        Settings of the store.
    job_bytes : float
        Memory of the jobs that it keeps.

    Returns
    -------
    float
        From 0 to 1; 1 while all fits.
    """
    wanted_bytes = (
        CONNECTION_BYTES * settings.max_connections
        + settings.message_bytes
        + settings.socket_bytes
    )
    left_bytes = settings.memory_bytes - BASE_BYTES - JOB_COPIES * job_bytes
    return min(1.0, max(0.0, left_bytes / wanted_bytes))


def find_contradictions(settings, limits, max_by_descriptors):
    """Return what does not fit, one line each.

    Parameters
    ----------
    settings : RoleSettings
        Settings of the host.
    limits : CallerLimits
        Limits on single requests.
    max_by_descriptors : int
        Connections that the descriptors of the process allow.
    """
    found = []
    request_bytes = limits.max_header_bytes + limits.max_body_bytes
    if settings.message_bytes < find_min_message_bytes(limits):
        found.append(
            f'message_fraction {settings.message_fraction:g} of '
            f'{settings.memory_bytes:.0f} bytes does not hold one request of '
            f'{request_bytes} bytes with its copies'
        )
    needed_bytes = (
        BASE_BYTES
        + CONNECTION_BYTES * settings.max_connections
        + settings.message_bytes
        + settings.socket_bytes
    )
    if needed_bytes > settings.memory_bytes:
        found.append(
            f'{settings.max_connections} connections, '
            f'{settings.message_bytes:.0f} bytes of messages and '
            f'{settings.socket_bytes:.0f} bytes in sockets need '
            f'{needed_bytes:.0f} bytes, memory_mb gives '
            f'{settings.memory_bytes:.0f}'
        )
    needed_bytes = (
        BASE_BYTES
        + JOB_COPIES * settings.job_bytes
        + find_min_message_bytes(limits)
    )
    if settings.role == 'store' and needed_bytes > settings.memory_bytes:
        found.append(
            f'job_fraction {settings.job_fraction:g} with a snapshot and one '
            f'request of {request_bytes} bytes with its copies needs '
            f'{needed_bytes:.0f} bytes, memory_mb gives '
            f'{settings.memory_bytes:.0f}'
        )
    if settings.room_seconds >= limits.idle_timeout:
        found.append(
            f'room_ms of {settings.room_seconds:g} s is not below '
            f'idle_timeout_ms of {limits.idle_timeout:g} s and has no effect'
        )
    if settings.max_connections > max_by_descriptors:
        found.append(
            f'max_connections is {settings.max_connections}, the descriptors '
            f'of the process allow {max_by_descriptors}'
        )
    return found
