"""Messages about live hosts and announced endpoints."""

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
    """State of one host as spread by probes."""

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
    """Ask whether a host is alive; carries recent changes of rows."""

    sequence: int
    rows: tuple[HostRow, ...]


@messages.frozen_message
class ProbeReply:
    """Answer to `Probe`."""

    sequence: int
    rows: tuple[HostRow, ...]


@messages.frozen_message
class ProbeRequest:
    """Ask another host to probe `target_id` on behalf of the sender."""

    sequence: int
    target_id: str
    rows: tuple[HostRow, ...]


@messages.frozen_message
class HostTable:
    """Part of the table of hosts; `wanted` asks for the receiver's table."""

    rows: tuple[HostRow, ...]
    wanted: bool


@messages.frozen_message
class EndpointRow:
    """State of one endpoint as announced; `age` in seconds."""

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


@messages.frozen_message
class EndpointBatch:
    """Announcements received by one host since its last batch.

    `relay` asks the receiver to pass the rows on inside its zone.
    """

    rows: tuple[EndpointRow, ...]
    relay: bool
