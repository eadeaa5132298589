"""Checks of the serving invariants on the records of callers and endpoints."""

import collections
import dataclasses

from rhubarbreach.bench import figures

__all__ = ['RuleResult', 'check_rules']


@dataclasses.dataclass(frozen=True, slots=True)
class RuleResult:
    """Outcome of one check.

    Parameters
    ----------
    rule : str
        Number in docs/design.md, and the subject of the check.
    checked : int
        Number of cases checked.
    violations : tuple of str
        One line for each violation.
    """

    rule: str
    checked: int
    violations: tuple[str, ...]


def check_answers(samples):
    """Check that each answer is complete and correct (R1, R6).

    Answers with a failure in `detail`, such as a lost connection, are skipped.
    """
    answered = [sample for sample in samples if sample.status == 200]
    violations = [
        f'{sample.request_id}: {sample.tokens} of '
        f'{sample.arrival.max_tokens} tokens, '
        f'complete={sample.complete} correct={sample.correct} {sample.detail}'
        for sample in answered
        if not (sample.complete and sample.correct) and not sample.detail
    ]
    return RuleResult('R1 R6 whole answers', len(answered), tuple(violations))


def check_not_run(samples, runs):
    """Check that requests refused as not run did not run (R7)."""
    started = {run.request_id for run in runs if run.event == 'started'}
    refused = [sample for sample in samples if sample.not_run is True]
    violations = [
        f'{sample.request_id}: code {sample.code} but an attempt ran'
        for sample in refused
        if sample.request_id and sample.request_id in started
    ]
    return RuleResult('R7 not run is true', len(refused), tuple(violations))


def check_single_runs(runs, paths):
    """Check that calls on the given paths ran at most once (R8).

    Parameters
    ----------
    runs : list of runs.Run
        Run records of all endpoints.
    paths : tuple of str
        Path prefixes whose calls must not be repeated. Each body belongs to
        a single logical request.
    """
    counts = collections.Counter(
        run.body_digest
        for run in runs
        if run.event == 'started' and run.path.startswith(paths)
    )
    violations = [
        f'body {digest} ran {count} times'
        for digest, count in counts.items()
        if count > 1
    ]
    return RuleResult('R8 at most once', len(counts), tuple(violations))


def check_keys_hidden(runs):
    """Check that no endpoint received a key (R4)."""
    violations = [
        f'{run.endpoint_id} saw the key of {run.request_id}'
        for run in runs
        if run.saw_key
    ]
    return RuleResult(
        'R4 no endpoint sees a key', len(runs), tuple(violations)
    )


def check_rates(samples, accounts):
    """Check that no account exceeded its rate and burst (R5)."""
    violations = []
    for account in accounts:
        account_samples = [
            sample
            for sample in samples
            if sample.arrival.account_id == account.account_id
        ]
        excess = figures.compute_rate_excess(
            account_samples, account.rate, account.burst
        )
        if excess > 0:
            violations.append(
                f'{account.account_id}: '
                f'{excess:.2f} requests above rate and burst'
            )
    return RuleResult('R5 rate and burst', len(samples), tuple(violations))


def check_rules(samples, runs, accounts, single_paths):
    """Check all rules on online requests.

    Parameters
    ----------
    samples : list of load.Sample
        Requests and answers of the callers.
    runs : list of runs.Run
        Run records of all endpoints.
    accounts : iterable of plans.AccountPlan
        Client accounts with their rates and bursts.
    single_paths : tuple of str
        Path prefixes whose calls must not be repeated.

    Returns
    -------
    list of RuleResult
        One result for each check.
    """
    return [
        check_answers(samples),
        check_not_run(samples, runs),
        check_single_runs(runs, single_paths),
        check_keys_hidden(runs),
        check_rates(samples, accounts),
    ]
