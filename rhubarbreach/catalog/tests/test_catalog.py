"""Tests of the validation and the index of configurations."""

import dataclasses

import pytest

from rhubarbreach.catalog import index
from rhubarbreach.catalog import model
from rhubarbreach.catalog import validate


@pytest.fixture
def route():
    return model.Route(
        'r',
        'a.example',
        '/one/',
        model.RouteKind.STREAM,
        5.0,
        0.3,
        0,
        (model.Target('s', 1.0),),
    )


@pytest.fixture
def catalog(route):
    return model.Catalog(
        3,
        (route,),
        (model.Service('s', 10, 8),),
        (model.Account('x', ('k1', 'k2'), 10, 5),),
        has_accounts=True,
    )


def test_valid_catalog_has_no_fault(catalog):
    assert validate.find_fault(catalog) is None


@pytest.mark.parametrize(
    'change',
    [
        {'targets': (model.Target('unknown', 1.0),)},
        {'targets': ()},
        {'targets': (model.Target('s', 0.0),)},
        {'targets': (model.Target('s', 2.0), model.Target('s', -1.0))},
        {'timeout': 0.0},
    ],
)
def test_invalid_route_is_reported(catalog, route, change):
    # In force, such a configuration would leave requests without a service.
    invalid = dataclasses.replace(route, **change)
    catalog = dataclasses.replace(catalog, routes=(invalid,))
    assert validate.find_fault(catalog)


def test_routes_with_the_same_prefix_are_reported(catalog, route):
    duplicate = dataclasses.replace(route, name='other')
    catalog = dataclasses.replace(catalog, routes=(route, duplicate))
    assert validate.find_fault(catalog)


def test_key_of_two_accounts_is_reported(catalog):
    # Requests with the key would be attributed to an arbitrary account.
    accounts = (*catalog.accounts, model.Account('y', ('k2',)))
    catalog = dataclasses.replace(catalog, accounts=accounts)
    assert validate.find_fault(catalog)


def test_longest_prefix_selects_the_route(catalog, route):
    longer = dataclasses.replace(route, name='l', path_prefix='/one/two/')
    routes = index.Index(dataclasses.replace(catalog, routes=(route, longer)))
    assert routes.find_route('a.example', '/one/x').name == 'r'
    assert routes.find_route('a.example', '/one/two/').name == 'l'
    assert routes.find_route('a.example', '/one/two?q=/one/').name == 'r'
    assert routes.find_route('a.example', '/one') is None
    assert routes.find_route('a.example', '') is None
    assert routes.find_route('b.example', '/one/x') is None


def test_root_prefix_matches_every_path(catalog, route):
    root = dataclasses.replace(route, path_prefix='/')
    routes = index.Index(dataclasses.replace(catalog, routes=(root,)))
    assert routes.find_route('a.example', '/any/thing') is root


def test_targets_are_drawn_by_weight(route):
    split = dataclasses.replace(
        route,
        targets=(
            model.Target('a', 90),
            model.Target('b', 0),
            model.Target('c', 10),
        ),
    )
    drawn = [
        index.choose_target(split, lambda percent=percent: percent / 100)
        for percent in range(100)
    ]
    assert drawn.count('a') == 90
    assert drawn.count('c') == 10
