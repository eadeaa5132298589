"""Online requests and batch items of the policy measurement."""

import dataclasses
import random

from rhubarbreach.bench import plans

__all__ = [
    'Arrival',
    'BATCH_OUTPUT',
    'BATCH_PROMPT',
    'LOAD_FRACTION',
    'ONLINE_TIMEOUT',
    'PLAN',
    'make_arrivals',
]

PLAN = plans.TURNO_PATIO
# Accounts send this part of their rate, as long as no other is given; the
# last one sends five times its rate.
LOAD_FRACTION = 0.5
FLOOD_FACTOR = 5.0
# One in `BURST_EVERY` seconds has requests at `BURST_FACTOR` times the rate.
BURST_EVERY = 10.0
BURST_SECONDS = 2.0
BURST_FACTOR = 1.6
ONLINE_PROMPT = (30, 200)
ONLINE_OUTPUT = (8, 48)
ONLINE_TIMEOUT = 15.0
BATCH_PROMPT = (50, 300)
BATCH_OUTPUT = (60, 240)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One online request; `at` in seconds, sizes in tokens."""

    at: float
    account_id: str
    host: int
    prompt: int
    output: int


def make_arrivals(seed, seconds, load):
    """Return the online requests of a run, in order of time.

    Parameters
    ----------
    seed : int
        Seed of times and sizes.
    seconds : float
        Length of the run.
    load : float
        Part of its rate that each account sends.

    Returns
    -------
    list of Arrival
        Requests.
    """
    source = random.Random(seed)
    arrivals = []
    for account in PLAN.accounts:
        flood = account is PLAN.accounts[-1]
        factor = FLOOD_FACTOR if flood else load
        at = 0.0
        while at < seconds:
            bursting = at % BURST_EVERY < BURST_SECONDS and not flood
            rate = account.rate * factor
            rate *= BURST_FACTOR if bursting else 1.0
            at += source.expovariate(rate)
            arrivals.append(
                Arrival(
                    at,
                    account.account_id,
                    source.randrange(len(PLAN.hosts)),
                    source.randint(*ONLINE_PROMPT),
                    source.randint(*ONLINE_OUTPUT),
                )
            )
    return sorted(arrivals, key=lambda arrival: arrival.at)
