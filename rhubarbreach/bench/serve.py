"""Benchmark of the serving policy and the baseline on real processes."""

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
# Requests sent in the first seconds of a phase are excluded from latencies.
WARM_UP_SECONDS = 2.0
ONLINE_TOKENS = 16
RATE_FRACTION = 0.6
FLOOD_ACCOUNT = 'school-5'
FLOOD_FACTOR = 5.0
BURST_ACCOUNT = 'state-network'
BURST_PERIOD_SECONDS = 4.0
BURST_REQUESTS = 24
BATCH_ACCOUNTS = ('school-2', 'city-network')
BATCH_JOBS = 4
BATCH_ITEMS = 2500
BATCH_TOKENS = 32
OVERHEAD_REQUESTS = 80
SETTLE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Measures:
    """Measures of one policy; `GOALS` has the goals of some of them."""

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
        rate = account.rate * RATE_FRACTION
        if account.account_id == FLOOD_ACCOUNT:
            rate = account.rate * FLOOD_FACTOR
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
    """Return periodic bursts of requests of `BURST_ACCOUNT`."""
    arrivals = []
    at = BURST_PERIOD_SECONDS / 2
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
        at += BURST_PERIOD_SECONDS
    return arrivals


class Backlog:
    """Batch jobs with enough items to fill every idle slot.

    Parameters
    ----------
    pick : callable
        Returns the `IP:port` of an entry host.
    keys : dict of str to str
        Keys by client account.
    model_id : str
        Model of the batch items.
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

    def count_finished_items(self):
        """Return the number of finished items of all jobs."""
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
    """Sampler of the finished items of a backlog, once per second.

    `points` holds pairs of monotonic time and number of finished items.
    """

    def __init__(self, backlog):
        self.backlog = backlog
        self.points = []
        self.closed = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        """Sample until closed."""
        while not self.closed.wait(1.0):
            self.points.append(
                (time.monotonic(), self.backlog.count_finished_items())
            )

    def close(self):
        """Stop sampling."""
        self.closed.set()
        self.thread.join()


class ModeRun:
    """Run of one policy mode on its own fleet.

    Parameters
    ----------
    plan : plans.FleetPlan
        Deployment.
    mode : str
        Policy mode.
    seed : int
        Seed of the arrivals.
    folder : str
        Folder for the files of the fleet.
    """

    def __init__(self, plan, mode, seed, folder):
        self.plan = plan
        self.mode = mode
        self.seed = seed
        self.fleet = fleet.Fleet(plan, folder, mode)
        self.points = []
        self.samples = []

    def run(self):
        """Start the fleet, measure it and return its `Measures`."""
        try:
            self.fleet.start()
            operator = declare.Operator(self.fleet)
            self.keys = operator.declare(self.plan)
            self.fleet.wait_ready()
            self.fleet.set_link_faults()
            time.sleep(SETTLE_SECONDS)
            return self.measure()
        finally:
            self.fleet.stop()

    def measure(self):
        """Run all phases and return the `Measures`."""
        engines = [
            self.fleet.endpoints[endpoint.endpoint_id]
            for endpoint in self.plan.endpoints
            if endpoint.kind == 'engine'
        ]
        capacity = calibrate.measure_capacity(
            engines, self.plan.model_id, self.plan.slots
        )
        overhead = self.measure_overhead(engines[0])
        load_balancer = balancer.Balancer(
            host.http for host in self.fleet.hosts.values()
        )
        online_only = self.run_phase(load_balancer, self.seed)
        backlog = Backlog(load_balancer.pick, self.keys, self.plan.model_id)
        time.sleep(SETTLE_SECONDS)
        sampler = Sampler(backlog)
        done_before, start = backlog.count_finished_items(), time.monotonic()
        with_batch = self.run_phase(load_balancer, self.seed)
        done = backlog.count_finished_items() - done_before
        seconds = time.monotonic() - start
        sampler.close()
        backlog.cancel()
        load_balancer.close()
        self.samples, self.points = with_batch, sampler.points
        batch = done * BATCH_TOKENS / seconds
        return self.make_measures(
            online_only, with_batch, batch, capacity, overhead, seconds
        )

    def measure_overhead(self, engine):
        """Return latencies on the direct path and through an entry host."""
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

    def run_phase(self, load_balancer, seed):
        """Send the online requests of one phase and return their samples."""
        runner = load.LoadRunner(load_balancer.pick, self.plan.model_id)
        random = random_module.Random(seed)
        samples = runner.run(*make_schedules(self.plan, self.keys, random))
        runner.close()
        return samples

    def make_measures(
        self, online_only, with_batch, batch, capacity, overhead, seconds
    ):
        """Compute the `Measures` from the results of all phases."""
        p99_alone = get_first_token_p99(online_only)
        p99 = get_first_token_p99(with_batch)
        accounts = figures.summarise_accounts(with_batch, self.plan.accounts)
        online = sum(account.tokens for account in accounts) / seconds
        served = {account.account_id: account.tokens for account in accounts}
        demands = {
            account.account_id: account.ideal * ONLINE_TOKENS
            for account in accounts
        }
        weights = {
            account.account_id: account.weight
            for account in self.plan.accounts
        }
        ideal = sum(account.ideal for account in accounts)
        missing = sum(
            max(0, account.ideal - account.completed) for account in accounts
        )
        return Measures(
            online_p99_ratio=p99 / p99_alone if p99_alone else 0.0,
            batch_ratio=batch / (capacity - online),
            worst_share=figures.compute_worst_share(served, demands, weights),
            wrongful_refusals=missing / ideal,
            rate_excess=self.compute_max_rate_excess(online_only, with_batch),
            overhead_p50_ms=calibrate.subtract_quantiles(overhead, 0.5),
            overhead_p99_ms=calibrate.subtract_quantiles(overhead, 0.99),
            online_p99_ms=p99 * 1000,
            online_p99_alone_ms=p99_alone * 1000,
            batch_tokens_per_second=batch,
            capacity_tokens_per_second=capacity,
            incomplete=count_incomplete(with_batch),
            refusals=count_refusals(with_batch),
        )

    def compute_max_rate_excess(self, *phases):
        """Return the largest rate excess of any account in any phase."""
        excess = 0.0
        for samples in phases:
            for account in self.plan.accounts:
                account_samples = [
                    sample
                    for sample in samples
                    if sample.arrival.account_id == account.account_id
                ]
                account_excess = figures.compute_rate_excess(
                    account_samples, account.rate, account.burst
                )
                excess = max(excess, account_excess)
        return excess


def get_first_token_p99(samples):
    """Return the p99 time to first token in seconds after the warm-up."""
    return figures.get_percentile(
        [
            sample.first_token
            for sample in samples
            if sample.complete and sample.arrival.at >= WARM_UP_SECONDS
        ],
        0.99,
    )


def count_incomplete(samples):
    """Return the number of admitted requests without a correct answer."""
    return sum(
        figures.is_admitted(sample)
        and not (sample.complete and sample.correct)
        for sample in samples
    )


def count_refusals(samples):
    """Return the refusals as `code:account:count`, separated by spaces."""
    counts = collections.Counter(
        (sample.code, sample.arrival.account_id)
        for sample in samples
        if sample.code
    )
    return ' '.join(
        f'{code}:{account}:{count}'
        for (code, account), count in sorted(counts.items())
    )


def meets_goal(name, value):
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
            met = meets_goal(field.name, getattr(results['full'], field.name))
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
        File for a chart of latencies and batch throughput; empty for none.
    keep : str
        Folder in which settings, logs and timelines are kept. If empty, a
        temporary folder is used and removed.

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
