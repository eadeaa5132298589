"""Measures of the serving policy on real processes beside the baseline."""

import collections
import concurrent.futures
import dataclasses
import json
import random as random_module
import shutil
import sys
import tempfile
import threading
import time

from rhubarbreach.bench import balancer
from rhubarbreach.bench import calibrate
from rhubarbreach.bench import declare
from rhubarbreach.bench import figures
from rhubarbreach.bench import fleet
from rhubarbreach.bench import jobs
from rhubarbreach.bench import load
from rhubarbreach.bench import plans
from rhubarbreach.bench import plots

__all__ = ['Measures', 'run_bench']

PROFILES = {'turno': plans.TURNO_PATIO, 'cutdesk': plans.CUTDESK}
MODES = ('full', 'baseline')
PHASE_SECONDS = 18.0
# The first seconds of a phase are left out of the latencies.
WARM_SECONDS = 2.0
ONLINE_TOKENS = 16
PART_OF_RATE = 0.6
EAGER_ACCOUNT = 'school-5'
EXCESS_FACTOR = 5.0
BURST_ACCOUNT = 'state-network'
BURST_PERIOD = 4.0
BURST_REQUESTS = 24
BATCH_ACCOUNTS = ('school-2', 'city-network')
BATCH_JOBS = 4
BATCH_ITEMS = 2500
BATCH_TOKENS = 32
OVERHEAD_REQUESTS = 80
STEADY_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one policy; the first five have goals."""

    online_p99_ratio: float
    batch_ratio: float
    worst_share: float
    wrongful_refusals: float
    rate_excess: float
    overhead_p50_ms: float
    overhead_p99_ms: float
    online_p99_ms: float
    online_p99_alone_ms: float
    batch_tokens_per_second: float
    capacity_tokens_per_second: float
    incomplete: int
    refusals: str


GOALS = {
    'online_p99_ratio': ('<=', 1.10),
    'batch_ratio': ('>=', 0.90),
    'worst_share': ('>=', 0.95),
    'wrongful_refusals': ('<=', 0.0001),
    'rate_excess': ('<=', 0.0),
    'overhead_p50_ms': ('<=', 3.0),
}


def make_schedules(plan, keys, random):
    """Return the arrivals of all accounts for one phase."""
    schedules = []
    for account in plan.accounts:
        rate = account.rate * PART_OF_RATE
        if account.account_id == EAGER_ACCOUNT:
            rate = account.rate * EXCESS_FACTOR
        schedules.append(
            load.make_arrivals(
                account.account_id,
                keys[account.account_id],
                '/v1/completions',
                PHASE_SECONDS,
                rate,
                random,
                max_tokens=ONLINE_TOKENS,
            )
        )
    schedules.append(make_bursts(keys[BURST_ACCOUNT], random))
    return schedules


def make_bursts(key, random):
    """Return bursts of one large account."""
    arrivals = []
    at = BURST_PERIOD / 2
    while at < PHASE_SECONDS:
        arrivals += [
            load.Arrival(
                at,
                BURST_ACCOUNT,
                key,
                '/v1/completions',
                f'burst {random.randrange(10**9)}',
                ONLINE_TOKENS,
            )
            for _ in range(BURST_REQUESTS)
        ]
        at += BURST_PERIOD
    return arrivals


class Backlog:
    """Batch jobs that keep every idle slot busy.

    Parameters
    ----------
    pick : callable
        Returns the `IP:port` of an entry host.
    keys : dict of str to str
        Keys by account.
    model_id : str
        Model.
    """

    def __init__(self, pick, keys, model_id):
        self.callers = []
        self.job_ids = []
        self.pool = concurrent.futures.ThreadPoolExecutor(BATCH_JOBS)
        futures = []
        for number in range(BATCH_JOBS):
            account = BATCH_ACCOUNTS[number % len(BATCH_ACCOUNTS)]
            caller = jobs.JobCaller(pick, keys[account])
            items = jobs.make_items(
                f'backlog {number}', BATCH_ITEMS, model_id, BATCH_TOKENS
            )
            self.callers.append(caller)
            futures.append(
                self.pool.submit(caller.create, f'backlog-{number}', items)
            )
        self.job_ids = [future.result() for future in futures]

    def count_done(self):
        """Return the finished items of all jobs."""
        return sum(
            caller.show(job_id)['counts']['done']
            for caller, job_id in zip(self.callers, self.job_ids, strict=True)
        )

    def cancel(self):
        """Cancel all jobs."""
        for caller, job_id in zip(self.callers, self.job_ids, strict=True):
            caller.cancel(job_id)
        self.pool.shutdown()


class Sampler:
    """Samples the finished items of a backlog every second."""

    def __init__(self, backlog):
        self.backlog = backlog
        self.points = []
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Sample until closed."""
        while not self.closed.wait(1.0):
            self.points.append((time.monotonic(), self.backlog.count_done()))

    def close(self):
        """Stop sampling."""
        self.closed.set()
        self.thread.join()


