"""Demo: online and batch traffic on a small deployment with faults."""

import collections
import concurrent.futures
import json
import pathlib
import random as random_module
import shutil
import sys
import tempfile
import threading
import time

from rhubarbreach.bench import balancer
from rhubarbreach.bench import declare
from rhubarbreach.bench import figures
from rhubarbreach.bench import fleet
from rhubarbreach.bench import jobs
from rhubarbreach.bench import load
from rhubarbreach.bench import plans
from rhubarbreach.bench import rules
from rhubarbreach.emulator import runs

__all__ = ['run_demo']

ONLINE_SECONDS = 20.0
SETTLE_SECONDS = 1.5
JOB_ITEMS = 240
JOB_TOKENS = 12
JOB_TIMEOUT_SECONDS = 25.0
CANCEL_ITEMS = 2000
CANCEL_GRACE_SECONDS = 2.0
# Time until a revoked key must be refused by all hosts.
REVOKE_BOUND_SECONDS = 3.0
SWAPS = 12
ONLINE_TOKENS = 16
RATE_FRACTION = 0.5
FLOOD_FACTOR = 3.0
FLOOD_ACCOUNT = 'school-5'
REVOKED_ACCOUNT = 'school-6'
JOB_ACCOUNT = 'school-2'
CANCEL_ACCOUNT = 'school-3'
KEY_REVOKED = 112
MAX_VIOLATIONS = 5

# Seconds after the start of the run.
ENGINE_LOST_AT = 5.0
HOST_LOST_AT = 8.0
REVOKED_AT = 11.0
ENGINE_BACK_AT = 12.0
HOST_BACK_AT = 13.0
LOST_ENGINE = 'engine-1'
LOST_HOST = 'host-2'


