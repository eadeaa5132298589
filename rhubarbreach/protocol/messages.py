"""Messages between hosts, as frozen data classes.

Each message belongs to one package, which registers its handler. Times in
messages are durations in seconds, because monotonic clocks of two hosts
cannot be compared; the receiver turns them into deadlines at once.
"""

import dataclasses

from rhubarbreach import codes

__all__ = [
    'AppendEntries',
    'AppendReply',
    'CancelAttempts',
    'ClusterCommand',
    'ClusterReply',
    'ConfigFetch',
    'ConfigPart',
    'ConfigReply',
    'ConfigWatch',
    'EffectQuery',
    'EffectReply',
    'EndpointBatch',
    'EndpointRow',
    'GrantReply',
    'GrantRequest',
    'HostOrder',
    'HostOrderReply',
    'HostLag',
    'HostRow',
    'HostTable',
    'InstallReply',
    'InstallSnapshot',
    'LogEntry',
    'PendingHost',
    'Member',
    'Probe',
    'ProbeReply',
    'ProbeRequest',
    'ReadIndexReply',
    'ReadIndexRequest',
    'ServiceCounter',
    'ServiceCounters',
    'ShareLease',
    'ShareLeaseReply',
    'SlotReply',
    'SlotRequest',
    'SlotUse',
    'StoreHello',
    'StoreQuery',
    'StrikeReport',
    'TransferLeadership',
    'VoteReply',
    'VoteRequest',
    'frozen_message',
]

REGISTRY = {}


def frozen_message(cls):
    """Make a class a frozen data class and register it for the codec."""
    cls = dataclasses.dataclass(frozen=True, slots=True)(cls)
    REGISTRY[cls.__name__] = cls
    return cls


# Replicated log: package consensus.


@frozen_message
class LogEntry:
    """One entry of a replicated log; `kind` is command, config or noop."""

    index: int
    term: int
    kind: str
    data: bytes


@frozen_message
class VoteRequest:
    """Ask for a vote, or with `pre_vote` whether a vote would be given."""

    group_id: str
    term: int
    candidate_id: str
    store_id: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False


@frozen_message
class VoteReply:
    """Answer to a `VoteRequest`."""

    group_id: str
    term: int
    granted: bool
    pre_vote: bool
    store_id: str


@frozen_message
class AppendEntries:
    """Replicate entries; without entries it is the leader's heartbeat."""

    group_id: str
    term: int
    leader_id: str
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int
    round_id: int


@frozen_message
class AppendReply:
    """Answer to `AppendEntries`; `match_index` is synced on the sender."""

    group_id: str
    term: int
    success: bool
    match_index: int
    round_id: int
    store_id: str


@frozen_message
class InstallSnapshot:
    """One chunk of a snapshot for a replica that is too far behind."""

    group_id: str
    term: int
    leader_id: str
    last_index: int
    last_term: int
    members: bytes
    offset: int
    data: bytes
    done: bool
    round_id: int = 0


@frozen_message
class InstallReply:
    """Answer to `InstallSnapshot`; `offset` is the next byte wanted."""

    group_id: str
    term: int
    offset: int
    done: bool
    store_id: str
    round_id: int = 0


@frozen_message
class TransferLeadership:
    """Tell a replica to start an election at once."""

    group_id: str
    term: int


@frozen_message
class ClusterCommand:
    """Forward a command for a group to a store host.

    `read` asks for a read at the leader: `command` is then a query.
    """

    group_id: str
    command: bytes
    timeout: float
    read: bool = False


@frozen_message
class ClusterReply:
    """Answer to `ClusterCommand`: a result or a refusal."""

    result: bytes | None
    refusal: codes.Refusal | None = None
    leader_id: str | None = None


# Configuration distribution: package distribution.


