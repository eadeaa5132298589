"""Frozen data classes of the settings of one host."""

import dataclasses

from rhubarbreach.protocol import tls

__all__ = [
    'DataSettings',
    'DebugSettings',
    'HostSettings',
    'JobSettings',
    'LogSettings',
    'PolicySettings',
    'RequestSettings',
    'Settings',
    'StoreSettings',
]


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity and addresses of the host; addresses are `IP:port`."""

    host_id: str
    region: str
    zone: str
    roles: tuple[str, ...]
    http: str
    link: str
    operators: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataSettings:
    """Data folder; empty for a host without a disk."""

    folder: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Replicated log groups.

    `initial` lists the host ids of the first voters of a new deployment.
    Times are in seconds.
    """

    initial: tuple[str, ...]
    job_groups: int
    heartbeat: float
    election_timeout: float
    snapshot_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSettings:
    """Bounds of the HTTP face; sizes in bytes, times in seconds."""

    max_body: int
    max_connections: int
    body_timeout: float
    default_timeout: float
    drain_timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class JobSettings:
    """Batch jobs; times in seconds."""

    max_items: int
    max_body: int
    claim_timeout: float
    claim_items: int
    retention: float


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Serving policy: `full`, or `baseline` for comparison."""

    mode: str
    baseline_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Level and file of the log; an empty file is standard error.

    `timeline` is the file of time line events, empty for none.
    """

    level: str
    file: str
    timeline: str


@dataclasses.dataclass(frozen=True, slots=True)
class DebugSettings:
    """Aids for tests; `faults` opens the path /debug/faults."""

    faults: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one host."""

    host: HostSettings
    data: DataSettings
    store: StoreSettings
    requests: RequestSettings
    jobs: JobSettings
    policy: PolicySettings
    log: LogSettings
    debug: DebugSettings
    tls: tls.TlsFiles | None
    peers: tuple[tuple[str, str], ...]
