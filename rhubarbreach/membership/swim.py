"""Failure detection of hosts by random probes.

References
----------
A. Das, I. Gupta, A. Motivala: SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol, DSN 2002.
"""

import dataclasses
import math

from rhubarbreach.membership import members
from rhubarbreach.protocol import membermessages

__all__ = ['Detector', 'MAX_ROWS', 'PROBE_PERIOD']

# Seconds between two probes of a host.
PROBE_PERIOD = 0.2
# Seconds after which other hosts are asked to probe.
DIRECT_TIMEOUT = 0.08
# Seconds after which a probe counts as missing. It exceeds one period so
# that a busy host has time for an answer through a third host.
PROBE_TIMEOUT = 0.35
INDIRECT_HOSTS = 3
# Seconds a suspected host has for a refutation, per decade of hosts.
SUSPICION_TIMEOUT = 1.5
# Seconds between probes of a dead host or of a seed that is not alive,
# which find peers again after a partition.
RECONNECT_PERIOD = 1.0
# Seconds for which dead hosts are remembered; regions may be partitioned
# from each other for an hour.
DEAD_KEEP = 7200.0
# Rows in one probe, beside the sender's own.
MAX_ROWS = 8
# Rows in one message of the whole table: about 150 bytes each.
TABLE_ROWS = 500
# Each change is sent this many times per factor two of hosts.
SPREAD_FACTOR = 3
# Seconds between two exchanges of the whole table, and seconds per row of
# it, so that the bytes per second do not grow with the number of hosts.
SYNC_PERIOD = 10.0
SYNC_PERIOD_PER_ROW = 0.1


