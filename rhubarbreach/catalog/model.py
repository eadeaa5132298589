"""Data classes of a configuration."""

import dataclasses
import enum

__all__ = [
    'Account',
    'CallerLimits',
    'Catalog',
    'DEFAULT_LIMITS',
    'Route',
    'RouteKind',
    'Service',
    'Target',
]


class RouteKind(enum.Enum):
    """Kind of the requests of a route, which decides about retries.

    Requests of kind `IDEMPOTENT` may run more than once, those of kind
    `ONCE` may not. A `STREAM` may be resumed if its route is resumable.
    `BATCH` requests are batch jobs.
    """

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service and its relative weight within a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Route of requests to services. Times are in seconds.

    Parameters
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that take the route.
    kind : RouteKind
        Kind of the requests.
    timeout : float
        Maximum time that a request may wait.
    objective : float
        Latency objective: time to the first event of a stream, or to the
        acceptance of a batch job.
    priority : int
        Priority, 0 is the highest.
    targets : tuple of Target
        Services that may run the requests.
    max_attempts : int
        Maximum number of endpoints to which one request is sent, or of runs
        of a batch item.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another endpoint.
    completion : float
        Time after its submission at which a batch job is due.
    retention : float
        Time after which an item of a batch job may be abandoned.
    waiting_tokens : int
        Maximum number of waiting tokens in batch items of one account, 0 for
        no limit.
    longest_pause : float
        Longest pause between two events with which a stream is in time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    objective: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    completion: float = 0.0
    retention: float = 0.0
    waiting_tokens: int = 0
    longest_pause: float = 0.0

    @property
    def is_repeatable(self):
        """Whether a request may run more than once or be resumed."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Service whose endpoints run requests.

    `capacity_tokens` is the memory of an endpoint for the tokens of the
    requests that it holds, 0 if unknown.
    An endpoint is cold for `cold_start` seconds after its start and is meant
    to get `cold_rate` requests a second then, 0 for no limit.
    """

    name: str
    max_connections: int
    slots: int
    capacity_tokens: int = 0
    cold_start: float = 0.0
    cold_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """Client account.

    `rate` is in requests per second, 0 for no limit.
    """

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers. Times are in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


# Limits in force until the first configuration is received.
DEFAULT_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.0, 15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """Complete configuration under its version.

    `has_accounts` is False if the configuration defines no client accounts;
    requests then need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: CallerLimits = DEFAULT_LIMITS
    has_accounts: bool = False