@frozen_message
class HostLag:
    """A host below a relay: the revision it stated and what it was granted.

    `seconds` is what is left of its validity, negative when it has passed.
    An empty `host_id` stands for several hosts.
    """

    host_id: str
    incarnation: int
    revision: int
    seconds: float


@frozen_message
class ConfigWatch:
    """Long poll for changes after `revision`, which is in effect here.

    With `timeout` 0 the answer comes at once. A relay counts the hosts that
    it vouches for in `downstream` and lists them in `below`.
    """

    host_id: str
    incarnation: int
    revision: int
    timeout: float
    downstream: int = 0
    below: tuple[HostLag, ...] = ()


@frozen_message
class ConfigReply:
    """Changes after the polled revision and the validity in seconds.

    `snapshot` is empty, not None, when the changes are no longer kept; the
    host then gets the whole configuration by `ConfigFetch`. `validity`
    counts from the moment the poll was sent; 0 means that the upstream
    cannot vouch for its own view, or that more changes follow.
    """

    revision: int
    changes: tuple[bytes, ...]
    snapshot: bytes | None
    validity: float


# Membership: package membership.


@frozen_message
class HostRow:
    """State of one host as spread by probes."""

    host_id: str
    address: str
    zone: str
    region: str
    roles: tuple[str, ...]
    incarnation: int
    status: str
    http_address: str = ''


@frozen_message
class Probe:
    """Ask whether a host is alive; carries recent changes of rows."""

    sequence: int
    rows: tuple[HostRow, ...]


@frozen_message
class ProbeReply:
    """Answer to `Probe`."""

    sequence: int
    rows: tuple[HostRow, ...]


@frozen_message
class ProbeRequest:
    """Ask another host to probe `target_id` on behalf of the sender."""

    sequence: int
    target_id: str
    rows: tuple[HostRow, ...]


@frozen_message
class EndpointRow:
    """State of one endpoint as announced; `age` in seconds."""

    endpoint_id: str
    address: str
    zone: str
    kind: str
    models: tuple[str, ...]
    incarnation: int
    sequence: int
    draining: bool
    fencing: bool
    running: int
    waiting: int
    slots: int
    kv_used: float
    age: float


@frozen_message
class EndpointBatch:
    """Announcements received by one host since its last batch.

    `relay` asks the receiver to pass the rows on inside its zone.
    """

    rows: tuple[EndpointRow, ...]
    relay: bool


# Rates: package limits.


@frozen_message
class ShareLease:
    """Lease the sender's rate shares to the receiver.

    The lease lasts until `echo`, a time of the receiver's clock from its
    last reply, plus `duration` s; a late message thus cannot lengthen it.
    `duration` 0 releases the shares at once. The lease is for the accounts
    that belong to the receiver among `owners`, but for those that belonged
    to one of `held` among `previous`, where an old lease has not ended.
    """

    share_epoch: int
    share_count: int
    duration: float
    number: int = 0
    echo: float = 0.0
    owners: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    held: tuple[str, ...] = ()


@frozen_message
class ShareLeaseReply:
    """Whether the owner accepted the lease; `stamp` is its clock in s."""

    accepted: bool
    share_epoch: int
    stamp: float = 0.0


@frozen_message
class GrantRequest:
    """Ask the owner for tokens of one client account.

    `served` is the measured cost served for the account since the last
    request, for fair sharing across the fleet. `unit` is the largest cost
    of a waiting request, `extra` what is expected to be needed soon, and
    `finished` lists the grants that were spent.
    """

    account_id: str
    wanted: float
    served: float
    unit: float = 0.0
    extra: float = 0.0
    finished: tuple[int, ...] = ()


@frozen_message
class GrantReply:
    """Tokens granted for `duration` s; `retry_after` s when none are left."""

    granted: float
    duration: float
    retry_after: float
    grant_id: int = 0


# Endpoint concurrency: package limits.


