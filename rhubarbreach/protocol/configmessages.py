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
    """A host below a relay: the revision it stated and what it was granted.

    `seconds` is what is left of its validity, negative when it has passed.
    An empty `host_id` stands for several hosts.
    """

    host_id: str
    incarnation: int
    revision: int
    seconds: float


@messages.frozen_message
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


@messages.frozen_message
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


@messages.frozen_message
class ConfigFetch:
    """Ask for a part of the snapshot at `revision`; 0 for any revision."""

    revision: int
    offset: int


@messages.frozen_message
class ConfigPart:
    """Part of a snapshot of `total` bytes; another revision starts anew."""

    revision: int
    offset: int
    total: int
    data: bytes


@messages.frozen_message
class PendingHost:
    """A host that may use an older revision for at most `seconds` more."""

    host_id: str
    seconds: float


@messages.frozen_message
class EffectQuery:
    """Ask the leader to wait until a revision is in effect everywhere.

    `account_id` is the account that the change concerns, empty for none.
    """

    revision: int
    account_id: str
    timeout: float


@messages.frozen_message
class EffectReply:
    """Hosts on which the revision is not in effect yet.

    `known` is False when the receiver is not the leader.
    """

    known: bool
    pending: tuple[PendingHost, ...]
