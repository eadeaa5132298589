"""Messages of the failure detector, and announced endpoints."""

from rhubarbreach.protocol import messages

__all__ = [
    'EndpointBatch',
    'EndpointRow',
    'HostRow',
    'HostTable',
    'Probe',
    'ProbeReply',
    'ProbeRequest',
]


@messages.frozen_message
class HostRow:
    """State of one host, disseminated with probes and replies."""

    host_id: str
    address: str
    zone: str
    region: str
    roles: tuple[str, ...]
    incarnation: int
    status: str
    http_address: str = ''


@messages.frozen_message
class Probe:
    """Probe of whether a host is alive, with rows that changed recently."""

    sequence: int
    rows: tuple[HostRow, ...]


@messages.frozen_message
class ProbeReply:
    """Answer to `Probe`."""

    sequence: int
    rows: tuple[HostRow, ...]


@messages.frozen_message
class ProbeRequest:
    """Request to probe `target_id` on behalf of the sender."""

    sequence: int
    target_id: str
    rows: tuple[HostRow, ...]


@messages.frozen_message
class HostTable:
    """Part of the table of hosts.

    `wanted` is True if the receiver is to send its table back.
    """

    rows: tuple[HostRow, ...]
    wanted: bool


@messages.frozen_message
class EndpointRow:
    """State of one endpoint as announced `age` seconds ago."""

    endpoint_id: str
    address: str
    zone: str
    kind: str
    models: tuple[str, ...]
    incarnation: int
    sequence: int
    draining: bool
    fencing: bool
    running: int
    waiting: int
    slots: int
    kv_used: float
    age: float
    software_version: str = ''


@messages.frozen_message
class EndpointBatch:
    """Announcements that one host has received since its last batch.

    `relay` is True if the receiver is to forward the rows to the hosts of
    its availability zone.
    """

    rows: tuple[EndpointRow, ...]
    relay: bool
