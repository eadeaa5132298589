"""What a leader does: replication, commit, reads and members."""

from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as store_codec
from rhubarbreach.protocol import logmessages

__all__ = [
    'CHUNK_BYTES',
    'build_message',
    'handle_append_reply',
    'handle_install_reply',
    'has_work',
    'is_installing',
    'settle_reads',
]

CHUNK_BYTES = 256 * 1024
MAX_BATCH_ENTRIES = 512
# Commands may be large, so that a message is also bounded by its bytes.
MAX_BATCH_BYTES = 512 * 1024
ENTRY_OVERHEAD_BYTES = 64
# Entries sent and not yet answered, per peer, and bytes of log and snapshot.
# Two messages keep a connection busy; what is queued for a slow host beyond
# that stays in the sender's memory, and is sent again when the host asks.
WINDOW_ENTRIES = 8192
WINDOW_BYTES = 1024 * 1024
# A message without an answer for this long, in seconds, counts as lost. A host
# at a sixth of its speed answers within 1 s.
LOST_SECONDS = 2.0
# A peer that has answered within this many election timeouts is still there.
INSTALL_TIMEOUTS = 4
# Rounds remembered while a peer does not answer.
MAX_ROUNDS = 256


def has_work(state, peer, now):
    """Return whether a message to a peer is due."""
    if now >= peer.heartbeat_due:
        return True
    expire_rounds(peer, now)
    if peer.next_index <= state.store.base_index:
        # One chunk at a time: each answer asks for the next one.
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
    if peer.next_index <= state.store.base_index:
        # A chunk is sent again only when the peer had time to answer.
        peer.heartbeat_due = now + state.settings.election_timeout
        return build_chunk(state, peer, now)
    return build_append(state, peer, now)


def build_append(state, peer, now):
    """Return entries from the peer's next index on, or a heartbeat."""
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


def start_round(state, peer, now, size):
    """Return the id of a new message, whose time and size are remembered.

    Ids are never used again: a late answer to a message of an earlier term
    would otherwise count as contact in this one.
    """
    round_id = next(state.round_ids)
    peer.sent[round_id] = (now, size)
    peer.unanswered_bytes += size
    if len(peer.sent) > MAX_ROUNDS:
        end_round(peer, next(iter(peer.sent)))
    return round_id


def end_round(peer, round_id):
    """Forget a message; return when it was sent, None if that is unknown."""
    if round_id not in peer.sent:
        return None
    sent, size = peer.sent.pop(round_id)
    peer.unanswered_bytes -= size
    return sent


def expire_rounds(peer, now):
    """Forget the messages that count as lost."""
    while peer.sent:
        round_id = next(iter(peer.sent))
        if now - peer.sent[round_id][0] <= LOST_SECONDS:
            return
        end_round(peer, round_id)


def limit_bytes(entries):
    """Return the first entries that fit in one message, at least one."""
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
    """Return whether a peer that answers needs the present snapshot."""
    oldest = now - INSTALL_TIMEOUTS * state.settings.election_timeout
    return state.is_leader and any(
        peer.next_index <= state.store.base_index and peer.contact >= oldest
        for peer in state.peers.values()
    )


def find_peer(state, sender_id, reply, now):
    """Return the peer of a reply that counts in this term, or None."""
    if reply.term > state.store.term:
        states.become_follower(state, reply.term, None, now)
        return None
    if not state.is_leader or reply.term != state.store.term:
        return None
    peer = state.peers.get(sender_id)
    # A store under another identity is not the member that was asked.
    if peer is None or peer.store_id != reply.store_id:
        return None
    sent = end_round(peer, reply.round_id)
    if sent is not None:
        peer.contact = max(peer.contact, sent)
    return peer


def handle_append_reply(state, sender_id, reply, now):
    """Take the progress of a peer into account."""
    peer = find_peer(state, sender_id, reply, now)
    if peer is None:
        return
    if reply.success:
        peer.match_index = max(peer.match_index, reply.match_index)
        peer.next_index = max(peer.next_index, peer.match_index + 1)
    else:
        wanted = max(peer.match_index, reply.match_index) + 1
        peer.next_index = min(peer.next_index, wanted)
        peer.urgent = True
        # Connections keep the order: what was sent before is lost.
        for round_id in [one for one in peer.sent if one < reply.round_id]:
            end_round(peer, round_id)


def handle_install_reply(state, sender_id, reply, now):
    """Send the next chunk, or go on with entries."""
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


def settle_reads(state, now):
    """Confirm reads that began before the latest quorum contact."""
    if not state.reads:
        return
    contact = states.get_quorum_contact(state, now)
    for read in state.reads:
        if not read.confirmed and contact >= read.start:
            read.confirmed = True
