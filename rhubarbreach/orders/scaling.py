"""Planning of the loads and unloads of models on endpoints."""

import dataclasses
import math

from rhubarbreach.orders import model

__all__ = ['Demand', 'PlannedAction', 'WeightBudget', 'plan_actions']

# Target for the running and waiting requests of a replica, as a fraction of
# its slots.
TARGET_UTILIZATION = 0.7
DEFAULT_SLOTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Mean number of running and waiting requests of a model."""

    model_id: str
    requests: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedAction:
    """An action for one endpoint and its reason."""

    endpoint_id: str
    action: model.LoadModel | model.UnloadModel
    reason: str


class WeightBudget:
    """Token bucket for the bytes read from the weight store.

    Parameters
    ----------
    rate : float
        Refill rate in bytes per second.
    burst : float
        Capacity in bytes.
    now : float
        Monotonic seconds.
    """

    def __init__(self, rate, burst, now):
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_at = now

    def take(self, size, now):
        """Take bytes from the budget.

        Weights larger than the burst are admitted if the budget is full. The
        level is then negative until it has been refilled.

        Parameters
        ----------
        size : int
            Bytes to read.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the bytes may be read.
        """
        elapsed = now - self.updated_at
        self.level = min(self.burst, self.level + elapsed * self.rate)
        self.updated_at = now
        if self.level < min(size, self.burst):
            return False
        self.level -= size
        return True


def count_wanted_replicas(config_model, requests, slots):
    """Return the number of replicas that a model should have."""
    by_demand = math.ceil(requests / (slots * TARGET_UTILIZATION))
    return min(
        config_model.max_replicas,
        max(config_model.min_replicas, by_demand),
    )


def plan_actions(models, endpoints, demands, budget, now):
    """Return the next actions that adapt the replicas to the demand.

    Parameters
    ----------
    models : iterable of state.model.Model
        Configured models. Those with `max_replicas` 0 are not scaled.
    endpoints : tuple of membership.model.EndpointInfo
        Engines that are alive and not draining.
    demands : iterable of Demand
        Demand by model.
    budget : WeightBudget
        Budget of reads from the weight store.
    now : float
        Monotonic seconds.

    Returns
    -------
    tuple of PlannedAction
        At most one load for an endpoint. A model is unloaded only to make
        room for the model that is loaded in its place.
    """
    requests = {demand.model_id: demand.requests for demand in demands}
    scaled = [
        config_model
        for config_model in models
        if config_model.max_replicas > 0
    ]
    loaded = {
        config_model.model_id: [
            endpoint
            for endpoint in endpoints
            if config_model.model_id in endpoint.models
        ]
        for config_model in scaled
    }
    wanted = {
        config_model.model_id: count_wanted_replicas(
            config_model,
            requests.get(config_model.model_id, 0.0),
            get_median_slots(endpoints),
        )
        for config_model in scaled
    }
    surplus = {
        model_id: len(loaded[model_id]) - wanted[model_id]
        for model_id in wanted
    }
    actions = []
    busy = set()
    for config_model in sorted(
        scaled, key=lambda scaled_model: surplus[scaled_model.model_id]
    ):
        if surplus[config_model.model_id] >= 0:
            continue
        target = find_target(config_model, endpoints, surplus, busy)
        if target is None or not budget.take(config_model.weight_bytes, now):
            continue
        busy.add(target.endpoint_id)
        actions.extend(make_actions(config_model, target, surplus, wanted))
    return tuple(actions)


def get_median_slots(endpoints):
    """Return the median number of slots that the engines report."""
    reported = sorted(
        endpoint.load.slots for endpoint in endpoints if endpoint.load.slots
    )
    return reported[len(reported) // 2] if reported else DEFAULT_SLOTS


def find_target(wanted_model, endpoints, surplus, busy):
    """Return the preferred endpoint for loading a model, or None.

    Endpoints that would lose a replica of a model without surplus are not
    considered. Endpoints with fewer models, then with less load, come first.
    """
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
    """Yield the unloads that make room for a model, then its load."""
    model_id = wanted_model.model_id
    reason = (
        f'{model_id} is missing {-surplus[model_id]} of '
        f'{wanted[model_id]} replicas'
    )
    for other in target.models:
        surplus[other] -= 1
        yield PlannedAction(
            target.endpoint_id,
            model.UnloadModel(other),
            f'makes room for {model_id}, since {other} has surplus replicas',
        )
    yield PlannedAction(
        target.endpoint_id,
        model.LoadModel(model_id, wanted_model.version),
        reason,
    )
