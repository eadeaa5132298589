"""Hosts and engines of the policy measurement, in virtual time."""

import dataclasses
import itertools
import random

from rhubarbreach.bench import virtual
from rhubarbreach import codes
from rhubarbreach.emulator import engine
from rhubarbreach.limits import holder
from rhubarbreach.limits import shares
from rhubarbreach.limits import slots
from rhubarbreach.membership import endpoints
from rhubarbreach.membership import model
from rhubarbreach.membership import rendezvous
from rhubarbreach.placement import core
from rhubarbreach.placement import scheduler
from rhubarbreach.protocol import membermessages
from rhubarbreach.scheduling import work
from rhubarbreach.settings import model as settings_model
from rhubarbreach.state import model as state_model

__all__ = ['BATCH_WINDOW', 'Fleet', 'Host', 'Task', 'get_engine_time']

# Batch items that a host claims in advance for each account.
BATCH_WINDOW = 16
# Seconds between two announcements, and age of the load in them.
ANNOUNCE_PERIOD = 1.0
LOAD_LAG = 0.3
LOCAL_DELAY = 0.0002
# Slots of the default settings.
BASELINE_SLOTS = 8


@dataclasses.dataclass
class View:
    """Configuration that stays valid."""

    snapshot: state_model.Config
    valid_until: float = float('inf')


