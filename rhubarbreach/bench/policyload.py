"""Online requests and batch items of the policy benchmark."""

import dataclasses
import random

from rhubarbreach.bench import plans

__all__ = [
    'Arrival',
    'BATCH_OUTPUT_TOKENS',
    'BATCH_PROMPT_TOKENS',
    'LOAD_FRACTION',
    'ONLINE_TIMEOUT_SECONDS',
    'PLAN',
    'make_arrivals',
]

PLAN = plans.TURNO_PATIO
# Default fraction of its rate at which an account sends. The last account
# sends `FLOOD_FACTOR` times its rate instead.
LOAD_FRACTION = 0.5
FLOOD_FACTOR = 5.0
# Every burst period begins with `BURST_SECONDS` in which the other accounts
# send `BURST_FACTOR` times as much.
BURST_PERIOD_SECONDS = 10.0
BURST_SECONDS = 2.0
BURST_FACTOR = 1.6
ONLINE_PROMPT_TOKENS = (30, 200)
ONLINE_OUTPUT_TOKENS = (8, 48)
ONLINE_TIMEOUT_SECONDS = 15.0
BATCH_PROMPT_TOKENS = (50, 300)
BATCH_OUTPUT_TOKENS = (60, 240)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One online request.

    Parameters
    ----------
    at : float
        Seconds after the start of the load.
    account_id : str
        Client account.
    host : int
        Index of the host that receives the request.
    prompt, output : int
        Tokens of the prompt and of the output.
    """

    at: float
    account_id: str
    host: int
    prompt: int
    output: int


def make_arrivals(seed, seconds, load):
    """Return the online requests of a run, sorted by time.

    Parameters
    ----------
    seed : int
        Seed of times and sizes.
    seconds : float
        Length of the run in seconds.
    load : float
        Fraction of its rate at which each account sends.

    Returns
    -------
    list of Arrival
        Requests of all accounts.
    """
    random_source = random.Random(seed)
    arrivals = []
    for account in PLAN.accounts:
        flooding = account is PLAN.accounts[-1]
        factor = FLOOD_FACTOR if flooding else load
        at = 0.0
        while at < seconds:
            bursting = (
                at % BURST_PERIOD_SECONDS < BURST_SECONDS and not flooding
            )
            rate = account.rate * factor
            rate *= BURST_FACTOR if bursting else 1.0
            at += random_source.expovariate(rate)
            arrivals.append(
                Arrival(
                    at,
                    account.account_id,
                    random_source.randrange(len(PLAN.hosts)),
                    random_source.randint(*ONLINE_PROMPT_TOKENS),
                    random_source.randint(*ONLINE_OUTPUT_TOKENS),
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)