class Detector:
    """State of the failure detection of one host, without clock or sockets.

    Parameters
    ----------
    own : HostRow
        Row of this host.
    seeds : iterable of str
        Host ids through which the host joins.
    send : callable
        `send(host_id, message)`.
    random : random.Random
        Source of all choices.
    """

    def __init__(self, own, seeds, send, random):
        self.own = own
        self.seeds = tuple(seed for seed in seeds if seed != own.host_id)
        self.send = send
        self.random = random
        self.members = {}
        self.pending = {}
        self.relayed = {}
        self.order = []
        self.sequence = 0
        self.next_probe = -math.inf
        self.next_reconnect = -math.inf
        self.next_sync = -math.inf
        self.last_tick = None
        self.changes = []

    def alive_ids(self):
        """Return the ids of the other hosts that are not dead."""
        return [
            host_id
            for host_id, member in self.members.items()
            if member.row.status != members.Status.DEAD
        ]

    def take_changes(self):
        """Return the rows that changed since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def set_own(self, **fields):
        """Change this host's own row and spread it."""
        incarnation = fields.pop('incarnation', self.own.incarnation + 1)
        self.own = dataclasses.replace(
            self.own, incarnation=incarnation, **fields
        )

    def count_sends(self):
        """Return how often a change is sent by each host."""
        return SPREAD_FACTOR * math.ceil(math.log2(len(self.members) + 2))

    def tick(self, now):
        """Do what is due.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.excuse_pause(now)
        self.check_pending(now)
        self.check_deadlines(now)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD
            self.probe_next(now)
        if now >= self.next_reconnect:
            self.next_reconnect = now + RECONNECT_PERIOD
            self.probe_lost(now)
        if now >= self.next_sync:
            self.sync_table(now)

    def excuse_pause(self, now):
        """Move all deadlines when this process did not run for a while.

        Answers may have arrived meanwhile and wait to be read.
        """
        last, self.last_tick = self.last_tick, now
        if last is None or now - last <= 2 * PROBE_PERIOD:
            return
        gap = now - last
        for pending in self.pending.values():
            pending.ask_others_at += gap
            pending.expires_at += gap
        for member in self.members.values():
            member.deadline += gap

    def check_pending(self, now):
        """Ask others about missing answers, then suspect."""
        for sequence, pending in list(self.pending.items()):
            if now >= pending.expires_at:
                del self.pending[sequence]
                self.suspect(pending, now)
            elif now >= pending.ask_others_at:
                pending.ask_others_at = math.inf
                self.ask_others(sequence, pending)
        for sequence, relayed in list(self.relayed.items()):
            if now >= relayed.expires_at:
                del self.relayed[sequence]

    def ask_others(self, sequence, pending):
        """Ask a few hosts to probe the target."""
        others = [
            host_id
            for host_id in self.alive_ids()
            if host_id != pending.target_id
        ]
        count = min(INDIRECT_HOSTS, len(others))
        for host_id in self.random.sample(others, count):
            request = membermessages.ProbeRequest(
                sequence, pending.target_id, self.take_rows(host_id)
            )
            self.send(host_id, request)

    def suspect(self, pending, now):
        """Suspect a host that did not answer."""
        member = self.members.get(pending.target_id)
        if member is None or member.row.incarnation != pending.incarnation:
            return
        if member.row.status in (members.Status.SUSPECT, members.Status.DEAD):
            return
        row = dataclasses.replace(member.row, status=members.Status.SUSPECT)
        self.merge_row(row, now)

    def check_deadlines(self, now):
        """Declare suspected hosts dead and forget old dead ones."""
        for host_id, member in list(self.members.items()):
            if now < member.deadline:
                continue
            if member.row.status == members.Status.SUSPECT:
                row = dataclasses.replace(
                    member.row, status=members.Status.DEAD
                )
                self.merge_row(row, now)
            else:
                del self.members[host_id]

    def probe_next(self, now):
        """Probe the next host of a random order over all live hosts."""
        alive = set(self.alive_ids())
        while self.order:
            host_id = self.order.pop()
            if host_id in alive:
                self.probe(host_id, now)
                return
        self.order = sorted(alive)
        self.random.shuffle(self.order)
        if self.order:
            self.probe(self.order.pop(), now)

    def probe_lost(self, now):
        """Probe one host that is dead or a seed that is not known."""
        lost = [
            host_id
            for host_id, member in self.members.items()
            if member.row.status == members.Status.DEAD
        ]
        lost += [seed for seed in self.seeds if seed not in self.members]
        if lost:
            host_id = self.random.choice(sorted(lost))
            self.probe(host_id, now)

    def probe(self, host_id, now):
        """Send a probe."""
        member = self.members.get(host_id)
        incarnation = -1 if member is None else member.row.incarnation
        self.sequence += 1
        self.pending[self.sequence] = members.Pending(
            host_id, now + DIRECT_TIMEOUT, now + PROBE_TIMEOUT, incarnation
        )
        rows = self.take_rows(host_id)
        self.send(host_id, membermessages.Probe(self.sequence, rows))

    def sync_table(self, now):
        """Exchange the whole table with one random host.

        A host that knows nobody asks all its seeds.
        """
        period = max(SYNC_PERIOD, SYNC_PERIOD_PER_ROW * len(self.members))
        alive = self.alive_ids()
        if not alive:
            self.next_sync = now + RECONNECT_PERIOD
            for seed in self.seeds:
                self.send(seed, membermessages.HostTable((self.own,), True))
            return
        self.next_sync = now + period
        host_id = self.random.choice(sorted(alive))
        self.send(host_id, membermessages.HostTable((self.own,), True))

    def take_rows(self, receiver_id):
        """Return rows to send: own, the receiver's if not alive, recent."""
        rows = [self.own]
        receiver = self.members.get(receiver_id)
        if receiver is not None and receiver.row.status in (
            members.Status.SUSPECT,
            members.Status.DEAD,
        ):
            # The receiver can only refute what it is told.
            rows.append(receiver.row)
        recent = [
            member
            for member in self.members.values()
            if member.sends > 0 and member is not receiver
        ]
        recent.sort(key=lambda member: -member.sends)
        for member in recent[:MAX_ROWS]:
            member.sends -= 1
            rows.append(member.row)
        return tuple(rows)

    def receive(self, sender_id, message, now):
        """Handle a message of another host.

        Parameters
        ----------
        sender_id : str
            Host that sent it.
        message : object
            `Probe`, `ProbeReply`, `ProbeRequest` or `HostTable`.
        now : float
            Monotonic seconds.
        """
        for row in message.rows:
            self.merge_row(row, now)
        match message:
            case membermessages.Probe(sequence=sequence):
                rows = self.take_rows(sender_id)
                reply = membermessages.ProbeReply(sequence, rows)
                self.send(sender_id, reply)
            case membermessages.ProbeReply(sequence=sequence):
                self.accept_reply(sequence)
            case membermessages.ProbeRequest(sequence=sequence):
                self.probe_for(sender_id, message, now)
            case membermessages.HostTable(wanted=True):
                self.send_table(sender_id)

    def accept_reply(self, sequence):
        """Close a probe, or pass the answer on to the host that asked."""
        relayed = self.relayed.pop(sequence, None)
        if relayed is None:
            self.pending.pop(sequence, None)
            return
        rows = self.take_rows(relayed.origin_id)
        reply = membermessages.ProbeReply(relayed.sequence, rows)
        self.send(relayed.origin_id, reply)

    def probe_for(self, origin_id, request, now):
        """Probe a host for another host."""
        self.sequence += 1
        self.relayed[self.sequence] = members.Relayed(
            origin_id, request.sequence, now + PROBE_TIMEOUT
        )
        rows = self.take_rows(request.target_id)
        self.send(request.target_id, membermessages.Probe(self.sequence, rows))

    def send_table(self, receiver_id):
        """Send all rows in messages of bounded size."""
        rows = [self.own]
        rows += [member.row for member in self.members.values()]
        for start in range(0, len(rows), TABLE_ROWS):
            part = tuple(rows[start : start + TABLE_ROWS])
            self.send(receiver_id, membermessages.HostTable(part, False))

    def merge_row(self, row, now):
        """Take over a row if it is newer than the known one."""
        if row.host_id == self.own.host_id:
            self.refute(row)
            return
        member = self.members.get(row.host_id)
        if member is not None and not members.is_newer(row, member.row):
            return
        if member is None:
            if row.status == members.Status.DEAD:
                # Spreading deaths of unknown hosts would keep them forever.
                return
            member = self.members[row.host_id] = members.Member(row)
        member.row = row
        member.sends = self.count_sends()
        member.deadline = self.get_deadline(row.status, now)
        if row.status in (members.Status.ALIVE, members.Status.DRAINING):
            member.draining = row.status == members.Status.DRAINING
        self.changes.append(row)

    def get_deadline(self, status, now):
        """Return when a member of a status changes by itself."""
        if status == members.Status.SUSPECT:
            decades = max(1.0, math.log10(len(self.members) + 1))
            return now + SUSPICION_TIMEOUT * decades
        if status == members.Status.DEAD:
            return now + DEAD_KEEP
        return math.inf

    def refute(self, row):
        """Answer a wrong row about this host with a newer incarnation."""
        if row.incarnation < self.own.incarnation or row == self.own:
            return
        self.set_own(incarnation=row.incarnation + 1)
