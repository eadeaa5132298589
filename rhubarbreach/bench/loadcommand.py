"""Command that sends online requests to running hosts."""

import collections
import random as random_module
import sys

from rhubarbreach.bench import balancer
from rhubarbreach.bench import figures
from rhubarbreach.bench import load

__all__ = ['run_load']


def run_load(
    hosts,
    key,
    model,
    rate=10.0,
    seconds=10.0,
    max_tokens=16,
    path='/v1/completions',
    stream=True,
    seed=1,
):
    """Send online requests at random times and print what came back.

    Parameters
    ----------
    hosts : str
        HTTP addresses of entry hosts, `IP:port`, comma separated.
    key : str
        Key of a client account.
    model : str
        Model to ask for.
    rate : float
        Mean requests per second.
    seconds : float
        Length of the run.
    max_tokens : int
        Tokens of each answer.
    path : str
        Path of the requests.
    stream : bool
        Whether answers are streamed.
    seed : int
        Seed of times and prompts.

    Notes
    -----
    Answers are verified against the emulated engine; with other endpoints
    the count of right answers has no meaning.
    """
    addresses = hosts.split(',') if isinstance(hosts, str) else hosts
    spread = balancer.Balancer(str(one).strip() for one in addresses)
    runner = load.LoadRunner(spread.pick, model)
    arrivals = load.make_arrivals(
        '',
        key,
        path,
        seconds,
        rate,
        random_module.Random(seed),
        max_tokens=max_tokens,
        stream=stream,
    )
    samples = runner.run(arrivals)
    runner.close()
    spread.close()
    print_samples(samples)


def print_samples(samples):
    """Print counts by result and latencies."""
    complete = [one for one in samples if one.complete]
    right = sum(one.correct for one in complete)
    sys.stdout.write(
        f'sent={len(samples)} complete={len(complete)} right={right}\n'
    )
    for fraction in (0.5, 0.95, 0.99):
        first = figures.get_percentile(
            [one.first_token for one in complete], fraction
        )
        total = figures.get_percentile(
            [one.total for one in complete], fraction
        )
        sys.stdout.write(
            f'p{fraction * 100:.0f} first_token_ms={first * 1000:.1f} '
            f'total_ms={total * 1000:.1f}\n'
        )
    reasons = collections.Counter(
        (one.status, one.code, one.detail)
        for one in samples
        if not one.complete
    )
    for (status, code, detail), count in reasons.most_common():
        sys.stdout.write(
            f'count={count} status={status} code={code} reason={detail!r}\n'
        )
