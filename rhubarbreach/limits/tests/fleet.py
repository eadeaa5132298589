"""Simulation of hosts with rate shares in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from rhubarbreach.limits import holder
from rhubarbreach.limits import owner
from rhubarbreach.protocol import limitmessages
from rhubarbreach import rendezvous
from rhubarbreach.state import model

# Seconds of configuration validity after a poll.
VALIDITY = 2.0
# Largest drift of a clock. Two clocks differ by at most twice this value,
# which is below MAX_DRIFT.
DRIFT = 0.0049
# Requests that arrive at a host at a time.
REQUESTS_PER_ARRIVAL = 4


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of one host; times in seconds.

    `kind` is cut (partitioned from the other hosts), silent (the same, but
    undetected by the hosts), store_cut (no configuration polls), pause or
    crash.
    """

    kind: str
    host: int
    start: float
    duration: float


class Host:
    """Simulated host with its own clock."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.name = f'h{index}'
        drift = fleet.random.uniform(-DRIFT, DRIFT)
        self.clock_rate = 1 + drift * fleet.drifting
        self.offset = fleet.random.uniform(0, 1000)
        self.restart()

    def restart(self):
        """Reset all state, as a restarted process does."""
        now = self.now()
        self.holder = holder.Holder(self.name, now)
        self.holder.message_number = int(self.fleet.time * 1000)
        self.owner = owner.Owner(self.name, now)
        self.account = None
        self.valid_until = 0.0
        self.next_call_at = 0.0
        self.stale = []

    def now(self):
        """Return the time of this host's clock."""
        return self.offset + self.fleet.time * self.clock_rate

    def poll(self):
        """Poll the configuration."""
        if self.fleet.is_faulty('store_cut', self.name):
            return
        config = self.fleet.config
        self.account = config.accounts[0]
        self.valid_until = self.now() + VALIDITY * 0.99
        self.holder.set_share_set(
            config.share_epoch, config.share_hosts, VALIDITY, self.now()
        )

    def send_leases(self):
        """Send the leases to the owners."""
        if self.now() >= self.valid_until:
            return
        owners = rendezvous.rank_hosts('r', self.fleet.list_alive(self), 3)
        for outgoing in self.holder.plan_leases(owners, self.now()):
            self.fleet.send(self, outgoing.owner_id, outgoing)

    def request(self):
        """Admit arriving requests; call the owner if tokens are missing."""
        now = self.now()
        if self.account is None or now >= self.valid_until:
            return
        if not self.fleet.is_busy():
            return
        waiting = REQUESTS_PER_ARRIVAL
        while waiting and self.holder.spend(self.account, 1.0, now):
            self.fleet.admit(self)
            waiting -= 1
        if waiting and now >= self.next_call_at:
            self.next_call_at = now + 0.2
            wanted = float(waiting)
            request = self.holder.make_request('a', wanted, 1.0, wanted)
            owner_id = self.holder.find_owner('a')
            self.fleet.send(
                self, owner_id, TokenCall(request, now, owner_id, set())
            )

    def receive(self, sender, message):
        """Handle a message or a reply."""
        now = self.now()
        match message:
            case holder.OutgoingLease(message=lease):
                reply = self.owner.accept_lease(sender.name, lease, now)
                self.fleet.send(self, sender.name, Reply(message, reply))
            case TokenCall(request=request):
                if self.account is not None and now < self.valid_until:
                    reply = self.owner.grant(request, self.account, now)
                    self.fleet.send(self, sender.name, Reply(message, reply))
            case Reply(call=TokenCall() as call, reply=reply):
                if call.answered:
                    # The link completes a call only once.
                    return
                call.answered.add(reply)
                self.next_call_at = 0.0
                self.holder.accept_grant(
                    'a', call.owner_id, reply, call.sent_at
                )
                self.request()
            case Reply(call=outgoing, reply=reply):
                if self.holder.accept_lease_reply(outgoing, reply, now):
                    next_lease = self.holder.make_lease(outgoing.owner_id, now)
                    self.fleet.send(self, next_lease.owner_id, next_lease)


@dataclasses.dataclass(frozen=True)
class TokenCall:
    """Token request in flight, with the replies received for it."""

    request: limitmessages.GrantRequest
    sent_at: float
    owner_id: str
    answered: set


@dataclasses.dataclass(frozen=True)
class Reply:
    """Reply together with the call to which it belongs."""

    call: object
    reply: object


