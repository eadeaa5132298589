"""Event log of a process: key=value lines that never block the caller.

Lines go to a bounded buffer that one thread writes, so that a reader of the
output that stalls costs lines, which are counted, and not requests.
"""

import collections
import os
import sys
import threading
import time
import traceback

__all__ = ['Logger', 'Writer', 'configure', 'set_sink']

# A busy host writes a few hundred lines a second; this holds some seconds.
BUFFER_LINES = 4096
# Lines are written in batches, because each wake-up of a process costs.
BATCH_SECONDS = 0.25
# Repeated lines of one event beyond this many in a batch are only counted.
EVENT_LINES = 64


class Writer:
    """Writes lines to a descriptor on a thread of its own.

    Parameters
    ----------
    host_id : str
        Written on each line.
    descriptor : int, optional
        Open file descriptor.
    """

    def __init__(self, host_id, descriptor=1):
        self.host_id = host_id
        self.descriptor = descriptor
        self.lines = collections.deque()
        self.counts = collections.Counter()
        self.dropped = 0
        self.wake = threading.Event()
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
            full = len(self.lines) >= BUFFER_LINES
            if full or self.counts[event] > EVENT_LINES:
                self.dropped += 1
                return
            self.lines.append(line)
        self.wake.set()

    def run(self):
        """Write batches for as long as the process runs."""
        while True:
            self.wake.wait()
            time.sleep(BATCH_SECONDS)
            self.wake.clear()
            self.flush()

    def flush(self):
        """Write what is queued."""
        with self.lock:
            lines, self.lines = self.lines, collections.deque()
            dropped, self.dropped = self.dropped, 0
            self.counts.clear()
        if dropped:
            lines.append(
                f'time={time.time():.6f} host={self.host_id} level=warning '
                f'logger=eventlog event=lines_dropped count={dropped}\n'
            )
        data = ''.join(lines).encode()
        while data:
            try:
                data = data[os.write(self.descriptor, data) :]
            except OSError:
                # The reader is gone; there is nowhere left to report it.
                return


def write_stderr(level, channel, text):
    """Write a line to standard error, before `configure` was called."""
    if level in ('error', 'warning'):
        sys.stderr.write(f'level={level} logger={channel} {text}\n')


SINKS = {'sink': write_stderr}


def set_sink(sink):
    """Send all lines to a function of level, channel and text."""
    SINKS['sink'] = sink


def configure(host_id, descriptor=1):
    """Send the lines of this process to a descriptor; return the writer."""
    writer = Writer(host_id, descriptor)
    set_sink(writer.put)
    return writer


class Logger:
    """Source of events of one part of a process.

    Parameters
    ----------
    channel : str
        Name written on each line.
    """

    def __init__(self, channel):
        self.channel = channel

    def emit(self, level, text, arguments):
        """Format a line with positional arguments and pass it on."""
        if arguments:
            text = text.format(*arguments)
        SINKS['sink'](level, self.channel, text)

    def info(self, text, *arguments):
        """Record what a process did or came to believe."""
        self.emit('info', text, arguments)

    def warning(self, text, *arguments):
        """Record what an operator may have to look at."""
        self.emit('warning', text, arguments)

    def error(self, text, *arguments):
        """Record a failure."""
        self.emit('error', text, arguments)

    def exception(self, text, *arguments):
        """Record a failure with the traceback being handled."""
        trace = traceback.format_exc().replace('\n', '|')
        self.emit('error', text + ' trace={!r}', (*arguments, trace))
