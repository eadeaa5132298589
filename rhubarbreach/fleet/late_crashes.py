"""Judgement of parts by crashes during the responses of endpoints.

Whatever is in progress on an endpoint breaks when it crashes, so that a crash
after the first event says less about a part than one before it. It counts by
the chance that the endpoint crashed by accident within the time since the
first event. A part that crashes endpoints does so again and again, and is
never answered whole. Many endpoints may fail together: crashes at the same
time count once, and those of runs that had begun before the last crash count
less.
"""

import collections
import dataclasses
import math

from rhubarbreach.fleet import request_parts

__all__ = ['MIN_CRASHES', 'Background', 'LateCrash', 'is_culprit']

# Chance of an accident in each crash, at least. Not all causes of crashes are
# known.
MIN_CHANCE = 0.005
# The same for a run that had begun before the last crash that counts.
MIN_CHANCE_OF_OVERLAP = 0.01
# Time between two crashes that do not count as one failure.
SEPARATE_SECONDS = 0.1
# Chance of accidents in all crashes together up to which a part is a culprit,
# the second if an endpoint has answered it whole before.
MAX_CHANCE = 6e-7
MAX_CHANCE_OF_ANSWERED = 1e-14
# Crashes of one endpoint that count. It may crash for a reason of its own.
MAX_CRASHES_OF_ENDPOINT = 2
# Crashes that count, at least.
MIN_CRASHES = 3
# Different endpoints that have to crash, if a service has as many.
MIN_ENDPOINTS = 3
# Fraction of the crashes that a culprit explains, at least, and of the broken
# responses that have it, at most. A part of most requests is in progress in
# all crashes.
MIN_COVERAGE = 0.9
MAX_SHARE = 0.8
# Each retry of a request has the same prompt.
MIN_PROMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class LateCrash:
    """Crash of an endpoint during a response to a request with a part.

    `time` is that of the crash in seconds of the monotonic clock, and
    `run_seconds` the time since the first event of the response. `prompts` are
    those of the requests with the part that were in progress. `is_resumed` is
    whether all of them had been in progress on other endpoints before.
    """

    time: float
    endpoint_id: str
    run_seconds: float
    prompts: frozenset
    is_resumed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Background:
    """What happens to the requests of a service during crashes with a part.

    `crash_rate` is the number of crashes of an endpoint in a second, and
    `other_rate` that of crashes without the part. Of the responses to requests
    without the part, `broken` ones broke off after their first event because
    their endpoint crashed, and `completed` ones were whole. `coverage` is the
    fraction of the crashes in which a request with the part broke off, and
    `share` that of the broken responses which had the part. `endpoints` is the
    number of endpoints of the service.
    """

    crash_rate: float
    other_rate: float
    broken: int = 0
    completed: int = 0
    coverage: float = 1.0
    share: float = 1.0
    endpoints: int = 1

    @property
    def broken_fraction(self):
        """Fraction of the other responses that break off, 1 without any."""
        return (self.broken + 1) / (self.broken + self.completed + 1)


def list_chances(crashes, crash_rate):
    """Return the chance of an accident in each crash that counts.

    Parameters
    ----------
    crashes : list of LateCrash
        Crashes in the order of their time.
    crash_rate : float
        Crashes of an endpoint in a second.
    """
    chances = []
    counts = collections.Counter()
    # Times of the last crash that counts, and of the last one of a run that
    # began after the one before.
    last = last_independent = float('-inf')
    for crash in crashes:
        is_independent = crash.time - crash.run_seconds >= last_independent
        is_separate = crash.time - last >= SEPARATE_SECONDS
        if (
            not (is_independent or is_separate)
            or counts[crash.endpoint_id] >= MAX_CRASHES_OF_ENDPOINT
        ):
            continue
        counts[crash.endpoint_id] += 1
        last = crash.time
        min_chance = MIN_CHANCE_OF_OVERLAP
        if is_independent:
            last_independent = crash.time
            min_chance = MIN_CHANCE
        accident = -math.expm1(-crash_rate * crash.run_seconds)
        chances.append(max(min_chance, accident))
    return chances


def combine_chances(chances):
    """Return the chance that independent chances are as small as these.

    This is Fisher's method: the negative sum of their logarithms has a gamma
    distribution.
    """
    information = -sum(map(math.log, chances))
    term = total = 1.0
    for number in range(1, len(chances)):
        term *= information / number
        total += term
    return min(1.0, total * math.exp(-information))


def compute_chance(crashes, background):
    """Return the chance that all crashes with a part are accidents.

    Others are whole meanwhile, and each run with the part broke off soon after
    its first event. Or, as a part may take down all endpoints at once: it was
    in progress in most crashes, although most requests do not have it, and
    endpoints seldom crash without it.

    Parameters
    ----------
    crashes : list of LateCrash
        Crashes in the order of their time.
    background : Background
        What happens to other requests meanwhile.
    """
    chances = list_chances(crashes, background.crash_rate)
    if len(chances) < MIN_CRASHES:
        return 1.0
    chance = background.broken_fraction ** len(chances)
    chance *= combine_chances(chances)
    if background.coverage >= MIN_COVERAGE and background.share <= MAX_SHARE:
        # A sound stream may go on at one failing endpoint after the other.
        others = list_chances(
            [crash for crash in crashes if not crash.is_resumed],
            background.other_rate,
        )
        if len(others) >= MIN_CRASHES:
            chance = min(chance, math.prod(others))
    return chance


def is_culprit(part, crashes, background, was_completed):
    """Return whether to hold requests with a part back.

    Parameters
    ----------
    part : str
        Part of prompts.
    crashes : list of LateCrash
        Crashes since the last whole response with the part, in the order of
        their time.
    background : Background
        What happens to other requests meanwhile.
    was_completed : bool
        Whether an endpoint has answered the part whole before.
    """
    endpoint_ids = {crash.endpoint_id for crash in crashes}
    if len(endpoint_ids) < min(MIN_ENDPOINTS, background.endpoints):
        return False
    prompts = frozenset().union(*(crash.prompts for crash in crashes))
    if len(prompts) < MIN_PROMPTS and not request_parts.is_request_part(part):
        return False
    max_chance = MAX_CHANCE_OF_ANSWERED if was_completed else MAX_CHANCE
    return compute_chance(crashes, background) <= max_chance
