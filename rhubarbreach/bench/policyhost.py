"""Hosts and engines of the policy benchmark, in virtual time."""

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
from rhubarbreach.placement import core
from rhubarbreach.placement import scheduler
from rhubarbreach.protocol import membermessages
from rhubarbreach import rendezvous
from rhubarbreach.scheduling import work
from rhubarbreach.settings import model as settings_model
from rhubarbreach.state import model as state_model

__all__ = ['BATCH_WINDOW', 'Fleet', 'Host', 'Task', 'get_engine_time']

# Batch items that a host claims in advance for each account.
BATCH_WINDOW = 16
# Interval of announcements, and age of their load figures on arrival.
ANNOUNCE_PERIOD_SECONDS = 1.0
LOAD_AGE_SECONDS = 0.3
LOCAL_DELAY_SECONDS = 0.0002
# Default of the setting `baseline_slots` of the policy.
BASELINE_SLOTS = 8


@dataclasses.dataclass
class View:
    """Configuration view that never expires."""

    snapshot: state_model.Config
    valid_until: float = float('inf')


class Members:
    """Static membership in which all hosts are alive."""

    def __init__(self, hosts):
        self.hosts = hosts

    def alive(self):
        """Return all hosts."""
        return self.hosts

    def owners(self, name, count, region=None):
        """Return the ids of the hosts that own a name."""
        ids = [host.host_id for host in self.hosts]
        return rendezvous.rank_hosts(name, ids, count)


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A request or batch item.

    Parameters
    ----------
    key : bytes
        Digest of the prompt.
    prompt, output : int
        Tokens of the prompt and of the whole output.
    generated : int
        Output tokens that earlier attempts generated.
    """

    key: bytes
    prompt: int
    output: int
    generated: int = 0


class Host:
    """One host: rate limiter, scheduler and simulated dispatch."""

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
        self.step_pending = False
        self.start()

    def start(self):
        """Start the periodic tasks."""
        self.loop.call_every(
            holder.LEASE_PERIOD_SECONDS, self.limiter.send_leases
        )
        self.loop.call_every(slots.REPORT_PERIOD_SECONDS, self.report)
        self.loop.call_every(scheduler.IDLE_STEP_SECONDS, self.scheduler.step)
        self.scheduler.wake = self.wake

    def report(self):
        """Exchange slots and counters with other hosts."""
        self.scheduler.exchange.report(self.loop.now)

    def wake(self):
        """Schedule one step of the scheduler after the current event."""
        if not self.step_pending:
            self.step_pending = True
            self.loop.call_later(0.0, self.step)

    def step(self):
        """Run one step of the scheduler."""
        self.step_pending = False
        self.scheduler.step()

    def admit(self, account_id, callback, is_retry=False):
        """Ask the rate limiter; call `callback(refusal)`, None if admitted."""
        waiter = self.limiter.submit(account_id, 1.0)

        def handle_decision(future):
            refusal = future.result()
            if shares.is_short_wait(refusal) and not is_retry:
                self.loop.call_later(
                    refusal.retry_after, self.admit, account_id, callback, True
                )
            else:
                callback(refusal)

        waiter.future.add_done_callback(handle_decision)

    def execute(self, account_id, lane, task, deadline, finish):
        """Run a request; call `finish(outcome, refusal, first_token_at)`."""
        name = f'{self.plan.host_id}-{next(self.ids)}'
        item = work.Work(
            name,
            account_id,
            self.fleet.plan.model_id,
            lane,
            float(task.output - task.generated),
            deadline,
            digest=name.encode(),
            prefix=(task.key,),
            weight=self.fleet.weights[account_id],
        )
        future = self.scheduler.submit(item)
        future.add_done_callback(
            lambda placed: self.run(placed.result(), task, finish)
        )

    def run(self, result, task, finish):
        """Run a placed request on its engine, or report its refusal."""
        if isinstance(result, codes.Refusal):
            finish(None, result, None)
            return
        engine_model = self.fleet.engines[result.endpoint.endpoint_id]
        delay = self.fleet.get_delay(self.plan.zone, result.endpoint.zone)
        lane = result.work.lane
        times = {'start': self.loop.now}

        def on_first_token(sequence):
            times['first'] = self.loop.now + delay

        def on_end(sequence):
            self.fleet.add_engine_time(lane, sequence)
            self.loop.call_later(
                delay, end_attempt, work.OutcomeStatus.COMPLETED
            )

        def end_attempt(status):
            if self.attempts.pop(result.work.work_id, None) is None:
                return
            first_token_at = times.get('first')
            decode_seconds = (
                self.loop.now - first_token_at
                if first_token_at is not None
                else 0.0
            )
            outcome = work.Outcome(
                status,
                sequence.generated,
                first_token_at - times['start']
                if first_token_at is not None
                else None,
                decode_seconds / (sequence.generated - 1)
                if sequence.generated > 1
                else None,
            )
            self.scheduler.release(result, outcome)
            finish(outcome, None, first_token_at)

        sequence = virtual.Sequence(
            task.key,
            task.prompt,
            task.output - task.generated,
            task.generated,
            on_first_token,
            on_end,
        )
        self.attempts[result.work.work_id] = (
            engine_model,
            sequence,
            delay,
            end_attempt,
        )
        self.loop.call_later(delay, engine_model.submit, sequence)

    def preempt(self, placement):
        """Cancel a batch attempt and report its end after one round trip."""
        attempt = self.attempts.get(placement.work.work_id)
        if attempt is None:
            return
        self.fleet.preemptions += 1
        engine_model, sequence, delay, end_attempt = attempt
        self.loop.call_later(delay, engine_model.cancel, sequence)
        self.loop.call_later(
            2 * delay, self.end_cancelled, sequence, end_attempt
        )

    def end_cancelled(self, sequence, end_attempt):
        """Report the end of a cancelled attempt unless it has completed."""
        if sequence.generated < sequence.output:
            self.fleet.add_engine_time(work.Lane.BATCH, sequence)
            end_attempt(work.OutcomeStatus.CANCELLED)


class Fleet:
    """All simulated hosts and engines.

    Parameters
    ----------
    loop : EventLoop
        Event loop in virtual time.
    plan : FleetPlan
        Hosts, endpoints and accounts.
    mode : str
        `full` or `baseline`.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, loop, plan, mode, seed):
        self.loop = loop
        self.plan = plan
        self.weights = {a.account_id: a.weight for a in plan.accounts}
        zones = {host.host_id: host.zone for host in plan.hosts}
        self.network = virtual.VirtualNetwork(
            loop,
            lambda sender_id, receiver_id: self.get_delay(
                zones[sender_id], zones[receiver_id]
            ),
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
        self.online_engine_seconds = 0.0
        self.preemptions = 0
        loop.call_every(ANNOUNCE_PERIOD_SECONDS, self.announce)

    def get_delay(self, sender_zone, receiver_zone):
        """Return the one-way delay between two zones in seconds."""
        return (
            LOCAL_DELAY_SECONDS
            if sender_zone == receiver_zone
            else self.plan.zone_delay
        )

    def announce(self):
        """Read the load of all engines and announce it after the delay."""
        rows = [self.make_announcement(name) for name in self.engines]
        for host in self.hosts:
            for row in rows:
                self.loop.call_later(
                    LOAD_AGE_SECONDS, self.deliver_announcement, host, row
                )

    def deliver_announcement(self, host, row):
        """Deliver an announcement to a host."""
        host.registry.announce(row, self.loop.now)

    def make_announcement(self, name):
        """Return the announcement of an engine."""
        engine_model = self.engines[name]
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
            len(engine_model.running),
            len(engine_model.waiting),
            engine_model.settings.slots,
            0.0,
            0.0,
        )

    def add_engine_time(self, lane, sequence):
        """Add the engine time of a sequence if it is online."""
        if lane == work.Lane.ONLINE:
            self.online_engine_seconds += get_engine_time(sequence)

    def reset_counters(self):
        """Reset the counters of engine time and preemptions."""
        self.online_engine_seconds = 0.0
        self.preemptions = 0

    def get_online_fraction(self, seconds):
        """Return the fraction of engine time that online requests used."""
        return self.online_engine_seconds / (len(self.engines) * seconds)

    def count_messages(self):
        """Return the mean number of messages that a host has sent."""
        return self.network.messages.total() / len(self.hosts)


def get_engine_time(sequence):
    """Return the engine seconds that a sequence costs in a full batch.

    Prefill blocks the whole batch, so it counts in full. A decoding step is
    shared equally by the sequences in the batch.
    """
    engine_settings = engine.EngineSettings()
    step = (
        engine_settings.step_base
        + engine_settings.step_slope * engine_settings.slots
    )
    decoding = sequence.generated * step / engine_settings.slots
    return sequence.prompt * engine_settings.prefill_token + decoding


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
