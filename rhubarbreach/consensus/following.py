"""Processing of messages from a leader."""

import dataclasses

from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as store_codec
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages

__all__ = ['PartialSnapshot', 'handle_append', 'handle_install']


@dataclasses.dataclass(slots=True)
class PartialSnapshot:
    """Chunks of a snapshot received so far."""

    last_index: int
    last_term: int
    data: bytearray


def accept_leader(state, sender_id, term, now):
    """Follow the sender of a message; return False if its term is old."""
    if term < state.store.term:
        return False
    if term > state.store.term or state.role != model.Role.FOLLOWER:
        states.become_follower(state, term, sender_id, now)
    state.leader_id = sender_id
    state.leader_contact = now
    state.leader_known_at = now
    states.set_election_deadline(state, now)
    return True


def make_reply(state, message, success, match_index):
    """Return the reply to `AppendEntries`."""
    return logmessages.AppendReply(
        state.settings.group_id,
        state.store.term,
        success,
        match_index,
        message.round_id,
        state.store.store_id,
    )


def handle_append(state, sender_id, message, now):
    """Append the entries of a leader; reply when they are synced."""
    if not accept_leader(state, sender_id, message.term, now):
        reply = make_reply(state, message, False, 0)
        state.outbox.append((sender_id, reply))
        return
    state.is_standby = message.is_standby
    store = state.store
    local_term = store.get_term(message.previous_index)
    if message.previous_index > store.base_index and (
        local_term != message.previous_term
    ):
        match_hint = find_match_hint(state, message.previous_index)
        reply = make_reply(state, message, False, match_hint)
        state.outbox.append((sender_id, reply))
        return
    try:
        append_missing(state, message.entries)
    except exceptions.DiskFullError:
        # Without a reply the leader retries with its next heartbeat.
        states.mark_disk_full(state, now)
        return
    match = message.previous_index + len(message.entries)
    state.commit_index = max(
        state.commit_index, min(message.commit_index, match)
    )
    reply = make_reply(state, message, True, match)
    state.after_sync.append((sender_id, reply))


def find_match_hint(state, previous_index):
    """Return an index at which the two logs may match."""
    store = state.store
    if previous_index > store.last_index:
        return store.last_index
    term = store.get_term(previous_index)
    index = previous_index - 1
    while index > state.commit_index and store.get_term(index) == term:
        index -= 1
    return index


def append_missing(state, entries):
    """Append the entries that the log does not hold yet."""
    store = state.store
    for position, entry in enumerate(entries):
        if entry.index <= store.base_index:
            continue
        if store.get_term(entry.index) == entry.term:
            continue
        if entry.index <= state.commit_index:
            raise exceptions.CorruptLogError(
                f'committed entry {entry.index} differs from the leader'
            )
        store.append(entries[position:])
        state.disk_full = False
        return


def handle_install(state, sender_id, message, now):
    """Collect the chunks of a snapshot and install it."""
    done = False
    offset = 0
    if accept_leader(state, sender_id, message.term, now):
        if message.last_index <= state.commit_index:
            done = True
        else:
            offset = add_chunk(state, message)
            done = message.done and offset == message.offset + len(
                message.data
            )
            if done:
                install(state, message)
    reply = logmessages.InstallReply(
        state.settings.group_id,
        state.store.term,
        message.last_index if done else offset,
        done,
        state.store.store_id,
        message.round_id,
    )
    state.after_sync.append((sender_id, reply))


def add_chunk(state, message):
    """Add a chunk if it is the next one; return the next offset expected."""
    partial = state.partial_snapshot
    key = (message.last_index, message.last_term)
    if partial is None or (partial.last_index, partial.last_term) != key:
        partial = PartialSnapshot(*key, bytearray())
        state.partial_snapshot = partial
    if message.offset == len(partial.data):
        partial.data.extend(message.data)
    return len(partial.data)


def install(state, message):
    """Replace the log and the machine's state by a complete snapshot."""
    snapshot = model.Snapshot(
        message.last_index,
        message.last_term,
        message.last_index,
        store_codec.decode_members(message.members),
        state.partial_snapshot.data,
    )
    # An error of the disk ends this step without a reply, and the leader
    # retries. The snapshot may be in effect by then.
    try:
        state.store.install_snapshot(snapshot)
    finally:
        if state.store.snapshot.last_index == snapshot.last_index:
            state.partial_snapshot = None
            state.commit_index = max(state.commit_index, snapshot.last_index)
            state.snapshot_to_restore = state.store.snapshot
