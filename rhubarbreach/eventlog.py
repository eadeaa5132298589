"""Event log of a process: key=value lines that never block the caller.

A thread writes the lines from a bounded buffer. If the reader of the output
stalls, lines are dropped and counted, but requests are not delayed.
"""

import collections
import os
import sys
import threading
import time
import traceback

__all__ = ['Logger', 'Writer', 'configure', 'set_sink']

# Holds some seconds of output: a busy host writes a few hundred lines/s.
MAX_BUFFERED_LINES = 4096
# Lines are written in batches to reduce the number of thread wake-ups.
BATCH_SECONDS = 0.25
# Lines of one event beyond this number in a batch are only counted.
MAX_EVENT_LINES = 64


class Writer:
    """Writer of log lines to a file descriptor, with its own thread.

    Parameters
    ----------
    host_id : str
        Id of the host, written on each line.
    descriptor : int, optional
        Open file descriptor.
    """

    def __init__(self, host_id, descriptor=1):
        self.host_id = host_id
        self.descriptor = descriptor
        self.lines = collections.deque()
        self.counts = collections.Counter()
        self.dropped = 0
        self.lines_queued = threading.Event()
        self.lock = threading.Lock()
        self.thread = threading.Thread(
            target=self.run, name='event-log', daemon=True
        )
        self.thread.start()

    def put(self, level, channel, text):
        """Queue a line, or count it as dropped."""
        event = text.split(' ', 1)[0]
        line = (
            f'time={time.time():.6f} host={self.host_id} level={level} '
            f'logger={channel} {text}\n'
        )
        with self.lock:
            self.counts[event] += 1
            full = len(self.lines) >= MAX_BUFFERED_LINES
            if full or self.counts[event] > MAX_EVENT_LINES:
                self.dropped += 1
                return
            self.lines.append(line)
        self.lines_queued.set()

    def run(self):
        """Write batches until the process ends."""
        while True:
            self.lines_queued.wait()
            time.sleep(BATCH_SECONDS)
            self.lines_queued.clear()
            self.flush()

    def flush(self):
        """Write the queued lines."""
        with self.lock:
            lines, self.lines = self.lines, collections.deque()
            dropped, self.dropped = self.dropped, 0
            self.counts.clear()
        if dropped:
            lines.append(
                f'time={time.time():.6f} host={self.host_id} level=warning '
                f'logger=eventlog event=lines_dropped count={dropped}\n'
            )
        # An error would end the thread that writes all lines.
        data = ''.join(lines).encode(errors='backslashreplace')
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The output is closed, so the error cannot be reported.
                return


def write_stderr(level, channel, text):
    """Write a line to standard error; used until `configure` is called."""
    if level in ('error', 'warning'):
        sys.stderr.write(f'level={level} logger={channel} {text}\n')


SINKS = {'sink': write_stderr}


def set_sink(sink):
    """Send all lines to a function with arguments level, channel, text."""
    SINKS['sink'] = sink


def configure(host_id, descriptor=1):
    """Send the lines of this process to a descriptor, return the writer."""
    writer = Writer(host_id, descriptor)
    set_sink(writer.put)
    return writer


class Logger:
    """Logger for the events of one component of a process.

    Parameters
    ----------
    channel : str
        Name of the component, written on each line.
    """

    def __init__(self, channel):
        self.channel = channel

    def emit(self, level, text, arguments):
        """Format a line with positional arguments and pass it on."""
        if arguments:
            text = text.format(*arguments)
        SINKS['sink'](level, self.channel, text)

    def info(self, text, *arguments):
        """Record an action or a change of state."""
        self.emit('info', text, arguments)

    def warning(self, text, *arguments):
        """Record an event that an operator may have to examine."""
        self.emit('warning', text, arguments)

    def error(self, text, *arguments):
        """Record a failure."""
        self.emit('error', text, arguments)

    def exception(self, text, *arguments):
        """Record a failure with the traceback of the current exception."""
        trace = traceback.format_exc().replace('\n', '|')
        self.emit('error', text + ' trace={!r}', (*arguments, trace))
