"""Merging, filtering and formatting of timeline events of many hosts."""

import dataclasses
import datetime
import heapq

from rhubarbreach import clock
from rhubarbreach.observe import timeline

__all__ = ['EventFilter', 'format_event', 'merge_files', 'select_events']


@dataclasses.dataclass(frozen=True, slots=True)
class EventFilter:
    """Conditions on events; empty fields match all.

    Parameters
    ----------
    request_id, job_id, account_id, endpoint_id, host_id : str
        Exact values.
    item : int
        Index of an item in the job, -1 for all.
    since, until : float
        Seconds since the epoch, both included; 0 for no bound.
    """

    request_id: str = ''
    job_id: str = ''
    account_id: str = ''
    endpoint_id: str = ''
    host_id: str = ''
    item: int = -1
    since: float = 0.0
    until: float = 0.0


TEXT_FIELDS = (
    'request_id',
    'job_id',
    'account_id',
    'endpoint_id',
    'host_id',
)


def merge_files(paths):
    """Return the events of several files, sorted by their stamps.

    Parameters
    ----------
    paths : iterable of str
        Files written by recorders.

    Returns
    -------
    list of timeline.Event
        A cause comes before its effect even if the wall clocks of hosts
        disagree.
    """
    lists = [
        sorted(timeline.read_events(path), key=lambda event: event.stamp)
        for path in paths
    ]
    return list(heapq.merge(*lists, key=lambda event: event.stamp))


def matches(event, event_filter):
    """Return whether an event meets all conditions of a filter."""
    for name in TEXT_FIELDS:
        expected = getattr(event_filter, name)
        if expected and getattr(event, name) != expected:
            return False
    if event_filter.item >= 0 and event.item != event_filter.item:
        return False
    seconds = clock.stamp_to_seconds(event.stamp)
    if event_filter.since and seconds < event_filter.since:
        return False
    return not (event_filter.until and seconds > event_filter.until)


def select_events(events, event_filter):
    """Return the events that match a filter, with related ones.

    If the filter names a request or an item, the result includes events of
    the endpoints that it ran on, from its first to its last event, because
    they can explain why an attempt failed.

    Parameters
    ----------
    events : list of timeline.Event
        Sorted by stamp.
    event_filter : EventFilter
        Conditions on the events.

    Returns
    -------
    list of timeline.Event
        Sorted by stamp.
    """
    matching = [event for event in events if matches(event, event_filter)]
    if not matching or not (event_filter.request_id or event_filter.item >= 0):
        return matching
    endpoints = {event.endpoint_id for event in matching} - {''}
    first, last = matching[0].stamp, matching[-1].stamp
    matching_ids = {id(event) for event in matching}
    return [
        event
        for event in events
        if id(event) in matching_ids
        or (
            first <= event.stamp <= last
            and event.endpoint_id in endpoints
            and not event.request_id
            and not event.job_id
        )
    ]


def format_event(event):
    """Return an event as one line of text."""
    seconds = clock.stamp_to_seconds(event.stamp)
    wall_time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    counter = event.stamp & ((1 << clock.COUNTER_BITS) - 1)
    parts = [
        f'{wall_time:%Y-%m-%dT%H:%M:%S}.{wall_time.microsecond // 1000:03d}',
        f'+{counter:<5d}',
        f'{event.host_id:12s}',
        event.name,
    ]
    for name in TEXT_FIELDS[:-1]:
        value = getattr(event, name)
        if value:
            parts.append(f'{name.removesuffix("_id")}={value}')
    if event.item >= 0:
        parts.append(f'item={event.item}')
    if event.detail:
        parts.append(event.detail)
    if event.reason:
        parts.append(f'reason={event.reason!r}')
    return ' '.join(parts)
