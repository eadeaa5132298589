"""Bench with faults in the run: what is lost, and how long until it is over.

An engine is lost and comes back, another is five times slower for a while,
an entry host is killed, a request that crashes engines is sent ten times, and
an availability zone is cut off for 20 s.
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
PART_OF_RATE = 0.4
JOB_ACCOUNT = 'school-2'
JOB_ITEMS = 1500
JOB_TOKENS = 16
JOB_TIMEOUT_SECONDS = 60.0
POISON_ACCOUNT = 'school-4'
POISON_COPIES = 10
QUARANTINED = 150
RESTART_SECONDS = 1.5
WATCH_SECONDS = 0.2
# A second counts as bad when a request in it was not answered although its
# account was within its rate, or its p95 exceeds this many times the p95
# before the first fault.
SLOW_FACTOR = 2.0
STEADY_SECONDS = 3.0
CUT_ZONE = 'mx-centro-c'
SLOWDOWN = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A disturbance between two times of the run, in seconds."""

    name: str
    start: float
    end: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Bad seconds after a fault.

    Parameters
    ----------
    fault : Fault
        Disturbance.
    bad_seconds : int
        Seconds with a bad measure until the next fault.
    recovered_after : float
        Seconds from the start of the fault until the last bad one ended.
    unanswered : int
        Requests that were not answered although within their rate.
    codes : str
        Their result codes with counts; 0 for a broken connection.
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
    """Return whether a request within its rate got no whole answer."""
    if sample.complete and sample.correct:
        return False
    if sample.code in (figures.RATE_EXCEEDED, QUARANTINED):
        return False
    return endpoint.CRASH_MARKER not in sample.arrival.prompt


def find_recovery(samples, faults, until):
    """Return how long each fault was felt.

    Parameters
    ----------
    samples : list of load.Sample
        Samples of the whole run.
    faults : tuple of Fault
        In order of time.
    until : float
        End of the run in seconds.

    Returns
    -------
    list of Recovery
        One for each fault.
    """
    calm = [
        one.first_token
        for one in samples
        if one.complete and one.arrival.at < faults[0].start
    ]
    limit = SLOW_FACTOR * figures.get_percentile(calm, 0.95)
    ends = [fault.start for fault in faults[1:]] + [until]
    return [
        measure_fault(samples, fault, end, limit)
        for fault, end in zip(faults, ends, strict=True)
    ]


def measure_fault(samples, fault, end, limit):
    """Return the recovery from one fault."""
    bad = []
    unanswered = collections.Counter()
    for second in range(int(fault.start), int(end)):
        within = [
            one for one in samples if second <= one.arrival.at < second + 1
        ]
        missing = collections.Counter(
            one.code for one in within if is_unanswered(one)
        )
        unanswered += missing
        first = [one.first_token for one in within if one.complete]
        if missing or figures.get_percentile(first, 0.95) > limit:
            bad.append(second)
    last = max(bad) + 1 - fault.start if bad else 0.0
    names = ' '.join(
        f'{code}:{count}' for code, count in sorted(unanswered.items())
    )
    return Recovery(fault, len(bad), last, unanswered.total(), names)


