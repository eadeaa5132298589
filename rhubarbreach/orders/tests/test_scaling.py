"""Tests of scaling decisions."""

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


def plan(models, endpoints, rota, summary, budget=None):
    demands = [
        scaling.Demand('rota', rota),
        scaling.Demand('summary', summary),
    ]
    budget = budget or scaling.WeightBudget(1000.0, 1000.0, 0.0)
    return scaling.plan_actions(models, endpoints, demands, budget, 0.0)


def test_missing_replica_takes_the_place_of_a_surplus_one(models):
    """Guards against a model that stays without any endpoint."""
    endpoints = tuple(make_endpoint(n, 'rota') for n in range(3))
    actions = plan(models, endpoints, 5.0, 3.0)
    kinds = [type(one.action) for one in actions]
    assert kinds == [model.UnloadModel, model.LoadModel]
    assert actions[1].action == model.LoadModel('summary', 'v1')


def test_last_wanted_replica_is_not_unloaded(models):
    """Guards against two models that take each other's endpoint in turn."""
    endpoints = (make_endpoint(1, 'rota'),)
    assert plan(models, endpoints, 0.0, 100.0) == ()


def test_loads_keep_to_the_rate_of_the_weight_store(models):
    """Guards against many loads at once that starve the weight store."""
    budget = scaling.WeightBudget(1000.0, 1000.0, 0.0)
    assert budget.take(1000, 0.0)
    assert not budget.take(1000, 0.5)
    assert budget.take(1000, 1.0)
    endpoints = (make_endpoint(1), make_endpoint(2))
    empty = scaling.WeightBudget(1.0, 1000.0, 0.0)
    empty.level = 0.0
    assert plan(models, endpoints, 1.0, 1.0, empty) == ()
