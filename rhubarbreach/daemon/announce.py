"""Handling of endpoint announcements that arrive over HTTP."""

import sys
import typing

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import membermessages

__all__ = ['AnnouncementHandler']

MAX_ADDRESSES = 4
MAX_MODELS = 256
MAX_PORT = 65_535
MAX_COUNT = 2**63 - 1
# A host name, an IPv4 address or an IPv6 address in brackets, and a port.
ADDRESS_PATTERN = r'\A([A-Za-z0-9._-]+|\[[0-9A-Fa-f:.]+\]):[0-9]{1,5}\Z'

Name = typing.Annotated[
    str, msgspec.Meta(max_length=256, pattern=r'\A[\x21-\x7e]+\Z')
]
Version = typing.Annotated[
    str, msgspec.Meta(max_length=256, pattern=r'\A[\x20-\x7e]*\Z')
]
Address = typing.Annotated[
    str, msgspec.Meta(max_length=256, pattern=ADDRESS_PATTERN)
]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Fraction = typing.Annotated[float, msgspec.Meta(ge=0.0, le=sys.float_info.max)]
Models = typing.Annotated[
    tuple[Name, ...], msgspec.Meta(max_length=MAX_MODELS)
]


class AnnouncedLoad(msgspec.Struct, frozen=True):
    """Load of an endpoint, as stated in its announcement."""

    running: Count = 0
    waiting: Count = 0
    slots: Count = 0
    kv_used: Fraction = 0.0


class Announcement(msgspec.Struct, frozen=True):
    """Decoded body of an endpoint announcement."""

    endpoint_id: Name
    address: Address
    zone: Name
    kind: Name
    models: Models
    incarnation: Count
    sequence: Count = 0
    draining: bool = False
    fencing: bool = False
    load: AnnouncedLoad = AnnouncedLoad()
    software_version: Version = ''


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
        port = int(announcement.address.rpartition(':')[2])
        if not 1 <= port <= MAX_PORT:
            return codes.Refusal(
                codes.ResultCode.MALFORMED_BODY,
                f'announcement: the port {port} is out of range',
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
