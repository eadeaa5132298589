"""Which change of the group's members is due, one safe step at a time."""

import dataclasses

__all__ = [
    'AddLearner',
    'HandOver',
    'Promote',
    'Remove',
    'Store',
    'count_voters',
    'plan_step',
]


# A new leader has to hear all stores before it takes one for lost, in seconds;
# they tell of themselves each 0.8 s and may be starting as well.
SETTLE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """A store host that is in touch with the leader, or was."""

    host_id: str
    availability_zone: str
    is_present: bool
    is_retiring: bool = False
    is_forgotten: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """Add a store that receives the log but does not vote."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Make a learner a voter."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Remove a member."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Hand leadership to another voter."""

    host_id: str


def count_voters(tolerated):
    """Return how many voters bear the loss of a number of stores."""
    return 2 * tolerated + 1


def plan_step(own_id, members, stores, voters, led, disk_full=False):
    """Return the next change, or None.

    Parameters
    ----------
    own_id : str
        The leader.
    members : tuple of Member
        Members of the group.
    stores : tuple of Store
        Stores that are known, members or not.
    voters : int
        Voters that the group should have.
    led : float
        Seconds since the leader began to lead.
    disk_full : bool
        Whether the leader's disk takes nothing more.

    Returns
    -------
    AddLearner, Promote, Remove, HandOver or None
        A store is never removed before its successor votes, so that the
        group bears the loss of a store at each step.
    """
    known = {store.host_id: store for store in stores}
    voting = [m.host_id for m in members if m.voter]
    learning = [m.host_id for m in members if not m.voter]
    sound = [h for h in voting if is_sound(known.get(h))]
    if disk_full:
        # Nothing can be committed here; a follower with a full disk does no
        # harm while a majority can write.
        return next((HandOver(h) for h in sound if h != own_id), None)
    if led < SETTLE_SECONDS:
        return None
    for store in stores:
        if is_sound(store) and store.host_id not in voting + learning:
            return AddLearner(store.host_id)
    if len(sound) < voters:
        ready = [h for h in learning if is_sound(known.get(h))]
        if ready:
            return Promote(choose_spread(ready, sound, known))
    surplus = [h for h in voting if h not in sound]
    if surplus and len(sound) >= voters and len(voting) > voters:
        # The dead one goes first: it cannot help if another one is lost.
        surplus.sort(key=lambda h: is_present(known.get(h)))
        if surplus[0] == own_id:
            return HandOver(next(h for h in sound if h != own_id))
        return Remove(surplus[0])
    for host_id in learning:
        store = known.get(host_id)
        if store is None or store.is_retiring or store.is_forgotten:
            return Remove(host_id)
    return None


def is_present(store):
    """Return whether a store is in touch."""
    return store is not None and store.is_present


def is_sound(store):
    """Return whether a store is in touch and stays."""
    return is_present(store) and not store.is_retiring


def choose_spread(candidates, voting, known):
    """Return a candidate in an availability zone without a voter, if any."""
    zones = {known[h].availability_zone for h in voting}
    return min(
        candidates, key=lambda h: (known[h].availability_zone in zones, h)
    )
