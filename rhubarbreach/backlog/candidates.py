"""Items and slots as the planner sees them, and runs that have to end."""

import collections

from rhubarbreach.backlog import plan
from rhubarbreach.backlog import versions
from rhubarbreach import eventlog

__all__ = [
    'count_slots',
    'is_to_leave',
    'list_running',
    'make_waiting',
    'restart_item',
]

LOG = eventlog.Logger('runner')


def is_to_leave(run, endpoints):
    """Return whether a run has to resume elsewhere, as its endpoint drains.

    If no other endpoint has its software version, its events would be lost.
    """
    if not is_draining(endpoints.get(run.endpoint.endpoint_id)):
        return False
    return not (run.reported and run.progress.texts) or versions.is_in_service(
        run.endpoint.software_version, run.destination.service, endpoints
    )


def is_draining(endpoint):
    """Return whether an endpoint is known to drain.

    An unknown endpoint may have announced itself to another leader, so its
    runs are not cancelled. If it no longer exists, they fail anyway.
    """
    return endpoint is not None and endpoint.is_draining


def restart_item(key, progress):
    """Drop the events of an item, so that it begins anew."""
    LOG.info(
        'event=item_restarted job={} item={} made={} version={!r}',
        *key,
        len(progress.texts),
        progress.software_version,
    )
    progress.restart()


def count_slots(endpoints, online, runs, ejected):
    """Return the `EndpointSlots` of each endpoint that accepts items."""
    batch = collections.Counter()
    leaving = collections.Counter()
    for run in runs:
        counts = leaving if run.cancelled else batch
        counts[run.endpoint.endpoint_id] += 1
    return [
        plan.EndpointSlots(
            endpoint.endpoint_id,
            endpoint.service,
            endpoint.slots,
            online.get(endpoint.endpoint_id, 0),
            batch[endpoint.endpoint_id],
            endpoint.software_version,
            endpoint.availability_zone,
            leaving[endpoint.endpoint_id],
        )
        for endpoint in endpoints.values()
        if not endpoint.is_draining and endpoint.endpoint_id not in ejected
    ]


def list_running(runs, estimator, unix_time):
    """Return the runs that are not cancelled, as `RunningItem`.

    Parameters
    ----------
    runs : iterable of Assignment
        Assigned runs.
    estimator : RunTimeEstimator
        Predicted run time of items.
    unix_time : float
        Unix time in seconds.
    """
    running = []
    for run in runs:
        if run.cancelled:
            continue
        event_count = len(run.progress.texts)
        due = run.job.due
        running.append(
            plan.RunningItem(
                run.key,
                run.endpoint.endpoint_id,
                run.destination.service,
                due,
                due - unix_time - estimator.predict(event_count),
                event_count,
            )
        )
    return running


def make_waiting(open_item, progress, estimator, homes, unix_time):
    """Return the `WaitingItem` of an open item.

    Parameters
    ----------
    open_item : tuple
        Job, item and `Destination`.
    progress : Progress
        Progress of the item.
    estimator : RunTimeEstimator
        Predicted run time of items.
    homes : tuple
        Endpoint that has cached its prompt, or None, and those that may have
        cached a part of it.
    unix_time : float
        Unix time in seconds.
    """
    job, item, destination = open_item
    event_count = len(progress.texts)
    return plan.WaitingItem(
        (job.job_id, item.item_id),
        destination.service,
        job.due,
        job.due - unix_time - estimator.predict(event_count),
        event_count,
        progress.software_version if event_count else None,
        *homes,
    )
