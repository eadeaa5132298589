"""Bounded table of the origins of streams."""

import dataclasses
import hashlib
import threading

__all__ = ['MAX_STREAM_SECONDS', 'Origin', 'OriginTable', 'make_stream_id']

# Longest time after the start of a stream in which it may be taken up.
MAX_STREAM_SECONDS = 3600.0
# An origin takes about 0.2 KB.
MAX_ORIGINS = 32_768
STREAM_ID_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Service and software version at which a stream began.

    A request may be sent to several endpoints before its first event. Each
    attempt has a higher `revision`, and the last one holds.
    """

    service: str
    software_version: str
    revision: int = 1


def make_stream_id(account, request_id):
    """Return the id of the stream that a request begins.

    It has the same size whatever the caller sends. Callers of one account
    cannot refer to the streams of another one.

    Parameters
    ----------
    account : str
        Name of the client account; empty on open routes.
    request_id : str
        Id of the request; empty if it has none.

    Returns
    -------
    bytes
        Empty if the request has no id.
    """
    if not request_id:
        return b''
    text = f'{account}\0{request_id}'.encode()
    return hashlib.blake2b(text, digest_size=STREAM_ID_BYTES).digest()


class OriginTable:
    """Origins by stream id.

    Origins beyond the limit replace the oldest ones.

    Parameters
    ----------
    max_origins : int
        Most origins that are kept.
    """

    def __init__(self, max_origins=MAX_ORIGINS):
        self.max_origins = max_origins
        self.lock = threading.Lock()
        self.entries = {}

    def __len__(self):
        return len(self.entries)

    def add(self, stream_id, origin, expires_at, now):
        """Add an origin, unless that of a later attempt is known.

        Parameters
        ----------
        stream_id : bytes
            Id of the stream.
        origin : Origin
            Origin of the stream.
        expires_at, now : float
            Deadline after which the origin is not needed, and the current
            time, in seconds of the monotonic clock.
        """
        with self.lock:
            known, known_until = self.entries.pop(stream_id, (origin, now))
            if now < known_until and known.revision > origin.revision:
                origin = known
            self.entries[stream_id] = (origin, max(expires_at, known_until))
            self.remove_oldest(now)

    def remove_oldest(self, now):
        """Remove the oldest origins that are expired or beyond the limit."""
        expired = []
        excess = len(self.entries) - self.max_origins
        for stream_id, (_, expires_at) in self.entries.items():
            if now < expires_at and len(expired) >= excess:
                break
            expired.append(stream_id)
        for stream_id in expired:
            del self.entries[stream_id]

    def find(self, stream_id, now):
        """Return the origin of a stream, or None if it is not known."""
        with self.lock:
            origin, expires_at = self.entries.get(stream_id, (None, now))
        return origin if now < expires_at else None

    def list_rows(self, now):
        """Return the rows of `OriginNews` of all origins."""
        with self.lock:
            entries = list(self.entries.items())
        return [
            (
                stream_id,
                origin.service,
                origin.software_version,
                origin.revision,
                expires_at - now,
            )
            for stream_id, (origin, expires_at) in entries
            if now < expires_at
        ]
