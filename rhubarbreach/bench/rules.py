"""Checks of the rules that always hold, on what callers and endpoints saw."""

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
        Number in docs/design.md, and what was checked.
    checked : int
        Cases looked at.
    violations : tuple of str
        One line for each violation.
    """

    rule: str
    checked: int
    violations: tuple[str, ...]


def check_answers(samples):
    """Check that each answer is whole and right (R1, R6)."""
    answered = [one for one in samples if one.status == 200]
    wrong = [
        f'{one.request_id}: {one.tokens} of {one.arrival.max_tokens} tokens, '
        f'complete={one.complete} correct={one.correct} {one.detail}'
        for one in answered
        if not (one.complete and one.correct) and not one.detail
    ]
    return RuleResult('R1 R6 whole answers', len(answered), tuple(wrong))


def check_not_run(samples, runs):
    """Check that what was refused as not run did not run (R7)."""
    started = {run.request_id for run in runs if run.event == 'started'}
    refused = [one for one in samples if one.not_run is True]
    wrong = [
        f'{one.request_id}: code {one.code} but an attempt ran'
        for one in refused
        if one.request_id and one.request_id in started
    ]
    return RuleResult('R7 not run is true', len(refused), tuple(wrong))


def check_single_runs(runs, paths):
    """Check that calls on some paths ran at most once (R8).

    Parameters
    ----------
    runs : list of runs.Run
        Run records of all endpoints.
    paths : tuple of str
        Paths whose calls may not be repeated; each body is sent by one
        logical request only.
    """
    counts = collections.Counter(
        run.body_digest
        for run in runs
        if run.event == 'started' and run.path.startswith(paths)
    )
    wrong = [
        f'body {digest} ran {count} times'
        for digest, count in counts.items()
        if count > 1
    ]
    return RuleResult('R8 at most once', len(counts), tuple(wrong))


def check_keys_hidden(runs):
    """Check that no endpoint saw a key (R4)."""
    wrong = [
        f'{run.endpoint_id} saw the key of {run.request_id}'
        for run in runs
        if run.saw_key
    ]
    return RuleResult('R4 no endpoint sees a key', len(runs), tuple(wrong))


def check_rates(samples, accounts):
    """Check that no account got more than rate and burst (R5)."""
    wrong = []
    for account in accounts:
        own = [
            one
            for one in samples
            if one.arrival.account_id == account.account_id
        ]
        excess = figures.compute_rate_excess(own, account.rate, account.burst)
        if excess > 0:
            wrong.append(f'{account.account_id}: {excess:.2f} too many')
    return RuleResult('R5 rate and burst', len(samples), tuple(wrong))


def check_rules(samples, runs, accounts, single_paths):
    """Return the outcome of all checks on online requests.

    Parameters
    ----------
    samples : list of load.Sample
        What callers saw.
    runs : list of runs.Run
        What endpoints ran.
    accounts : iterable of plans.AccountPlan
        Rates and bursts.
    single_paths : tuple of str
        Paths whose calls may not be repeated.

    Returns
    -------
    list of RuleResult
        One for each rule.
    """
    return [
        check_answers(samples),
        check_not_run(samples, runs),
        check_single_runs(runs, single_paths),
        check_keys_hidden(runs),
        check_rates(samples, accounts),
    ]
