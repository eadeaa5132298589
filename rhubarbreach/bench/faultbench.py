"""Benchmark of the effects of faults and of the time to recover from them.

An engine is killed and restarted, another runs at a fifth of its speed for a
while, an entry host is killed and restarted, a request that crashes engines
is sent ten times, and an availability zone is partitioned from the others for
20 s.
"""

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
from rhubarbreach.bench import declare
from rhubarbreach.bench import demo
from rhubarbreach.bench import figures
from rhubarbreach.bench import fleet
from rhubarbreach.bench import jobs
from rhubarbreach.bench import load
from rhubarbreach.bench import plans
from rhubarbreach.bench import rules
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import runs

__all__ = ['FAULTS', 'Fault', 'Recovery', 'find_recovery', 'run_faults']

RUN_SECONDS = 72.0
ONLINE_TOKENS = 16
RATE_FRACTION = 0.4
JOB_ACCOUNT = 'school-2'
JOB_ITEMS = 1500
JOB_TOKENS = 16
JOB_TIMEOUT_SECONDS = 60.0
POISON_ACCOUNT = 'school-4'
POISON_COPIES = 10
QUARANTINED = 150
RESTART_SECONDS = 1.5
WATCH_SECONDS = 0.2
# A second of the run is bad if a request of an account within its rate was not
# answered, or if the p95 latency exceeds the p95 before the first fault by
# more than this factor.
SLOW_FACTOR = 2.0
STEADY_SECONDS = 3.0
PARTITIONED_ZONE = 'mx-centro-c'
SLOWDOWN = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Fault with its start and end in seconds of the run."""

    name: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Effect of a fault until the next fault starts.

    Parameters
    ----------
    fault : Fault
        Fault that was injected.
    bad_seconds : int
        Number of bad seconds, as defined for `SLOW_FACTOR`.
    recovered_after : float
        Seconds from the start of the fault to the end of the last bad second.
    unanswered : int
        Requests within their rate without a complete and correct answer.
    codes : str
        Result codes of these requests with counts; 0 stands for a broken
        connection.
    """

    fault: Fault
    bad_seconds: int
    recovered_after: float
    unanswered: int
    codes: str


FAULTS = (
    Fault('engine lost', 8.0, 13.0),
    Fault('engine slow', 18.0, 26.0),
    Fault('entry host killed', 31.0, 36.0),
    Fault('poison request', 40.0, 41.0),
    Fault('zone cut', 47.0, 67.0),
)


def is_unanswered(sample):
    """Return whether a request within its rate got no complete answer.

    Refusals for rate or quarantine and requests that crash engines do not
    count.
    """
    if sample.complete and sample.correct:
        return False
    if sample.code in (figures.RATE_EXCEEDED, QUARANTINED):
        return False
    return endpoint.CRASH_MARKER not in sample.arrival.prompt


def find_recovery(samples, faults, until):
    """Return the effect of each fault.

    Parameters
    ----------
    samples : list of load.Sample
        Samples of the whole run.
    faults : tuple of Fault
        Faults in the order of their start.
    until : float
        End of the run in seconds.

    Returns
    -------
    list of Recovery
        Effect of each fault.
    """
    baseline = [
        sample.first_token
        for sample in samples
        if sample.complete and sample.arrival.at < faults[0].start
    ]
    limit = SLOW_FACTOR * figures.get_percentile(baseline, 0.95)
    ends = [fault.start for fault in faults[1:]] + [until]
    return [
        measure_fault(samples, fault, end, limit)
        for fault, end in zip(faults, ends, strict=True)
    ]


def measure_fault(samples, fault, end, limit):
    """Return the effect of one fault.

    Parameters
    ----------
    samples : list of load.Sample
        Samples of the whole run.
    fault : Fault
        Fault that was injected.
    end : float
        End of the measurement in seconds of the run.
    limit : float
        Largest p95 of a second that is not bad, in seconds.
    """
    bad_seconds = []
    unanswered = collections.Counter()
    for second in range(int(fault.start), int(end)):
        arrived = [
            sample
            for sample in samples
            if second <= sample.arrival.at < second + 1
        ]
        missing = collections.Counter(
            sample.code for sample in arrived if is_unanswered(sample)
        )
        unanswered += missing
        latencies = [
            sample.first_token for sample in arrived if sample.complete
        ]
        if missing or figures.get_percentile(latencies, 0.95) > limit:
            bad_seconds.append(second)
    recovered_after = (
        max(bad_seconds) + 1 - fault.start if bad_seconds else 0.0
    )
    codes = ' '.join(
        f'{code}:{count}' for code, count in sorted(unanswered.items())
    )
    return Recovery(
        fault, len(bad_seconds), recovered_after, unanswered.total(), codes
    )


