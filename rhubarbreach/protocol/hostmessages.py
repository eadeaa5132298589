"""Messages about running work, and orders to a host."""

from rhubarbreach import codes
from rhubarbreach.protocol import messages

__all__ = [
    'CancelAttempts',
    'HostOrder',
    'HostOrderReply',
    'LinkProbe',
    'LinkProbeReply',
    'ServiceCounter',
    'ServiceCounters',
    'StrikeReport',
]


@messages.frozen_message
class ServiceCounter:
    """Total cost served by one host for one client account."""

    account_id: str
    served: float
    lane: str = 'batch'


@messages.frozen_message
class ServiceCounters:
    """Counters that changed since the last message of the sender."""

    counters: tuple[ServiceCounter, ...]


@messages.frozen_message
class StrikeReport:
    """A request digest that was running when an endpoint died.

    `alone` tells that no other request ran there.
    """

    digest: bytes
    endpoint_id: str
    endpoint_incarnation: int
    alone: bool


@messages.frozen_message
class CancelAttempts:
    """Cancel what runs for a job on the receiving host."""

    job_id: str


@messages.frozen_message
class HostOrder:
    """Order to a host: `drain`, or `log_level` with a value."""

    order: str
    value: str


@messages.frozen_message
class HostOrderReply:
    """Whether the order was carried out."""

    refusal: codes.Refusal | None


@messages.frozen_message
class LinkProbe:
    """Ask whether messages in both directions arrive."""


@messages.frozen_message
class LinkProbeReply:
    """Answer to a `LinkProbe`."""
