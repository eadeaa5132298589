"""Formation of a group: the first voters exchange their store identities.

All initial voters have to be present once. Each persists the identities that
it has seen and does not change them afterwards. The group is formed when all
have announced the same identities. A store that loses its disk later has a new
identity, is not in that set and joins as a learner.
"""

from rhubarbreach.consensus import model
from rhubarbreach.protocol import logmessages

__all__ = [
    'announce',
    'handle_hello',
    'is_joined',
    'list_contacts',
    'make_hello',
    'start_formation',
]

HELLO_INTERVAL_SECONDS = 1.0


def make_hello(state):
    """Return the announcement of this store."""
    store = state.store
    joined = store.formed or store.last_index > 0
    members = (
        store.members if joined and store.members else store.initial_members
    )
    return logmessages.StoreHello(
        state.settings.group_id,
        store.store_id,
        joined,
        members,
        store.term,
        state.leader_id,
    )


def start_formation(state):
    """Form the group immediately if this host is the only initial voter."""
    if not state.store.formed and state.settings.initial == (
        state.settings.host_id,
    ):
        own = logmessages.Member(
            state.settings.host_id, state.store.store_id, True
        )
        state.store.save_formation(True, (own,))


def is_joined(state):
    """Return whether this store is a member under its identity."""
    member = model.find_member(state.store.members, state.settings.host_id)
    return member is not None and member.store_id == state.store.store_id


def announce(state, now):
    """Announce this store once a second until it belongs to the group.

    Before the group is formed, the store announces itself at each tick, since
    the group serves no requests yet. A standby does not hold the members, and
    does not know that it is one of them. A store that knows no leader may have
    been removed while it was away, and its log may not name any later member.
    """
    belongs = is_joined(state) and state.leader_id is not None
    if belongs or now < state.hello_due:
        return
    if state.store.formed or state.store.last_index > 0 or state.is_standby:
        state.hello_due = now + HELLO_INTERVAL_SECONDS
    send_hellos(state)


def list_contacts(state):
    """Return the hosts that may know the group, except this one.

    Only the leader admits a store, and it may have joined after the contacts
    in the settings were chosen. Other stores name it in their announcements.
    """
    hosts = set(state.settings.initial) | set(state.contacts)
    hosts.update(member.host_id for member in state.store.members)
    hosts.update(hello.leader_id for hello in list(state.hellos.values()))
    hosts.add(state.leader_id)
    return hosts - {state.settings.host_id, None}


def send_hellos(state):
    """Send the announcement to all hosts that may know the group."""
    hello = make_hello(state)
    for host_id in sorted(list_contacts(state)):
        state.outbox.append((host_id, hello))


def handle_hello(state, sender_id, hello):
    """Process the announcement of another store.

    Returns
    -------
    bool
        True if the sender does not belong to the group yet, so that a
        leader may have to replace its former store.
    """
    store = state.store
    state.hellos[sender_id] = hello
    if store.formed or store.last_index > 0:
        member = model.find_member(store.members, sender_id)
        is_outsider = member is None or member.store_id != hello.store_id
        # A store outside the group never replies. Otherwise two such stores
        # would reply to each other forever.
        if is_joined(state) and (is_outsider or not hello.formed):
            state.outbox.append((sender_id, make_hello(state)))
        return is_outsider
    knows_leader = state.is_standby and state.leader_id is not None
    if knows_leader and hello.leader_id is None:
        # A standby knows the leader, though it does not hold the members.
        state.outbox.append((sender_id, make_hello(state)))
    if state.settings.host_id in state.settings.initial:
        try_form_group(state)
    return False


def try_form_group(state):
    """Form the group when all initial voters announce the same members."""
    store = state.store
    hellos = state.hellos
    for hello in hellos.values():
        # The sender has seen the announcements of all initial voters.
        own = model.find_member(hello.members, state.settings.host_id)
        if hello.formed and own is not None:
            if own.store_id == store.store_id and own.voter:
                store.save_formation(True, hello.members)
            return
    others = [
        host_id
        for host_id in state.settings.initial
        if host_id != state.settings.host_id
    ]
    if any(host_id not in hellos for host_id in others):
        return
    if not store.initial_members:
        store.save_formation(False, collect_members(state))
        send_hellos(state)
    if all(
        hellos[host_id].members == store.initial_members for host_id in others
    ):
        store.save_formation(True, store.initial_members)
        send_hellos(state)


def collect_members(state):
    """Return the initial voters with their announced identities."""
    identities = {
        host_id: hello.store_id for host_id, hello in state.hellos.items()
    }
    identities[state.settings.host_id] = state.store.store_id
    return tuple(
        logmessages.Member(host_id, identities[host_id], True)
        for host_id in sorted(state.settings.initial)
    )
