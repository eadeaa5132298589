"""Messages about running work, orders to a host and link probes."""

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
    """Total cost that one host has served for one client account."""

    account_id: str
    served: float
    lane: str = 'batch'


@messages.frozen_message
class ServiceCounters:
    """Counters that changed since the last message of the sender."""

    counters: tuple[ServiceCounter, ...]


@messages.frozen_message
class StrikeReport:
    """Report of a request that ran on an endpoint when the endpoint failed.

    `digest` identifies the request. `alone` is True when no other request
    ran on the endpoint.
    """

    digest: bytes
    endpoint_id: str
    endpoint_incarnation: int
    alone: bool


@messages.frozen_message
class CancelAttempts:
    """Order to cancel all attempts of a job on the receiving host."""

    job_id: str


@messages.frozen_message
class HostOrder:
    """Order to a host: `drain`, or `log_level` with the level as value."""

    order: str
    value: str


@messages.frozen_message
class HostOrderReply:
    """Answer to `HostOrder`; `refusal` is None if it was carried out."""

    refusal: codes.Refusal | None


@messages.frozen_message
class LinkProbe:
    """Probe of whether messages arrive in both directions."""


@messages.frozen_message
class LinkProbeReply:
    """Answer to `LinkProbe`."""
