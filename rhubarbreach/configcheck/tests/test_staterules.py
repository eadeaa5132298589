"""Tests of the check of accounts, keys, models and routes."""

import base64
import json

import hypothesis
from hypothesis import strategies
import pytest

from rhubarbreach import codes
from rhubarbreach.configcheck import documents
from rhubarbreach.configcheck import findings
from rhubarbreach.configcheck import staterules
from rhubarbreach.entry import routes as entry_routes
from rhubarbreach.state import config as state_config
from rhubarbreach.state import index
from rhubarbreach.state import model

DIGEST = 'ZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGQ='
ACCOUNT = {'account_id': 'patio', 'rate': 5, 'burst': 5}
KEY = {'key_id': 'k', 'account_id': 'patio', 'digest': DIGEST}
SERVICE = {'route_id': 'r', 'path': '/r', 'kind': 'service', 'target': 's'}
FLEET = findings.parse_fleet('s=2x4', request_seconds=1)


@pytest.fixture
def document():
    return {'accounts': [ACCOUNT], 'keys': [KEY], 'routes': [SERVICE]}


def check(document, fleet=FLEET):
    data = json.dumps(document).encode()
    found = staterules.Format().check(data, documents.scan(data), fleet, None)
    return {(f.code, documents.format_place(f.place)) for f in found}


def change(document, field, **fields):
    first, *others = document[field]
    return {**document, field: [{**first, **fields}, *others]}


def add(document, field, **fields):
    added = {**document[field][0], **fields}
    return {**document, field: [*document[field], added]}


CASES = [
    # Code, place, a change that gives the finding, a near miss.
    (
        'change_refused',
        'accounts[0]',
        lambda d: change(d, 'accounts', burst=0.99),
        lambda d: change(d, 'accounts', burst=1),
    ),
    (
        'change_refused',
        'keys[1]',
        lambda d: add(d, 'keys', key_id='other'),
        lambda d: change(d, 'keys', key_id='other'),
    ),
    (
        'change_refused',
        'routes[1]',
        lambda d: add(d, 'routes', route_id='q'),
        lambda d: add(d, 'routes', route_id='q', path='/q'),
    ),
    (
        'entry_replaced',
        'routes[0]',
        lambda d: add(d, 'routes', path='/q'),
        lambda d: add(d, 'routes', path='/q', route_id='q'),
    ),
    (
        'field_unknown',
        'accounts[0].rates',
        lambda d: change(d, 'accounts', rates=1),
        lambda d: change(d, 'accounts', rate=1),
    ),
    (
        'route_never_chosen',
        'routes[1].path',
        lambda d: add(
            change(d, 'routes', path='/r//'),
            'routes',
            route_id='q',
            path='/r/',
        ),
        lambda d: add(
            change(d, 'routes', path='/r//'), 'routes', route_id='q', path='/r'
        ),
    ),
    (
        # Of paths of one length, the route with the first id is chosen.
        'route_never_chosen',
        'routes[1].path',
        lambda d: add(
            change(d, 'routes', path='/r//'),
            'routes',
            route_id='s',
            path='/r/x',
        ),
        lambda d: add(
            change(d, 'routes', path='/r//'),
            'routes',
            route_id='q',
            path='/r/x',
        ),
    ),
    (
        'account_without_keys',
        'accounts[0]',
        lambda d: change(d, 'keys', revoked=True),
        lambda d: change(d, 'keys', revoked=False),
    ),
    (
        'route_admits_nobody',
        'routes[0]',
        lambda d: {**d, 'keys': []},
        lambda d: change({**d, 'keys': []}, 'routes', open=True),
    ),
    (
        'rate_zero',
        'accounts[0].rate',
        lambda d: change(d, 'accounts', rate=0),
        lambda d: change(d, 'accounts', rate=0.1),
    ),
    (
        'rate_above_capacity',
        'accounts[0].rate',
        lambda d: change(d, 'accounts', rate=8.1),
        lambda d: change(d, 'accounts', rate=8),
    ),
]


@pytest.mark.parametrize(('code', 'place', 'case', 'near_miss'), CASES)
def test_each_code_has_a_case_and_a_near_miss(
    document, code, place, case, near_miss
):
    """Guards against contradictions that are missed or made up."""
    assert check(document) == set()
    assert (code, place) in check(case(document))
    assert code not in {found for found, _ in check(near_miss(document))}


