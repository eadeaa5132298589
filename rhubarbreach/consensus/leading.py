"""Replication by a leader to its peers, and confirmation of its reads."""

from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as store_codec
from rhubarbreach.protocol import logmessages

__all__ = [
    'CHUNK_BYTES',
    'build_message',
    'confirm_reads',
    'handle_append_reply',
    'handle_install_reply',
    'is_installing',
    'is_message_due',
]

CHUNK_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
# Commands may be large, so the size of a message is limited as well.
MAX_BATCH_BYTES = 512 * 1024
ENTRY_OVERHEAD_BYTES = 64
# Limits per peer on unanswered entries, and on unanswered bytes of log and
# snapshot. Two messages keep a connection busy. Anything beyond that would be
# queued for a slow host in the sender's memory, and sent again when the host
# asks for it.
WINDOW_ENTRIES = 8192
WINDOW_BYTES = 1024 * 1024
# A message without a reply for this long counts as lost. A host at a sixth of
# its speed replies within 1 s.
REPLY_TIMEOUT_SECONDS = 2.0
# A peer counts as reachable if it has answered within this many election
# timeouts.
REACHABLE_TIMEOUTS = 4
# Limit on remembered rounds of a peer that does not answer.
MAX_UNANSWERED_ROUNDS = 256


def is_message_due(state, peer, now):
    """Return whether a message to a peer is due."""
    if now >= peer.heartbeat_due:
        return True
    if peer.is_standby:
        return False
    expire_rounds(peer, now)
    if peer.next_index <= state.store.base_index:
        # Chunks are sent one at a time: each reply requests the next one.
        return peer.urgent and not peer.unanswered_bytes
    return peer.urgent or (
        peer.next_index <= state.store.last_index and has_window(peer)
    )


def has_window(peer):
    """Return whether more entries may be sent to a peer."""
    return (
        peer.next_index - peer.match_index <= WINDOW_ENTRIES
        and peer.unanswered_bytes < WINDOW_BYTES
    )


def build_message(state, peer, now):
    """Return the next message to a peer."""
    peer.urgent = False
    peer.heartbeat_due = now + state.settings.heartbeat
    if peer.is_standby:
        return build_standby_heartbeat(state, peer, now)
    if peer.next_index <= state.store.base_index:
        # A chunk is repeated only after the peer has had time to reply.
        peer.heartbeat_due = now + state.settings.election_timeout
        return build_chunk(state, peer, now)
    return build_append(state, peer, now)


def build_append(state, peer, now):
    """Return a message with the peer's next entries, or a heartbeat."""
    store = state.store
    entries = ()
    if has_window(peer):
        entries = limit_bytes(
            store.get_entries(peer.next_index, MAX_BATCH_ENTRIES)
        )
    previous = peer.next_index - 1
    peer.next_index += len(entries)
    return logmessages.AppendEntries(
        state.settings.group_id,
        store.term,
        state.settings.host_id,
        previous,
        store.get_term(previous),
        entries,
        state.commit_index,
        start_round(state, peer, now, sum(len(e.data) for e in entries)),
    )


def build_standby_heartbeat(state, peer, now):
    """Return a message that matches any log and carries no entries."""
    return logmessages.AppendEntries(
        state.settings.group_id,
        state.store.term,
        state.settings.host_id,
        0,
        0,
        (),
        0,
        start_round(state, peer, now, 0),
        True,
    )


def start_round(state, peer, now, size):
    """Record the time and size of a new message and return its id.

    Ids are never reused. Otherwise a late reply to a message of an earlier
    term would count as contact in the current one.
    """
    round_id = next(state.round_ids)
    peer.unanswered_rounds[round_id] = (now, size)
    peer.unanswered_bytes += size
    if len(peer.unanswered_rounds) > MAX_UNANSWERED_ROUNDS:
        end_round(peer, next(iter(peer.unanswered_rounds)))
    return round_id


