"""Check that each requirement has a test that fails without its mechanism.

Each mutation disables one mechanism in a copy of the package and runs the
test that covers it. The test must pass on the original code and fail on the
mutated code.
"""

import concurrent.futures
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import tempfile

__all__ = ['MUTATIONS', 'Mutation', 'check_mutation', 'main']

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = 'rhubarbreach'
WORKERS = 4
TIMEOUT_SECONDS = 120
TESTS_FAILED = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Mutation:
    """Source change that disables one mechanism.

    Parameters
    ----------
    requirement : str
        Number in docs/design.md, or the name of a component.
    mechanism : str
        Rule that the mutated code no longer follows.
    path : str
        Path of the module, relative to the package.
    before, after : str
        Source text that occurs exactly once, and its replacement.
    test : str
        Test files, folders or test ids relative to the package, separated by
        spaces. At least one test must fail on the mutated code.
    """

    requirement: str
    mechanism: str
    path: str
    before: str
    after: str
    test: str


MUTATIONS = (
    Mutation(
        'R1',
        'results with an outdated claim epoch are dropped',
        'state/jobs.py',
        '            job = self.find_claimed_job(result.epoch)\n'
        '            held = job is not None and '
        'job.is_held(result.item, result.epoch)\n',
        '            job = next(iter(self.jobs.values()))\n'
        '            held = True\n'
        '            self.claims.setdefault(\n'
        '                result.epoch, next(iter(self.claims.values()))\n'
        '            )\n',
        'state/tests/test_jobs.py'
        '::test_first_result_wins_and_old_epoch_is_dropped',
    ),
    Mutation(
        'R2',
        'cancelling a job drops its claims',
        'state/jobs.py',
        '            holders = self.drop_claims(job)\n',
        '',
        'state/tests/test_jobs.py::test_cancel_drops_claims_and_late_results',
    ),
    Mutation(
        'R3',
        'online work preempts batch work',
        'placement/core.py',
        '            return [self.preempt(newest), '
        'self.start(item, choice, now)]',
        '            return []',
        'placement/tests/test_scheduler.py::test_online_work_preempts_batch',
    ),
    Mutation(
        'R4',
        'a revoked key is refused',
        'distribution/view.py',
        'if is_known and entry.revoked:',
        'if False:',
        'distribution/tests/test_view.py::test_revoked_key_is_refused_at_once',
    ),
    Mutation(
        'R4',
        'keys are accepted only while the configuration is valid',
        'distribution/view.py',
        'if now >= get_deadline(config, account_id, valid_until):',
        'if False:',
        'distribution/tests/test_view.py'
        '::test_key_works_until_the_validity_counted_from_the_poll',
    ),
    Mutation(
        'R4',
        'only listed headers are forwarded',
        'entry/online.py',
        "FORWARDED_HEADERS = ('Content-Type', 'Accept')",
        "FORWARDED_HEADERS = ('Content-Type', 'Accept', 'Authorization')",
        'entry/tests/test_online.py::test_service_headers',
    ),
    Mutation(
        'R5',
        'unspent grants count against the burst',
        'limits/owner.py',
        'free_capacity = max(0.0, capacity - owned.count_outstanding())',
        'free_capacity = capacity',
        'limits/tests/test_shares.py',
    ),
    Mutation(
        'R6',
        'events of another attempt are dropped',
        'dispatch/events.py',
        'if fields.id != self.attempt_id:',
        'if False:',
        'dispatch/tests/test_executor.py',
    ),
    Mutation(
        'R7',
        'a refusal after an attempt ran is not reported as not run',
        'dispatch/executor.py',
        'if run.ran is not codes.Ran.NO and refusal.ran is codes.Ran.NO:',
        'if False:',
        'dispatch/tests',
    ),
    Mutation(
        'R8',
        'a request is reserved only once',
        'state/requests.py',
        '        if record is None:\n            record = Record(',
        '        if True:\n            record = Record(',
        'entry/tests/test_online.py::test_duplicates_run_once '
        'batch/tests/test_records.py',
    ),
    Mutation(
        'R9',
        'a draining endpoint gets no new work',
        'membership/endpoints.py',
        '                and not record.info.draining\n',
        '',
        'membership/tests/test_endpoints.py'
        '::test_draining_endpoint_gets_no_new_work',
    ),
    Mutation(
        'R10',
        'a drain waits for running requests',
        'daemon/shutdown.py',
        'finished = host.server.wait_for_requests(deadline) and finished',
        'host.loop.close()',
        'daemon/tests/test_host.py'
        '::test_drain_cuts_no_stream_and_refuses_new_requests',
    ),
    Mutation(
        'R11',
        'an older configuration never replaces a newer one',
        'distribution/view.py',
        'if config.revision <= before.revision:',
        'if False:',
        'distribution/tests/test_view.py'
        '::test_older_configuration_never_replaces_a_newer_one',
    ),
    Mutation(
        'replicated log',
        'a vote survives a restart',
        'consensus/voting.py',
        '            store.save_vote(store.term, request.candidate_id)\n',
        '            store.vote = request.candidate_id\n',
        'consensus/tests/test_voting.py',
    ),
    Mutation(
        'replicated log',
        'a candidate needs an up-to-date log',
        'consensus/voting.py',
        '    return (request.last_term, request.last_index) >= (\n'
        '        store.last_term,\n'
        '        store.last_index,\n'
        '    )',
        '    return True',
        'consensus/tests/test_voting.py',
    ),
)


