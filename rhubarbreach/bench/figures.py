"""Figures that are computed from what callers saw."""

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
ROUNDING = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class AccountFigures:
    """Requests and service of one client account.

    Parameters
    ----------
    account_id : str
        Client account.
    sent, admitted, completed, refused_rate, refused_other : int
        Requests.
    ideal : int
        Requests that one token bucket would have admitted.
    tokens : int
        Tokens delivered.
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
    """Return a percentile of unsorted values, 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(fraction * len(ordered)))
    return ordered[index]


def is_admitted(sample):
    """Return whether a request may have run, and so used up rate.

    A request that was refused as not run got nothing, whatever the reason;
    check_not_run verifies that such refusals are true.
    """
    return sample.not_run is not True and sample.status != 0


def count_ideal_admissions(times, rate, burst):
    """Return how many requests one token bucket would admit.

    Parameters
    ----------
    times : list of float
        Sorted times in seconds.
    rate, burst : float
        Bucket, full at the first request.

    Returns
    -------
    int
        Admitted requests.
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

    A request was admitted between its sending and its first token, so it
    counts for a window only if both lie inside; the result is never larger
    than the true excess.

    Parameters
    ----------
    samples : list of load.Sample
        Samples of one account.
    rate, burst : float
        Bucket of the account.

    Returns
    -------
    float
        Requests, 0 if no window has too many.
    """
    spans = sorted(
        (one.sent_at, one.sent_at + (one.first_token or one.total))
        for one in samples
        if is_admitted(one)
    )
    excess = 0.0
    # Ends of the requests that were sent at or after the window's start.
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
        Rates and bursts.

    Returns
    -------
    list of AccountFigures
        In the order of `accounts`.
    """
    return [
        summarise_account(
            account,
            [
                one
                for one in samples
                if one.arrival.account_id == account.account_id
            ],
        )
        for account in accounts
    ]


def summarise_account(account, samples):
    """Return the figures of one account."""
    times = sorted(one.sent_at for one in samples)
    first = [one.first_token for one in samples if one.complete]
    refused = [one for one in samples if one.code == RATE_EXCEEDED]
    admitted = [one for one in samples if is_admitted(one)]
    completed = [one for one in samples if one.complete]
    return AccountFigures(
        account.account_id,
        sent=len(samples),
        admitted=len(admitted),
        completed=len(completed),
        refused_rate=len(refused),
        refused_other=len(samples) - len(refused) - len(completed),
        ideal=count_ideal_admissions(times, account.rate, account.burst),
        tokens=sum(one.tokens for one in samples),
        p50=get_percentile(first, 0.5),
        p99=get_percentile(first, 0.99),
    )


def compute_fair_shares(demands, weights, total):
    """Return the weighted max-min fair division of a total.

    Parameters
    ----------
    demands, weights : dict of str to float
        By account.
    total : float
        What is divided.

    Returns
    -------
    dict of str to float
        Share by account; never above its demand.
    """
    shares = {}
    left = total
    open_accounts = dict(demands)
    while open_accounts:
        weight = sum(weights[one] for one in open_accounts)
        level = left / weight
        filled = [
            one
            for one, demand in open_accounts.items()
            if demand <= level * weights[one]
        ]
        if not filled:
            shares |= {one: level * weights[one] for one in open_accounts}
            break
        for one in filled:
            shares[one] = open_accounts.pop(one)
            left -= shares[one]
    return shares


def compute_worst_share(served, demands, weights):
    """Return the smallest ratio of service to fair share.

    Parameters
    ----------
    served, demands, weights : dict of str to float
        By account; demands count only what is within the account's rate.

    Returns
    -------
    float
        1.0 when each account got at least its fair share.
    """
    shares = compute_fair_shares(demands, weights, sum(served.values()))
    ratios = [
        served[one] / share for one, share in shares.items() if share > 0
    ]
    return min(ratios, default=1.0)
