"""Tests of the choice among endpoints."""

import collections
import random

import pytest

from rhubarbreach.balancing import costs
from rhubarbreach.balancing import endpoints
from rhubarbreach.balancing import selection
from rhubarbreach.fleet import choice

Endpoint = choice.Endpoint


class Fleet:
    """Endpoints with given counts, and a chooser among them."""

    def __init__(self, near, far):
        self.table = endpoints.EndpointTable()
        self.chooser = selection.Chooser('z1', self.table)
        self.online = collections.Counter()
        self.items = collections.Counter()
        self.own = collections.Counter()
        self.rng = random.Random(4)
        self.age = 0.07
        rows = [
            Endpoint(f'{zone}-{n}', 's', 'a:1', zone, 8)
            for zone, count in (('z1', near), ('z2', far))
            for n in range(count)
        ]
        self.chooser.set_services({'s': rows})
        self.estimated = self.asked = 0
        estimate = self.chooser.estimate

        def count(*arguments):
            self.estimated += 1
            return estimate(*arguments)

        self.chooser.estimate = count

    def choose(self, cost=None, now=0.0, is_last=False, excluded=()):
        situation = selection.Situation(
            self.online.__getitem__,
            self.items.__getitem__,
            self.own.__getitem__,
            0.8,
            self.age,
            0.3,
            now,
            self.rng.random,
            self.rng.shuffle,
        )

        def is_allowed(endpoint):
            self.asked += 1
            return endpoint.endpoint_id not in excluded

        def list_open(rows):
            # A queue of two.
            return [e for e, name, _ in rows if self.online[name] < 10]

        chosen = self.chooser.choose(
            's', cost, situation, is_allowed, list_open if is_last else None
        )
        return None if chosen is None else chosen.endpoint_id


@pytest.fixture
def fleet():
    return Fleet(4, 4)


def fill(fleet, prefix, count):
    for number in range(4):
        fleet.online[f'{prefix}-{number}'] = count


def test_requests_stay_in_the_zone_while_it_has_free_slots(fleet):
    """Guards against traffic between zones, which has a price."""
    fill(fleet, 'z1', 5)
    assert all(fleet.choose().startswith('z1') for _ in range(50))


def test_zone_shares_its_load_before_queues_form(fleet):
    """Guards against queues in one zone beside idle slots in another."""
    fill(fleet, 'z1', 8)
    assert all(fleet.choose().startswith('z2') for _ in range(20))
    # The last free slot elsewhere may be taken meanwhile.
    fill(fleet, 'z2', 8)
    fleet.online['z1-2'] = 7
    assert all(fleet.choose() == 'z1-2' for _ in range(20))


def test_slow_endpoint_that_would_be_late_is_avoided(fleet):
    """Guards against queueing where each place takes five times as long."""
    fill(fleet, 'z1', 8)
    fill(fleet, 'z2', 9)
    fleet.online['z1-0'] = 7
    load = endpoints.ServerLoad(7, 0, 8, 2000)
    fleet.table.record_load('z1-0', 's', load, 0.0)
    assert 'z1-0' not in {fleet.choose() for _ in range(50)}


def test_moderately_slow_endpoint_with_a_free_slot_is_used(fleet):
    """Guards against filling the others until requests queue there."""
    fill(fleet, 'z1', 7)
    fleet.online['z1-0'] = 4
    load = endpoints.ServerLoad(4, 0, 8, 200)
    fleet.table.record_load('z1-0', 's', load, 0.0)
    assert {fleet.choose() for _ in range(20)} == {'z1-0'}


def test_own_request_that_waits_shows_a_queue(fleet):
    """Guards against sending more to an endpoint that begins nothing."""
    fleet.table.begin('z1-0', None, 0.0)
    assert 'z1-0' in {fleet.choose(now=0.05) for _ in range(50)}
    assert 'z1-0' not in {fleet.choose(now=0.4) for _ in range(50)}
    fleet.table.note_first_event('z1-0', 's', None, 0.4)
    assert 'z1-0' in {fleet.choose(now=0.4) for _ in range(50)}


