"""Set-up of the log, with one line of key=value pairs for each event."""

import sys

import logbook

from rhubarbreach import eventlog

__all__ = ['LEVELS', 'close_log', 'open_log', 'set_level']

LEVELS = {
    'debug': logbook.DEBUG,
    'info': logbook.INFO,
    'warning': logbook.WARNING,
    'error': logbook.ERROR,
}

FORMAT = (
    'time={record.time:%Y-%m-%dT%H:%M:%S.%f}Z level={record.level_name} '
    'logger={record.channel} {record.message}'
)


def open_log(host_id, level, file=''):
    """Send all log events of this process to a file or standard error.

    Parameters
    ----------
    host_id : str
        Host id that is written on each line.
    level : str
        One of `LEVELS`.
    file : str
        Path, empty for standard error.

    Returns
    -------
    logbook.Handler
        Installed handler.
    """
    logbook.set_datetime_format('utc')
    format_string = f'host={host_id} {FORMAT}'
    if file:
        handler = logbook.FileHandler(
            file, level=LEVELS[level], format_string=format_string
        )
    else:
        handler = logbook.StreamHandler(
            sys.stderr, level=LEVELS[level], format_string=format_string
        )
    handler.push_application()
    eventlog.set_sink(forward_event)
    return handler


def forward_event(level, channel, text):
    """Write a line of the event log to the log."""
    logbook.Logger(channel).log(LEVELS[level], '{}', text)


def set_level(handler, level):
    """Change the level of an open log.

    Parameters
    ----------
    handler : logbook.Handler
        Handler that `open_log` returned.
    level : str
        One of `LEVELS`.
    """
    handler.level = LEVELS[level]


def close_log(handler):
    """Stop sending log events to a handler."""
    handler.pop_application()
    handler.close()
