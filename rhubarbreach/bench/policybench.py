"""Compare the scheduling policy with the baseline in virtual time.

Five hosts in three zones run the production scheduler and rate limiter over
virtual links, in front of six engines that are modelled on the emulated
endpoint. All figures in one line come from the same seed.

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
WARM_UP_SECONDS = 12.0
# Accounts with a batch backlog, and the indexes of the hosts whose batch
# runners claimed items of it.
BATCH_HOSTS = {
    'state-network': (0, 1, 2, 3, 4),
    'city-network': (0, 1, 2, 3, 4),
    'school-1': (0, 1, 2, 3, 4),
    'school-2': (1,),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run.

    Parameters
    ----------
    p50, p99 : float
        Time to first token of online requests in seconds.
    sent, wrongful : int
        Requests of the accounts that stay within their rate, and how many
        of them were refused.
    rate_excess : float
        Largest number of requests admitted above burst and rate in any
        time window.
    online_share, batch_share : float
        Smallest ratio of service to fair share of any account.
    batch_rate, online_rate : float
        Tokens generated per second.
    online_part : float
        Fraction of the engine time that online requests used.
    preemptions : float
        Batch attempts preempted per second.
    flood_part : float
        Requests admitted for the flooding account, relative to the number
        that its burst and rate allow.
    messages : float
        Messages sent per host and second.
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
    """Figures of one policy that have goals."""

    online_p99_ratio: float
    batch_ratio: float
    worst_share: float
    wrongful_refusals: float
    rate_excess: float


class Sample:
    """Record of one online request; times in seconds of virtual time."""

    def __init__(self, arrival, sent_at):
        self.arrival = arrival
        self.sent_at = sent_at
        self.admitted_at = None
        self.first_token = None
        self.refusal = None
        self.tokens = 0


class Simulation:
    """One run of a policy in virtual time.

    Parameters
    ----------
    mode : str
        `full` or `baseline`.
    seed : int
        Seed of all random choices.
    seconds : float
        Measured virtual time after the warm-up.
    with_batch : bool
        Whether there is a batch backlog.
    load : float
        Fraction of its rate at which each account sends.
    """

    def __init__(self, mode, seed, seconds, with_batch, load):
        self.loop = virtual.EventLoop()
        self.seconds = seconds
        self.end = WARM_UP_SECONDS + seconds
        self.fleet = policyhost.Fleet(self.loop, PLAN, mode, seed)
        self.random = random.Random(seed + 1)
        self.samples = []
        self.batch_tokens = collections.Counter()
        for arrival in policyload.make_arrivals(seed, seconds, load):
            self.loop.call_later(
                WARM_UP_SECONDS + arrival.at, self.send_online, arrival
            )
        if with_batch:
            self.loop.call_later(WARM_UP_SECONDS / 2, self.start_batch)

    def run(self):
        """Run the simulation and return its `Result`."""
        self.loop.run(WARM_UP_SECONDS)
        self.fleet.reset_counters()
        self.batch_tokens.clear()
        self.loop.run(self.end)
        return self.summarise()

    def send_online(self, arrival):
        """Submit an online request to the rate limiter of its host."""
        sample = Sample(arrival, self.loop.now)
        self.samples.append(sample)
        host = self.fleet.hosts[arrival.host]
        host.admit(
            arrival.account_id,
            lambda refusal: self.handle_admission(host, sample, refusal),
        )

    def handle_admission(self, host, sample, refusal):
        """Record a refusal, or execute an admitted request."""
        if refusal is not None:
            sample.refusal = refusal
            return
        sample.admitted_at = self.loop.now
        arrival = sample.arrival

        def finish(outcome, refusal, first_token_at):
            sample.refusal = refusal
            sample.tokens = outcome.tokens if outcome else 0
            if first_token_at is not None:
                sample.first_token = first_token_at - sample.sent_at

        host.execute(
            arrival.account_id,
            work.Lane.ONLINE,
            policyhost.Task(self.make_key(), arrival.prompt, arrival.output),
            self.loop.now + policyload.ONLINE_TIMEOUT_SECONDS,
            finish,
        )

    def start_batch(self):
        """Submit the items that the batch runner of each host claimed."""
        for account_id, indexes in BATCH_HOSTS.items():
            for index in indexes:
                for _ in range(policyhost.BATCH_WINDOW):
                    self.submit_batch_item(self.fleet.hosts[index], account_id)

    def make_key(self):
        """Return the digest of a new prompt."""
        return self.random.randbytes(8)

    def submit_batch_item(self, host, account_id):
        """Run a new batch item; another one follows when it has completed."""
        task = policyhost.Task(
            self.make_key(),
            self.random.randint(*policyload.BATCH_PROMPT_TOKENS),
            self.random.randint(*policyload.BATCH_OUTPUT_TOKENS),
        )
        self.run_batch_item(host, account_id, task)

    def run_batch_item(self, host, account_id, task):
        """Run the rest of a batch item; resume it after a preemption."""

        def finish(outcome, refusal, _first_token_at):
            generated = outcome.tokens if outcome else 0
            self.batch_tokens[account_id] += generated
            remainder = dataclasses.replace(
                task, generated=task.generated + generated
            )
            if refusal is not None:
                self.loop.call_later(
                    1.0, self.run_batch_item, host, account_id, task
                )
            elif remainder.generated < task.output:
                self.run_batch_item(host, account_id, remainder)
            else:
                self.submit_batch_item(host, account_id)

        host.execute(
            account_id,
            work.Lane.BATCH,
            task,
            self.loop.now + 3600.0,
            finish,
        )

    def summarise(self):
        """Return the `Result` of the run."""
        # A request without a token counts with the full timeout.
        latencies = [
            s.first_token or policyload.ONLINE_TIMEOUT_SECONDS
            for s in self.samples
            if s.admitted_at
            and s.sent_at < self.end - policyload.ONLINE_TIMEOUT_SECONDS
        ]
        flood_account = PLAN.accounts[-1]
        steady = [s for s in self.samples if not belongs_to(s, flood_account)]
        refused = [s for s in steady if s.refusal is not None]
        admitted = sum(
            1
            for s in self.samples
            if belongs_to(s, flood_account) and s.admitted_at
        )
        allowed = flood_account.burst + flood_account.rate * self.seconds
        return Result(
            p50=figures.get_percentile(latencies, 0.5),
            p99=figures.get_percentile(latencies, 0.99),
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
            online_part=self.fleet.get_online_fraction(self.seconds),
            preemptions=self.fleet.preemptions / self.seconds,
            flood_part=admitted / allowed,
            messages=self.fleet.count_messages() / self.end,
        )

    def get_online_share(self):
        """Return the smallest ratio of served to admissible requests."""
        shares = []
        for account in PLAN.accounts:
            account_samples = [
                s
                for s in self.samples
                if belongs_to(s, account)
                and s.sent_at < self.end - policyload.ONLINE_TIMEOUT_SECONDS
            ]
            ideal = figures.count_ideal_admissions(
                [s.sent_at for s in account_samples],
                account.rate,
                account.burst,
            )
            served = sum(1 for s in account_samples if s.first_token)
            shares.append(min(1.0, served / max(1, ideal)))
        return min(shares)

    def get_batch_share(self):
        """Return the smallest ratio of batch service to fair share."""
        weights = {a.account_id: a.weight for a in PLAN.accounts}
        served = {name: self.batch_tokens[name] for name in BATCH_HOSTS}
        demands = dict.fromkeys(served, float('inf'))
        return figures.compute_worst_share(served, demands, weights)


def belongs_to(sample, account):
    """Return whether a sample belongs to an account."""
    return sample.arrival.account_id == account.account_id


def measure_excess(samples, account):
    """Return the largest excess over burst and rate in any time window."""
    times = sorted(
        s.admitted_at
        for s in samples
        if belongs_to(s, account) and s.admitted_at is not None
    )
    excess, max_offset = 0.0, float('-inf')
    for index, time in enumerate(times):
        max_offset = max(max_offset, account.rate * time - index)
        window_excess = (
            index + 1 - account.rate * time + max_offset - account.burst
        )
        excess = max(excess, window_excess)
    return excess if excess > figures.ROUNDING else 0.0


def measure_capacity(seed, seconds):
    """Return the batch tokens per second of all engines at full load."""
    loop = virtual.EventLoop()
    random_source = random.Random(seed)
    generated = collections.Counter()
    engines = [
        virtual.EngineModel(loop)
        for endpoint in PLAN.endpoints
        if endpoint.kind == 'engine'
    ]

    def submit_sequence(engine):
        sequence = virtual.Sequence(
            random_source.randbytes(8),
            random_source.randint(*policyload.BATCH_PROMPT_TOKENS),
            random_source.randint(*policyload.BATCH_OUTPUT_TOKENS),
            0,
            lambda _: None,
            lambda ended: finish(engine, ended),
        )
        engine.submit(sequence)

    def finish(engine, sequence):
        generated['tokens'] += sequence.generated
        loop.call_later(0.0, submit_sequence, engine)

    for engine in engines:
        for _ in range(2 * engine.settings.slots):
            submit_sequence(engine)
    loop.run(WARM_UP_SECONDS)
    generated.clear()
    loop.run(WARM_UP_SECONDS + seconds)
    return generated['tokens'] / seconds


def compare(mode, options, capacity):
    """Return the report of a policy and its results without and with batch."""
    online_only, mixed = (
        Simulation(
            mode, options.seed, options.seconds, batch, options.load
        ).run()
        for batch in (False, True)
    )
    spare_capacity = capacity * (1 - mixed.online_part)
    report = Report(
        online_p99_ratio=mixed.p99 / online_only.p99,
        batch_ratio=mixed.batch_rate / spare_capacity,
        worst_share=min(mixed.online_share, mixed.batch_share),
        wrongful_refusals=mixed.wrongful / mixed.sent,
        rate_excess=max(online_only.rate_excess, mixed.rate_excess),
    )
    return report, online_only, mixed


def print_fields(name, value):
    """Print the fields of a data class in one line."""
    fields = ' '.join(
        f'{field.name}={getattr(value, field.name):.5g}'
        for field in dataclasses.fields(value)
    )
    sys.stdout.write(f'{name}: {fields}\n')


def main():
    """Print the report and the results of each policy."""
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
        report, online_only, mixed = compare(mode, options, capacity)
        print_fields(f'{mode} goals', report)
        print_fields(f'{mode} online alone', online_only)
        print_fields(f'{mode} with batch', mixed)


if __name__ == '__main__':
    main()
