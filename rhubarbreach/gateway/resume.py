"""Streams that callers take up, and the records that this requires."""

import dataclasses

from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.streams import table

__all__ = [
    'find_origin',
    'find_stale_refusal',
    'is_take_up',
    'record_origin',
]

LOG = eventlog.Logger('resume')

# Time for the last retry of a caller beyond the time that it waits.
TAKE_UP_MARGIN_SECONDS = 5.0


def is_take_up(route, info):
    """Return whether a request takes up a stream after its first event."""
    return route.kind is catalogs.RouteKind.STREAM and bool(info.last_event_id)


def find_origin(app, route, info, account):
    """Return where a stream that a caller takes up began.

    Parameters
    ----------
    app : App
        Provides the recorded origins and the endpoints.
    route : Route
        Route of the request.
    info : CallInfo
        Properties of the request.
    account : Account or None
        Client account of the request.

    Returns
    -------
    Origin or Refusal
        NOT_RESUMABLE if the origin is unknown, or no endpoint of its software
        version is in service.
    """
    services = tuple(
        target.service for target in route.targets if target.weight > 0
    )
    stream_id = make_stream_id(account, info.resumed_request_id)
    origin = app.origins.find(stream_id, services)
    is_certain = origin is not None and origin.service is not None
    if not is_certain and get_lifetime(route, info) > table.MAX_STREAM_SECONDS:
        # Versions that served the stream may have been forgotten.
        origin = None
    LOG.info(
        'event=stream_taken_up request={} began={} last_event={} origin={}',
        info.request_id,
        info.resumed_request_id,
        info.last_event_id,
        origin,
    )
    if origin is None:
        return codes.Refusal(
            codes.ResultCode.NOT_RESUMABLE,
            'the software version that began the stream is unknown',
        )
    if origin.service in services:
        services = (origin.service,)
    # Only a part of the services of a route may have the version.
    targets = tuple(
        target
        for target in route.targets
        if target.service in services
        and app.view.directory.has_version(
            target.service, origin.software_version
        )
        and target.weight > 0
    )
    if not targets:
        return codes.Refusal(
            codes.ResultCode.NOT_RESUMABLE,
            f'no endpoint of {", ".join(services)} has the software version '
            f'{origin.software_version!r} of the stream',
        )
    service = indexes.choose_target(
        dataclasses.replace(route, targets=targets)
    )
    return dataclasses.replace(origin, service=service)


def find_stale_refusal(app, software_version, now):
    """Return a refusal if a stream cannot go on at a known version, else None.

    A host that was suspended or cut off does not know which endpoints have
    restarted under their ids with another software version.

    Parameters
    ----------
    app : App
        Knows when the leader last confirmed the endpoints.
    software_version : str or None
        Version that began the stream; None before one has.
    now : float
        Seconds of the monotonic clock.
    """
    if software_version is None or app.leader_client.is_fresh(now):
        return None
    return codes.Refusal(
        codes.ResultCode.NOT_RESUMABLE,
        'the software versions of the endpoints may be outdated',
    )


def record_origin(app, route, info, account, endpoint, revision):
    """Record the origin of a stream that a request begins at an endpoint.

    A request that takes a stream up records its origin again, as the stream
    may break off again.

    Parameters
    ----------
    app : App
        Records the origin.
    route : Route
        Route of the request.
    info : CallInfo
        Properties of the request.
    account : Account or None
        Client account of the request.
    endpoint : Endpoint
        Endpoint to which the request is sent.
    revision : int
        Number of the attempt; that of the origin if the stream has begun.
    """
    if route.kind is not catalogs.RouteKind.STREAM or not route.resumable:
        return
    request_id = info.request_id
    if is_take_up(route, info):
        request_id = info.resumed_request_id
    stream_id = make_stream_id(account, request_id)
    if not stream_id:
        return
    app.origins.record(
        stream_id,
        table.Origin(endpoint.service, endpoint.software_version, revision),
        get_lifetime(route, info),
    )


def get_lifetime(route, info):
    """Return the seconds in which the caller may take the stream up."""
    return max(route.timeout, info.timeout or 0.0) + TAKE_UP_MARGIN_SECONDS


def make_stream_id(account, request_id):
    """Return the id of the stream that a request of an account begins."""
    name = '' if account is None else account.name
    return table.make_stream_id(name, request_id)
