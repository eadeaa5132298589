"""Interface of a host that the operator service uses."""

import dataclasses
import typing

from rhubarbreach import codes
from rhubarbreach.orders import model as orders_model
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import config as state_config

__all__ = [
    'EndpointStatus',
    'GroupStatus',
    'HostStatus',
    'JobStatus',
    'MEMBER_ACTIONS',
    'Provider',
    'RateStatus',
]

MEMBER_ACTIONS = ('add', 'promote', 'remove', 'transfer')

frozen = dataclasses.dataclass(frozen=True, slots=True)
OrderAction = (
    orders_model.LoadModel | orders_model.UnloadModel | orders_model.SetRole
)


@frozen
class HostStatus:
    """State of a host; `revision` is -1 if this host does not know it."""

    host_id: str
    region: str
    zone: str
    address: str
    roles: tuple[str, ...]
    status: str
    revision: int = -1


@frozen
class EndpointStatus:
    """State of an endpoint according to its announcements."""

    endpoint_id: str
    zone: str
    address: str
    kind: str
    models: tuple[str, ...]
    draining: bool
    running: int
    waiting: int
    slots: int
    evacuated: bool = False


@frozen
class GroupStatus:
    """State of a replicated log group as seen by the local replica."""

    group_id: str
    leader_id: str
    term: int
    applied_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


@frozen
class RateStatus:
    """Configured and recent rates of an account in requests/s."""

    account_id: str
    rate: float
    burst: float
    admitted: float
    refused: float
    owner_id: str


@frozen
class JobStatus:
    """Progress of a job in items."""

    job_id: str
    account_id: str
    status: str
    items: int
    completed: int
    failed: int


class Provider(typing.Protocol):
    """Queries and actions of operators on the host and the fleet.

    Each method may block until the deadline, in seconds of the monotonic
    clock, and returns a `Refusal` if it cannot fulfil the request. Actions
    must be idempotent: one whose reply was lost is repeated with the same
    operation id.
    """

    def propose(
        self, command: bytes, deadline: float
    ) -> bytes | codes.Refusal:
        """Commit a command of the configuration group."""

    def read_config(
        self, deadline: float
    ) -> state_config.Config | codes.Refusal:
        """Return the configuration by a linearizable read."""

    def wait_in_effect(
        self, revision: int, account_id: str, deadline: float
    ) -> tuple[configmessages.PendingHost, ...] | codes.Refusal:
        """Wait for a revision; return the hosts still without it."""

    def list_hosts(
        self, deadline: float
    ) -> tuple[HostStatus, ...] | codes.Refusal:
        """Return the hosts of the fleet."""

    def list_endpoints(
        self, deadline: float
    ) -> tuple[EndpointStatus, ...] | codes.Refusal:
        """Return the endpoints that this host knows."""

    def list_zones(self, deadline: float) -> set[str] | codes.Refusal:
        """Return the known availability zones."""

    def list_groups(
        self, deadline: float
    ) -> tuple[GroupStatus, ...] | codes.Refusal:
        """Return the replicated log groups of this host."""

    def list_rates(
        self, account_id: str, deadline: float
    ) -> tuple[RateStatus, ...] | codes.Refusal:
        """Return the rate of one account, or of all for an empty id."""

    def list_jobs(
        self, account_id: str, deadline: float
    ) -> tuple[JobStatus, ...] | codes.Refusal:
        """Return the jobs of one account, or of all for an empty id."""

    def change_member(
        self,
        group_id: str,
        host_id: str,
        action: str,
        operation_id: str,
        deadline: float,
    ) -> codes.Refusal | None:
        """Apply one of `MEMBER_ACTIONS` to a group, or to all if no id."""

    def drain_host(
        self, host_id: str, operation_id: str, deadline: float
    ) -> codes.Refusal | None:
        """Start the drain of a host."""

    def set_log_level(
        self, host_id: str, level: str, operation_id: str, deadline: float
    ) -> codes.Refusal | None:
        """Set the log level of a host until its next start."""

    def cancel_job(
        self, job_id: str, operation_id: str, deadline: float
    ) -> codes.Refusal | None:
        """Cancel a job; none of its items is dispatched afterwards."""

    def order_endpoint(
        self,
        endpoint_id: str,
        action: OrderAction,
        operation_id: str,
        deadline: float,
    ) -> codes.Refusal | None:
        """Send an order to an endpoint."""
