"""Failure detector of hosts based on the SWIM protocol.

References
----------
A. Das, I. Gupta, A. Motivala: SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol, DSN 2002.
"""

import dataclasses
import math

from rhubarbreach.membership import members
from rhubarbreach.protocol import membermessages

__all__ = ['Detector', 'MAX_PIGGYBACK_ROWS', 'PROBE_PERIOD_SECONDS']

# Interval between two probes that a host sends.
PROBE_PERIOD_SECONDS = 0.2
# A host that has not answered after this time is probed through other hosts.
DIRECT_TIMEOUT_SECONDS = 0.08
# A host that has not answered after this time is suspected. The timeout
# exceeds one period so that a busy host can still answer an indirect probe.
PROBE_TIMEOUT_SECONDS = 0.35
INDIRECT_PROBE_COUNT = 3
# Time in which a suspected host can refute the suspicion. It is multiplied by
# the decimal logarithm of the number of hosts if that exceeds 1.
SUSPICION_TIMEOUT_SECONDS = 1.5
# Interval between probes of dead hosts and unknown seeds. These probes
# reconnect the hosts after a partition.
RECONNECT_PERIOD_SECONDS = 1.0
# Dead hosts are remembered for this time, which exceeds a partition of an
# hour between regions.
DEAD_RETENTION_SECONDS = 7200.0
# Maximum number of rows of other hosts that a probe carries.
MAX_PIGGYBACK_ROWS = 8
# Maximum number of rows in one `HostTable`. A row takes about 150 bytes.
MAX_TABLE_ROWS = 500
# Each host sends a change this many times the binary logarithm of the number
# of hosts.
RETRANSMIT_FACTOR = 3
# Minimum interval between two exchanges of the whole table, and the interval
# per row. The latter keeps the bytes per second constant as hosts are added.
SYNC_PERIOD_SECONDS = 10.0
SYNC_SECONDS_PER_ROW = 0.1