@frozen_message
class SlotUse:
    """Slots of one endpoint that a host uses and wants.

    `batch_weight` is the weight of the accounts whose batch work waits on
    the host. `alone` asks for the whole endpoint, for a crash suspect.
    """

    endpoint_id: str
    online_running: int
    online_waiting: int
    batch_running: int
    batch_waiting: int
    first_token: float
    inter_token: float
    batch_weight: float = 1.0
    alone: bool = False


@frozen_message
class SlotRequest:
    """Demand of one host, to the home host of the endpoints."""

    uses: tuple[SlotUse, ...]


@frozen_message
class SlotReply:
    """Slots leased to the host, in the order of the request's uses.

    `alone` tells for each use whether nothing else runs on the endpoint,
    `others` how many requests of other hosts run there.
    """

    online: tuple[int, ...]
    batch: tuple[int, ...]
    duration: float
    alone: tuple[bool, ...] = ()
    others: tuple[int, ...] = ()


# Scheduling, suspects and cancellation.


@frozen_message
class ServiceCounter:
    """Total cost served by one host for one client account."""

    account_id: str
    served: float
    lane: str = 'batch'


@frozen_message
class ServiceCounters:
    """Counters that changed since the last message of the sender."""

    counters: tuple[ServiceCounter, ...]


@frozen_message
class StrikeReport:
    """A request digest that was running when an endpoint died.

    `alone` tells that no other request ran there.
    """

    digest: bytes
    endpoint_id: str
    endpoint_incarnation: int
    alone: bool


@frozen_message
class CancelAttempts:
    """Cancel what runs for a job on the receiving host."""

    job_id: str


# Whole configurations and where a revision is in effect: distribution.


@frozen_message
class ConfigFetch:
    """Ask for a part of the snapshot at `revision`; 0 for any revision."""

    revision: int
    offset: int


@frozen_message
class ConfigPart:
    """Part of a snapshot of `total` bytes; another revision starts anew."""

    revision: int
    offset: int
    total: int
    data: bytes


@frozen_message
class PendingHost:
    """A host that may use an older revision for at most `seconds` more."""

    host_id: str
    seconds: float


@frozen_message
class EffectQuery:
    """Ask the leader to wait until a revision is in effect everywhere.

    `account_id` is the account that the change concerns, empty for none.
    """

    revision: int
    account_id: str
    timeout: float


# Replicated log: store identities and reads.


@frozen_message
class Member:
    """A store of a group; `replaces` marks one that follows a lost store.

    A learner that replaces a lost voter is promoted by the leader without
    a further request.
    """

    host_id: str
    store_id: str
    voter: bool
    replaces: bool = False


@frozen_message
class StoreHello:
    """Identity of the sender's store and the members it knows.

    `formed` tells that the sender has seen the same `members` from all
    initial voters, or has joined the group.
    """

    group_id: str
    store_id: str
    formed: bool
    members: tuple[Member, ...]
    term: int = 0
    leader_id: str | None = None


@frozen_message
class StoreQuery:
    """Ask for a `StoreHello`."""

    group_id: str


@frozen_message
class ReadIndexRequest:
    """Ask the leader for the index that a read has to wait for."""

    group_id: str
    timeout: float


@frozen_message
class EffectReply:
    """Hosts on which the revision is not in effect yet.

    `known` is False when the receiver is not the leader.
    """

    known: bool
    pending: tuple[PendingHost, ...]


@frozen_message
class HostTable:
    """Part of the table of hosts; `wanted` asks for the receiver's table."""

    rows: tuple[HostRow, ...]
    wanted: bool


@frozen_message
class ReadIndexReply:
    """Index that was committed when the read began, or a refusal."""

    index: int
    refusal: codes.Refusal | None = None


# Orders of operators to a host: package daemon.


@frozen_message
class HostOrder:
    """Order to a host: `drain`, or `log_level` with a value."""

    order: str
    value: str


@frozen_message
class HostOrderReply:
    """Whether the order was carried out."""

    refusal: codes.Refusal | None
