"""Command that prints the merged timelines of all hosts."""

import sys

from rhubarbreach.observe import timelinequery

__all__ = ['print_timeline']

MAX_PLOT_LABELS = 40


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
    """Print the events of all hosts in causal order.

    Parameters
    ----------
    *files : str
        Timeline files of any number of hosts.
    request : str
        Only events about this request, and about its endpoints during it.
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
        Only events at or after this time, in seconds since the epoch.
    until : float
        Only events at or before this time, in seconds since the epoch.
    plot : str
        Also write a plot to this path (requires matplotlib).

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
    """Write a plot with one row for each host."""
    # Imported here because only this option needs matplotlib.
    from matplotlib import figure

    from rhubarbreach import clock

    hosts = sorted({event.host_id for event in events})
    plot_figure = figure.Figure(figsize=(12, 1 + len(hosts)))
    axes = plot_figure.subplots()
    start = clock.stamp_to_seconds(events[0].stamp)
    for event in events:
        seconds = clock.stamp_to_seconds(event.stamp) - start
        row = hosts.index(event.host_id)
        axes.plot(seconds, row, 'o', markersize=4)
        if len(events) <= MAX_PLOT_LABELS:
            axes.annotate(event.name, (seconds, row), rotation=30, fontsize=7)
    axes.set_yticks(range(len(hosts)), hosts)
    axes.set_xlabel('seconds')
    plot_figure.tight_layout()
    plot_figure.savefig(path)