class FaultRun:
    """Run with all faults.

    Parameters
    ----------
    deployment : fleet.Fleet
        Started deployment.
    keys : dict of str to str
        Key of each account.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, deployment, keys, seed):
        self.fleet = deployment
        self.keys = keys
        self.seed = seed
        self.balancer = balancer.Balancer(
            addresses.http for addresses in deployment.hosts.values()
        )
        self.pool = concurrent.futures.ThreadPoolExecutor(16)
        self.killed_names = set()
        self.crashes = 0
        self.stopped = threading.Event()

    def make_schedules(self):
        """Return the arrivals of all accounts and of the poison request."""
        random = random_module.Random(self.seed)
        schedules = [
            load.make_arrivals(
                account.account_id,
                self.keys[account.account_id],
                '/v1/completions',
                RUN_SECONDS,
                account.rate * RATE_FRACTION,
                random,
                max_tokens=ONLINE_TOKENS,
            )
            for account in self.fleet.plan.accounts
        ]
        poison_fault = next(
            fault for fault in FAULTS if fault.name == 'poison request'
        )
        schedules.append(
            [
                load.Arrival(
                    poison_fault.start + 0.3 * number,
                    POISON_ACCOUNT,
                    self.keys[POISON_ACCOUNT],
                    '/v1/completions',
                    f'{endpoint.CRASH_MARKER} please',
                    ONLINE_TOKENS,
                )
                for number in range(POISON_COPIES)
            ]
        )
        return schedules

    def restart_crashed(self):
        """Restart engines that crash, as the platform does."""
        while not self.stopped.wait(WATCH_SECONDS):
            for name, process in list(self.fleet.processes.items()):
                if process.poll() is None or name in self.killed_names:
                    continue
                self.crashes += 1
                self.stopped.wait(RESTART_SECONDS)
                self.fleet.processes.pop(name, None)
                self.fleet.start_endpoint(name)

    def inject_faults(self, start):
        """Start and end all faults at their times."""
        actions = {
            'engine lost': (
                lambda: self.kill('engine-1'),
                lambda: self.fleet.start_endpoint('engine-1'),
            ),
            'engine slow': (
                lambda: self.fleet.set_endpoint_fault(
                    'engine-2', slowdown=SLOWDOWN
                ),
                lambda: self.fleet.set_endpoint_fault(
                    'engine-2', slowdown=1.0
                ),
            ),
            'entry host killed': (
                lambda: self.kill('host-4'),
                lambda: self.fleet.start_host('host-4'),
            ),
            'zone cut': (
                lambda: self.fleet.set_link_faults((PARTITIONED_ZONE,)),
                self.fleet.set_link_faults,
            ),
        }
        for fault in FAULTS:
            begin, end = actions.get(fault.name, (None, None))
            if begin is None:
                continue
            wait_until(start + fault.start)
            begin()
            wait_until(start + fault.end)
            end()
            self.killed_names.clear()

    def kill(self, name):
        """Kill a process that `inject_faults` restarts."""
        self.killed_names.add(name)
        self.fleet.kill(name)

    def run_job(self):
        """Run a batch job during all faults; return its report."""
        items = jobs.make_items(
            'faults', JOB_ITEMS, self.fleet.plan.model_id, JOB_TOKENS
        )
        caller = jobs.JobCaller(self.balancer.pick, self.keys[JOB_ACCOUNT])
        started_at = time.monotonic()
        job_id = caller.create('fault-job', items)
        caller.wait(job_id, started_at + JOB_TIMEOUT_SECONDS)
        return caller.read_report(job_id, items, started_at)

    def run(self):
        """Run traffic with faults; return samples and the job's report."""
        runner = load.LoadRunner(self.balancer.pick, self.fleet.plan.model_id)
        start = time.monotonic()
        threads = [
            threading.Thread(target=self.inject_faults, args=(start,)),
            threading.Thread(target=self.restart_crashed),
        ]
        for thread in threads:
            thread.start()
        job = self.pool.submit(self.run_job)
        samples = runner.run(*self.make_schedules())
        report = job.result()
        self.stopped.set()
        for thread in threads:
            thread.join()
        runner.close()
        self.balancer.close()
        self.pool.shutdown()
        return samples, report


def wait_until(deadline):
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, deadline - time.monotonic()))


def check_run(run, samples, report):
    """Return the results of all rules."""
    plan = run.fleet.plan
    run_records = runs.read_runs(run.fleet.get_runs_path())
    violations = list(report.violations)
    if report.status != 'completed':
        violations.append(f'job status is {report.status}')
    return [
        rules.RuleResult('R1 batch items', report.sent, tuple(violations)),
        *rules.check_rules(
            samples, run_records, plan.accounts, (declare.SERVICE_PATH,)
        ),
    ]


def print_recoveries(recoveries):
    """Print one line for each fault."""
    sys.stdout.write(
        'fault                start  bad seconds  over after  unanswered  '
        'codes\n'
    )
    for recovery in recoveries:
        sys.stdout.write(
            f'{recovery.fault.name:20s} {recovery.fault.start:5.0f} '
            f'{recovery.bad_seconds:12d} {recovery.recovered_after:11.1f} '
            f'{recovery.unanswered:11d}  {recovery.codes}\n'
        )


def run_faults(seed=1, keep=''):
    """Measure the effects of faults and check the rules.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    keep : str
        Folder in which settings, logs and timelines are kept. If empty, a
        temporary folder is used and removed.

    Notes
    -----
    The exit status is 0 only if every checked rule held.
    """
    folder = keep or tempfile.mkdtemp(prefix='rhubarbreach-faults-')
    deployment = fleet.Fleet(plans.TURNO_PATIO, folder)
    try:
        deployment.start()
        keys = declare.Operator(deployment).declare(deployment.plan)
        deployment.wait_ready()
        deployment.set_link_faults()
        time.sleep(STEADY_SECONDS)
        run = FaultRun(deployment, keys, seed)
        samples, report = run.run()
        results = check_run(run, samples, report)
    finally:
        deployment.stop()
    recoveries = find_recovery(samples, FAULTS, RUN_SECONDS)
    sys.stdout.write(f'seed {seed}, {run.crashes} engine crashes by poison\n')
    print_recoveries(recoveries)
    demo.print_refusals(samples)
    all_held = demo.print_rules(results)
    if not keep:
        shutil.rmtree(folder)
    summary = {
        recovery.fault.name: dataclasses.asdict(recovery)
        for recovery in recoveries
    }
    sys.stdout.write(json.dumps(summary) + '\n')
    sys.exit(0 if all_held else 1)
