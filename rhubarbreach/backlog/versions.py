"""Items that cannot resume at the software version of their events."""

__all__ = ['is_in_service', 'is_stranded']

# Seconds for which an item waits for a slot at an endpoint of its software
# version while endpoints of other versions have free slots.
VERSION_WAIT_SECONDS = 3.0


def is_in_service(version, service, endpoints):
    """Return whether an endpoint of a software version takes items.

    Parameters
    ----------
    version, service : str
        Software version, and the service whose endpoints count.
    endpoints : dict of str to Endpoint
        Endpoints by id.
    """
    return any(
        endpoint.service == service
        and endpoint.software_version == version
        and not endpoint.is_draining
        for endpoint in endpoints.values()
    )


def is_stranded(progress, service, endpoints, slots, now):
    """Return whether an item that has events has to begin anew.

    Either no endpoint of its software version is in service, or none of them
    has had a free slot for some time while those of other versions had.

    Parameters
    ----------
    progress : Progress
        Progress of the item, which keeps since when it waits.
    service : str
        Service of the item.
    endpoints : dict of str to Endpoint
        Endpoints by id.
    slots : iterable of EndpointSlots
        Use of the slots of the endpoints that accept items.
    now : float
        Seconds of the monotonic clock.
    """
    version = progress.software_version
    if not is_in_service(version, service, endpoints):
        return True
    free = {
        endpoint.software_version
        for endpoint in slots
        if endpoint.service == service and endpoint.free > 0
    }
    if not free or version in free:
        progress.waiting_since = None
        return False
    if progress.waiting_since is None:
        progress.waiting_since = now
    return now - progress.waiting_since >= VERSION_WAIT_SECONDS
