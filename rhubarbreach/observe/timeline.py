"""Recording of timeline events with hybrid logical clock stamps."""

import collections
import contextlib
import dataclasses
import pathlib
import threading

import msgspec

__all__ = ['Event', 'Recorder', 'read_events']

# Latest events kept in memory, in addition to the file.
MEMORY_EVENTS = 4096
FLUSH_EVENTS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One decision or change, with its reason.

    Parameters
    ----------
    stamp : int
        Stamp of the hybrid logical clock of the host.
    host_id : str
        Host that recorded the event.
    name : str
        Name of the event, such as `attempt_started`.
    reason : str
        Reason for the decision or change.
    request_id, job_id, account_id, endpoint_id : str
        Ids that the event concerns; empty if not known.
    item : int
        Index of the item in the job, -1 if not known.
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
    """Recorder of the events of one process, one JSON object a line.

    Parameters
    ----------
    host_id : str
        Host that records the events.
    hybrid_clock : HybridClock
        Clock shared with the link, which advances it by received stamps.
    path : str
        File to append to, empty for memory only.
    """

    def __init__(self, host_id, hybrid_clock, path=''):
        self.host_id = host_id
        self.hybrid_clock = hybrid_clock
        self.events = collections.deque(maxlen=MEMORY_EVENTS)
        self.lock = threading.Lock()
        self.unflushed_events = 0
        self.file = None
        if path:
            self.file = pathlib.Path(path).open('ab')

    def record(self, name, reason='', **fields):
        """Record one event.

        Parameters
        ----------
        name : str
            Name of the event.
        reason : str
            Reason for the decision or change.
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
            with contextlib.suppress(OSError):
                self.file.write(line)
            self.unflushed_events += 1
            if self.unflushed_events >= FLUSH_EVENTS:
                self.flush()

    def flush(self):
        """Pass buffered events to the operating system.

        What a full disk refuses stays buffered or is lost: the timeline
        stops nothing that it reports on.
        """
        if self.file is not None:
            with contextlib.suppress(OSError):
                self.file.flush()
            self.unflushed_events = 0

    def close(self):
        """Flush and close the file."""
        with self.lock:
            if self.file is not None:
                with contextlib.suppress(OSError):
                    self.file.close()
                self.file = None


def read_events(path):
    """Return the events of a file.

    A line that cannot be decoded is skipped, such as the last line of a host
    that was killed while it wrote.

    Parameters
    ----------
    path : str
        File written by a `Recorder`.

    Returns
    -------
    list of Event
        Events in the order of the file.
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
