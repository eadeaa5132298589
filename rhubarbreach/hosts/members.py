"""Stores of a fleet: presence, membership of the group and retirement."""

import concurrent.futures

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach.fleet import reconfiguration
from rhubarbreach.protocol import fleetmessages

__all__ = ['Members']

LOG = eventlog.Logger('members')

# Interval at which each store announces its presence to the others.
PRESENCE_INTERVAL_SECONDS = 0.8
# A store that hears no other one for this long was suspended or cut off, and
# cannot tell yet which of them are absent.
DEAF_SECONDS = 2 * PRESENCE_INTERVAL_SECONDS
# A voter of which the leader has missed two announcements counts as silent.
SILENT_SECONDS = 2 * PRESENCE_INTERVAL_SECONDS
# A store that has been silent for this long counts as absent. Its vote is
# lost, and it is replaced once a successor is available.
ABSENT_SECONDS = 3.0
# A learner that has been silent for this long is removed from the group.
EXPIRY_SECONDS = 15.0
# Interval after which the leader repeats a membership step that was refused.
RETRY_INTERVAL_SECONDS = 0.4
CHANGE_TIMEOUT_SECONDS = 3.0
# Timeout of the addition of a store, which may be heard but not be reached.
ADDITION_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 0.9


class Members:
    """Presence of the stores and membership changes of the group.

    Parameters
    ----------
    settings : RoleSettings
        Settings of this store.
    link : Link
        Link to the other stores.
    group : Group
        Replica of the group on this store.
    ledger : Ledger
        Replicated state, which lists the stores to retire and the voters that
        are silent.
    """

    def __init__(self, settings, link, group, ledger):
        self.settings = settings
        self.host_id = settings.address
        self.link = link
        self.group = group
        self.ledger = ledger
        self.presence = {}
        self.listening_since = clock.monotonic()
        # Outcome of the last record of silent voters.
        self.record_future = None
        self.next_presence = 0.0
        self.step = None
        self.step_future = None
        # Additions of stores that have not answered yet. No other step waits
        # for them.
        self.additions = {}
        # Times until which steps that were refused are not repeated.
        self.refused = {}
        link.register(
            fleetmessages.StoreNews, self.record_presence, inline=True
        )

    @property
    def required_voters(self):
        """Number of voters needed to tolerate the configured store losses."""
        return reconfiguration.count_voters(self.settings.tolerated_stores)

    def list_others(self):
        """Return the host ids of the other known stores."""
        host_ids = set(self.presence) | self.group.list_contacts()
        return sorted(host_ids - {self.host_id})

    def list_zones(self):
        """Return the availability zones of the stores that were heard."""
        return {
            message.availability_zone
            for _, message in list(self.presence.values())
        }

    def record_presence(self, sender_id, message):
        """Record the presence announcement of a store."""
        if message.host_id not in self.presence:
            LOG.info('event=store_heard store={}', message.host_id)
        self.presence[message.host_id] = (clock.monotonic(), message)

    def announce_presence(self, now):
        """Announce this store to the other stores when it is due.

        A store whose replica has failed is not announced. It cannot vote, so
        the leader has to replace it like a lost one.
        """
        self.update_listening(now)
        if now < self.next_presence or self.group.failure is not None:
            return
        self.next_presence = now + PRESENCE_INTERVAL_SECONDS
        message = fleetmessages.StoreNews(
            self.host_id,
            self.settings.name,
            self.settings.availability_zone,
        )
        self.presence[self.host_id] = (now, message)
        for host_id in self.list_others():
            self.link.send(host_id, message)

    def update_listening(self, now):
        """Start to listen anew if no other store has been heard for long."""
        last_heard = max(
            (
                last_contact
                for host_id, (last_contact, _) in list(self.presence.items())
                if host_id != self.host_id
            ),
            default=self.listening_since,
        )
        if now - last_heard > DEAF_SECONDS:
            self.listening_since = now

    def list_stores(self, now):
        """Return the known stores for `reconfiguration.plan_step`."""
        return tuple(
            reconfiguration.Store(
                host_id,
                message.availability_zone,
                now - last_contact <= ABSENT_SECONDS,
                host_id in self.ledger.retiring,
                now - last_contact > EXPIRY_SECONDS,
            )
            for host_id, (last_contact, message) in list(self.presence.items())
        )

    def find_silent_voters(self, now):
        """Return the host ids of the voters that are silent.

        One that is recorded as silent remains so until it is heard, however
        short this store has listened.
        """
        return frozenset(
            member.host_id
            for member in model.get_voters(self.group.members)
            if self.get_silence(member.host_id, now) > SILENT_SECONDS
        )

    def get_silence(self, host_id, now):
        """Return for how many seconds a store was not heard."""
        heard_at, _ = self.presence.get(host_id, (float('-inf'), None))
        if host_id in self.ledger.silent_stores:
            return now - heard_at
        return now - max(heard_at, self.listening_since)

    def record_silent_voters(self, now):
        """Commit which voters are silent, so that a restart forgets none."""
        silent = self.find_silent_voters(now)
        recorded = self.ledger.silent_stores
        is_pending = self.record_future is not None and (
            not self.record_future.done()
        )
        if silent == recorded or is_pending:
            return
        for host_id in sorted(silent - recorded):
            LOG.warning(
                'event=voter_silent store={} seconds={:.3f} listening={:.3f}',
                host_id,
                self.get_silence(host_id, now),
                now - self.listening_since,
            )
        for host_id in sorted(recorded - silent):
            LOG.info('event=voter_heard store={}', host_id)
        self.record_future = self.group.propose(
            commands.FAMILY.encode(
                commands.RecordSilentStores(tuple(sorted(silent)))
            ),
            now + CHANGE_TIMEOUT_SECONDS,
        )

    def advance_membership(self, now):
        """Start the next step of a membership change when it is due.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        self.record_silent_voters(now)
        if self.step_future is not None:
            if not self.step_future.done():
                return
            if is_refused(self.step_future.result()):
                self.refused[self.step] = now + RETRY_INTERVAL_SECONDS
            self.step_future = None
        self.finish_additions(now)
        self.refused = {
            step: retry_at
            for step, retry_at in self.refused.items()
            if now < retry_at
        }
        step = reconfiguration.plan_step(
            self.host_id,
            self.group.members,
            self.list_stores(now),
            self.required_voters,
            now - self.listening_since,
            self.group.state.disk_full,
            self.refused.keys() | self.additions.keys(),
            self.ledger.silent_stores,
        )
        if step is None:
            return
        LOG.info('event=member_step step={}', step)
        self.step = step
        deadline = now + CHANGE_TIMEOUT_SECONDS
        match step:
            case reconfiguration.AddLearner(host_id=host_id):
                self.additions[step] = self.group.add_learner(
                    host_id, now + ADDITION_TIMEOUT_SECONDS
                )
            case reconfiguration.Prepare(host_id=host_id):
                self.group.prepare(host_id)
                self.refused[step] = now + RETRY_INTERVAL_SECONDS
            case reconfiguration.Promote(host_id=host_id):
                self.step_future = self.group.promote(host_id, deadline)
            case reconfiguration.Remove(host_id=host_id):
                self.step_future = self.group.remove(host_id, deadline)
            case reconfiguration.HandOver(host_id=host_id):
                self.step_future = self.group.transfer(host_id)

    def finish_additions(self, now):
        """Forget the additions that have ended, and when to repeat them."""
        for step, future in list(self.additions.items()):
            if future.done():
                del self.additions[step]
                if is_refused(future.result()):
                    self.refused[step] = now + RETRY_INTERVAL_SECONDS

    def find_store(self, name):
        """Return the host id of the store with a name, or a `Refusal`."""
        for host_id, (_, message) in list(self.presence.items()):
            if message.name == name:
                return host_id
        return codes.Refusal(
            codes.ResultCode.NOT_FOUND, f'no store is named {name}'
        )

    def check_retirement(self, host_id):
        """Return a `Refusal` if a store must not be retired, else None.

        A store that has been silent for a short time counts as remaining: it
        may be suspended or restarting, and the store to retire keeps its vote
        until enough others have one.
        """
        remaining = [
            store
            for store in self.list_stores(clock.monotonic())
            if not store.is_expired
            and not store.is_retiring
            and store.host_id != host_id
        ]
        if len(remaining) >= self.required_voters:
            return None
        return codes.Refusal(
            codes.ResultCode.REVISION_CONFLICT,
            f'{len(remaining)} stores would remain, '
            f'{self.required_voters} are required',
        )

    def is_retired(self, name):
        """Return whether a store has left the group, or a `Refusal`."""
        host_id = self.find_store(name)
        if isinstance(host_id, codes.Refusal):
            return host_id
        read = self.group.read(
            clock.monotonic() + READ_TIMEOUT_SECONDS
        ).result()
        if isinstance(read, codes.Refusal):
            return read
        with self.group.lock:
            store = self.group.store
            is_committed = store.members_index <= self.group.state.commit_index
            member = model.find_member(store.members, host_id)
        return is_committed and member is None

    def transfer_leadership(self, timeout):
        """Transfer leadership to a present store if this one leads."""
        if not self.group.is_leader:
            return
        stores = self.list_stores(clock.monotonic())
        present = {store.host_id for store in stores if store.is_present}
        for member in model.get_voters(self.group.members):
            if member.host_id == self.host_id or (
                member.host_id not in present
            ):
                continue
            future = self.group.transfer(member.host_id)
            concurrent.futures.wait((future,), timeout)
            transferred = future.done() and future.result()
            LOG.info(
                'event=leadership_handed store={} done={}',
                member.host_id,
                transferred,
            )
            if transferred:
                return


def is_refused(result):
    """Return whether a membership step or a transfer has failed."""
    return result is False or isinstance(result, codes.Refusal)
