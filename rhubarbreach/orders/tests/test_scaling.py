"""Tests of the planning of loads and unloads."""

import pytest

from rhubarbreach.membership import model as membership_model
from rhubarbreach.orders import model
from rhubarbreach.orders import scaling
from rhubarbreach.state import model as state_model


def make_endpoint(number, *models, running=0):
    load = membership_model.Load(running, 0, 10, 0.0, 0.0)
    return membership_model.EndpointInfo(
        f'e{number}',
        'zone-1',
        '127.0.0.1:1',
        'engine',
        models,
        1,
        False,
        True,
        load,
        1e9,
    )


@pytest.fixture
def models():
    return (
        state_model.Model('rota', 'v1', 1000, 1, 4),
        state_model.Model('summary', 'v1', 1000, 1, 4),
    )


def plan(models, endpoints, rota_requests, summary_requests, budget=None):
    demands = [
        scaling.Demand('rota', rota_requests),
        scaling.Demand('summary', summary_requests),
    ]
    budget = budget or scaling.WeightBudget(1000.0, 1000.0, 0.0)
    return scaling.plan_actions(models, endpoints, demands, budget, 0.0)


def test_missing_replica_replaces_a_surplus_replica(models):
    """Guards against a model that stays without any endpoint."""
    endpoints = tuple(make_endpoint(number, 'rota') for number in range(3))
    actions = plan(models, endpoints, 5.0, 3.0)
    action_types = [type(planned.action) for planned in actions]
    assert action_types == [model.UnloadModel, model.LoadModel]
    assert actions[1].action == model.LoadModel('summary', 'v1')


def test_last_wanted_replica_is_not_unloaded(models):
    """Guards against two models that evict each other by turns."""
    endpoints = (make_endpoint(1, 'rota'),)
    assert plan(models, endpoints, 0.0, 100.0) == ()


def test_loads_stay_within_the_weight_budget(models):
    """Guards against concurrent loads that overload the weight store."""
    budget = scaling.WeightBudget(1000.0, 1000.0, 0.0)
    assert budget.take(1000, 0.0)
    assert not budget.take(1000, 0.5)
    assert budget.take(1000, 1.0)
    endpoints = (make_endpoint(1), make_endpoint(2))
    empty = scaling.WeightBudget(1.0, 1000.0, 0.0)
    empty.level = 0.0
    assert plan(models, endpoints, 1.0, 1.0, empty) == ()
