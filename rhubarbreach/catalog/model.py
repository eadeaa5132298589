"""Data classes of a whole configuration."""

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
    """What may be repeated of the requests of a route."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'
    STREAM = 'stream'
    BATCH = 'batch'


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service and its share of the requests of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route; times are in seconds.

    Parameters
    ----------
    name, host, path_prefix : str
        Name and the place that selects it.
    kind : RouteKind
        What may be repeated.
    timeout : float
        Longest time that a request is kept waiting.
    objective : float
        Latency objective: to the first event of a stream, to the acceptance
        of a batch job.
    priority : int
        Rank, 0 is the highest.
    targets : tuple of Target
        Services that may run its requests.
    max_attempts : int
        Endpoints to which one request may be sent; runs of a batch item.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another endpoint.
    completion : float
        Seconds after its submission at which a batch job is due.
    retention : float
        Seconds after which an item of a batch job may be given up.
    waiting_tokens : int
        Tokens of one account's batch items that may wait, 0 for no limit.
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

    @property
    def is_repeatable(self):
        """Whether a request may run more than once, or be resumed."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service whose endpoints run requests."""

    name: str
    max_connections: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account; `rate` is in requests a second, 0 for no limit."""

    name: str
    keys: tuple[str, ...]
    rate: float = 0.0
    burst: float = 0.0
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller sends; times are in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float


# In force until the first configuration is known.
DEFAULT_LIMITS = CallerLimits(16 * 1024, 4 * 1024 * 1024, 3.0, 15.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """A whole configuration under its version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    accounts: tuple[Account, ...] = ()
    limits: CallerLimits = DEFAULT_LIMITS
    has_accounts: bool = False
