"""Command that explains what happened, from the timelines of all hosts."""

import sys

from rhubarbreach.observe import timelinequery

__all__ = ['print_timeline']

PLOT_LABELS = 40


def print_timeline(
    *files,
    request='',
    job='',
    item=-1,
    account='',
    endpoint='',
    host='',
    since=0.0,
    until=0.0,
    plot='',
):
    """Print the events of all hosts in order of cause and effect.

    Parameters
    ----------
    *files : str
        Timeline files of any number of hosts.
    request : str
        Only events about this request, and about its endpoints meanwhile.
    job : str
        Only events about this job.
    item : int
        Only events about this item of the job.
    account : str
        Only events about this client account.
    endpoint : str
        Only events about this endpoint.
    host : str
        Only events of this host.
    since : float
        Only events from this time on, in seconds since the epoch.
    until : float
        Only events up to this time, in seconds since the epoch.
    plot : str
        Also write a picture to this path (needs matplotlib).

    Examples
    --------
    rhubarbreach timeline host-*.timeline --request=REQUEST_ID
    """
    condition = timelinequery.EventFilter(
        str(request),
        str(job),
        str(account),
        str(endpoint),
        str(host),
        item,
        since,
        until,
    )
    events = timelinequery.select_events(
        timelinequery.merge_files(files), condition
    )
    for event in events:
        sys.stdout.write(timelinequery.format_event(event) + '\n')
    if not events:
        sys.stderr.write('no event matches\n')
        sys.exit(1)
    if plot:
        write_plot(events, plot)


def write_plot(events, path):
    """Write a picture with one row for each host."""
    # Imported here because only this option needs it.
    from matplotlib import figure

    from rhubarbreach import clock

    hosts = sorted({event.host_id for event in events})
    picture = figure.Figure(figsize=(12, 1 + len(hosts)))
    axes = picture.subplots()
    start = clock.stamp_to_seconds(events[0].stamp)
    for event in events:
        at = clock.stamp_to_seconds(event.stamp) - start
        row = hosts.index(event.host_id)
        axes.plot(at, row, 'o', markersize=4)
        if len(events) <= PLOT_LABELS:
            axes.annotate(event.name, (at, row), rotation=30, fontsize=7)
    axes.set_yticks(range(len(hosts)), hosts)
    axes.set_xlabel('seconds')
    picture.tight_layout()
    picture.savefig(path)
