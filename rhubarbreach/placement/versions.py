"""Endpoints by the software version of the stream that work resumes."""

from rhubarbreach import codes

__all__ = ['list_usable', 'refuse']


def list_usable(registry, item, now):
    """Return the endpoints that may run work.

    Parameters
    ----------
    registry : EndpointRegistry
        Registry of announced endpoints.
    item : Work
        Work to place. A stream resumes only at the software version that
        began it.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of EndpointInfo
    """
    usable = registry.usable(item.model_id, now)
    if item.software_version is None:
        return usable
    return tuple(
        endpoint
        for endpoint in usable
        if endpoint.software_version == item.software_version
    )


def refuse(item):
    """Return the refusal of work for which no endpoint is usable."""
    return codes.Refusal(
        codes.ResultCode.STREAM_BROKEN,
        f'no endpoint of {item.model_id} has the software version '
        f'{item.software_version!r} that began the stream',
    )