class Demo:
    """One run of the demo.

    Parameters
    ----------
    deployment : fleet.Fleet
        Started deployment.
    keys : dict of str to str
        Key of each account.
    operator : declare.Operator
        Operator of the deployment.
    random : random.Random
        Random generator for the arrivals.
    """

    def __init__(self, deployment, keys, operator, random):
        self.fleet = deployment
        self.plan = deployment.plan
        self.keys = keys
        self.operator = operator
        self.random = random
        self.balancer = balancer.Balancer(
            addresses.http for addresses in deployment.hosts.values()
        )
        self.revoked_at = 0.0
        self.results = []
        self.pool = concurrent.futures.ThreadPoolExecutor(8)

    def make_schedules(self):
        """Return the arrivals of each account."""
        schedules = []
        for account in self.plan.accounts:
            factor = RATE_FRACTION
            if account.account_id == FLOOD_ACCOUNT:
                factor = FLOOD_FACTOR
            schedules.append(
                load.make_arrivals(
                    account.account_id,
                    self.keys[account.account_id],
                    '/v1/completions',
                    ONLINE_SECONDS,
                    account.rate * factor,
                    self.random,
                    max_tokens=ONLINE_TOKENS,
                )
            )
        return schedules

    def inject_faults(self, start):
        """Kill and restart an engine and a host, and revoke a key."""
        steps = (
            (ENGINE_LOST_AT, self.fleet.kill, LOST_ENGINE),
            (HOST_LOST_AT, self.fleet.kill, LOST_HOST),
            (REVOKED_AT, self.revoke, f'{REVOKED_ACCOUNT}-key'),
            (ENGINE_BACK_AT, self.fleet.start_endpoint, LOST_ENGINE),
            (HOST_BACK_AT, self.fleet.start_host, LOST_HOST),
        )
        for at, action, name in steps:
            time.sleep(max(0.0, start + at - time.monotonic()))
            action(name)
            sys.stdout.write(f'{at:5.1f} s  {action.__name__} {name}\n')

    def revoke(self, key_id):
        """Revoke a key and wait until the change is in effect."""
        self.revoked_at = time.monotonic()
        self.operator.revoke_key(key_id, REVOKE_BOUND_SECONDS)

    def run_job(self):
        """Run a job with three items that every endpoint rejects."""
        items = jobs.make_items(
            'demo', JOB_ITEMS, self.plan.model_id, JOB_TOKENS, (3, 50, 199)
        )
        caller = jobs.JobCaller(self.balancer.pick, self.keys[JOB_ACCOUNT])
        started_at = time.monotonic()
        job_id = caller.create('demo-job', items)
        repeated_id = caller.create('demo-job', items)
        caller.wait(job_id, started_at + JOB_TIMEOUT_SECONDS)
        report = caller.read_report(job_id, items, started_at)
        violations = list(report.violations)
        if repeated_id != job_id:
            violations.append(
                f'repeated upload created another job {repeated_id}'
            )
        if report.status != 'completed' or report.failed != 3:
            violations.append(f'{report}')
        self.results.append(
            rules.RuleResult('R1 batch items', JOB_ITEMS, tuple(violations))
        )
        return report

    def run_cancelled_job(self):
        """Cancel a job while it runs.

        Returns
        -------
        tuple
            Id of the job, its attempts that had started when the grace
            period ended, and its status then.
        """
        items = jobs.make_items(
            'cancelled', CANCEL_ITEMS, self.plan.model_id, JOB_TOKENS
        )
        caller = jobs.JobCaller(self.balancer.pick, self.keys[CANCEL_ACCOUNT])
        job_id = caller.create('cancelled-job', items)
        time.sleep(1.0)
        caller.cancel(job_id)
        time.sleep(CANCEL_GRACE_SECONDS)
        before = self.count_started(job_id)
        status = caller.show(job_id)['status']
        return job_id, before, status

    def count_started(self, job_id):
        """Return the number of attempts of a job that endpoints started."""
        return sum(
            run.event == 'started' and run.request_id.startswith(job_id)
            for run in runs.read_runs(self.fleet.get_runs_path())
        )

    def send_swaps(self):
        """Send each swap confirmation twice with the same idempotency key.

        The two requests go to different hosts and must get equal responses.
        """
        key = self.keys['school-1']
        responses = collections.defaultdict(set)
        for number in range(SWAPS):
            body = json.dumps({'swap': number})
            for _ in range(2):
                caller = jobs.JobCaller(self.balancer.pick, key)
                status, data = caller.request(
                    'POST',
                    declare.SERVICE_PATH,
                    body,
                    **{'Idempotency-Key': f'swap-{number}'},
                )
                responses[number].add((status, data))
        violations = [
            f'swap {number}: {distinct}'
            for number, distinct in responses.items()
            if len(distinct) != 1
        ]
        return rules.RuleResult('R8 equal answers', SWAPS, tuple(violations))

    def check_revocation(self, samples):
        """Check that a revoked key is refused within its bound (R4)."""
        in_effect_at = self.revoked_at + REVOKE_BOUND_SECONDS
        later_samples = [
            sample
            for sample in samples
            if sample.arrival.account_id == REVOKED_ACCOUNT
            and sample.sent_at > in_effect_at
        ]
        violations = [
            f'{sample.request_id}: status {sample.status} after the revocation'
            for sample in later_samples
            if sample.status != 0 and sample.code != KEY_REVOKED
        ]
        return rules.RuleResult(
            'R4 revoked key', len(later_samples), tuple(violations)
        )

    def run(self):
        """Run traffic with faults and check the rules.

        Returns
        -------
        tuple
            Online samples, and the report of the batch job.
        """
        runner = load.LoadRunner(self.balancer.pick, self.plan.model_id)
        start = time.monotonic()
        fault_thread = threading.Thread(
            target=self.inject_faults, args=(start,)
        )
        fault_thread.start()
        job = self.pool.submit(self.run_job)
        cancelled = self.pool.submit(self.run_cancelled_job)
        swaps = self.pool.submit(self.send_swaps)
        samples = runner.run(*self.make_schedules())
        fault_thread.join()
        report = job.result()
        job_id, before, status = cancelled.result()
        self.results.append(swaps.result())
        time.sleep(SETTLE_SECONDS)
        started = self.count_started(job_id) - before
        violations = []
        if started or status != 'cancelled':
            violations.append(
                f'{started} attempts started after the cancellation, '
                f'status {status}'
            )
        self.results.append(
            rules.RuleResult('R2 cancelled job', 1, tuple(violations))
        )
        self.results.append(self.check_revocation(samples))
        self.results.append(self.check_drain())
        run_records = runs.read_runs(self.fleet.get_runs_path())
        self.results += rules.check_rules(
            samples, run_records, self.plan.accounts, (declare.SERVICE_PATH,)
        )
        runner.close()
        self.balancer.close()
        self.pool.shutdown()
        return samples, report

    def check_drain(self):
        """Drain a host and check its exit status (R10)."""
        status = self.fleet.terminate('host-5')
        violations = () if status == 0 else (f'exit status {status}',)
        return rules.RuleResult('R10 drain', 1, violations)


