"""Keeper of a store for the origins of streams."""

from rhubarbreach import clock
from rhubarbreach.protocol import streammessages
from rhubarbreach.streams import table

__all__ = ['OriginKeeper']


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
        # Hosts that were asked for the origins they know.
        self.asked = set()
        link.register(streammessages.OriginNews, self.apply_news, inline=True)
        link.register(
            streammessages.OriginsQuery, self.send_origins, inline=True
        )
        link.register(
            streammessages.OriginQuery, self.answer_query, inline=True
        )

    def query_hosts(self, host_ids):
        """Ask other hosts, once each, for the origins they know."""
        for host_id in set(host_ids) - self.asked:
            self.asked.add(host_id)
            self.link.send(host_id, streammessages.OriginsQuery())

    def apply_news(self, sender_id, message):
        """Store the origins that another host has sent.

        An entry host that is heard for the first time may have recorded
        others before this store started.
        """
        self.query_hosts((sender_id,))
        now = clock.monotonic()
        for stream_id, *fields, lifetime in message.rows:
            origin = table.Origin(*fields)
            lifetime = min(lifetime, table.MAX_STREAM_SECONDS)
            self.table.add(stream_id, origin, now + lifetime, now)

    def send_origins(self, sender_id, _):
        """Send all known origins to another store."""
        for message in streammessages.split_news(
            self.table.list_rows(clock.monotonic())
        ):
            self.link.send(sender_id, message)

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
