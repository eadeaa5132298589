"""Deployments that the demo and the benchmarks start."""

import dataclasses

__all__ = [
    'AccountPlan',
    'CUTDESK',
    'EndpointPlan',
    'FleetPlan',
    'HostPlan',
    'TURNO_PATIO',
]


@dataclasses.dataclass(frozen=True, slots=True)
class HostPlan:
    """A host; `store` is True for a store host, which has a disk."""

    host_id: str
    zone: str
    store: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointPlan:
    """An emulated endpoint; `kind` is `engine` or `service`."""

    endpoint_id: str
    zone: str
    kind: str = 'engine'


@dataclasses.dataclass(frozen=True, slots=True)
class AccountPlan:
    """A client account.

    Parameters
    ----------
    account_id : str
        Client account.
    rate : float
        Requests per second.
    burst : float
        Capacity of the token bucket in requests.
    weight : float
        Weight of fair sharing.
    stale_key_bound : float
        Seconds for which a partitioned host may continue to accept the
        account's keys.
    """

    account_id: str
    rate: float
    burst: float
    weight: float = 1.0
    stale_key_bound: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetPlan:
    """A deployment.

    Parameters
    ----------
    name, region, model_id : str
        Names used in the settings.
    hosts, endpoints, accounts : tuple
        Hosts, endpoints and client accounts of the deployment.
    zone_delay : float
        One-way delay between zones in seconds.
    slots : int
        Requests that an engine runs in one batch.
    """

    name: str
    region: str
    model_id: str
    hosts: tuple[HostPlan, ...]
    endpoints: tuple[EndpointPlan, ...]
    accounts: tuple[AccountPlan, ...]
    zone_delay: float
    slots: int = 16


def make_endpoints(zones, count):
    """Return engines distributed over zones, and one service endpoint."""
    engines = tuple(
        EndpointPlan(f'engine-{number + 1}', zones[number % len(zones)])
        for number in range(count)
    )
    return (*engines, EndpointPlan('service-1', zones[0], 'service'))


ACCOUNTS = (
    AccountPlan('state-network', 40.0, 60.0, 3.0),
    AccountPlan('city-network', 24.0, 40.0, 2.0),
    AccountPlan('school-1', 6.0, 12.0),
    AccountPlan('school-2', 6.0, 12.0),
    AccountPlan('school-3', 6.0, 12.0),
    AccountPlan('school-4', 6.0, 12.0),
    AccountPlan('school-5', 6.0, 12.0),
    AccountPlan('school-6', 6.0, 12.0),
)

TURNO_ZONES = ('mx-centro-a', 'mx-centro-b', 'mx-centro-c')
TURNO_PATIO = FleetPlan(
    name='turno-patio',
    region='mx-centro',
    model_id='rota',
    hosts=(
        HostPlan('host-1', TURNO_ZONES[0], True),
        HostPlan('host-2', TURNO_ZONES[1], True),
        HostPlan('host-3', TURNO_ZONES[2], True),
        HostPlan('host-4', TURNO_ZONES[0], False),
        HostPlan('host-5', TURNO_ZONES[1], False),
    ),
    endpoints=make_endpoints(TURNO_ZONES, 6),
    accounts=ACCOUNTS,
    zone_delay=0.0015,
)

CUTDESK_ZONES = (
    'amman-north-a',
    'amman-north-b',
    'amman-north-c',
    'amman-north-d',
)
CUTDESK = FleetPlan(
    name='cutdesk',
    region='amman-north',
    model_id='assistant',
    hosts=(
        HostPlan('host-1', CUTDESK_ZONES[0], True),
        HostPlan('host-2', CUTDESK_ZONES[1], True),
        HostPlan('host-3', CUTDESK_ZONES[2], True),
        HostPlan('host-4', CUTDESK_ZONES[3], False),
    ),
    endpoints=make_endpoints(CUTDESK_ZONES, 6),
    accounts=ACCOUNTS,
    zone_delay=0.001,
)
