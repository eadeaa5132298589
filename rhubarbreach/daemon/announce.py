"""Announcements of endpoints as they arrive over HTTP."""

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import membermessages

__all__ = ['Announcements']

MAX_ADDRESSES = 4


class AnnouncedLoad(msgspec.Struct, frozen=True):
    """Load in an announcement."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    kv_used: float = 0.0


class Announcement(msgspec.Struct, frozen=True):
    """Body of an announcement."""

    endpoint_id: str
    address: str
    zone: str
    kind: str
    models: tuple[str, ...]
    incarnation: int
    sequence: int = 0
    draining: bool = False
    fencing: bool = False
    load: AnnouncedLoad = AnnouncedLoad()


class Announcements:
    """Takes announcements into the endpoint registry.

    Parameters
    ----------
    registry : membership.endpoints.EndpointRegistry
        Registry of this host.
    membership : membership.hosts.Membership
        Live hosts, to tell endpoints where else they may announce.
    """

    def __init__(self, registry, membership):
        self.registry = registry
        self.membership = membership

    def take(self, announcement, address):
        """Register an endpoint; return the answer or a refusal."""
        try:
            checked = msgspec.convert(announcement, Announcement)
        except msgspec.ValidationError as error:
            return codes.Refusal(
                codes.ResultCode.MALFORMED_BODY, f'announcement: {error}'
            )
        row = membermessages.EndpointRow(
            checked.endpoint_id,
            checked.address,
            checked.zone,
            checked.kind,
            checked.models,
            checked.incarnation,
            checked.sequence,
            checked.draining,
            checked.fencing,
            checked.load.running,
            checked.load.waiting,
            checked.load.slots,
            checked.load.kv_used,
            0.0,
        )
        self.registry.announce(row, clock.monotonic())
        return {'announce_to': self.list_addresses(checked.zone)}

    def list_addresses(self, zone):
        """Return HTTP addresses of live hosts, those of a zone first."""
        hosts = [
            host
            for host in self.membership.alive()
            if 'entry' in host.roles and not host.draining
        ]
        hosts.sort(key=lambda host: host.zone != zone)
        return [host.http_address for host in hosts[:MAX_ADDRESSES]]
