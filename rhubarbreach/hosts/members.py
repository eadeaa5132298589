"""The stores of a fleet: who is there, who votes, who is to be emptied."""

import concurrent.futures

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach.fleet import reconfiguration
from rhubarbreach.protocol import fleetmessages

__all__ = ['Members']

LOG = eventlog.Logger('members')

# Stores tell each other of their presence this often, in seconds.
PRESENCE_SECONDS = 0.8
# A store that has not been heard for this long has no vote to give; it is
# replaced when another one can follow it.
ABSENT_SECONDS = 3.0
FORGET_SECONDS = 15.0
# Interval of the leader's steps, and the time that a step has.
STEP_SECONDS = 0.4
CHANGE_SECONDS = 3.0
READ_SECONDS = 0.9


class Members:
    """Presence of the stores and changes of the group's members.

    Parameters
    ----------
    settings : RoleSettings
        Settings of this store.
    link : Link
        Link to the other stores.
    group : Group
        Replica of the group on this store.
    ledger : Ledger
        Replicated state; it says which stores are to be emptied.
    """

    def __init__(self, settings, link, group, ledger):
        self.settings = settings
        self.host_id = settings.address
        self.link = link
        self.group = group
        self.ledger = ledger
        self.present = {}
        self.presence_due = 0.0
        self.step_due = 0.0
        self.step_future = None
        link.register(fleetmessages.StoreNews, self.take_presence, inline=True)

    @property
    def needed(self):
        """Voters that bear the losses that have to be borne."""
        return reconfiguration.count_voters(self.settings.tolerated_stores)

    def list_others(self):
        """Return the other stores that are known."""
        known = set(self.settings.seeds) | set(self.present)
        known.update(m.host_id for m in self.group.members)
        return sorted(known - {self.host_id})

    def take_presence(self, sender_id, message):
        """Note that a store is present."""
        if message.host_id not in self.present:
            LOG.info('event=store_heard store={}', message.host_id)
        self.present[message.host_id] = (clock.monotonic(), message)

    def tell_presence(self, now):
        """Tell the other stores that this one is present, when it is due."""
        if now < self.presence_due:
            return
        self.presence_due = now + PRESENCE_SECONDS
        message = fleetmessages.StoreNews(
            self.host_id,
            self.settings.name,
            self.settings.availability_zone,
        )
        self.present[self.host_id] = (now, message)
        for host_id in self.list_others():
            self.link.send(host_id, message)

    def list_stores(self, now):
        """Return the stores that are known, for the steward."""
        return tuple(
            reconfiguration.Store(
                host_id,
                message.availability_zone,
                now - heard <= ABSENT_SECONDS,
                host_id in self.ledger.retiring,
                now - heard > FORGET_SECONDS,
            )
            for host_id, (heard, message) in list(self.present.items())
        )

    def take_step(self, now, led):
        """Take the next step of a change of the members, when it is due.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        led : float
            Seconds since this store began to lead.
        """
        if now < self.step_due:
            return
        self.step_due = now + STEP_SECONDS
        if self.step_future is not None and not self.step_future.done():
            return
        step = reconfiguration.plan_step(
            self.host_id,
            self.group.members,
            self.list_stores(now),
            self.needed,
            led,
            self.group.state.disk_full,
        )
        if step is None:
            return
        LOG.info('event=member_step step={}', step)
        deadline = now + CHANGE_SECONDS
        match step:
            case reconfiguration.AddLearner(host_id=host_id):
                self.step_future = self.group.add_learner(host_id, deadline)
            case reconfiguration.Promote(host_id=host_id):
                self.step_future = self.group.promote(host_id, deadline)
            case reconfiguration.Remove(host_id=host_id):
                self.step_future = self.group.remove(host_id, deadline)
            case reconfiguration.HandOver(host_id=host_id):
                self.step_future = self.group.transfer(host_id)

    def find_store(self, name):
        """Return the host id of a store by its name, or a `Refusal`."""
        for host_id, (_, message) in list(self.present.items()):
            if message.name == name:
                return host_id
        return codes.Refusal(codes.ResultCode.NOT_FOUND, f'no store {name}')

    def refuse_retirement(self, host_id):
        """Return the refusal to empty a store, None if it may be emptied."""
        staying = [
            store
            for store in self.list_stores(clock.monotonic())
            if store.is_present
            and not store.is_retiring
            and store.host_id != host_id
        ]
        if len(staying) >= self.needed:
            return None
        return codes.Refusal(
            codes.ResultCode.REVISION_CONFLICT,
            f'{len(staying)} stores would remain, {self.needed} are needed',
        )

    def is_retired(self, name):
        """Return whether a store is empty, or a `Refusal`."""
        host_id = self.find_store(name)
        if isinstance(host_id, codes.Refusal):
            return host_id
        read = self.group.read(clock.monotonic() + READ_SECONDS).result()
        if isinstance(read, codes.Refusal):
            return read
        with self.group.lock:
            store = self.group.store
            settled = store.members_index <= self.group.state.commit_index
            member = model.find_member(store.members, host_id)
        return settled and member is None

    def hand_over(self, seconds):
        """Hand leadership to a store that is present, if this one leads."""
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
            concurrent.futures.wait((future,), seconds)
            handed = future.done() and future.result()
            LOG.info(
                'event=leadership_handed store={} done={}',
                member.host_id,
                handed,
            )
            if handed:
                return