def test_long_prompt_goes_where_it_is_cached(fleet):
    """Guards against reading 4,000 tokens again beside an equal endpoint."""
    parts = (costs.Part('book', 4000), costs.Part('question', 20))
    cost = costs.Cost(
        4020,
        4100,
        9.0,
        1.0,
        parts,
        is_stated=True,
        chains=costs.hash_chains(parts),
    )
    short = costs.Cost(20, 100, 9.0, 1.0, (), is_stated=True)
    idle = endpoints.ServerLoad(1, 0, 8, None)
    # Reading takes 66 ms for each 1,000 tokens.
    for number in range(60):
        endpoint_id = f'z1-{number % 3}'
        fleet.table.record_load(endpoint_id, 's', idle, number)
        used, seconds = (short, 0.05) if number % 2 else (cost, 0.3)
        if used is cost:
            fleet.table.cached.clear()
        fleet.table.begin(endpoint_id, used, number)
        fleet.table.note_first_event(endpoint_id, 's', used, number + seconds)
        fleet.table.end(endpoint_id, used, True)
    fleet.table.cached.clear()
    fleet.table.begin('z1-3', cost, 70.0)
    fleet.table.note_first_event('z1-3', 's', cost, 70.3)
    fleet.table.end('z1-3', cost, True)
    assert {fleet.choose(cost, 71.0) for _ in range(20)} == {'z1-3'}
    assert len({fleet.choose(short, 71.0) for _ in range(50)}) == 4


def test_memory_of_an_endpoint_is_not_exceeded(fleet):
    """Guards against endpoints that crash, as requests exceed their memory."""
    cost = costs.Cost(
        3000, 4000, 9.0, 1.0, (), capacity_tokens=16000, is_stated=True
    )
    for name in ('z1-0', 'z1-1', 'z1-2'):
        for _ in range(3):
            fleet.table.begin(name, cost, 0.0)
            fleet.online[name] += 1
            fleet.own[name] += 1
    assert {fleet.choose(cost) for _ in range(20)} == {'z1-3'}
    for name in ('z1-0', 'z1-1', 'z1-2'):
        for _ in range(3):
            fleet.table.end(name, cost, False)
            fleet.own[name] -= 1
            fleet.online[name] -= 1
    assert not fleet.table.held_tokens and not fleet.table.waiting


def test_batch_items_yield_before_requests_queue(fleet):
    """Guards against requests that wait while items could yield."""
    fill(fleet, 'z1', 8)
    fill(fleet, 'z2', 8)
    fleet.online['z1-1'] = 1
    fleet.items['z1-1'] = 7
    assert {fleet.choose() for _ in range(20)} == {'z1-1'}


def test_only_allowed_endpoints_are_chosen():
    """Guards against a drawn sample without any allowed endpoint."""
    fleet = Fleet(100, 0)
    excluded = {f'z1-{n}' for n in range(100)} - {'z1-42'}
    for _ in range(20):
        assert fleet.choose(excluded=excluded) == 'z1-42'
    assert fleet.choose(excluded=excluded | {'z1-42'}) is None


@pytest.mark.parametrize('zone_size', [25, 250])
def test_effort_of_a_decision_does_not_grow_with_the_fleet(zone_size):
    """Guards against decisions that take an entry host's processor time."""
    fleet = Fleet(zone_size, 3 * zone_size)
    fleet.choose()
    assert fleet.estimated <= selection.SAMPLE_SIZE
    assert fleet.asked <= selection.SAMPLE_SIZE
    for name in [f'z1-{n}' for n in range(zone_size)]:
        fleet.online[name] = 9
    fleet.estimated = fleet.asked = 0
    fleet.choose()
    assert fleet.estimated <= 2 * selection.SAMPLE_SIZE
    assert fleet.asked <= 2 * selection.SAMPLE_SIZE
    fleet.estimated = fleet.asked = 0
    fleet.choose(is_last=True)
    assert fleet.estimated <= 2 * selection.REFUSAL_SAMPLE_SIZE
    assert fleet.asked <= 2 * selection.REFUSAL_SAMPLE_SIZE


@pytest.mark.parametrize('only', ['z1-7', 'z2-299'])
def test_search_before_a_refusal_finds_the_only_endpoint_with_room(only):
    """Guards against a refusal while one of many endpoints has room."""
    fleet = Fleet(300, 300)
    for endpoint in fleet.chooser.services['s']:
        fleet.online[endpoint.endpoint_id] = 10
    assert fleet.choose(is_last=True) is None
    fleet.online[only] = 9
    assert {fleet.choose(is_last=True) for _ in range(20)} == {only}
    assert fleet.choose(is_last=True, excluded={only}) is None