class Fleet:
    """Simulation of hosts, network and faults that records admissions.

    Parameters
    ----------
    seed : int
        Seed of the message delays and clocks.
    account : Account
        The only client account.
    faults : list of Fault
        Faults to inject.
    drifting : bool
        Whether the clocks of the hosts differ in speed.
    lossy : bool
        Whether the network loses, duplicates and delays messages.
    callers : int
        Number of hosts, counted from the first, that receive requests.
    """

    def __init__(
        self, seed, account, faults, drifting=True, lossy=True, callers=5
    ):
        self.random = random.Random(seed)
        self.time = 0.0
        self.faults = faults
        self.drifting = drifting
        self.lossy = lossy
        self.busy = ((0.0, math.inf),)
        self.order = itertools.count()
        self.events = []
        self.admissions = []
        self.admitted_by = collections.Counter()
        self.hosts = [Host(self, index) for index in range(5)]
        self.by_name = {host.name: host for host in self.hosts}
        self.config = model.Config(1, (account,), share_epoch=1)
        self.set_config(share_hosts=tuple(self.by_name))
        for host in self.hosts:
            self.repeat(host, host.poll, 0.3)
            self.repeat(host, host.send_leases, 1.0)
        for host in self.hosts[:callers]:
            self.repeat(host, host.request, 0.04)
        for fault in faults:
            if fault.kind == 'crash':
                host = self.hosts[fault.host]
                self.at(fault.start + fault.duration, host.restart)

    def is_busy(self):
        """Return whether requests arrive now; otherwise the buckets fill."""
        return any(start <= self.time < end for start, end in self.busy)

    def set_config(self, **fields):
        """Commit a configuration."""
        self.config = dataclasses.replace(self.config, **fields)

    def at(self, time, action):
        """Schedule an action at a time."""
        heapq.heappush(self.events, (time, next(self.order), action))

    def repeat(self, host, action, period):
        """Schedule an action of a host periodically."""

        def run():
            self.at(self.time + period, run)
            self.run_on(host, action)

        self.at(self.random.uniform(0, period), run)

    def run_on(self, host, action):
        """Run an action unless its host is down; delay it if paused."""
        if self.is_faulty('crash', host.name):
            return
        for fault in self.faults:
            if fault.kind == 'pause' and self.is_active(fault, host.name):
                end = fault.start + fault.duration
                self.at(end, lambda: self.run_on(host, action))
                return
        action()

    def is_active(self, fault, name):
        """Return whether a fault affects a host now."""
        end = fault.start + fault.duration
        is_affected = self.hosts[fault.host].name == name
        return is_affected and fault.start <= self.time < end

    def is_faulty(self, kind, name):
        """Return whether a fault of a kind affects a host now."""
        return any(
            fault.kind == kind and self.is_active(fault, name)
            for fault in self.faults
        )

    def list_alive(self, observer):
        """Return the hosts that a host considers alive.

        Each host reads this list once per second, when it sends its leases,
        so it notices a change up to 1 s late.
        """
        return [
            host.name
            for host in self.hosts
            if host is observer
            or not (
                self.is_faulty('crash', host.name)
                or self.is_faulty('cut', host.name)
                or self.is_faulty('cut', observer.name)
            )
        ]

    def send(self, sender, receiver_id, message):
        """Schedule the delivery of a message: late, repeated or not at all."""
        receiver = self.by_name.get(receiver_id)
        if receiver is None:
            return
        is_partitioned = receiver is not sender and any(
            self.is_faulty(kind, host.name)
            for host in (sender, receiver)
            for kind in ('cut', 'silent')
        )
        if is_partitioned:
            return
        for delay in self.choose_delays(receiver is sender):
            self.at(
                self.time + delay,
                lambda: self.run_on(
                    receiver, lambda: receiver.receive(sender, message)
                ),
            )

    def choose_delays(self, is_local):
        """Return the delays of the copies of a message."""
        delay = self.random.uniform(0.001, 0.01)
        if is_local or not self.lossy:
            return [delay]
        roll = self.random.random()
        if roll < 0.05:
            return []
        if roll < 0.1:
            return [delay, self.random.uniform(0.0, 4.0)]
        if roll < 0.15:
            return [self.random.uniform(0.0, 4.0)]
        return [delay]

    def admit(self, host):
        """Record an admitted request."""
        self.admissions.append(self.time)
        self.admitted_by[host.name] += 1

    def run(self, until):
        """Run all scheduled events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.time, _, action = heapq.heappop(self.events)
            action()


def measure_excess(admissions, burst, earned):
    """Return the largest excess over burst and rate in any window.

    Parameters
    ----------
    admissions : list of float
        Times of admitted requests of cost 1.
    burst : float
        Largest burst in force, in tokens.
    earned : callable
        Returns the tokens that the rate in force yields from 0 to a time.
    """
    excess, max_slack = 0.0, float('-inf')
    for index, time in enumerate(admissions):
        max_slack = max(max_slack, earned(time) - index)
        excess = max(excess, index + 1 - earned(time) + max_slack - burst)
    return excess
