"""When to change the set of hosts that hold rate shares."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach.limits import holder
from rhubarbreach.state import model

__all__ = ['HostState', 'propose_share_set']

# Seconds for which a host has to be alive, or gone, before the set follows;
# a restart is shorter and changes nothing.
STABLE = 5.0
# Seconds between two changes, so that each has taken effect before.
CHANGE_PERIOD = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """What the leader of the configuration group knows of an entry host.

    Parameters
    ----------
    host_id : str
        Host.
    alive : bool
        Whether it is alive and does not drain.
    since : float
        When that last changed, in monotonic seconds.
    serves_until : float
        When its configuration validity ends, and with it the longest time
        for which it serves keys with an old configuration.
    """

    host_id: str
    alive: bool
    since: float
    serves_until: float


def propose_share_set(config, states, changed_at, settled, now):
    """Return a change of the share set that is due, or None.

    A host leaves only when it cannot spend its share any more, neither by
    itself nor through a lease to an owner. Its share lies unused until
    then.

    Parameters
    ----------
    config : Config
        Committed configuration.
    states : iterable of HostState
        All known entry hosts, those that are lost included.
    changed_at : float
        When the set last changed, or the leader was elected.
    settled : bool
        Whether all hosts of the set have the current set, or serve no
        keyed requests any more.
    now : float
        Monotonic seconds.

    Returns
    -------
    SetShareSet or None
        To be proposed to the configuration group.
    """
    first = not config.share_hosts
    if not first and (now < changed_at + CHANGE_PERIOD or not settled):
        return None
    by_id = {state.host_id: state for state in states}
    kept = [
        host_id
        for host_id in config.share_hosts
        if not may_leave(by_id.get(host_id), now)
    ]
    joining = [
        state.host_id
        for state in by_id.values()
        if state.alive
        and state.host_id not in config.share_hosts
        and (first or now >= state.since + STABLE)
    ]
    hosts = tuple(sorted({*kept, *joining}))
    if not hosts or hosts == tuple(sorted(config.share_hosts)):
        return None
    return model.SetShareSet(config.share_epoch, hosts)


def may_leave(state, now):
    """Return whether a host is gone and its share cannot be spent."""
    if state is None or state.alive:
        # The leader waits for a host it has heard nothing of yet.
        return False
    lease = holder.LEASE_DURATION * (1 + clock.MAX_DRIFT)
    ended = max(state.since + STABLE, state.serves_until + lease)
    return now >= ended
