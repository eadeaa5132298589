"""Small deployment with online and batch traffic, faults and checks."""

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
REVOKE_BOUND_SECONDS = 3.0
SWAPS = 12
ONLINE_TOKENS = 16
PART_OF_RATE = 0.5
EXCESS_FACTOR = 3.0
EAGER_ACCOUNT = 'school-5'
REVOKED_ACCOUNT = 'school-6'
JOB_ACCOUNT = 'school-2'
CANCEL_ACCOUNT = 'school-3'
KEY_REVOKED = 112
MAX_VIOLATIONS = 5

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
    running : fleet.Fleet
        Started deployment.
    keys : dict of str to str
        Key of each account.
    operator : declare.Operator
        Operator of the deployment.
    random : random.Random
        Source of arrivals.
    """

    def __init__(self, running, keys, operator, random):
        self.fleet = running
        self.plan = running.plan
        self.keys = keys
        self.operator = operator
        self.random = random
        self.balancer = balancer.Balancer(
            one.http for one in running.hosts.values()
        )
        self.revoked_at = 0.0
        self.results = []
        self.pool = concurrent.futures.ThreadPoolExecutor(8)

    def make_schedules(self):
        """Return the arrivals of all accounts."""
        schedules = []
        for account in self.plan.accounts:
            part = PART_OF_RATE
            if account.account_id == EAGER_ACCOUNT:
                part = EXCESS_FACTOR
            schedules.append(
                load.make_arrivals(
                    account.account_id,
                    self.keys[account.account_id],
                    '/v1/completions',
                    ONLINE_SECONDS,
                    account.rate * part,
                    self.random,
                    max_tokens=ONLINE_TOKENS,
                )
            )
        return schedules

    def disturb(self, start):
        """Lose and restore an engine and a host, and revoke a key."""
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
        """Revoke a key and wait until that is in effect."""
        self.revoked_at = time.monotonic()
        self.operator.revoke_key(key_id, REVOKE_BOUND_SECONDS)

    def run_job(self):
        """Run a job with a few items that cannot be done."""
        items = jobs.make_items(
            'demo', JOB_ITEMS, self.plan.model_id, JOB_TOKENS, (3, 50, 199)
        )
        caller = jobs.JobCaller(self.balancer.pick, self.keys[JOB_ACCOUNT])
        started_at = time.monotonic()
        job_id = caller.create('demo-job', items)
        again = caller.create('demo-job', items)
        caller.wait(job_id, started_at + JOB_TIMEOUT_SECONDS)
        report = caller.read_report(job_id, items, started_at)
        wrong = list(report.wrong)
        if again != job_id:
            wrong.append(f'the job sent again became {again}')
        if report.status != 'completed' or report.failed != 3:
            wrong.append(f'{report}')
        self.results.append(
            rules.RuleResult('R1 batch items', JOB_ITEMS, tuple(wrong))
        )
        return report

    def run_cancelled_job(self):
        """Cancel a job and check that nothing of it starts afterwards."""
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
        """Return how many attempts of a job endpoints have begun."""
        return sum(
            run.event == 'started' and run.request_id.startswith(job_id)
            for run in runs.read_runs(self.fleet.get_runs_path())
        )

    def send_swaps(self):
        """Send each swap confirmation twice, to different hosts."""
        key = self.keys['school-1']
        answers = collections.defaultdict(set)
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
                answers[number].add((status, data))
        wrong = [
            f'swap {number}: {found}'
            for number, found in answers.items()
            if len(found) != 1
        ]
        return rules.RuleResult('R8 equal answers', SWAPS, tuple(wrong))

    def check_revocation(self, samples):
        """Check that a revoked key stopped working in time (R4)."""
        since = self.revoked_at + REVOKE_BOUND_SECONDS
        late = [
            one
            for one in samples
            if one.arrival.account_id == REVOKED_ACCOUNT
            and one.sent_at > since
        ]
        wrong = [
            f'{one.request_id}: status {one.status} after the revocation'
            for one in late
            if one.status != 0 and one.code != KEY_REVOKED
        ]
        return rules.RuleResult('R4 revoked key', len(late), tuple(wrong))

    def run(self):
        """Run traffic and faults; return samples and rule results."""
        runner = load.LoadRunner(self.balancer.pick, self.plan.model_id)
        start = time.monotonic()
        disturber = threading.Thread(target=self.disturb, args=(start,))
        disturber.start()
        job = self.pool.submit(self.run_job)
        cancelled = self.pool.submit(self.run_cancelled_job)
        swaps = self.pool.submit(self.send_swaps)
        samples = runner.run(*self.make_schedules())
        disturber.join()
        report = job.result()
        job_id, before, status = cancelled.result()
        self.results.append(swaps.result())
        time.sleep(SETTLE_SECONDS)
        started = self.count_started(job_id) - before
        wrong = []
        if started or status != 'cancelled':
            wrong.append(f'{started} attempts after the cancel, {status}')
        self.results.append(
            rules.RuleResult('R2 cancelled job', 1, tuple(wrong))
        )
        self.results.append(self.check_revocation(samples))
        self.results.append(self.check_drain())
        recorded = runs.read_runs(self.fleet.get_runs_path())
        self.results += rules.check_rules(
            samples, recorded, self.plan.accounts, (declare.SERVICE_PATH,)
        )
        runner.close()
        self.balancer.close()
        self.pool.shutdown()
        return samples, report

    def check_drain(self):
        """Drain a host and check its exit status (R10)."""
        status = self.fleet.terminate('host-5')
        wrong = () if status == 0 else (f'exit status {status}',)
        return rules.RuleResult('R10 drain', 1, wrong)


def print_accounts(samples, accounts):
    """Print one line for each account."""
    sys.stdout.write(
        '\naccount          sent  admitted  completed  rate-refused  '
        'other   p50 ms   p99 ms\n'
    )
    for one in figures.summarise_accounts(samples, accounts):
        sys.stdout.write(
            f'{one.account_id:15s} {one.sent:5d} {one.admitted:9d} '
            f'{one.completed:10d} {one.refused_rate:13d} '
            f'{one.refused_other:6d} {one.p50 * 1000:8.1f} '
            f'{one.p99 * 1000:8.1f}\n'
        )


def print_refusals(samples):
    """Print why requests were not completed."""
    reasons = collections.Counter(
        (one.status, one.code, str(one.not_run))
        for one in samples
        if not one.complete
    )
    sys.stdout.write('\nstatus  code  not run  requests\n')
    for (status, code, not_run), count in sorted(reasons.items()):
        sys.stdout.write(f'{status:6d} {code:5d}  {not_run:7s} {count:9d}\n')


def print_rules(results):
    """Print each rule; return whether all held."""
    sys.stdout.write('\nrule                          checked  violations\n')
    for one in results:
        sys.stdout.write(
            f'{one.rule:28s} {one.checked:8d} {len(one.violations):11d}\n'
        )
        for violation in one.violations[:MAX_VIOLATIONS]:
            sys.stdout.write(f'    {violation}\n')
    return not any(one.violations for one in results)


def run_demo(seed=1, keep=''):
    """Run a small deployment with faults and check the outcome.

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
    folder = keep or tempfile.mkdtemp(prefix='rhubarbreach-demo-')
    running = fleet.Fleet(plans.TURNO_PATIO, folder)
    start = time.monotonic()
    try:
        running.start()
        operator = declare.Operator(running)
        keys = operator.declare(running.plan)
        running.wait_ready()
        running.set_link_faults()
        sys.stdout.write(
            f'{len(running.hosts)} hosts, {len(running.endpoints)} endpoints '
            f'ready after {time.monotonic() - start:.1f} s, seed {seed}\n'
        )
        demo = Demo(running, keys, operator, random_module.Random(seed))
        samples, report = demo.run()
    finally:
        running.stop()
    print_accounts(samples, running.plan.accounts)
    print_refusals(samples)
    sys.stdout.write(
        f'\njob: {report.done} done, {report.failed} failed of {report.sent} '
        f'items after {report.seconds:.1f} s\n'
    )
    held = print_rules(demo.results)
    verdict = 'all rules held' if held else 'a rule was violated'
    sys.stdout.write(
        f'\n{verdict} after {time.monotonic() - start:.1f} s in all\n'
    )
    if not keep:
        shutil.rmtree(pathlib.Path(folder))
    sys.exit(0 if held else 1)