class ModeRun:
    """Measures one policy mode on a fleet of its own.

    Parameters
    ----------
    plan : plans.FleetPlan
        Deployment.
    mode : str
        Policy mode.
    seed : int
        Seed of the arrivals.
    folder : str
        Folder for the fleet.
    """

    def __init__(self, plan, mode, seed, folder):
        self.plan = plan
        self.mode = mode
        self.seed = seed
        self.fleet = fleet.Fleet(plan, folder, mode)
        self.points = []
        self.samples = []

    def run(self):
        """Return the measures."""
        try:
            self.fleet.start()
            operator = declare.Operator(self.fleet)
            self.keys = operator.declare(self.plan)
            self.fleet.wait_ready()
            self.fleet.set_link_faults()
            time.sleep(STEADY_SECONDS)
            return self.measure()
        finally:
            self.fleet.stop()

    def measure(self):
        """Run all phases."""
        engines = [
            self.fleet.endpoints[one.endpoint_id]
            for one in self.plan.endpoints
            if one.kind == 'engine'
        ]
        capacity = calibrate.measure_capacity(
            engines, self.plan.model_id, self.plan.slots
        )
        overhead = self.measure_overhead(engines[0])
        spread = balancer.Balancer(
            one.http for one in self.fleet.hosts.values()
        )
        alone = self.run_phase(spread, self.seed)
        backlog = Backlog(spread.pick, self.keys, self.plan.model_id)
        time.sleep(STEADY_SECONDS)
        sampler = Sampler(backlog)
        done_before, start = backlog.count_done(), time.monotonic()
        with_batch = self.run_phase(spread, self.seed)
        done = backlog.count_done() - done_before
        seconds = time.monotonic() - start
        sampler.close()
        backlog.cancel()
        spread.close()
        self.samples, self.points = with_batch, sampler.points
        batch = done * BATCH_TOKENS / seconds
        return self.make_measures(
            alone, with_batch, batch, capacity, overhead, seconds
        )

    def measure_overhead(self, engine):
        """Return latencies on the direct path and through a host."""
        account = self.plan.accounts[0]
        host = next(iter(self.fleet.hosts.values()))
        return calibrate.measure_latencies(
            calibrate.CompletionCaller(engine),
            calibrate.CompletionCaller(
                host.http, self.keys[account.account_id]
            ),
            self.plan.model_id,
            OVERHEAD_REQUESTS,
        )

    def run_phase(self, spread, seed):
        """Return the samples of one phase."""
        runner = load.LoadRunner(spread.pick, self.plan.model_id)
        random = random_module.Random(seed)
        samples = runner.run(*make_schedules(self.plan, self.keys, random))
        runner.close()
        return samples

    def make_measures(
        self, alone, with_batch, batch, capacity, overhead, seconds
    ):
        """Return the measures of all phases."""
        p99_alone = get_p99(alone)
        p99 = get_p99(with_batch)
        accounts = figures.summarise_accounts(with_batch, self.plan.accounts)
        online = sum(one.tokens for one in accounts) / seconds
        served = {one.account_id: one.tokens for one in accounts}
        demands = {
            one.account_id: one.ideal * ONLINE_TOKENS for one in accounts
        }
        weights = {one.account_id: one.weight for one in self.plan.accounts}
        ideal = sum(one.ideal for one in accounts)
        lacking = sum(max(0, one.ideal - one.completed) for one in accounts)
        return Measures(
            online_p99_ratio=p99 / p99_alone if p99_alone else 0.0,
            batch_ratio=batch / (capacity - online),
            worst_share=figures.compute_worst_share(served, demands, weights),
            wrongful_refusals=lacking / ideal,
            rate_excess=self.find_rate_excess(alone, with_batch),
            overhead_p50_ms=calibrate.subtract_quantiles(overhead, 0.5),
            overhead_p99_ms=calibrate.subtract_quantiles(overhead, 0.99),
            online_p99_ms=p99 * 1000,
            online_p99_alone_ms=p99_alone * 1000,
            batch_tokens_per_second=batch,
            capacity_tokens_per_second=capacity,
            incomplete=count_incomplete(with_batch),
            refusals=count_refusals(with_batch),
        )

    def find_rate_excess(self, *phases):
        """Return the largest excess of any account in any phase."""
        excess = 0.0
        for samples in phases:
            for account in self.plan.accounts:
                own = [
                    one
                    for one in samples
                    if one.arrival.account_id == account.account_id
                ]
                found = figures.compute_rate_excess(
                    own, account.rate, account.burst
                )
                excess = max(excess, found)
        return excess


