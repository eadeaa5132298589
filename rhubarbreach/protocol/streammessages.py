"""Messages about the origins of streams."""

from rhubarbreach.protocol import messages

__all__ = [
    'OriginNews',
    'OriginQuery',
    'OriginReply',
    'OriginsQuery',
    'split_news',
]

# Rows in one message. A row takes about 60 bytes.
MAX_NEWS_ROWS = 1000


@messages.frozen_message
class OriginNews:
    """Origins of streams that have begun or are about to.

    A row consists of the id of the stream, its service, the software version
    of its endpoint, the number of the attempt, and the time in seconds for
    which the origin is needed.
    """

    rows: tuple[tuple[bytes, str, str, int, float], ...]


@messages.frozen_message
class OriginsQuery:
    """Request for all origins that a store knows, as `OriginNews`."""


@messages.frozen_message
class OriginQuery:
    """Query for the origin of a stream.

    `services` are those that may have begun it.
    """

    stream_id: bytes
    services: tuple[str, ...]


@messages.frozen_message
class OriginReply:
    """Answer to `OriginQuery`; `service` is None if the origin is unknown.

    The leader also sends the software `versions` of the services that were in
    service while a stream that began then may still be taken up. A store that
    was cut off may know an attempt with a lower `revision` only.
    """

    service: str | None = None
    software_version: str = ''
    is_leader: bool = False
    versions: tuple[str, ...] = ()
    revision: int = 1


def split_news(rows):
    """Yield the messages with some rows, none of them too large."""
    for start in range(0, len(rows), MAX_NEWS_ROWS):
        yield OriginNews(tuple(rows[start : start + MAX_NEWS_ROWS]))
