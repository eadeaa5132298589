"""Endpoints that may run work, by software version and other attempts."""

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
        began it, and an endpoint runs only one attempt of a call.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of EndpointInfo
    """
    usable = registry.usable(item.model_id, now)
    if item.software_version is None and not item.in_use:
        return usable
    return tuple(
        endpoint
        for endpoint in usable
        if item.software_version in (None, endpoint.software_version)
        and endpoint.endpoint_id not in item.in_use
    )


def refuse(item):
    """Return the refusal of work for which no endpoint is usable."""
    if item.in_use:
        return codes.Refusal(
            codes.ResultCode.NO_ENDPOINT,
            f'no other endpoint of {item.model_id} may run the call',
        )
    return codes.Refusal(
        codes.ResultCode.STREAM_BROKEN,
        f'no endpoint of {item.model_id} has the software version '
        f'{item.software_version!r} that began the stream',
    )
