"""Messages of the configuration distribution."""

from rhubarbreach.protocol import messages

__all__ = [
    'ConfigFetch',
    'ConfigPart',
    'ConfigReply',
    'ConfigWatch',
    'EffectQuery',
    'EffectReply',
    'HostLag',
    'PendingHost',
]


@messages.frozen_message
class HostLag:
    """Revision and remaining validity of a host that polls a relay.

    `revision` is the one that the host reported. `seconds` is the validity
    that it has left; it is negative after the validity has ended. An empty
    `host_id` stands for several hosts.
    """

    host_id: str
    incarnation: int
    revision: int
    seconds: float


@messages.frozen_message
class ConfigWatch:
    """Long poll for changes after `revision`, which the sender uses.

    `timeout` is in seconds; with 0 the reply is sent immediately.
    `downstream` is the number of hosts that may still use a grant of a relay,
    and `below` lists them.
    """

    host_id: str
    incarnation: int
    revision: int
    timeout: float
    downstream: int = 0
    below: tuple[HostLag, ...] = ()


@messages.frozen_message
class ConfigReply:
    """Changes after the polled revision and the validity in seconds.

    `snapshot` is empty, not None, when the changes are no longer kept; the
    host then requests the whole configuration with `ConfigFetch`.
    `validity` counts from the time at which the poll was sent. It is 0 when
    the upstream's own view is not valid or when more changes follow.
    """

    revision: int
    changes: tuple[bytes, ...]
    snapshot: bytes | None
    validity: float


@messages.frozen_message
class ConfigFetch:
    """Request for a part of a snapshot; `revision` 0 stands for any."""

    revision: int
    offset: int


@messages.frozen_message
class ConfigPart:
    """Part of a snapshot of `total` bytes.

    If `revision` is not the requested one, the fetch starts again.
    """

    revision: int
    offset: int
    total: int
    data: bytes


@messages.frozen_message
class PendingHost:
    """Host that may use an older revision for at most `seconds` more."""

    host_id: str
    seconds: float


@messages.frozen_message
class EffectQuery:
    """Request to the leader to wait until all hosts use a revision.

    `account_id` is the account that the change concerns, empty for none.
    `timeout` is in seconds.
    """

    revision: int
    account_id: str
    timeout: float


@messages.frozen_message
class EffectReply:
    """Hosts on which the revision is not in effect yet.

    `known` is False if the sender of this reply does not lead or cannot
    confirm the answer yet.
    """

    known: bool
    pending: tuple[PendingHost, ...]
