"""Data classes of the configuration and of its changes."""

import dataclasses

import msgspec

from rhubarbreach import codes
from rhubarbreach.protocol import tagged

__all__ = [
    'Account',
    'CHANGES',
    'ChangeRequest',
    'ChangeResult',
    'Config',
    'EndEvacuation',
    'Key',
    'LongestBound',
    'Model',
    'OrderLease',
    'PutAccount',
    'PutKey',
    'PutModel',
    'PutRoute',
    'RemoveAccount',
    'RemoveModel',
    'RemoveRoute',
    'RevokeKey',
    'Route',
    'SetShareSet',
    'StartEvacuation',
    'TakeOrderLease',
    'decode_result',
    'encode_request',
    'encode_result',
]

DEFAULT_STALE_KEY_BOUND_SECONDS = 2.0
MAX_STALE_KEY_BOUND_SECONDS = 3600.0
ROUTE_KINDS = ('engine', 'service')
RECORD_MODES = ('keyed', 'all')

frozen = dataclasses.dataclass(frozen=True, slots=True)


@frozen
class Account:
    """A client account.

    Parameters
    ----------
    account_id : str
        Name of the account.
    rate : float
        Requests per second over all hosts.
    burst : float
        Requests that may be sent at once after an idle period.
    weight : float
        Share of the fleet relative to other accounts.
    stale_key_bound : float
        Seconds for which a partitioned host may continue to accept the
        account's keys.
    """

    account_id: str
    rate: float
    burst: float
    weight: float = 1.0
    stale_key_bound: float = DEFAULT_STALE_KEY_BOUND_SECONDS


@frozen
class Key:
    """An API key of a client account; only its SHA-256 digest is stored.

    `revision` is the configuration revision that added the key. It is set
    when the change is applied.
    """

    key_id: str
    account_id: str
    digest: bytes
    revoked: bool = False
    revision: int = 0


@frozen
class Model:
    """A model that endpoints serve.

    Parameters
    ----------
    model_id : str
        Name that callers use.
    version : str
        Version that endpoints should hold.
    weight_bytes : int
        Size of the weights.
    min_replicas, max_replicas : int
        Bounds for scaling; if both are 0, the model is not scaled.
    """

    model_id: str
    version: str = ''
    weight_bytes: int = 0
    min_replicas: int = 0
    max_replicas: int = 0


@frozen
class Route:
    """A path that callers may use.

    Parameters
    ----------
    route_id : str
        Name of the route.
    path : str
        HTTP path; for service routes the path prefix.
    kind : str
        `engine` or `service`.
    target : str
        For service routes the model name that the endpoints announce;
        empty for engine routes, where the request body names the model.
    open : bool
        Whether no key is needed.
    idempotent : bool
        Whether a call may be repeated.
    record : str
        `keyed` records requests with an Idempotency-Key, `all` records
        every request. Calls that are not idempotent are always recorded.
    accounts : tuple of str
        Ids of the accounts that may use the route; empty for all.
    timeout : float
        Seconds within which a request must be answered.
    """

    route_id: str
    path: str
    kind: str = 'engine'
    target: str = ''
    open: bool = False
    idempotent: bool = True
    record: str = 'keyed'
    accounts: tuple[str, ...] = ()
    timeout: float = 60.0


@frozen
class OrderLease:
    """Lease of the host that may send orders to an endpoint.

    `epoch` is the fencing token; it grows each time the lease is taken.
    """

    endpoint_id: str
    holder_id: str
    epoch: int


@frozen
class LongestBound:
    """Longest `stale_key_bound` in seconds that an account has had."""

    account_id: str
    seconds: float


