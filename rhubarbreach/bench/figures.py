"""Rates, latencies and fair shares computed from samples of callers."""

import bisect
import dataclasses

__all__ = [
    'AccountFigures',
    'compute_fair_shares',
    'compute_rate_excess',
    'compute_worst_share',
    'count_ideal_admissions',
    'get_percentile',
    'is_admitted',
    'summarise_accounts',
]

RATE_EXCEEDED = 140
# Tolerance for rounding errors in sums of requests.
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class AccountFigures:
    """Requests and served tokens of one client account.

    Parameters
    ----------
    account_id : str
        Client account.
    sent, admitted, completed, refused_rate, refused_other : int
        Numbers of requests. `refused_rate` counts refusals for rate, and
        `refused_other` all other requests that were not completed.
    ideal : int
        Number of requests that a single token bucket would have admitted.
    tokens : int
        Number of tokens delivered.
    p50, p99 : float
        Latency until the first token in seconds.
    """

    account_id: str
    sent: int
    admitted: int
    completed: int
    refused_rate: int
    refused_other: int
    ideal: int
    tokens: int
    p50: float
    p99: float


def get_percentile(values, fraction):
    """Return a percentile of unsorted values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def is_admitted(sample):
    """Return whether a request may have run and so counts against the rate.

    A refusal that states that the request did not run counts as not admitted,
    whatever its reason. `rules.check_not_run` verifies that such requests
    did not run.
    """
    return sample.not_run is not True and sample.status != 0


def count_ideal_admissions(times, rate, burst):
    """Return the number of requests that a single token bucket would admit.

    Parameters
    ----------
    times : list of float
        Sorted times of the requests in seconds.
    rate, burst : float
        Rate in requests per second and size of the bucket, which is full at
        the first request.

    Returns
    -------
    int
        Number of admitted requests.
    """
    level, last, admitted = burst, None, 0
    for time in times:
        if last is not None:
            level = min(burst, level + (time - last) * rate)
        last = time
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted


def compute_rate_excess(samples, rate, burst):
    """Return the largest excess over rate and burst in any window.

    A request is admitted at an unknown time between its sending and its first
    token, so it counts for a window only if both are inside. The result is
    therefore a lower bound of the true excess.

    Parameters
    ----------
    samples : list of load.Sample
        Samples of one account.
    rate, burst : float
        Token bucket of the account.

    Returns
    -------
    float
        Number of requests, 0 if no window has an excess.
    """
    spans = sorted(
        (
            sample.sent_at,
            sample.sent_at + (sample.first_token or sample.total),
        )
        for sample in samples
        if is_admitted(sample)
    )
    excess = 0.0
    # Sorted ends of the requests that were sent at or after the start.
    ends = []
    for start, end in reversed(spans):
        bisect.insort(ends, end)
        for count, window_end in enumerate(ends, 1):
            allowed = burst + rate * (window_end - start)
            excess = max(excess, count - allowed)
    return excess if excess > ROUNDING else 0.0


def summarise_accounts(samples, accounts):
    """Return the figures of each account.

    Parameters
    ----------
    samples : list of load.Sample
        All samples.
    accounts : iterable of plans.AccountPlan
        Accounts with their rates and bursts.

    Returns
    -------
    list of AccountFigures
        In the order of `accounts`.
    """
    return [
        summarise_account(
            account,
            [
                sample
                for sample in samples
                if sample.arrival.account_id == account.account_id
            ],
        )
        for account in accounts
    ]


def summarise_account(account, samples):
    """Return the figures of one account."""
    times = sorted(sample.sent_at for sample in samples)
    latencies = [sample.first_token for sample in samples if sample.complete]
    refused = [sample for sample in samples if sample.code == RATE_EXCEEDED]
    admitted = [sample for sample in samples if is_admitted(sample)]
    completed = [sample for sample in samples if sample.complete]
    return AccountFigures(
        account.account_id,
        sent=len(samples),
        admitted=len(admitted),
        completed=len(completed),
        refused_rate=len(refused),
        refused_other=len(samples) - len(refused) - len(completed),
        ideal=count_ideal_admissions(times, account.rate, account.burst),
        tokens=sum(sample.tokens for sample in samples),
        p50=get_percentile(latencies, 0.5),
        p99=get_percentile(latencies, 0.99),
    )


def compute_fair_shares(demands, weights, total):
    """Return the weighted max-min fair shares of a total.

    Parameters
    ----------
    demands, weights : dict of str to float
        Demand and weight of each account.
    total : float
        Amount to divide.

    Returns
    -------
    dict of str to float
        Share of each account, at most its demand.
    """
    shares = {}
    remaining = total
    unsatisfied = dict(demands)
    while unsatisfied:
        weight = sum(weights[account_id] for account_id in unsatisfied)
        share_per_weight = remaining / weight
        satisfied = [
            account_id
            for account_id, demand in unsatisfied.items()
            if demand <= share_per_weight * weights[account_id]
        ]
        if not satisfied:
            shares |= {
                account_id: share_per_weight * weights[account_id]
                for account_id in unsatisfied
            }
            break
        for account_id in satisfied:
            shares[account_id] = unsatisfied.pop(account_id)
            remaining -= shares[account_id]
    return shares


def compute_worst_share(served, demands, weights):
    """Return the smallest ratio of served tokens to the fair share.

    Parameters
    ----------
    served, demands, weights : dict of str to float
        Tokens served, tokens demanded and weight of each account. Demands
        include only requests within the account's rate.

    Returns
    -------
    float
        At least 1.0 if each account got its fair share.
    """
    shares = compute_fair_shares(demands, weights, sum(served.values()))
    ratios = [
        served[account_id] / share
        for account_id, share in shares.items()
        if share > 0
    ]
    return min(ratios, default=1.0)
