"""Decision on changes of the set of hosts that hold rate shares."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.limits import holder
from rhubarbreach.state import model

__all__ = ['HostState', 'propose_share_set']

# Seconds for which a host has to be alive or lost before the set changes. A
# restart takes less time and does not change the set.
STABLE_PERIOD_SECONDS = 5.0
# Least seconds between two changes, so that each takes effect before the next.
CHANGE_PERIOD_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """State of an entry host as the configuration group's leader sees it.

    Parameters
    ----------
    host_id : str
        Entry host.
    alive : bool
        Whether the host is alive and not draining.
    since : float
        Monotonic time in seconds at which `alive` last changed.
    serves_until : float
        Monotonic time in seconds at which the configuration validity of the
        host ends. Until then it may serve requests that carry a key under an
        old configuration.
    """

    host_id: str
    alive: bool
    since: float
    serves_until: float


def propose_share_set(config, states, changed_at, converged, now):
    """Return the change of the share set that is due, or None.

    A host leaves the set only when its share can no longer be spent, neither
    by the host itself nor by an owner under a lease. The share is unused
    until then.

    Parameters
    ----------
    config : Config
        Committed configuration.
    states : iterable of HostState
        All known entry hosts, including lost ones.
    changed_at : float
        Monotonic time in seconds at which the set last changed or the leader
        was elected.
    converged : bool
        Whether each host of the set has applied the current set or no longer
        serves requests that carry a key.
    now : float
        Monotonic time in seconds.

    Returns
    -------
    SetShareSet or None
        Command to propose to the configuration group.
    """
    is_first = not config.share_hosts
    if not is_first and (
        now < changed_at + CHANGE_PERIOD_SECONDS or not converged
    ):
        return None
    by_id = {state.host_id: state for state in states}
    remaining = [
        host_id
        for host_id in config.share_hosts
        if not may_leave(by_id.get(host_id), now)
    ]
    joining = [
        state.host_id
        for state in by_id.values()
        if state.alive
        and state.host_id not in config.share_hosts
        and (is_first or now >= state.since + STABLE_PERIOD_SECONDS)
    ]
    hosts = tuple(sorted({*remaining, *joining}))
    if not hosts or hosts == tuple(sorted(config.share_hosts)):
        return None
    return model.SetShareSet(config.share_epoch, hosts)


def may_leave(state, now):
    """Return whether a host is lost and its share cannot be spent."""
    if state is None or state.alive:
        # The leader keeps a host whose state it does not know yet.
        return False
    lease_duration = holder.LEASE_DURATION_SECONDS * (1 + clock.MAX_DRIFT)
    leave_at = max(
        state.since + STABLE_PERIOD_SECONDS,
        state.serves_until + lease_duration,
    )
    return now >= leave_at
