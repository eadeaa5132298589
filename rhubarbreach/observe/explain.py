"""Merging, filtering and printing of timeline events of many hosts."""

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
        Item of the job, -1 for all.
    since, until : float
        Seconds since the epoch; 0 for no bound.
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
    """Return the events of several files in order of their stamps.

    Parameters
    ----------
    paths : iterable of str
        Files written by recorders.

    Returns
    -------
    list of timeline.Event
        Causes come before their effects, whatever the wall clocks say.
    """
    lists = [
        sorted(timeline.read_events(path), key=lambda event: event.stamp)
        for path in paths
    ]
    return list(heapq.merge(*lists, key=lambda event: event.stamp))


def matches(event, condition):
    """Return whether an event meets all conditions."""
    for name in TEXT_FIELDS:
        wanted = getattr(condition, name)
        if wanted and getattr(event, name) != wanted:
            return False
    if condition.item >= 0 and event.item != condition.item:
        return False
    seconds = clock.stamp_to_seconds(event.stamp)
    if condition.since and seconds < condition.since:
        return False
    return not (condition.until and seconds > condition.until)


def select_events(events, condition):
    """Return the events that meet a condition, with related ones.

    When a request is asked for, events about the endpoints it ran on are
    included from its first to its last event, since they explain why an
    attempt failed.

    Parameters
    ----------
    events : list of timeline.Event
        Sorted by stamp.
    condition : EventFilter
        What is asked for.

    Returns
    -------
    list of timeline.Event
        Sorted by stamp.
    """
    found = [event for event in events if matches(event, condition)]
    if not found or not (condition.request_id or condition.item >= 0):
        return found
    endpoints = {event.endpoint_id for event in found} - {''}
    first, last = found[0].stamp, found[-1].stamp
    chosen = {id(event) for event in found}
    return [
        event
        for event in events
        if id(event) in chosen
        or (
            first <= event.stamp <= last
            and event.endpoint_id in endpoints
            and not event.request_id
            and not event.job_id
        )
    ]


def format_event(event):
    """Return one line of text for an event."""
    seconds = clock.stamp_to_seconds(event.stamp)
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    counter = event.stamp & ((1 << clock.COUNTER_BITS) - 1)
    parts = [
        f'{moment:%Y-%m-%dT%H:%M:%S}.{moment.microsecond // 1000:03d}',
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