class FaultRun:
    """One run with all faults.

    Parameters
    ----------
    running : fleet.Fleet
        Started deployment.
    keys : dict of str to str
        Key of each account.
    seed : int
        Seed of the arrivals.
    """

    def __init__(self, running, keys, seed):
        self.fleet = running
        self.keys = keys
        self.seed = seed
        self.spread = balancer.Balancer(
            one.http for one in running.hosts.values()
        )
        self.pool = concurrent.futures.ThreadPoolExecutor(16)
        self.killed = set()
        self.crashes = 0
        self.stopped = threading.Event()

    def make_schedules(self):
        """Return the arrivals of all accounts and the poison copies."""
        random = random_module.Random(self.seed)
        schedules = [
            load.make_arrivals(
                account.account_id,
                self.keys[account.account_id],
                '/v1/completions',
                RUN_SECONDS,
                account.rate * PART_OF_RATE,
                random,
                max_tokens=ONLINE_TOKENS,
            )
            for account in self.fleet.plan.accounts
        ]
        poison = next(one for one in FAULTS if one.name == 'poison request')
        schedules.append(
            [
                load.Arrival(
                    poison.start + 0.3 * number,
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
        """Restart engines that crashed, as the platform does."""
        while not self.stopped.wait(WATCH_SECONDS):
            for name, process in list(self.fleet.processes.items()):
                if process.poll() is None or name in self.killed:
                    continue
                self.crashes += 1
                self.stopped.wait(RESTART_SECONDS)
                self.fleet.processes.pop(name, None)
                self.fleet.start_endpoint(name)

    def disturb(self, start):
        """Cause and end all faults at their times."""
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
                lambda: self.fleet.set_link_faults((CUT_ZONE,)),
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
            self.killed.clear()

    def kill(self, name):
        """Kill a process that the run itself restarts later."""
        self.killed.add(name)
        self.fleet.kill(name)

    def run_job(self):
        """Run a job through all faults; return its report."""
        items = jobs.make_items(
            'faults', JOB_ITEMS, self.fleet.plan.model_id, JOB_TOKENS
        )
        caller = jobs.JobCaller(self.spread.pick, self.keys[JOB_ACCOUNT])
        started_at = time.monotonic()
        job_id = caller.create('fault-job', items)
        caller.wait(job_id, started_at + JOB_TIMEOUT_SECONDS)
        return caller.read_report(job_id, items, started_at)

    def run(self):
        """Return samples and the report of the job."""
        runner = load.LoadRunner(self.spread.pick, self.fleet.plan.model_id)
        start = time.monotonic()
        threads = [
            threading.Thread(target=self.disturb, args=(start,)),
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
        self.spread.close()
        self.pool.shutdown()
        return samples, report


def wait_until(moment):
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, moment - time.monotonic()))


def check_run(run, samples, report):
    """Return the outcome of all rule checks."""
    plan = run.fleet.plan
    recorded = runs.read_runs(run.fleet.get_runs_path())
    wrong = list(report.wrong)
    if report.status != 'completed':
        wrong.append(f'the job is {report.status}')
    return [
        rules.RuleResult('R1 batch items', report.sent, tuple(wrong)),
        *rules.check_rules(
            samples, recorded, plan.accounts, (declare.SERVICE_PATH,)
        ),
    ]


def print_recoveries(recoveries):
    """Print one line for each fault."""
    sys.stdout.write(
        'fault                start  bad seconds  over after  unanswered  '
        'codes\n'
    )
    for one in recoveries:
        sys.stdout.write(
            f'{one.fault.name:20s} {one.fault.start:5.0f} '
            f'{one.bad_seconds:12d} {one.recovered_after:11.1f} '
            f'{one.unanswered:11d}  {one.codes}\n'
        )


def run_faults(seed=1, keep=''):
    """Measure how faults are felt, and check that nothing is lost.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    keep : str
        Folder for settings, logs and timelines; removed if empty.

    Notes
    -----
    Exit status 0 only if every rule that can be seen held.
    """
    folder = keep or tempfile.mkdtemp(prefix='rhubarbreach-faults-')
    running = fleet.Fleet(plans.TURNO_PATIO, folder)
    try:
        running.start()
        keys = declare.Operator(running).declare(running.plan)
        running.wait_ready()
        running.set_link_faults()
        time.sleep(STEADY_SECONDS)
        run = FaultRun(running, keys, seed)
        samples, report = run.run()
        results = check_run(run, samples, report)
    finally:
        running.stop()
    recoveries = find_recovery(samples, FAULTS, RUN_SECONDS)
    sys.stdout.write(f'seed {seed}, {run.crashes} engine crashes by poison\n')
    print_recoveries(recoveries)
    demo.print_refusals(samples)
    held = demo.print_rules(results)
    if not keep:
        shutil.rmtree(folder)
    summary = {one.fault.name: dataclasses.asdict(one) for one in recoveries}
    sys.stdout.write(json.dumps(summary) + '\n')
    sys.exit(0 if held else 1)