def run_test(folder, test):
    """Return the exit status of pytest for a test in a folder."""
    targets = [f'{PACKAGE}/{test_id}' for test_id in test.split()]
    return subprocess.run(
        [sys.executable, '-m', 'pytest', '-x', *targets],
        cwd=folder,
        env={'PYTHONPATH': str(folder), 'PATH': '/usr/bin:/bin'},
        capture_output=True,
        check=False,
        timeout=TIMEOUT_SECONDS,
    ).returncode


def check_mutation(mutation):
    """Check that a test passes on the original code and detects a mutation.

    Parameters
    ----------
    mutation : Mutation
        Mutation to apply.

    Returns
    -------
    tuple of bool and str
        Whether the check passed, and a report line.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for part in (PACKAGE, 'docs', 'model', 'conftest.py', 'KNOWN-RED.txt'):
            copy(ROOT / part, folder / part)
        if run_test(folder, mutation.test) != 0:
            return False, describe(mutation, 'test fails without the mutation')
        path = folder / PACKAGE / mutation.path
        text = path.read_text(encoding='utf-8')
        if text.count(mutation.before) != 1:
            return False, describe(
                mutation, 'source text does not occur exactly once'
            )
        changed = text.replace(mutation.before, mutation.after)
        path.write_text(changed, encoding='utf-8')
        if run_test(folder, mutation.test) != TESTS_FAILED:
            return False, describe(mutation, 'NOT NOTICED')
    return True, describe(mutation, 'noticed')


def copy(source, target):
    """Copy a file or a folder."""
    if source.is_dir():
        ignored = shutil.ignore_patterns('__pycache__')
        shutil.copytree(source, target, ignore=ignored)
    else:
        shutil.copy(source, target)


def describe(mutation, outcome):
    """Return the report line of a mutation."""
    return (
        f'{mutation.requirement:15s} {outcome:12s} {mutation.mechanism} '
        f'[{mutation.test}]'
    )


def main():
    """Check all mutations; exit with status 1 if a check fails."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        results = list(pool.map(check_mutation, MUTATIONS))
    for _, line in results:
        sys.stdout.write(f'{line}\n')
    sys.exit(0 if all(passed for passed, _ in results) else 1)


if __name__ == '__main__':
    main()
