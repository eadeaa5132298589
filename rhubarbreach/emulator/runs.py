"""Log of the attempts that endpoints start and complete."""

import os
import threading

import msgspec

__all__ = ['Run', 'RunLog', 'read_runs']


class Run(msgspec.Struct, frozen=True):
    """Log entry about one attempt.

    `event` is `started` or `completed`, and `saw_key` is whether the request
    carried an `Authorization` header.
    """

    event: str
    endpoint_id: str
    request_id: str
    attempt_id: str
    path: str
    body_digest: str
    saw_key: bool


class RunLog:
    """Append-only log of runs that survives a crash of the endpoint.

    Parameters
    ----------
    path : str
        File to append to; empty to keep runs in memory only.
    """

    def __init__(self, path):
        self.runs = []
        self.lock = threading.Lock()
        self.descriptor = None
        if path:
            flags = os.O_CREAT | os.O_APPEND | os.O_WRONLY
            self.descriptor = os.open(path, flags, 0o644)

    def add(self, run):
        """Append a run with a single write, so that lines never interleave."""
        with self.lock:
            if self.descriptor is None:
                self.runs.append(run)
                return
            os.write(self.descriptor, msgspec.json.encode(run) + b'\n')


def read_runs(path):
    """Return the runs in a file.

    Parameters
    ----------
    path : str
        File written by one or more run logs.

    Returns
    -------
    list of Run
        Runs in the order of the file.
    """
    decoder = msgspec.json.Decoder(Run)
    with open(path, 'rb') as file:
        return [decoder.decode(line) for line in file]
