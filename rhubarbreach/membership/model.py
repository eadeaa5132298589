"""Data classes of hosts and endpoints."""

import dataclasses

__all__ = ['EndpointInfo', 'HostInfo', 'Load']


@dataclasses.dataclass(frozen=True, slots=True)
class HostInfo:
    """A live host.

    Parameters
    ----------
    host_id, region, zone : str
        Identity and location.
    address, http_address : str
        `IP:port` of the link and of the HTTP interface.
    roles : tuple of str
        Any of `entry`, `store` and `relay`.
    incarnation : int
        Number that grows with each start of the host.
    draining : bool
        Whether the host accepts no new work.
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
        Number of requests in the running batch and in the engine's queue.
    slots : int
        Maximum batch size of the engine, 0 if it does not report one.
    kv_used : float
        Used fraction of the KV cache.
    measured_at : float
        Monotonic seconds of this host.
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
        Models that it serves at present.
    incarnation : int
        Number that grows with each start of the endpoint.
    draining : bool
        Whether it accepts no new work.
    fencing : bool
        Whether it refuses orders with a stale fencing token.
    load : Load
        Last reported load.
    expires_at : float
        Monotonic deadline after which it counts as lost.
    software_version : str
        Version of its software; streams resume only at the same version.
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
    software_version: str = ''
