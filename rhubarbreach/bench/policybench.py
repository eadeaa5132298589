"""Measure the policy against the baseline in virtual time.

Five hosts in three zones run the scheduler and rate limiter of the product
over virtual links, in front of six engines modelled as the emulated
endpoint. Each figure of one line comes from the same seed.

Examples
--------
    python -m rhubarbreach.bench.policybench --seed 1 --seconds 60
"""

import argparse
import collections
import dataclasses
import random
import sys

from rhubarbreach.bench import figures
from rhubarbreach.bench import policyhost
from rhubarbreach.bench import policyload
from rhubarbreach.bench import virtual
from rhubarbreach.scheduling import work

__all__ = ['Report', 'Result', 'compare', 'main', 'measure_capacity']

PLAN = policyload.PLAN
WARM_UP = 12.0
# Accounts with batch backlog, and the hosts whose runners claimed it.
BATCH_HOSTS = {
    'state-network': (0, 1, 2, 3, 4),
    'city-network': (0, 1, 2, 3, 4),
    'school-1': (0, 1, 2, 3, 4),
    'school-2': (1,),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run; times in seconds.

    Parameters
    ----------
    p50, p99 : float
        Time to first token of online requests.
    sent, wrongful : int
        Requests of accounts within their rate, and refused ones.
    rate_excess : float
        Largest excess over burst and rate in any window, in requests.
    online_share, batch_share : float
        Worst account's service relative to its fair share.
    batch_rate, online_rate : float
        Tokens per second.
    online_part : float
        Part of the engines' time that online requests needed.
    preemptions : float
        Batch attempts preempted per second.
    flood_part : float
        Requests admitted for the flooding account relative to its rate.
    messages : float
        Messages per host and second.
    """

    p50: float
    p99: float
    sent: int
    wrongful: int
    rate_excess: float
    online_share: float
    batch_share: float
    batch_rate: float
    online_rate: float
    online_part: float
    preemptions: float
    flood_part: float
    messages: float


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The goals of one policy."""

    online_p99_ratio: float
    batch_ratio: float
    worst_share: float
    wrongful_refusals: float
    rate_excess: float


class Sample:
    """What happened to one online request."""

    def __init__(self, arrival, at):
        self.arrival = arrival
        self.sent_at = at
        self.admitted_at = None
        self.first_token = None
        self.refusal = None
        self.tokens = 0


class Bench:
    """One run.

    Parameters
    ----------
    mode : str
        `full` or `baseline`.
    seed : int
        Seed of all choices.
    seconds : float
        Measured virtual time after the warm-up.
    with_batch : bool
        Whether there is batch backlog.
    load : float
        Part of its rate that each account sends.
    """

    def __init__(self, mode, seed, seconds, with_batch, load):
        self.loop = virtual.EventLoop()
        self.seconds = seconds
        self.end = WARM_UP + seconds
        self.fleet = policyhost.Fleet(self.loop, PLAN, mode, seed)
        self.random = random.Random(seed + 1)
        self.samples = []
        self.batch_tokens = collections.Counter()
        for arrival in policyload.make_arrivals(seed, seconds, load):
            self.loop.after(WARM_UP + arrival.at, self.send_online, arrival)
        if with_batch:
            self.loop.after(WARM_UP / 2, self.fill_batch)

    def run(self):
        """Run to the end and return the figures."""
        self.loop.run(WARM_UP)
        self.fleet.reset_usage()
        self.batch_tokens.clear()
        self.loop.run(self.end)
        return self.summarise()

    def send_online(self, arrival):
        """Send a request to its host."""
        sample = Sample(arrival, self.loop.now)
        self.samples.append(sample)
        host = self.fleet.hosts[arrival.host]
        host.admit(
            arrival.account_id,
            lambda refusal: self.place_online(host, sample, refusal),
        )

    def place_online(self, host, sample, refusal):
        """Run an admitted request."""
        if refusal is not None:
            sample.refusal = refusal
            return
        sample.admitted_at = self.loop.now
        arrival = sample.arrival

        def finish(outcome, refused, first):
            sample.refusal = refused
            sample.tokens = outcome.tokens if outcome else 0
            if first is not None:
                sample.first_token = first - sample.sent_at

        host.execute(
            arrival.account_id,
            work.Lane.ONLINE,
            policyhost.Task(self.make_key(), arrival.prompt, arrival.output),
            self.loop.now + policyload.ONLINE_TIMEOUT,
            finish,
        )

    def fill_batch(self):
        """Give each host the items that its batch runner claimed."""
        for account_id, indexes in BATCH_HOSTS.items():
            for index in indexes:
                for _ in range(policyhost.BATCH_WINDOW):
                    self.submit_batch(self.fleet.hosts[index], account_id)

    def make_key(self):
        """Return the digest of a prompt that was not seen before."""
        return self.random.randbytes(8)

    def submit_batch(self, host, account_id):
        """Run a batch item, then the next one."""
        task = policyhost.Task(
            self.make_key(),
            self.random.randint(*policyload.BATCH_PROMPT),
            self.random.randint(*policyload.BATCH_OUTPUT),
        )
        self.run_item(host, account_id, task)

    def run_item(self, host, account_id, task):
        """Run the rest of a batch item; resume it after a preemption."""

        def finish(outcome, refused, _first):
            made = outcome.tokens if outcome else 0
            self.batch_tokens[account_id] += made
            rest = dataclasses.replace(task, made=task.made + made)
            if refused is not None:
                self.loop.after(1.0, self.run_item, host, account_id, task)
            elif rest.made < task.output:
                self.run_item(host, account_id, rest)
            else:
                self.submit_batch(host, account_id)

        host.execute(
            account_id,
            work.Lane.BATCH,
            task,
            self.loop.now + 3600.0,
            finish,
        )

    def summarise(self):
        """Return the figures of the run."""
        # A request that got no answer in time waited for all of it.
        first = [
            s.first_token or policyload.ONLINE_TIMEOUT
            for s in self.samples
            if s.admitted_at
            and s.sent_at < self.end - policyload.ONLINE_TIMEOUT
        ]
        flood = PLAN.accounts[-1]
        steady = [s for s in self.samples if not is_of(s, flood)]
        refused = [s for s in steady if s.refusal is not None]
        admitted = sum(
            1 for s in self.samples if is_of(s, flood) and s.admitted_at
        )
        allowed = flood.burst + flood.rate * self.seconds
        return Result(
            p50=figures.get_percentile(first, 0.5),
            p99=figures.get_percentile(first, 0.99),
            sent=len(steady),
            wrongful=len(refused),
            rate_excess=max(
                measure_excess(self.samples, account)
                for account in PLAN.accounts
            ),
            online_share=self.get_online_share(),
            batch_share=self.get_batch_share(),
            batch_rate=sum(self.batch_tokens.values()) / self.seconds,
            online_rate=sum(s.tokens for s in self.samples) / self.seconds,
            online_part=self.fleet.get_online_part(self.seconds),
            preemptions=self.fleet.preemptions / self.seconds,
            flood_part=admitted / allowed,
            messages=self.fleet.count_messages() / self.end,
        )

    def get_online_share(self):
        """Return the worst ratio of served to admissible requests."""
        shares = []
        for account in PLAN.accounts:
            own = [
                s
                for s in self.samples
                if is_of(s, account)
                and s.sent_at < self.end - policyload.ONLINE_TIMEOUT
            ]
            ideal = figures.count_ideal_admissions(
                [s.sent_at for s in own], account.rate, account.burst
            )
            served = sum(1 for s in own if s.first_token)
            shares.append(min(1.0, served / max(1, ideal)))
        return min(shares)

    def get_batch_share(self):
        """Return the worst ratio of batch service to the fair share."""
        weights = {a.account_id: a.weight for a in PLAN.accounts}
        served = {name: self.batch_tokens[name] for name in BATCH_HOSTS}
        demands = dict.fromkeys(served, float('inf'))
        return figures.compute_worst_share(served, demands, weights)


def is_of(sample, account):
    """Return whether a sample is of an account."""
    return sample.arrival.account_id == account.account_id


def measure_excess(samples, account):
    """Return the largest excess over burst and rate in any window."""
    times = sorted(
        s.admitted_at
        for s in samples
        if is_of(s, account) and s.admitted_at is not None
    )
    excess, best = 0.0, float('-inf')
    for index, time in enumerate(times):
        best = max(best, account.rate * time - index)
        above = index + 1 - account.rate * time + best - account.burst
        excess = max(excess, above)
    return excess if excess > figures.ROUNDING else 0.0


def measure_capacity(seed, seconds):
    """Return the batch tokens per second of engines that are never idle."""
    loop = virtual.EventLoop()
    source = random.Random(seed)
    made = collections.Counter()
    engines = [
        virtual.EngineModel(loop)
        for endpoint in PLAN.endpoints
        if endpoint.kind == 'engine'
    ]

    def feed(engine):
        sequence = virtual.Sequence(
            source.randbytes(8),
            source.randint(*policyload.BATCH_PROMPT),
            source.randint(*policyload.BATCH_OUTPUT),
            0,
            lambda _: None,
            lambda one: finish(engine, one),
        )
        engine.submit(sequence)

    def finish(engine, sequence):
        made['tokens'] += sequence.made
        loop.after(0.0, feed, engine)

    for engine in engines:
        for _ in range(2 * engine.settings.slots):
            feed(engine)
    loop.run(WARM_UP)
    made.clear()
    loop.run(WARM_UP + seconds)
    return made['tokens'] / seconds


def compare(mode, options, capacity):
    """Return the goals of a policy, and its runs without and with batch."""
    alone, mixed = (
        Bench(mode, options.seed, options.seconds, batch, options.load).run()
        for batch in (False, True)
    )
    left = capacity * (1 - mixed.online_part)
    report = Report(
        online_p99_ratio=mixed.p99 / alone.p99,
        batch_ratio=mixed.batch_rate / left,
        worst_share=min(mixed.online_share, mixed.batch_share),
        wrongful_refusals=mixed.wrongful / mixed.sent,
        rate_excess=max(alone.rate_excess, mixed.rate_excess),
    )
    return report, alone, mixed


def print_fields(name, value):
    """Print the fields of a data class in one line."""
    fields = ' '.join(
        f'{field.name}={getattr(value, field.name):.5g}'
        for field in dataclasses.fields(value)
    )
    sys.stdout.write(f'{name}: {fields}\n')


def main():
    """Print the goals of both policies."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--load', type=float, default=policyload.LOAD_FRACTION)
    parser.add_argument('--modes', default='full,baseline')
    options = parser.parse_args()
    capacity = measure_capacity(options.seed, options.seconds)
    sys.stdout.write(
        f'seed={options.seed} seconds={options.seconds} load={options.load} '
        f'capacity_tokens_per_second={capacity:.1f}\n'
    )
    for mode in options.modes.split(','):
        report, alone, mixed = compare(mode, options, capacity)
        print_fields(f'{mode} goals', report)
        print_fields(f'{mode} online alone', alone)
        print_fields(f'{mode} with batch', mixed)


if __name__ == '__main__':
    main()