class Members:
    """Membership that does not change."""

    def __init__(self, hosts):
        self.hosts = hosts

    def alive(self):
        """Return all hosts."""
        return self.hosts

    def owners(self, name, count, region=None):
        """Return the hosts responsible for a name."""
        ids = [host.host_id for host in self.hosts]
        return rendezvous.rank_hosts(name, ids, count)


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A request or item: sizes in tokens, and how many are made."""

    key: bytes
    prompt: int
    output: int
    made: int = 0


class Host:
    """One host: rate limiter, scheduler and a stand-in for dispatch."""

    def __init__(self, fleet, plan, mode, seed):
        self.fleet = fleet
        self.loop = fleet.loop
        self.plan = plan
        self.link = virtual.VirtualLink(fleet.network, plan.host_id)
        self.registry = endpoints.EndpointRegistry()
        policy = settings_model.PolicySettings(mode, BASELINE_SLOTS)
        self.scheduler = scheduler.Scheduler(
            plan.host_id,
            plan.zone,
            self.registry,
            policy,
            fleet.members,
            self.link,
            random.Random(seed),
            self.loop.monotonic,
        )
        self.scheduler.set_preempt(self.preempt)
        self.limiter = shares.RateLimiter(
            plan.host_id,
            fleet.plan.region,
            fleet.view,
            fleet.members,
            self.link,
            mode == core.BASELINE,
            self.loop.monotonic,
        )
        self.ids = itertools.count()
        self.attempts = {}
        self.stepping = False
        self.start()

    def start(self):
        """Start the periodic tasks."""
        self.loop.every(holder.LEASE_PERIOD, self.limiter.send_leases)
        self.loop.every(slots.REPORT_PERIOD, self.report)
        self.loop.every(scheduler.IDLE_STEP_SECONDS, self.scheduler.step)
        self.scheduler.wake = self.wake

    def report(self):
        """Exchange slots and counters."""
        self.scheduler.exchange.report(self.loop.now)

    def wake(self):
        """Let the scheduler decide once after the current event."""
        if not self.stepping:
            self.stepping = True
            self.loop.after(0.0, self.step)

    def step(self):
        """Run one step of the scheduler."""
        self.stepping = False
        self.scheduler.step()

    def admit(self, account_id, done, retried=False):
        """Ask the rate limiter; `done(refusal)` gets None if admitted."""
        waiter = self.limiter.submit(account_id, 1.0)

        def decide(future):
            refusal = future.result()
            if shares.is_short_wait(refusal) and not retried:
                self.loop.after(
                    refusal.retry_after, self.admit, account_id, done, True
                )
            else:
                done(refusal)

        waiter.future.add_done_callback(decide)

    def execute(self, account_id, lane, task, deadline, finish):
        """Run a request; `finish(outcome, refusal, first token time)`."""
        name = f'{self.plan.host_id}-{next(self.ids)}'
        item = work.Work(
            name,
            account_id,
            self.fleet.plan.model_id,
            lane,
            float(task.output - task.made),
            deadline,
            digest=name.encode(),
            prefix=(task.key,),
            weight=self.fleet.weights[account_id],
        )
        future = self.scheduler.submit(item)
        future.add_done_callback(
            lambda done: self.run(done.result(), task, finish)
        )

    def run(self, result, task, finish):
        """Run a placed request on its engine."""
        if isinstance(result, codes.Refusal):
            finish(None, result, None)
            return
        engine = self.fleet.engines[result.endpoint.endpoint_id]
        delay = self.fleet.get_delay(self.plan.zone, result.endpoint.zone)
        lane = result.work.lane
        times = {'start': self.loop.now}

        def on_first(sequence):
            times['first'] = self.loop.now + delay

        def on_end(sequence):
            self.fleet.count_use(lane, sequence)
            self.loop.after(delay, end, work.OutcomeStatus.COMPLETED)

        def end(status):
            if self.attempts.pop(result.work.work_id, None) is None:
                return
            first = times.get('first')
            span = self.loop.now - first if first is not None else 0.0
            outcome = work.Outcome(
                status,
                sequence.made,
                first - times['start'] if first is not None else None,
                span / (sequence.made - 1) if sequence.made > 1 else None,
            )
            self.scheduler.release(result, outcome)
            finish(outcome, None, first)

        sequence = virtual.Sequence(
            task.key,
            task.prompt,
            task.output - task.made,
            task.made,
            on_first,
            on_end,
        )
        self.attempts[result.work.work_id] = (engine, sequence, delay, end)
        self.loop.after(delay, engine.submit, sequence)

    def preempt(self, placement):
        """Cancel a batch attempt; its end is reported after a round trip."""
        attempt = self.attempts.get(placement.work.work_id)
        if attempt is None:
            return
        self.fleet.preemptions += 1
        engine, sequence, delay, end = attempt
        self.loop.after(delay, engine.cancel, sequence)
        self.loop.after(2 * delay, self.end_cancelled, sequence, end)

    def end_cancelled(self, sequence, end):
        """Report a cancelled attempt unless it has completed."""
        if sequence.made < sequence.output:
            self.fleet.count_use(work.Lane.BATCH, sequence)
            end(work.OutcomeStatus.CANCELLED)


class Fleet:
    """All hosts and engines.

    Parameters
    ----------
    loop : EventLoop
        Virtual time.
    plan : FleetPlan
        Hosts, endpoints and accounts.
    mode : str
        `full` or `baseline`.
    seed : int
        Seed of all choices.
    """

    def __init__(self, loop, plan, mode, seed):
        self.loop = loop
        self.plan = plan
        self.weights = {a.account_id: a.weight for a in plan.accounts}
        zones = {host.host_id: host.zone for host in plan.hosts}
        self.network = virtual.VirtualNetwork(
            loop, lambda one, two: self.get_delay(zones[one], zones[two])
        )
        self.view = View(make_config(plan))
        self.members = Members(
            tuple(make_host(plan, host) for host in plan.hosts)
        )
        engines = [e for e in plan.endpoints if e.kind == 'engine']
        self.engines = {
            e.endpoint_id: virtual.EngineModel(loop) for e in engines
        }
        self.zones = {e.endpoint_id: e.zone for e in engines}
        self.hosts = [
            Host(self, host, mode, seed + index)
            for index, host in enumerate(plan.hosts)
        ]
        self.sequence = itertools.count(1)
        self.online_seconds = 0.0
        self.preemptions = 0
        loop.every(ANNOUNCE_PERIOD, self.announce)

    def get_delay(self, one, two):
        """Return the one-way delay between two zones in seconds."""
        return LOCAL_DELAY if one == two else self.plan.zone_delay

    def announce(self):
        """Measure the load of all engines and announce it later."""
        rows = [self.make_row(name) for name in self.engines]
        for host in self.hosts:
            for row in rows:
                self.loop.after(LOAD_LAG, self.take_row, host, row)

    def take_row(self, host, row):
        """Hand an announcement to a host."""
        host.registry.announce(row, self.loop.now)

    def make_row(self, name):
        """Return the announcement of an engine."""
        found = self.engines[name]
        return membermessages.EndpointRow(
            name,
            '',
            self.zones[name],
            'engine',
            (self.plan.model_id,),
            1,
            next(self.sequence),
            False,
            False,
            len(found.running),
            len(found.waiting),
            found.settings.slots,
            0.0,
            0.0,
        )

    def count_use(self, lane, sequence):
        """Add the engine time that an online sequence needed."""
        if lane == work.Lane.ONLINE:
            self.online_seconds += get_engine_time(sequence)

    def reset_usage(self):
        """Start to measure the use of engines."""
        self.online_seconds = 0.0
        self.preemptions = 0

    def get_online_part(self, seconds):
        """Return the part of the engines' time that online needed."""
        return self.online_seconds / (len(self.engines) * seconds)

    def count_messages(self):
        """Return the messages of a host on average."""
        return self.network.messages.total() / len(self.hosts)


def get_engine_time(sequence):
    """Return the time of an engine with a full batch that a sequence costs.

    Reading the prompt holds up the whole batch; of each decoding step the
    sequence costs its part.
    """
    speed = engine.EngineSettings()
    step = speed.step_base + speed.step_slope * speed.slots
    decoding = sequence.made * step / speed.slots
    return sequence.prompt * speed.prefill_token + decoding


def make_config(plan):
    """Return the configuration of a deployment."""
    accounts = tuple(
        state_model.Account(a.account_id, a.rate, a.burst, a.weight)
        for a in plan.accounts
    )
    hosts = tuple(host.host_id for host in plan.hosts)
    return state_model.Config(1, accounts, share_epoch=1, share_hosts=hosts)


def make_host(plan, host):
    """Return the `HostInfo` of a host."""
    return model.HostInfo(
        host.host_id, plan.region, host.zone, '', '', ('entry',), 1
    )
