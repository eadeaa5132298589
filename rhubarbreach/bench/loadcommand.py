"""Command that sends online requests to running entry hosts."""

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
    """Send online requests at random times and print their outcome.

    Parameters
    ----------
    hosts : str
        Comma-separated HTTP addresses of entry hosts, each `IP:port`.
    key : str
        Key of a client account.
    model : str
        Model that the requests name.
    rate : float
        Mean requests per second.
    seconds : float
        Length of the run.
    max_tokens : int
        Number of tokens of each answer.
    path : str
        Path of the requests.
    stream : bool
        Whether the answers are streamed.
    seed : int
        Seed of the random times and prompts.

    Notes
    -----
    Answers are compared with those of the emulated engine. With other
    endpoints, the number of right answers has no meaning.
    """
    addresses = hosts.split(',') if isinstance(hosts, str) else hosts
    load_balancer = balancer.Balancer(
        str(address).strip() for address in addresses
    )
    runner = load.LoadRunner(load_balancer.pick, model)
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
    load_balancer.close()
    print_samples(samples)


def print_samples(samples):
    """Print latencies and the number of requests by outcome."""
    complete = [sample for sample in samples if sample.complete]
    correct = sum(sample.correct for sample in complete)
    sys.stdout.write(
        f'sent={len(samples)} complete={len(complete)} right={correct}\n'
    )
    for fraction in (0.5, 0.95, 0.99):
        first_token = figures.get_percentile(
            [sample.first_token for sample in complete], fraction
        )
        total = figures.get_percentile(
            [sample.total for sample in complete], fraction
        )
        sys.stdout.write(
            f'p{fraction * 100:.0f} first_token_ms={first_token * 1000:.1f} '
            f'total_ms={total * 1000:.1f}\n'
        )
    reasons = collections.Counter(
        (sample.status, sample.code, sample.detail)
        for sample in samples
        if not sample.complete
    )
    for (status, code, detail), count in reasons.most_common():
        sys.stdout.write(
            f'count={count} status={status} code={code} reason={detail!r}\n'
        )
