"""Recording of time line events with hybrid clock stamps."""

import collections
import dataclasses
import pathlib
import threading

import msgspec

__all__ = ['Event', 'Recorder', 'read_events']

# Events kept in memory for `/debug/timeline`, beside the file.
MEMORY_EVENTS = 4096
FLUSH_EVENTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One decision or change, with its reason.

    Parameters
    ----------
    stamp : int
        Hybrid clock of the host.
    host_id : str
        Host that recorded the event.
    name : str
        What happened, such as `attempt_started`.
    reason : str
        Why it was decided.
    request_id, job_id, account_id, endpoint_id : str
        What it concerns; empty where not known.
    item : int
        Item of the job, -1 where not known.
    detail : str
        Further key=value pairs.
    """

    stamp: int
    host_id: str
    name: str
    reason: str = ''
    request_id: str = ''
    job_id: str = ''
    item: int = -1
    account_id: str = ''
    endpoint_id: str = ''
    detail: str = ''


class Recorder:
    """Writes the events of one process, one JSON object a line.

    Parameters
    ----------
    host_id : str
        Host that records.
    hybrid_clock : HybridClock
        Clock shared with the link.
    path : str
        File to append to, empty for memory only.
    """

    def __init__(self, host_id, hybrid_clock, path=''):
        self.host_id = host_id
        self.hybrid_clock = hybrid_clock
        self.events = collections.deque(maxlen=MEMORY_EVENTS)
        self.lock = threading.Lock()
        self.unflushed = 0
        self.file = None
        if path:
            self.file = pathlib.Path(path).open('ab')

    def record(self, name, reason='', **fields):
        """Record one event.

        Parameters
        ----------
        name : str
            What happened.
        reason : str
            Why it was decided.
        **fields
            Further fields of `Event`.
        """
        event = Event(
            self.hybrid_clock.now(), self.host_id, name, reason, **fields
        )
        self.events.append(event)
        if self.file is None:
            return
        line = msgspec.json.encode(event) + b'\n'
        with self.lock:
            self.file.write(line)
            self.unflushed += 1
            if self.unflushed >= FLUSH_EVENTS:
                self.flush()

    def flush(self):
        """Hand buffered events to the operating system."""
        if self.file is not None:
            self.file.flush()
            self.unflushed = 0

    def close(self):
        """Flush and close the file."""
        with self.lock:
            if self.file is not None:
                self.file.close()
                self.file = None


def read_events(path):
    """Return the events of a file; a torn last line is left out.

    Parameters
    ----------
    path : str
        File written by a `Recorder`.

    Returns
    -------
    list of Event
        In the order of the file.
    """
    events = []
    decoder = msgspec.json.Decoder(Event)
    with open(path, 'rb') as file:
        for line in file:
            try:
                events.append(decoder.decode(line))
            except msgspec.DecodeError:
                continue
    return events