@frozen
class Config:
    """The whole configuration at one revision, as stored and sent.

    Each tuple is sorted by the id of its members. `state.config.Config`
    holds the same data with lookup tables.
    """

    revision: int = 0
    accounts: tuple[Account, ...] = ()
    keys: tuple[Key, ...] = ()
    models: tuple[Model, ...] = ()
    routes: tuple[Route, ...] = ()
    share_epoch: int = 0
    share_hosts: tuple[str, ...] = ()
    order_leases: tuple[OrderLease, ...] = ()
    longest_bounds: tuple[LongestBound, ...] = ()
    evacuated_zones: tuple[str, ...] = ()


@frozen
class PutAccount:
    """Change that adds or replaces an account."""

    account: Account


@frozen
class RemoveAccount:
    """Change that removes an account and its keys."""

    account_id: str


@frozen
class PutKey:
    """Change that adds a key to an account."""

    key: Key


@frozen
class RevokeKey:
    """Change that revokes a key permanently."""

    key_id: str


@frozen
class PutModel:
    """Change that adds or replaces a model."""

    model: Model


@frozen
class RemoveModel:
    """Change that removes a model."""

    model_id: str


@frozen
class PutRoute:
    """Change that adds or replaces a route."""

    route: Route


@frozen
class RemoveRoute:
    """Change that removes a route."""

    route_id: str


@frozen
class SetShareSet:
    """Change that replaces the share set, the hosts that hold rate shares.

    It is refused unless `expected_epoch` is the current share epoch.
    """

    expected_epoch: int
    hosts: tuple[str, ...]


@frozen
class TakeOrderLease:
    """Change that takes the order lease of an endpoint.

    It is refused unless `expected_epoch` is the epoch of the current lease.
    """

    endpoint_id: str
    holder_id: str
    expected_epoch: int


@frozen
class StartEvacuation:
    """Change that evacuates an availability zone.

    Nothing is sent to its endpoints then.
    """

    zone: str


@frozen
class EndEvacuation:
    """Change that ends the evacuation of an availability zone."""

    zone: str


CHANGES = tagged.TaggedUnion(
    PutAccount,
    RemoveAccount,
    PutKey,
    RevokeKey,
    PutModel,
    RemoveModel,
    PutRoute,
    RemoveRoute,
    SetShareSet,
    TakeOrderLease,
    StartEvacuation,
    EndEvacuation,
)


@frozen
class ChangeRequest:
    """A change as proposed to the configuration group.

    Parameters
    ----------
    operation_id : str
        Id chosen by the sender; a repeated id gets the first result again.
    expected_revision : int or None
        Revision that must be the current one, None for any.
    change : bytes
        One of `CHANGES`, encoded.
    """

    operation_id: str
    expected_revision: int | None
    change: bytes


@frozen
class ChangeResult:
    """Outcome of a change.

    Parameters
    ----------
    code : ResultCode
        OK, REVISION_CONFLICT, INVALID_CHANGE or IDEMPOTENCY_CONFLICT.
    revision : int
        Revision that the change made if OK, else the current revision.
    reason : str
        Why the change was refused, empty if OK.
    """

    code: codes.ResultCode
    revision: int
    reason: str = ''


ENCODER = msgspec.msgpack.Encoder()
REQUEST_DECODER = msgspec.msgpack.Decoder(ChangeRequest)
RESULT_DECODER = msgspec.msgpack.Decoder(ChangeResult)


def encode_request(operation_id, expected_revision, change):
    """Encode the command that proposes a change.

    Parameters
    ----------
    operation_id : str
        Id that each resend of the change repeats.
    expected_revision : int or None
        Revision that must be the current one, None for any.
    change : object
        One of `CHANGES`.

    Returns
    -------
    bytes
        Command for the configuration group.
    """
    return ENCODER.encode(
        ChangeRequest(operation_id, expected_revision, CHANGES.encode(change))
    )


def encode_result(result):
    """Encode a `ChangeResult` as MessagePack."""
    return ENCODER.encode(result)


def decode_result(data):
    """Decode the `ChangeResult` that `ConfigMachine.apply` returned."""
    return RESULT_DECODER.decode(data)
