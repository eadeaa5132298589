"""Handling of endpoint announcements that arrive over HTTP."""

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import membermessages

__all__ = ['AnnouncementHandler']

MAX_ADDRESSES = 4


class AnnouncedLoad(msgspec.Struct, frozen=True):
    """Load of an endpoint, as stated in its announcement."""

    running: int = 0
    waiting: int = 0
    slots: int = 0
    kv_used: float = 0.0


class Announcement(msgspec.Struct, frozen=True):
    """Decoded body of an endpoint announcement."""

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
    software_version: str = ''


class AnnouncementHandler:
    """Handler that records announcements in the endpoint registry.

    Parameters
    ----------
    registry : membership.endpoints.EndpointRegistry
        Registry of this host.
    membership : membership.hosts.Membership
        Live hosts, which are returned to endpoints as further addresses to
        announce to.
    """

    def __init__(self, registry, membership):
        self.registry = registry
        self.membership = membership

    def handle(self, body, address):
        """Register an endpoint; return the response or a refusal."""
        try:
            announcement = msgspec.convert(body, Announcement)
        except msgspec.ValidationError as error:
            return codes.Refusal(
                codes.ResultCode.MALFORMED_BODY, f'announcement: {error}'
            )
        row = membermessages.EndpointRow(
            announcement.endpoint_id,
            announcement.address,
            announcement.zone,
            announcement.kind,
            announcement.models,
            announcement.incarnation,
            announcement.sequence,
            announcement.draining,
            announcement.fencing,
            announcement.load.running,
            announcement.load.waiting,
            announcement.load.slots,
            announcement.load.kv_used,
            0.0,
            announcement.software_version,
        )
        self.registry.announce(row, clock.monotonic())
        return {'announce_to': self.list_addresses(announcement.zone)}

    def list_addresses(self, zone):
        """Return HTTP addresses of live entry hosts, those of a zone first."""
        hosts = [
            host
            for host in self.membership.alive()
            if 'entry' in host.roles and not host.draining
        ]
        hosts.sort(key=lambda host: host.zone != zone)
        return [host.http_address for host in hosts[:MAX_ADDRESSES]]
