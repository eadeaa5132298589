"""Proposals, reads, leadership transfers and membership changes."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as store_codec
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages

__all__ = [
    'add_learner',
    'append_proposals',
    'check_disk',
    'continue_transfer',
    'expire_requests',
    'prepare',
    'promote',
    'promote_replacements',
    'remove',
    'replace_store',
    'start_read',
    'start_transfer',
    'step_down_if_removed',
]

LOG = eventlog.Logger('consensus')

# Time limit of a membership change that the leader starts itself.
INTERNAL_CHANGE_SECONDS = 10.0


def refuse(state, future, code, reason):
    """Refuse a request that has not been run."""
    state.deferred_results.append((future, codes.Refusal(code, reason)))


def append_proposals(state, proposals, now):
    """Append proposals to the log as one record, or refuse them.

    The record is written here before anything is sent to the peers, so a
    full disk refuses only commands that certainly have not run.
    """
    if not state.is_leader or state.transfer_id is not None:
        refusal = states.make_not_leader(state)
        state.deferred_results.extend((p.future, refusal) for p in proposals)
        return
    store = state.store
    accepted = [p for p in proposals if p.deadline > now]
    entries = [
        logmessages.LogEntry(index, store.term, proposal.kind, proposal.data)
        for index, proposal in enumerate(accepted, store.last_index + 1)
    ]
    for proposal in proposals:
        if proposal.deadline <= now:
            refuse(
                state,
                proposal.future,
                codes.ResultCode.UNAVAILABLE,
                'deadline passed before the command was appended',
            )
    if not entries:
        return
    try:
        store.append(entries)
    except exceptions.DiskFullError as error:
        states.mark_disk_full(state, now)
        for proposal in accepted:
            refuse(
                state,
                proposal.future,
                codes.ResultCode.DISK_FULL,
                f'disk is full: {error}',
            )
        return
    state.disk_full = False
    for entry, proposal in zip(entries, accepted, strict=True):
        state.pending[entry.index] = (entry.term, proposal)


def check_disk(state, now):
    """Append an empty entry if the disk was full, to learn if it still is.

    A leader without new commands would otherwise hand its leadership on
    although its disk has room again.
    """
    if not state.disk_full or now < state.disk_check_due:
        return
    if state.transfer_id is None:
        proposal = model.Proposal(
            model.ENTRY_NOOP,
            b'',
            now + INTERNAL_CHANGE_SECONDS,
            model.make_future(),
        )
        append_proposals(state, [proposal], now)


def expire_requests(state, now):
    """Complete proposals and reads that have reached their deadline."""
    refusal = states.make_unknown_outcome(
        'command was not committed before its deadline'
    )
    expired = [
        index
        for index, (_, proposal) in state.pending.items()
        if proposal.deadline <= now
    ]
    for index in expired:
        _, proposal = state.pending.pop(index)
        state.deferred_results.append((proposal.future, refusal))
    expired_reads = [read for read in state.reads if read.deadline <= now]
    for read in expired_reads:
        state.reads.remove(read)
        refuse(
            state,
            read.future,
            codes.ResultCode.UNAVAILABLE,
            'no quorum confirmed the leader before the deadline',
        )


def start_read(group, future, deadline, index_only):
    """Start a read on the leader, or ask the leader for the read index."""
    state = group.state
    now = clock.monotonic()
    if state.is_leader:
        # All entries committed in earlier terms precede the first entry of
        # the current term.
        index = max(state.commit_index, state.term_start_index)
        state.reads.append(
            model.Read(now, deadline, future, index, False, index_only)
        )
        for peer in state.peers.values():
            peer.urgent = True
        return
    if index_only or state.leader_id is None or state.is_standby:
        state.deferred_results.append((future, states.make_not_leader(state)))
        return
    request = logmessages.ReadIndexRequest(
        state.settings.group_id, clock.remaining(deadline, now)
    )
    call = group.link.call(state.leader_id, request, deadline)
    call.add_done_callback(
        lambda done: group.post(
            finish_remote_read, state, done.result(), deadline, future
        )
    )


def finish_remote_read(state, reply, deadline, future):
    """Queue a read at the index that the leader has returned."""
    if isinstance(reply, codes.Refusal):
        refusal = dataclasses.replace(reply, ran=codes.Ran.NO)
        state.deferred_results.append((future, refusal))
        return
    if reply.refusal is not None:
        state.deferred_results.append((future, reply.refusal))
        return
    state.reads.append(model.Read(0.0, deadline, future, reply.index, True))


def start_transfer(state, peer_id, future):
    """Start to transfer leadership to a peer."""
    peer = state.peers.get(peer_id)
    member = model.find_member(state.store.members, peer_id)
    if not state.is_leader or peer is None or not member.voter:
        state.deferred_results.append((future, False))
        return
    states.finish_transfer(state, False)
    state.transfer_id = peer_id
    state.transfer_future = future
    state.transfer_deadline = (
        clock.monotonic() + 2 * state.settings.election_timeout
    )


def continue_transfer(state, now):
    """Make the peer start an election once it holds the whole log."""
    if state.transfer_id is None:
        return
    peer = state.peers.get(state.transfer_id)
    if peer is None or now >= state.transfer_deadline:
        states.finish_transfer(state, False)
        return
    if peer.match_index == state.store.last_index:
        state.outbox.append(
            (
                peer.peer_id,
                logmessages.TransferLeadership(
                    state.settings.group_id, state.store.term
                ),
            )
        )


def find_change_refusal(state):
    """Return a refusal if the members cannot be changed now, or None.

    Without a refusal the members are committed. A change that they already
    hold then counts as done, because a caller repeats one whose outcome it
    does not know.
    """
    if not state.is_leader or state.transfer_id is not None:
        return states.make_not_leader(state)
    if state.commit_index < max(
        state.term_start_index, state.store.members_index
    ):
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            'an earlier change or the first entry of the term is not '
            'committed yet',
        )
    return None


def propose_members(state, members, deadline, future, now):
    """Append a membership change, which takes effect immediately."""
    proposal = model.Proposal(
        model.ENTRY_MEMBERS,
        store_codec.encode_members(tuple(members)),
        deadline,
        future,
    )
    append_proposals(state, [proposal], now)
    states.sync_peers(state)


def add_learner(group, host_id, deadline):
    """Ask a host for its store identity and add it as a learner."""
    query = logmessages.StoreQuery(group.group_id)
    future = model.make_future()
    call = group.link.call(host_id, query, deadline)
    call.add_done_callback(
        lambda done: group.post(
            finish_add_learner,
            group.state,
            host_id,
            done.result(),
            deadline,
            future,
        )
    )
    return future


def finish_add_learner(state, host_id, hello, deadline, future):
    """Add the store that a host has announced as a learner."""
    if isinstance(hello, codes.Refusal):
        refusal = dataclasses.replace(hello, ran=codes.Ran.NO)
        state.deferred_results.append((future, refusal))
        return
    change_refusal = find_change_refusal(state)
    if change_refusal is not None:
        state.deferred_results.append((future, change_refusal))
        return
    members = state.store.members
    former = model.find_member(members, host_id)
    if former is not None and former.store_id == hello.store_id:
        state.deferred_results.append((future, None))
        return
    if former is not None:
        refuse(
            state,
            future,
            codes.ResultCode.INVALID_CHANGE,
            f'{host_id} is already a member with another store',
        )
        return
    member = logmessages.Member(host_id, hello.store_id, False)
    propose_members(
        state, (*members, member), deadline, future, clock.monotonic()
    )


def prepare(state, host_id):
    """Send the log to a standby."""
    peer = state.peers.get(host_id)
    if peer is not None and peer.is_standby:
        peer.is_standby = False
        peer.urgent = True


def promote(state, host_id, deadline, future):
    """Make a learner a voter once it has synced the committed entries."""
    change_refusal = find_change_refusal(state)
    if change_refusal is not None:
        state.deferred_results.append((future, change_refusal))
        return
    member = model.find_member(state.store.members, host_id)
    if member is not None and member.voter:
        state.deferred_results.append((future, None))
        return
    peer = state.peers.get(host_id)
    if member is None or peer is None:
        refuse(
            state,
            future,
            codes.ResultCode.INVALID_CHANGE,
            f'{host_id} is not a learner',
        )
        return
    prepare(state, host_id)
    if peer.match_index < state.commit_index:
        refuse(
            state,
            future,
            codes.ResultCode.UNAVAILABLE,
            f'{host_id} has not synced all committed entries yet',
        )
        return
    voter = dataclasses.replace(member, voter=True, replaces=False)
    members = [
        voter if other is member else other for other in state.store.members
    ]
    propose_members(state, members, deadline, future, clock.monotonic())


def remove(state, host_id, deadline, future):
    """Remove a member; a leader steps down once its removal is committed."""
    change_refusal = find_change_refusal(state)
    if change_refusal is not None:
        state.deferred_results.append((future, change_refusal))
        return
    members = [
        member for member in state.store.members if member.host_id != host_id
    ]
    if len(members) == len(state.store.members):
        state.deferred_results.append((future, None))
        return
    if not model.get_voters(members):
        refuse(
            state,
            future,
            codes.ResultCode.INVALID_CHANGE,
            f'{host_id} is the last voter',
        )
        return
    propose_members(state, members, deadline, future, clock.monotonic())


def replace_store(state, host_id, hello, now):
    """Replace the lost store of a host by its new store, as a learner."""
    if find_change_refusal(state) is not None:
        return
    members = state.store.members
    former = model.find_member(members, host_id)
    if former is None or former.store_id == hello.store_id:
        return
    learner = logmessages.Member(
        host_id, hello.store_id, False, former.voter or former.replaces
    )
    changed = [learner if member is former else member for member in members]
    if not model.get_voters(changed):
        return
    LOG.info(
        'event=store_replaced group={} host={} former={} new={} voter={}',
        state.settings.group_id,
        host_id,
        former.store_id,
        hello.store_id,
        learner.replaces,
    )
    future = model.make_future()
    propose_members(state, changed, now + INTERNAL_CHANGE_SECONDS, future, now)


def promote_replacements(state, now):
    """Promote a learner that replaces a lost voter once it has caught up."""
    if find_change_refusal(state) is not None:
        return
    for member in state.store.members:
        peer = state.peers.get(member.host_id)
        if not member.replaces or peer is None:
            continue
        if peer.match_index >= state.commit_index:
            LOG.info(
                'event=store_restored group={} host={}',
                state.settings.group_id,
                member.host_id,
            )
            deadline = now + INTERNAL_CHANGE_SECONDS
            promote(state, member.host_id, deadline, model.make_future())
            return


def step_down_if_removed(state, now):
    """Step down once the removal of this leader is committed."""
    if state.store.members_index > state.commit_index:
        return
    if not states.is_voter(state):
        states.become_follower(state, state.store.term, None, now)
