"""Validation of whole configurations and look-ups in them."""

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
def test_invalid_route_is_found(catalog, route, change):
    # An invalid configuration in force would strand its route's requests.
    bad = dataclasses.replace(route, **change)
    catalog = dataclasses.replace(catalog, routes=(bad,))
    assert validate.find_fault(catalog)


def test_two_routes_at_one_place_are_found(catalog, route):
    twin = dataclasses.replace(route, name='other')
    catalog = dataclasses.replace(catalog, routes=(route, twin))
    assert validate.find_fault(catalog)


def test_shared_key_is_found(catalog):
    # A request would run for either account, depending on the look-up.
    accounts = (*catalog.accounts, model.Account('y', ('k2',)))
    catalog = dataclasses.replace(catalog, accounts=accounts)
    assert validate.find_fault(catalog)


def test_longest_prefix_selects_the_route(catalog, route):
    longer = dataclasses.replace(route, name='l', path_prefix='/one/two/')
    found = index.Index(dataclasses.replace(catalog, routes=(route, longer)))
    assert found.find_route('a.example', '/one/x').name == 'r'
    assert found.find_route('a.example', '/one/two/').name == 'l'
    assert found.find_route('a.example', '/one/two?q=/one/').name == 'r'
    assert found.find_route('a.example', '/one') is None
    assert found.find_route('a.example', '') is None
    assert found.find_route('b.example', '/one/x') is None


def test_root_prefix_is_found(catalog, route):
    root = dataclasses.replace(route, path_prefix='/')
    found = index.Index(dataclasses.replace(catalog, routes=(root,)))
    assert found.find_route('a.example', '/any/thing') is root


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
        index.choose_target(split, lambda p=n: p / 100) for n in range(100)
    ]
    assert drawn.count('a') == 90
    assert drawn.count('c') == 10