class Detector:
    """Failure detector of one host, without clock or sockets.

    Parameters
    ----------
    own : HostRow
        Row of this host.
    seeds : iterable of str
        Host ids through which the host joins.
    send : callable
        Called as `send(host_id, message)`.
    random : random.Random
        Source of randomness.
    """

    def __init__(self, own, seeds, send, random):
        self.own = own
        self.seeds = tuple(seed for seed in seeds if seed != own.host_id)
        self.send = send
        self.random = random
        self.members = {}
        self.pending = {}
        self.relayed = {}
        self.probe_order = []
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

    def update_own_row(self, **fields):
        """Change fields of the own row and raise its incarnation."""
        incarnation = fields.pop('incarnation', self.own.incarnation + 1)
        self.own = dataclasses.replace(
            self.own, incarnation=incarnation, **fields
        )

    def count_transmissions(self):
        """Return how many times each host sends a change."""
        return RETRANSMIT_FACTOR * math.ceil(math.log2(len(self.members) + 2))

    def tick(self, now):
        """Send due probes and handle expired deadlines.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.extend_deadlines(now)
        self.check_pending(now)
        self.check_deadlines(now)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD_SECONDS
            self.probe_next(now)
        if now >= self.next_reconnect:
            self.next_reconnect = now + RECONNECT_PERIOD_SECONDS
            self.probe_unreachable(now)
        if now >= self.next_sync:
            self.sync_table(now)

    def extend_deadlines(self, now):
        """Extend all deadlines by the time that this process was paused.

        Answers may have arrived during the pause and not be read yet.
        """
        last, self.last_tick = self.last_tick, now
        if last is None or now - last <= 2 * PROBE_PERIOD_SECONDS:
            return
        pause = now - last
        for pending in self.pending.values():
            pending.indirect_at += pause
            pending.expires_at += pause
        for member in self.members.values():
            member.deadline += pause

    def check_pending(self, now):
        """Request indirect probes for late answers, then suspect."""
        for sequence, pending in list(self.pending.items()):
            if now >= pending.expires_at:
                del self.pending[sequence]
                self.suspect(pending, now)
            elif now >= pending.indirect_at:
                pending.indirect_at = math.inf
                self.request_indirect_probes(sequence, pending)
        for sequence, relayed in list(self.relayed.items()):
            if now >= relayed.expires_at:
                del self.relayed[sequence]

    def request_indirect_probes(self, sequence, pending):
        """Ask random hosts to probe the target."""
        others = [
            host_id
            for host_id in self.alive_ids()
            if host_id != pending.target_id
        ]
        count = min(INDIRECT_PROBE_COUNT, len(others))
        for host_id in self.random.sample(others, count):
            request = membermessages.ProbeRequest(
                sequence, pending.target_id, self.select_rows(host_id)
            )
            self.send(host_id, request)

    def suspect(self, pending, now):
        """Suspect a host that has not answered a probe.

        A host that has changed its incarnation since then is not suspected.
        """
        member = self.members.get(pending.target_id)
        if member is None or member.row.incarnation != pending.incarnation:
            return
        if member.row.status in (members.Status.SUSPECT, members.Status.DEAD):
            return
        row = dataclasses.replace(member.row, status=members.Status.SUSPECT)
        self.merge_row(row, now)

    def check_deadlines(self, now):
        """Declare expired suspects dead and remove expired dead hosts."""
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
        """Probe the next live host in random round-robin order."""
        alive = set(self.alive_ids())
        while self.probe_order:
            host_id = self.probe_order.pop()
            if host_id in alive:
                self.probe(host_id, now)
                return
        self.probe_order = sorted(alive)
        self.random.shuffle(self.probe_order)
        if self.probe_order:
            self.probe(self.probe_order.pop(), now)

    def probe_unreachable(self, now):
        """Probe one random dead host or unknown seed."""
        targets = [
            host_id
            for host_id, member in self.members.items()
            if member.row.status == members.Status.DEAD
        ]
        targets += [seed for seed in self.seeds if seed not in self.members]
        if targets:
            host_id = self.random.choice(sorted(targets))
            self.probe(host_id, now)

    def probe(self, host_id, now):
        """Send a probe to a host."""
        member = self.members.get(host_id)
        incarnation = -1 if member is None else member.row.incarnation
        self.sequence += 1
        self.pending[self.sequence] = members.PendingProbe(
            host_id,
            now + DIRECT_TIMEOUT_SECONDS,
            now + PROBE_TIMEOUT_SECONDS,
            incarnation,
        )
        rows = self.select_rows(host_id)
        self.send(host_id, membermessages.Probe(self.sequence, rows))

    def sync_table(self, now):
        """Request the whole table from one random host.

        A host that knows no live host asks all its seeds.
        """
        period = max(
            SYNC_PERIOD_SECONDS, SYNC_SECONDS_PER_ROW * len(self.members)
        )
        alive = self.alive_ids()
        if not alive:
            self.next_sync = now + RECONNECT_PERIOD_SECONDS
            for seed in self.seeds:
                self.send(seed, membermessages.HostTable((self.own,), True))
            return
        self.next_sync = now + period
        host_id = self.random.choice(sorted(alive))
        self.send(host_id, membermessages.HostTable((self.own,), True))

    def select_rows(self, receiver_id):
        """Return the rows that a message to a host carries.

        These are the own row, the row of the receiver if it is suspected or
        dead, and the most recently changed rows.
        """
        rows = [self.own]
        receiver = self.members.get(receiver_id)
        if receiver is not None and receiver.row.status in (
            members.Status.SUSPECT,
            members.Status.DEAD,
        ):
            # A host can refute its suspicion only if it learns of it.
            rows.append(receiver.row)
        recent = [
            member
            for member in self.members.values()
            if member.sends_left > 0 and member is not receiver
        ]
        recent.sort(key=lambda member: -member.sends_left)
        for member in recent[:MAX_PIGGYBACK_ROWS]:
            member.sends_left -= 1
            rows.append(member.row)
        return tuple(rows)

    def receive(self, sender_id, message, now):
        """Handle a message of another host.

        Parameters
        ----------
        sender_id : str
            Sender of the message.
        message : object
            `Probe`, `ProbeReply`, `ProbeRequest` or `HostTable`.
        now : float
            Monotonic seconds.
        """
        for row in message.rows:
            self.merge_row(row, now)
        match message:
            case membermessages.Probe(sequence=sequence):
                rows = self.select_rows(sender_id)
                reply = membermessages.ProbeReply(sequence, rows)
                self.send(sender_id, reply)
            case membermessages.ProbeReply(sequence=sequence):
                self.accept_reply(sequence)
            case membermessages.ProbeRequest(sequence=sequence):
                self.probe_for(sender_id, message, now)
            case membermessages.HostTable(wanted=True):
                self.send_table(sender_id)

    def accept_reply(self, sequence):
        """Complete a probe, or forward the answer to the requesting host."""
        relayed = self.relayed.pop(sequence, None)
        if relayed is None:
            self.pending.pop(sequence, None)
            return
        rows = self.select_rows(relayed.origin_id)
        reply = membermessages.ProbeReply(relayed.sequence, rows)
        self.send(relayed.origin_id, reply)

    def probe_for(self, origin_id, request, now):
        """Probe a host on behalf of another host."""
        self.sequence += 1
        self.relayed[self.sequence] = members.RelayedProbe(
            origin_id, request.sequence, now + PROBE_TIMEOUT_SECONDS
        )
        rows = self.select_rows(request.target_id)
        self.send(request.target_id, membermessages.Probe(self.sequence, rows))

    def send_table(self, receiver_id):
        """Send all rows in messages of bounded size."""
        rows = [self.own]
        rows += [member.row for member in self.members.values()]
        for start in range(0, len(rows), MAX_TABLE_ROWS):
            part = tuple(rows[start : start + MAX_TABLE_ROWS])
            self.send(receiver_id, membermessages.HostTable(part, False))

    def merge_row(self, row, now):
        """Store a row if it is newer than the known one."""
        if row.host_id == self.own.host_id:
            self.refute(row)
            return
        member = self.members.get(row.host_id)
        if member is not None and not members.is_newer(row, member.row):
            return
        if member is None:
            if row.status == members.Status.DEAD:
                # Dead hosts that are already removed must not return, since
                # hosts would then pass their rows on forever.
                return
            member = self.members[row.host_id] = members.Member(row)
        member.row = row
        member.sends_left = self.count_transmissions()
        member.deadline = self.get_deadline(row.status, now)
        if row.status in (members.Status.ALIVE, members.Status.DRAINING):
            member.draining = row.status == members.Status.DRAINING
        self.changes.append(row)

    def get_deadline(self, status, now):
        """Return the monotonic time at which a status expires."""
        if status == members.Status.SUSPECT:
            decades = max(1.0, math.log10(len(self.members) + 1))
            return now + SUSPICION_TIMEOUT_SECONDS * decades
        if status == members.Status.DEAD:
            return now + DEAD_RETENTION_SECONDS
        return math.inf

    def refute(self, row):
        """Refute a wrong row about this host with a newer incarnation."""
        if row.incarnation < self.own.incarnation or row == self.own:
            return
        self.update_own_row(incarnation=row.incarnation + 1)