def test_capacity_is_not_guessed(document):
    """Guards against warnings that rest on unknown numbers of endpoints."""
    document = change(document, 'accounts', rate=1e6)
    for fleet in (findings.Fleet(), findings.parse_fleet('s=2')):
        assert check(document, fleet) == set()


IDS = strategies.sampled_from(('a', 'b', 'c', '', '-'))
DIGESTS = strategies.sampled_from((DIGEST, DIGEST.replace('Z', 'Y'), 'ZGRk'))
DOCUMENTS = strategies.fixed_dictionaries(
    {
        'accounts': strategies.lists(
            strategies.fixed_dictionaries(
                {
                    'account_id': IDS,
                    'rate': strategies.sampled_from((0, 5, -1, 1e7)),
                    'burst': strategies.sampled_from((0, 1, 2)),
                }
            ),
            max_size=3,
        ),
        'keys': strategies.lists(
            strategies.fixed_dictionaries(
                {
                    'key_id': IDS,
                    'account_id': IDS,
                    'digest': DIGESTS,
                    'revoked': strategies.booleans(),
                }
            ),
            max_size=3,
        ),
        'routes': strategies.lists(
            strategies.fixed_dictionaries(
                {
                    'route_id': IDS,
                    'path': strategies.sampled_from(
                        ('/', '//', '/a', '/a/', '/a//', '/a/b', '/a/b//', 'x')
                    ),
                    'kind': strategies.sampled_from(('service', 'engine')),
                    'target': strategies.sampled_from(('s', '')),
                    'accounts': strategies.lists(IDS, max_size=1),
                }
            ),
            max_size=5,
        ),
    }
)


def submit(machine, *changes):
    """Return whether a store accepts all changes."""
    for proposed in changes:
        command = model.encode_request(
            f'{machine.revision}-{proposed}', None, proposed
        )
        result = model.decode_result(machine.apply(0, command))
        if result.code != codes.ResultCode.OK:
            return False
    return True


@hypothesis.given(DOCUMENTS)
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_errors_are_exactly_the_refusals_of_a_store(document):
    """Guards against errors for what stores accept, and missed refusals."""
    decoded = staterules.decode(json.dumps(document).encode())
    machine = state_config.ConfigMachine()
    refused = set()
    for field, put in (
        ('accounts', model.PutAccount),
        ('keys', model.PutKey),
        ('routes', model.PutRoute),
    ):
        entries = list(enumerate(getattr(decoded, field)))
        if field == 'keys':
            entries.sort(key=lambda pair: not pair[1].revoked)
        for position, entry in entries:
            changes = [put(entry)]
            if field == 'keys' and entry.revoked:
                active = model.Key(
                    entry.key_id, entry.account_id, entry.digest
                )
                changes = [put(active), model.RevokeKey(entry.key_id)]
            if not submit(machine, *changes):
                refused.add(('change_refused', f'{field}[{position}]'))
    errors = {f for f in check(document) if findings.CODES[f[0]][0] == 'error'}
    assert errors == refused


@hypothesis.given(DOCUMENTS, strategies.data())
@hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
def test_covered_routes_are_exactly_those_that_no_path_takes(document, data):
    """Guards against a route that is reported and takes requests."""
    decoded = staterules.decode(json.dumps(document).encode())
    _, config, _ = staterules.apply_entries(decoded)
    covered = {
        route.route_id
        for route, _ in staterules.find_covered_routes(config.routes)
    }
    text = strategies.text('/ab', max_size=6)
    path = '/' + data.draw(text)
    chosen = entry_routes.find_route(config, path)
    assert chosen is None or chosen.route_id not in covered
    for route in config.routes:
        chosen = entry_routes.find_route(config, route.path)
        assert (chosen is not route) == (route.route_id in covered)


def test_revoked_key_beside_the_most_valid_keys_is_no_error(document):
    """Guards against an error for a configuration that a store can hold."""
    document['keys'] = [
        {
            **KEY,
            'key_id': f'k{number}',
            'digest': base64.b64encode(bytes([number]) * 32).decode(),
            'revoked': number == 64,
        }
        for number in range(65)
    ]
    assert check(document) == set()
    document['keys'][64]['revoked'] = False
    assert check(document) == {('change_refused', 'keys[64]')}


def test_in_force_configuration_of_a_store_is_a_document(document):
    """Guards against a format that cannot hold what a store holds."""
    decoded = staterules.decode(json.dumps(document).encode())
    _, config, _ = staterules.apply_entries(decoded)
    stored = staterules.make_contents(index.to_document(config))
    assert stored == staterules.make_contents(decoded)
