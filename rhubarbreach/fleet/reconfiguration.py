"""Planning of membership changes of the store group, in safe steps."""

import dataclasses

__all__ = [
    'AddLearner',
    'HandOver',
    'Prepare',
    'Promote',
    'Remove',
    'Store',
    'count_voters',
    'plan_step',
]


# A leader has to have listened for this long before it considers a store lost.
# Stores announce their presence every 0.8 s and may be starting as well.
SETTLE_SECONDS = 3.0
# A voter that was silent before the start of the leader is lost if it is not
# heard for this long either. All stores announce themselves when they start.
CONFIRM_SECONDS = 0.8
# If it has not heard from all voters after this long, two announcements, a
# learner gets the log, so that it can vote as soon as one of them is lost.
PREPARE_SECONDS = 1.6


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """A store host as the leader knows it.

    `is_present` is whether the leader has heard from it recently, and
    `is_expired` whether it has been absent for long.
    """

    host_id: str
    availability_zone: str
    is_present: bool
    is_retiring: bool = False
    is_expired: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AddLearner:
    """Step that adds a store, which receives the log but does not vote."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Prepare:
    """Step that sends the log to a learner, which may have to vote soon."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Promote:
    """Step that makes a learner a voter."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Remove:
    """Step that removes a member."""

    host_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Step that transfers leadership to another voter."""

    host_id: str


def count_voters(tolerated):
    """Return the voters needed to tolerate the loss of some stores."""
    return 2 * tolerated + 1


def plan_step(
    own_id,
    members,
    stores,
    voters,
    listening_seconds,
    disk_full=False,
    refused=(),
    silent=frozenset(),
):
    """Return the next membership change, or None.

    Parameters
    ----------
    own_id : str
        Host id of the leader.
    members : tuple of Member
        Members of the group.
    stores : tuple of Store
        Known stores, members or not.
    voters : int
        Desired number of voters.
    listening_seconds : float
        Time for which the leader has listened to the other stores, as the
        leader or before.
    disk_full : bool
        Whether the disk of the leader is full.
    refused : container of steps
        Steps that have just been refused. Others go first, so that a store
        that is heard but cannot be reached does not hold them up.
    silent : frozenset of str
        Voters that a leader has recorded as silent, before a restart of the
        stores or since.

    Returns
    -------
    AddLearner, Prepare, Promote, Remove, HandOver or None
        A store is never removed before its replacement is a voter, so that
        the group tolerates the loss of a store at each step.
    """
    steps = list_steps(
        own_id, members, stores, voters, listening_seconds, disk_full, silent
    )
    return next((step for step in steps if step not in refused), None)


def list_steps(
    own_id, members, stores, voters, listening_seconds, disk_full, silent
):
    """Yield the membership changes that are due, the most urgent one first.

    The parameters are those of `plan_step`.
    """
    stores_by_id = {store.host_id: store for store in stores}
    voter_ids = [m.host_id for m in members if m.voter]
    learner_ids = [m.host_id for m in members if not m.voter]
    healthy = [h for h in voter_ids if is_healthy(stores_by_id.get(h))]
    if disk_full:
        # This leader cannot append log entries. A follower with a full disk is
        # harmless while a majority can write.
        yield from (HandOver(h) for h in healthy if h != own_id)
        return
    ready = [h for h in learner_ids if is_healthy(stores_by_id.get(h))]
    ready = sort_by_zone(ready, healthy, stores_by_id)
    has_settled = listening_seconds >= SETTLE_SECONDS
    lost = find_lost(voter_ids, stores_by_id, silent, listening_seconds)
    if has_settled or lost:
        yield from list_voter_steps(
            own_id, voter_ids, lost, ready, stores_by_id, voters
        )
    for store in stores:
        if is_healthy(store) and store.host_id not in voter_ids + learner_ids:
            yield AddLearner(store.host_id)
    if has_settled:
        for host_id in learner_ids:
            store = stores_by_id.get(host_id)
            if store is None or store.is_retiring or store.is_expired:
                yield Remove(host_id)
    is_voter_missed = (
        PREPARE_SECONDS <= listening_seconds < SETTLE_SECONDS
        and len(healthy) < voters
    )
    if is_voter_missed or silent:
        yield from (Prepare(host_id) for host_id in ready[:1])


def find_lost(voter_ids, stores_by_id, silent, listening_seconds):
    """Return the voters that count as lost.

    A voter that was silent before the start of this leader is not waited for
    anew.
    """
    absent = {h for h in voter_ids if not is_present(stores_by_id.get(h))}
    if listening_seconds >= SETTLE_SECONDS:
        return absent
    if listening_seconds >= CONFIRM_SECONDS:
        return absent & silent
    return set()


def list_voter_steps(own_id, voter_ids, lost, ready, stores_by_id, voters):
    """Yield the due changes of the voters, the most urgent one first."""
    present = [h for h in voter_ids if h not in lost]
    staying = [h for h in present if not is_retiring(stores_by_id.get(h))]
    if voters <= len(present) < len(voter_ids):
        # A lost voter is removed first, as it cannot help to form a quorum if
        # another voter is lost. A retiring one can.
        yield from (Remove(h) for h in voter_ids if h in lost)
    if len(staying) < voters:
        yield from (Promote(host_id) for host_id in ready)
        return
    for host_id in present:
        if host_id in staying:
            continue
        if host_id == own_id:
            yield from (HandOver(h) for h in staying if h != own_id)
        else:
            yield Remove(host_id)


def is_present(store):
    """Return whether a store is known and present."""
    return store is not None and store.is_present


def is_retiring(store):
    """Return whether a store is known to retire."""
    return store is not None and store.is_retiring


def is_healthy(store):
    """Return whether a store is present and not retiring."""
    return is_present(store) and not is_retiring(store)


def sort_by_zone(candidates, voter_ids, stores_by_id):
    """Return the candidates, first those in a zone that has no voter."""
    zones = {stores_by_id[h].availability_zone for h in voter_ids}
    return sorted(
        candidates,
        key=lambda h: (stores_by_id[h].availability_zone in zones, h),
    )
