"""What the operator service needs from the host that it runs on."""

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
    """State of a host; `revision` -1 when it is not known here."""

    host_id: str
    region: str
    zone: str
    address: str
    roles: tuple[str, ...]
    status: str
    revision: int = -1


@frozen
class EndpointStatus:
    """State of an endpoint as announced."""

    endpoint_id: str
    zone: str
    address: str
    kind: str
    models: tuple[str, ...]
    draining: bool
    running: int
    waiting: int
    slots: int


@frozen
class GroupStatus:
    """State of a replicated log group as seen by its replica here."""

    group_id: str
    leader_id: str
    term: int
    applied_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


@frozen
class RateStatus:
    """Rate of an account: configured, and in requests/s of late."""

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
    """Parts of the host and the fleet that operators ask about or change.

    Each function may block until the deadline, in seconds of the monotonic
    clock, and returns a `Refusal` for what cannot be done. Actions are
    repeated with the same operation id after a lost answer and then must do
    no harm.
    """

    def propose(
        self, command: bytes, deadline: float
    ) -> bytes | codes.Refusal:
        """Commit a command of the configuration group."""

    def read_config(
        self, deadline: float
    ) -> state_config.Config | codes.Refusal:
        """Return the configuration with all changes accepted before."""

    def wait_in_effect(
        self, revision: int, account_id: str, deadline: float
    ) -> tuple[configmessages.PendingHost, ...] | codes.Refusal:
        """Wait for a revision; return where it is not in effect yet."""

    def list_hosts(
        self, deadline: float
    ) -> tuple[HostStatus, ...] | codes.Refusal:
        """Return the hosts of the fleet."""

    def list_endpoints(
        self, deadline: float
    ) -> tuple[EndpointStatus, ...] | codes.Refusal:
        """Return the endpoints that are known here."""

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
        """Carry out one of `MEMBER_ACTIONS` on a group; empty id: all."""

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
        """Cancel a job; nothing of it is dispatched afterwards."""

    def order_endpoint(
        self,
        endpoint_id: str,
        action: OrderAction,
        operation_id: str,
        deadline: float,
    ) -> codes.Refusal | None:
        """Give an order to an endpoint."""
