"""Check that the limits of a process fit its memory and descriptors."""

__all__ = ['find_contradictions']

# Resident set of a process without callers, and of a connection with its
# thread while a request is read in part; both measured (32 MB and 24 KB).
BASE_BYTES = 40_000_000
CONNECTION_BYTES = 32_000
# A body is held, copied when it is complete and copied when it is sent on.
COPIES = 3


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
    if settings.message_bytes < COPIES * request_bytes:
        found.append(
            f'message_fraction {settings.message_fraction:g} of '
            f'{settings.memory_bytes:.0f} bytes does not hold one request of '
            f'{request_bytes} bytes with its copies'
        )
    needed_bytes = (
        BASE_BYTES
        + CONNECTION_BYTES * settings.max_connections
        + settings.message_bytes
    )
    if needed_bytes > settings.memory_bytes:
        found.append(
            f'{settings.max_connections} connections and '
            f'{settings.message_bytes:.0f} bytes of messages need '
            f'{needed_bytes:.0f} bytes, memory_mb gives '
            f'{settings.memory_bytes:.0f}'
        )
    if settings.max_connections > max_by_descriptors:
        found.append(
            f'max_connections is {settings.max_connections}, the descriptors '
            f'of the process allow {max_by_descriptors}'
        )
    return found
