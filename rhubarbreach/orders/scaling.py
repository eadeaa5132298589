"""Which endpoints should load or unload which model."""

import dataclasses
import math

from rhubarbreach.orders import model

__all__ = ['Demand', 'PlannedAction', 'WeightBudget', 'plan_actions']

# A model keeps a replica for this demand in running and waiting requests,
# as a fraction of the replica's slots.
TARGET_USE = 0.7
DEFAULT_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Mean number of running and waiting requests for a model."""

    model_id: str
    requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedAction:
    """An action for one endpoint, with its reason."""

    endpoint_id: str
    action: model.LoadModel | model.UnloadModel
    reason: str


class WeightBudget:
    """Bytes that may be read from the weight store.

    Parameters
    ----------
    rate : float
        Bytes per second.
    burst : float
        Bytes that may be read at once after a quiet time.
    now : float
        Monotonic time.
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = now

    def take(self, size, now):
        """Take `size` bytes; return whether they were left.

        Weights larger than the burst are admitted with a full budget, which
        then stays in debt until they are paid for.
        """
        elapsed = now - self.updated_at
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.updated_at = now
        if self.level < min(size, self.burst):
            return False
        self.level -= size
        return True


def count_wanted(config_model, requests, slots):
    """Return the wanted number of replicas of a model."""
    by_demand = math.ceil(requests / (slots * TARGET_USE))
    return min(
        config_model.max_replicas,
        max(config_model.min_replicas, by_demand),
    )


def plan_actions(models, endpoints, demands, budget, now):
    """Return the next actions that bring replicas towards the demand.

    Parameters
    ----------
    models : iterable of state.model.Model
        Models; those with max_replicas 0 are left as they are.
    endpoints : tuple of membership.model.EndpointInfo
        Engines that are alive and not draining.
    demands : iterable of Demand
        Demand by model.
    budget : WeightBudget
        What the weight store allows.
    now : float
        Monotonic time.

    Returns
    -------
    tuple of PlannedAction
        At most one action for an endpoint. A model is unloaded only where
        the model that is loaded in its place needs the room.
    """
    requests = {demand.model_id: demand.requests for demand in demands}
    managed = [one for one in models if one.max_replicas > 0]
    loaded = {
        one.model_id: [
            endpoint
            for endpoint in endpoints
            if one.model_id in endpoint.models
        ]
        for one in managed
    }
    wanted = {
        one.model_id: count_wanted(
            one, requests.get(one.model_id, 0.0), find_slots(endpoints)
        )
        for one in managed
    }
    surplus = {
        model_id: len(loaded[model_id]) - wanted[model_id]
        for model_id in wanted
    }
    actions = []
    busy = set()
    for one in sorted(managed, key=lambda entry: surplus[entry.model_id]):
        if surplus[one.model_id] >= 0:
            continue
        target = find_target(one, endpoints, surplus, busy)
        if target is None or not budget.take(one.weight_bytes, now):
            continue
        busy.add(target.endpoint_id)
        actions.extend(make_actions(one, target, surplus, wanted))
    return tuple(actions)


def find_slots(endpoints):
    """Return the slots that an engine has, as reported by most."""
    reported = sorted(
        endpoint.load.slots for endpoint in endpoints if endpoint.load.slots
    )
    return reported[len(reported) // 2] if reported else DEFAULT_SLOTS


def find_target(wanted_model, endpoints, surplus, busy):
    """Return the endpoint that can best take a model, or None."""
    candidates = [
        endpoint
        for endpoint in endpoints
        if wanted_model.model_id not in endpoint.models
        and endpoint.endpoint_id not in busy
        and all(surplus.get(other, 0) > 0 for other in endpoint.models)
    ]
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda endpoint: (
            len(endpoint.models),
            endpoint.load.running + endpoint.load.waiting,
            endpoint.endpoint_id,
        ),
    )


def make_actions(wanted_model, target, surplus, wanted):
    """Return the load of a model and the unloads that make room for it."""
    model_id = wanted_model.model_id
    reason = f'{model_id} lacks {-surplus[model_id]} of {wanted[model_id]}'
    for other in target.models:
        surplus[other] -= 1
        yield PlannedAction(
            target.endpoint_id,
            model.UnloadModel(other),
            f'room for {model_id}, {other} has replicas to spare',
        )
    yield PlannedAction(
        target.endpoint_id,
        model.LoadModel(model_id, wanted_model.version),
        reason,
    )
