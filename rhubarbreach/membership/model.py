"""Frozen data classes of hosts and endpoints."""

import dataclasses

__all__ = ['EndpointInfo', 'HostInfo', 'Load']


@dataclasses.dataclass(frozen=True, slots=True)
class HostInfo:
    """A live host.

    Parameters
    ----------
    host_id, region, zone : str
        Identity and place.
    address, http_address : str
        `IP:port` of the link and of the HTTP interface.
    roles : tuple of str
        `entry`, `store`, `relay`.
    incarnation : int
        Grows with each start of the host.
    draining : bool
        Whether the host takes no new work.
    """

    host_id: str
    region: str
    zone: str
    address: str
    http_address: str
    roles: tuple[str, ...]
    incarnation: int
    draining: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that an endpoint reported.

    Parameters
    ----------
    running, waiting : int
        Requests in the batch and in the engine's own queue.
    slots : int
        Requests that the engine batches at most; 0 if it does not say.
    kv_used : float
        Used fraction of the KV cache.
    measured_at : float
        Seconds of this host's monotonic clock.
    """

    running: int
    waiting: int
    slots: int
    kv_used: float
    measured_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointInfo:
    """An announced endpoint.

    Parameters
    ----------
    endpoint_id, zone : str
        Identity and availability zone.
    address : str
        `IP:port` of its HTTP interface.
    kind : str
        `engine` or `service`.
    models : tuple of str
        Models that it serves now.
    incarnation : int
        Grows with each start of the endpoint.
    draining : bool
        Whether it takes no new work.
    fencing : bool
        Whether it refuses orders with an old fencing number.
    load : Load
        Last reported load.
    expires_at : float
        Monotonic deadline after which it counts as lost.
    """

    endpoint_id: str
    zone: str
    address: str
    kind: str
    models: tuple[str, ...]
    incarnation: int
    draining: bool
    fencing: bool
    load: Load
    expires_at: float
