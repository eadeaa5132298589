"""Cost of a request: tokens to read and events to write.

The decisions are designed for requests that look alike and cost endpoints very
different amounts of work: prompts of 20 and of 4,000 tokens, answers of 18 and
of 123 events. What a request will write is learned from the answers to similar
ones. The caller's hint is used in proportion to how well hints have predicted
answers so far, as it is often far off.
"""

import dataclasses
import math

from rhubarbreach.balancing import averages

__all__ = ['Cost', 'CostModel', 'Part', 'Statement']

# Answers that count as much as the next wider group when a mean is taken, so
# that a group with few answers does not decide alone.
PRIOR_ANSWERS = 8
# Groups that are remembered: accounts of a route, and shared parts of prompts.
MAX_GROUPS = 2048
# Latency objective of a request whose route has none.
DEFAULT_OBJECTIVE_SECONDS = 0.3
# Events of an answer until the first one is known.
INITIAL_EVENTS = 16.0
# Weights of the newest answer in the averages.
ANSWER_WEIGHT = 0.05
HINT_WEIGHT = 0.02
# Longest and shortest answer, in multiples of the mean of its group, that a
# hint can predict.
MAX_HINT_FACTOR = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """What a caller states about the size of its request, in tokens.

    `hint_tokens` is an estimate of the tokens of the answer, None if not
    given.
    """

    prompt_tokens: int
    max_tokens: int
    parts: tuple[Part, ...] = ()
    hint_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Predicted cost of one request.

    `prompt_tokens` is the whole prompt, of which an endpoint reads the parts
    that it has not cached. `held_tokens` is the most memory of an endpoint
    that the request may need, in tokens, and `capacity_tokens` the memory of
    an endpoint of its service, 0 if unknown. `events` is the mean of the
    events that will be written, and `deviation` its standard deviation.
    `groups` are the keys under which the answer is learned. `is_stated` is
    whether the caller has stated its tokens, and `objective` the time in
    seconds until its first event is due. `chains` are hashes of the beginnings
    of the prompt, up to each part.
    """

    prompt_tokens: int
    held_tokens: int
    events: float
    deviation: float
    parts: tuple[Part, ...] = ()
    capacity_tokens: int = 0
    groups: tuple[tuple, ...] = ()
    hint_tokens: int | None = None
    is_stated: bool = False
    objective: float = DEFAULT_OBJECTIVE_SECONDS
    chains: tuple[int, ...] = ()


def hash_chains(parts):
    """Return a hash of each beginning of a prompt, the shortest first."""
    chains = []
    chain = 0
    for part in parts:
        chain = hash((chain, part.part_id))
        chains.append(chain)
    return tuple(chains)


class CostModel:
    """Predictor of the events of answers, learned from those that ended.

    Not safe for threads: callers hold a lock.
    """

    def __init__(self):
        self.groups = averages.AverageTable(MAX_GROUPS, ANSWER_WEIGHT)
        # Logarithm of the ratio of events to hinted tokens, by route, and how
        # far off the mean of the group and the hint are.
        self.ratios = averages.AverageTable(MAX_GROUPS, HINT_WEIGHT)
        self.group_errors = averages.AverageTable(MAX_GROUPS, HINT_WEIGHT)

    def predict(
        self, route, account, statement, objective=0.0, capacity_tokens=0
    ):
        """Return the `Cost` of a request.

        Parameters
        ----------
        route, account : str
            Names of its route and client account.
        statement : Statement or None
            What its caller states; None if nothing.
        objective : float
            Latency objective in seconds, 0 if there is none.
        capacity_tokens : int
            Memory of an endpoint of its service in tokens, 0 if unknown.
        """
        parts = () if statement is None else statement.parts
        groups = [(route,), (route, account)]
        if len(parts) > 1:
            # The last part is private to a request or its session.
            groups.append((route, account, parts[-2].part_id))
        mean, deviation = self.read_groups(groups)
        if statement is None:
            return Cost(
                0,
                0,
                mean,
                deviation,
                groups=tuple(groups),
                objective=objective or DEFAULT_OBJECTIVE_SECONDS,
            )
        mean, deviation = self.apply_hint(
            route, statement.hint_tokens, mean, deviation
        )
        return Cost(
            statement.prompt_tokens,
            statement.prompt_tokens + statement.max_tokens,
            mean,
            deviation,
            parts,
            capacity_tokens,
            tuple(groups),
            statement.hint_tokens,
            True,
            objective or DEFAULT_OBJECTIVE_SECONDS,
            hash_chains(parts),
        )

    def read_groups(self, groups):
        """Return mean and deviation of the events, from wide to narrow."""
        mean, square = INITIAL_EVENTS, 2 * INITIAL_EVENTS**2
        for group in groups:
            entry = self.groups.get(group)
            if entry is None:
                continue
            trust = entry.count / (entry.count + PRIOR_ANSWERS)
            if group == groups[0]:
                # There is no wider group to fall back to.
                trust = 1.0
            mean += (entry.mean - mean) * trust
            square += (entry.square - square) * trust
        return mean, math.sqrt(max(0.0, square - mean * mean))

    def apply_hint(self, route, hint_tokens, mean, deviation):
        """Return mean and deviation of the events beside a caller's hint."""
        ratio = self.ratios.get(route)
        error = self.group_errors.get(route)
        if not hint_tokens or ratio is None or error is None:
            return mean, deviation
        hinted = hint_tokens * math.exp(ratio.mean)
        hinted = min(
            max(hinted, mean / MAX_HINT_FACTOR), mean * MAX_HINT_FACTOR
        )
        # Weighted by the inverse of the squared errors of both predictions.
        total = error.square + ratio.variance
        trust = error.square / total if total else 0.0
        blended = math.exp(
            (1 - trust) * math.log(mean) + trust * math.log(hinted)
        )
        return blended, deviation * math.sqrt(1 - trust)

    def learn(self, cost, events):
        """Record the events of an answer that has ended as a whole.

        Parameters
        ----------
        cost : Cost
            What was predicted.
        events : int
            Events that were written.
        """
        if events <= 0 or not cost.groups:
            return
        mean, _ = self.read_groups(cost.groups)
        for group in cost.groups:
            self.groups.add(group, events)
        if cost.hint_tokens:
            route = cost.groups[0][0]
            self.ratios.add(route, math.log(events / cost.hint_tokens))
            self.group_errors.add(route, math.log(events / max(1.0, mean)))