def end_round(peer, round_id):
    """Forget a message and return when it was sent, None if unknown."""
    if round_id not in peer.unanswered_rounds:
        return None
    sent_at, size = peer.unanswered_rounds.pop(round_id)
    peer.unanswered_bytes -= size
    return sent_at


def expire_rounds(peer, now):
    """Forget the messages that count as lost."""
    while peer.unanswered_rounds:
        round_id = next(iter(peer.unanswered_rounds))
        if now - peer.unanswered_rounds[round_id][0] <= REPLY_TIMEOUT_SECONDS:
            return
        end_round(peer, round_id)


def limit_bytes(entries):
    """Return the first entries that fit into a message, at least one."""
    total = 0
    for count, entry in enumerate(entries):
        total += len(entry.data) + ENTRY_OVERHEAD_BYTES
        if total > MAX_BATCH_BYTES and count:
            return tuple(entries[:count])
    return tuple(entries)


def build_chunk(state, peer, now):
    """Return the next chunk of the snapshot."""
    snapshot = state.store.snapshot
    if peer.snapshot_index != snapshot.last_index:
        peer.snapshot_index = snapshot.last_index
        peer.snapshot_offset = 0
    start = peer.snapshot_offset
    data = snapshot.data[start : start + CHUNK_BYTES]
    return logmessages.InstallSnapshot(
        state.settings.group_id,
        state.store.term,
        state.settings.host_id,
        snapshot.last_index,
        snapshot.last_term,
        store_codec.encode_members(snapshot.members),
        start,
        data,
        start + len(data) >= len(snapshot.data),
        start_round(state, peer, now, len(data)),
    )


def is_installing(state, now):
    """Return whether a reachable peer needs the current snapshot."""
    oldest = now - REACHABLE_TIMEOUTS * state.settings.election_timeout
    return state.is_leader and any(
        peer.next_index <= state.store.base_index
        and peer.last_contact >= oldest
        and not peer.is_standby
        for peer in state.peers.values()
    )


def find_peer(state, sender_id, reply, now):
    """Return the sender of a reply that is valid in this term, or None."""
    if reply.term > state.store.term:
        states.become_follower(state, reply.term, None, now)
        return None
    if not state.is_leader or reply.term != state.store.term:
        return None
    peer = state.peers.get(sender_id)
    # A store with another identity is not the member that was asked.
    if peer is None or peer.store_id != reply.store_id:
        return None
    sent_at = end_round(peer, reply.round_id)
    if sent_at is not None:
        peer.last_contact = max(peer.last_contact, sent_at)
    return peer


def handle_append_reply(state, sender_id, reply, now):
    """Update the progress of a peer."""
    peer = find_peer(state, sender_id, reply, now)
    if peer is None:
        return
    if reply.success:
        peer.match_index = max(peer.match_index, reply.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
    else:
        next_index = max(peer.match_index, reply.match_index) + 1
        peer.next_index = min(peer.next_index, next_index)
        peer.urgent = True
        # Connections preserve order, so earlier messages are lost.
        for round_id in [
            sent_id
            for sent_id in peer.unanswered_rounds
            if sent_id < reply.round_id
        ]:
            end_round(peer, round_id)


def handle_install_reply(state, sender_id, reply, now):
    """Continue with the next chunk, or with entries after the last one."""
    peer = find_peer(state, sender_id, reply, now)
    if peer is None:
        return
    if reply.done:
        peer.match_index = max(peer.match_index, reply.offset)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        peer.snapshot_offset = 0
    else:
        peer.snapshot_offset = reply.offset
    peer.urgent = True


def confirm_reads(state, now):
    """Confirm reads that started before the latest quorum contact."""
    if not state.reads:
        return
    contact = states.get_quorum_contact(state, now)
    for read in state.reads:
        if not read.confirmed and contact >= read.start:
            read.confirmed = True
