"""Keeper of a store for the origins of streams."""

from rhubarbreach import clock
from rhubarbreach.protocol import streammessages
from rhubarbreach.streams import table

__all__ = ['OriginKeeper']

# Rows in one message to another store. A row takes about 60 bytes.
MAX_NEWS_ROWS = 1000


class OriginKeeper:
    """Origins of streams that entry hosts record at a store.

    Parameters
    ----------
    link : Link
        Link to the other hosts.
    find_versions : callable
        Takes services and returns the software versions of them that were in
        service recently, or None if this store is not the leader.
    """

    def __init__(self, link, find_versions):
        self.link = link
        self.find_versions = find_versions
        self.table = table.OriginTable()
        link.register(streammessages.OriginNews, self.apply_news, inline=True)
        link.register(
            streammessages.OriginsQuery, self.send_origins, inline=True
        )
        link.register(
            streammessages.OriginQuery, self.answer_query, inline=True
        )

    def query_stores(self, host_ids):
        """Ask other stores for the origins they know."""
        for host_id in host_ids:
            self.link.send(host_id, streammessages.OriginsQuery())

    def apply_news(self, _sender_id, message):
        """Store the origins that another host has sent."""
        now = clock.monotonic()
        for stream_id, *fields, lifetime in message.rows:
            origin = table.Origin(*fields)
            lifetime = min(lifetime, table.MAX_STREAM_SECONDS)
            self.table.add(stream_id, origin, now + lifetime, now)

    def send_origins(self, sender_id, _):
        """Send all known origins to another store."""
        rows = self.table.list_rows(clock.monotonic())
        for start in range(0, len(rows), MAX_NEWS_ROWS):
            part = tuple(rows[start : start + MAX_NEWS_ROWS])
            self.link.send(sender_id, streammessages.OriginNews(part))

    def answer_query(self, _sender_id, message):
        """Return the `OriginReply` to the query of an entry host."""
        origin = self.table.find(message.stream_id, clock.monotonic())
        if origin is not None:
            return streammessages.OriginReply(
                origin.service,
                origin.software_version,
                revision=origin.revision,
            )
        versions = self.find_versions(message.services)
        return streammessages.OriginReply(
            is_leader=versions is not None, versions=versions or ()
        )
