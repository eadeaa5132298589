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
    """Identity and addresses of a host.

    `http`, `link` and `operators` are the addresses `IP:port` on which the
    host listens; `operators` is empty for none. Other hosts make up to
    `max_link_connections` connections to it.
    """

    host_id: str
    region: str
    zone: str
    roles: tuple[str, ...]
    http: str
    link: str
    operators: str
    max_link_connections: int = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class DataSettings:
    """Path of the data folder; empty for a host without a disk."""

    folder: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Settings of the replicated log groups.

    `initial` lists the host ids of the first voters of a new deployment,
    `heartbeat` and `election_timeout` are in seconds, and a snapshot is
    taken every `snapshot_entries` applied entries.
    """

    initial: tuple[str, ...]
    job_groups: int
    heartbeat: float
    election_timeout: float
    snapshot_entries: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSettings:
    """Limits of the HTTP interface; sizes in bytes, times in seconds."""

    max_body: int
    max_connections: int
    body_timeout: float
    default_timeout: float
    drain_timeout: float
    max_held: int = 384 << 20
    max_unread: int = 64 << 20


@dataclasses.dataclass(frozen=True, slots=True)
class JobSettings:
    """Settings of batch jobs; `max_body` in bytes, times in seconds."""

    max_items: int
    max_body: int
    claim_timeout: float
    claim_items: int
    retention: float


@dataclasses.dataclass(frozen=True, slots=True)
class PolicySettings:
    """Serving policy: `full`, or `baseline` to compare against.

    Under the baseline policy, `baseline_slots` limits the requests that the
    host has in flight at each endpoint.
    """

    mode: str
    baseline_slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log and the timeline.

    `file` is the path of the log, empty for standard error; `timeline` is
    the path of the timeline events, empty for none.
    """

    level: str
    file: str
    timeline: str


@dataclasses.dataclass(frozen=True, slots=True)
class DebugSettings:
    """Settings for tests; `faults` enables the path /debug/faults."""

    faults: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one host.

    `peers` holds pairs of host id and link address; `tls` is None if the
    link is not encrypted.
    """

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