def get_p99(samples):
    """Return the p99 of the first token after the warm-up."""
    return figures.get_percentile(
        [
            one.first_token
            for one in samples
            if one.complete and one.arrival.at >= WARM_SECONDS
        ],
        0.99,
    )


def count_incomplete(samples):
    """Return how many admitted requests got no whole right answer."""
    return sum(
        figures.is_admitted(one) and not (one.complete and one.correct)
        for one in samples
    )


def count_refusals(samples):
    """Return the codes of all refusals with their counts."""
    found = collections.Counter(
        (one.code, one.arrival.account_id) for one in samples if one.code
    )
    return ' '.join(
        f'{code}:{account}:{count}'
        for (code, account), count in sorted(found.items())
    )


def is_met(name, value):
    """Return whether a measure meets its goal; True without a goal."""
    if name not in GOALS:
        return True
    operator, bound = GOALS[name]
    return value <= bound if operator == '<=' else value >= bound


def print_table(results):
    """Print the measures of all modes."""
    header = ''.join(f'{mode:>14s}' for mode in results)
    sys.stdout.write(f'{"measure":28s}{header}  goal\n')
    for field in dataclasses.fields(Measures):
        if field.name == 'refusals':
            continue
        row = f'{field.name:28s}'
        for measures in results.values():
            row += f'{getattr(measures, field.name):14.4f}'
        if field.name in GOALS:
            operator, bound = GOALS[field.name]
            met = is_met(field.name, getattr(results['full'], field.name))
            row += f'  {operator} {bound:g}  {"met" if met else "missed"}'
        sys.stdout.write(row + '\n')


def run_bench(profile='turno', seed=1, plot='bench.png', keep=''):
    """Measure the serving policy on real processes.

    Parameters
    ----------
    profile : str
        Deployment: turno or cutdesk.
    seed : int
        Seed of the arrivals.
    plot : str
        Picture of latencies and batch throughput; empty for none.
    keep : str
        Folder for settings, logs and timelines; removed if empty.

    Notes
    -----
    The last line of the output is one JSON object with the measures, and
    those of the baseline under `baseline`.
    """
    plan = PROFILES[profile]
    folder = keep or tempfile.mkdtemp(prefix='rhubarbreach-bench-')
    results, runs = {}, {}
    for mode in MODES:
        runs[mode] = ModeRun(plan, mode, seed, f'{folder}/{mode}')
        results[mode] = runs[mode].run()
        sys.stdout.write(f'{mode}: {results[mode]}\n')
    sys.stdout.write(f'profile {profile}, seed {seed}\n')
    print_table(results)
    if plot:
        plots.plot_bench(runs, BATCH_TOKENS, plot)
    if not keep:
        shutil.rmtree(folder)
    summary = dataclasses.asdict(results['full'])
    summary['baseline'] = dataclasses.asdict(results['baseline'])
    summary['seed'] = seed
    sys.stdout.write(json.dumps(summary) + '\n')