def print_accounts(samples, accounts):
    """Print one line for each account."""
    sys.stdout.write(
        '\naccount          sent  admitted  completed  rate-refused  '
        'other   p50 ms   p99 ms\n'
    )
    for account in figures.summarise_accounts(samples, accounts):
        sys.stdout.write(
            f'{account.account_id:15s} {account.sent:5d} '
            f'{account.admitted:9d} {account.completed:10d} '
            f'{account.refused_rate:13d} {account.refused_other:6d} '
            f'{account.p50 * 1000:8.1f} {account.p99 * 1000:8.1f}\n'
        )


def print_refusals(samples):
    """Print the number of incomplete requests by status and code."""
    refusals = collections.Counter(
        (sample.status, sample.code, str(sample.not_run))
        for sample in samples
        if not sample.complete
    )
    sys.stdout.write('\nstatus  code  not run  requests\n')
    for (status, code, not_run), count in sorted(refusals.items()):
        sys.stdout.write(f'{status:6d} {code:5d}  {not_run:7s} {count:9d}\n')


def print_rules(results):
    """Print the result of each rule; return whether all rules held."""
    sys.stdout.write('\nrule                          checked  violations\n')
    for result in results:
        sys.stdout.write(
            f'{result.rule:28s} {result.checked:8d} '
            f'{len(result.violations):11d}\n'
        )
        for violation in result.violations[:MAX_VIOLATIONS]:
            sys.stdout.write(f'    {violation}\n')
    return not any(result.violations for result in results)


def run_demo(seed=1, keep=''):
    """Run a small deployment with faults and check the rules.

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
    folder = keep or tempfile.mkdtemp(prefix='rhubarbreach-demo-')
    deployment = fleet.Fleet(plans.TURNO_PATIO, folder)
    start = time.monotonic()
    try:
        deployment.start()
        operator = declare.Operator(deployment)
        keys = operator.declare(deployment.plan)
        deployment.wait_ready()
        deployment.set_link_faults()
        sys.stdout.write(
            f'{len(deployment.hosts)} hosts, '
            f'{len(deployment.endpoints)} endpoints '
            f'ready after {time.monotonic() - start:.1f} s, seed {seed}\n'
        )
        demo = Demo(deployment, keys, operator, random_module.Random(seed))
        samples, report = demo.run()
    finally:
        deployment.stop()
    print_accounts(samples, deployment.plan.accounts)
    print_refusals(samples)
    sys.stdout.write(
        f'\njob: {report.done} done, {report.failed} failed of {report.sent} '
        f'items after {report.seconds:.1f} s\n'
    )
    all_held = print_rules(demo.results)
    verdict = 'all rules held' if all_held else 'a rule was violated'
    sys.stdout.write(
        f'\n{verdict} after {time.monotonic() - start:.1f} s in all\n'
    )
    if not keep:
        shutil.rmtree(pathlib.Path(folder))
    sys.exit(0 if all_held else 1)
