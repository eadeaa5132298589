"""Tests of load balancing with full slots and failing endpoints."""

import dataclasses

import pytest

from rhubarbreach.balancing import costs
from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import health
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages


def make_notice(endpoint_id, zone='z1', state='ready'):
    return fleetmessages.EndpointNotice(
        endpoint_id, 's', f'{endpoint_id}:1', zone, 8, state, 1, 1
    )


@pytest.fixture
def endpoints():
    endpoints = view.View('z1')
    rows = (
        make_notice('e1'),
        make_notice('e2', 'z2'),
        make_notice('e3', 'z2'),
    )
    endpoints.update_endpoints(rows, True)
    return endpoints


def test_endpoint_with_most_free_slots_is_chosen(endpoints):
    endpoints.update_loads({'e1': 8, 'e2': 6, 'e3': 7}, {})
    assert endpoints.acquire('s', (), 0.0).endpoint_id == 'e2'


def test_hosts_do_not_choose_the_same_endpoint_at_equal_load():
    # Each host learns of the requests of others about 0.15 s late.
    chosen = set()
    for _ in range(12):
        host = view.View('elsewhere')
        rows = tuple(make_notice(f'e{n}') for n in range(6))
        host.update_endpoints(rows, True)
        chosen.add(host.acquire('s', (), 0.0).endpoint_id)
    assert len(chosen) >= 4


def test_own_zone_is_preferred_at_equal_load(endpoints):
    assert endpoints.acquire('s', (), 0.0).endpoint_id == 'e1'


def test_requests_fill_all_slots_evenly(endpoints):
    chosen = [endpoints.acquire('s', (), 0.0).endpoint_id for _ in range(24)]
    assert all(chosen.count(e) == 8 for e in ('e1', 'e2', 'e3'))


def test_full_endpoints_refuse_as_not_run(endpoints):
    full = 8 + choice.MAX_QUEUED
    endpoints.update_loads({'e1': full, 'e2': full, 'e3': full}, {})
    refusal = endpoints.acquire('s', (), 0.0)
    assert refusal.code == codes.ResultCode.QUEUE_FULL
    assert refusal.ran == codes.Ran.NO


def test_retried_request_may_wait_in_a_longer_queue(endpoints):
    # It has no further attempt, so a second refusal would be final.
    full = 8 + choice.MAX_QUEUED
    endpoints.update_loads({'e1': full, 'e2': full, 'e3': full}, {})
    chosen = endpoints.acquire('s', (), 0.0, choice.MAX_QUEUED_RETRIES)
    assert isinstance(chosen, choice.Endpoint)


def test_retried_requests_leave_room_for_streams_that_go_on(endpoints):
    """Guards against streams that callers take up behind a full queue.

    After most hosts are lost, the callers of the last one retry, and the
    streams of the others arrive when their callers have noticed.
    """
    objective, run_seconds, patience = 0.3, 0.7, 1.2
    endpoints.performance.record_run('s', run_seconds)
    late, begun = (
        endpoints.choose_queue_limit('s', objective, True, has_begun)
        for has_begun in (False, True)
    )
    while isinstance(endpoints.acquire('s', (), 0.0, late), choice.Endpoint):
        pass
    assert isinstance(endpoints.acquire('s', (), 0.0, begun), choice.Endpoint)
    # The queue before them is shorter than the time that their callers wait.
    assert late * run_seconds / 8 < patience


def test_no_request_is_refused_while_half_of_the_slots_are_free(endpoints):
    """Guards against refusals for suspects that have free slots."""
    endpoints.update_loads({'e1': 9, 'e2': 0, 'e3': 0}, {}, ('e2', 'e3'))
    assert endpoints.acquire('s', (), 0.0, 0).endpoint_id in ('e2', 'e3')
    endpoints.update_loads({'e1': 9, 'e2': 7, 'e3': 0}, {}, ('e2', 'e3'))
    refusal = endpoints.acquire('s', (), 0.0, 0)
    assert refusal.code == codes.ResultCode.QUEUE_FULL


def test_slot_is_not_handed_over_at_an_endpoint_that_failed(endpoints):
    """Guards against waiting requests that follow one that has failed."""
    assert endpoints.is_sound('e1', 0.0)
    endpoints.record_failure('e1', 0.0)
    assert not endpoints.is_sound('e1', 0.0)
    endpoints.update_loads({}, {}, ('e2',))
    assert not endpoints.is_sound('e2', 0.0)


def test_batch_items_do_not_count_as_queued(endpoints):
    # They are preempted immediately, so no caller is refused because of them.
    batch = {'e1': 8, 'e2': 4, 'e3': 2}
    endpoints.update_loads({'e1': 1, 'e2': 4, 'e3': 6}, batch)
    assert endpoints.acquire('s', (), 0.0).endpoint_id == 'e1'


def test_utilization_above_one_half_is_reported_at_once(endpoints):
    # In a load peak, batch items have to be preempted and other hosts have to
    # know of the load before the next regular exchange.
    reports = []
    endpoints.on_high_utilization = lambda: reports.append(1)
    endpoints.update_loads({'e1': 2, 'e2': 3, 'e3': 3}, {})
    endpoints.acquire('s', (), 0.0)
    assert not reports
    batch = {'e1': 2, 'e2': 4, 'e3': 3}
    endpoints.update_loads({'e1': 1, 'e2': 1, 'e3': 1}, batch)
    endpoints.acquire('s', (), 0.0)
    assert reports


def test_service_is_highly_utilized_if_all_endpoints_are(endpoints):
    endpoints.update_loads({'e1': 2, 'e2': 8}, {'e1': 2, 'e3': 3})
    assert not endpoints.has_high_utilization('s')
    endpoints.acquire('s', ('e1', 'e2'), 0.0)
    assert endpoints.has_high_utilization('s')


def test_draining_endpoint_gets_no_requests(endpoints):
    endpoints.update_endpoints((make_notice('e1', state='draining'),), False)
    chosen = {endpoints.acquire('s', (), 0.0).endpoint_id for _ in range(8)}
    assert chosen == {'e2', 'e3'}


def test_incomplete_update_removes_no_endpoint(endpoints):
    # A new leader has not received the announcements of all endpoints yet.
    endpoints.update_endpoints((make_notice('e4'),), False)
    assert set(endpoints.directory.endpoints) == {'e1', 'e2', 'e3', 'e4'}
    endpoints.update_endpoints((make_notice('e4'),), True)
    assert set(endpoints.directory.endpoints) == {'e4'}


def test_ejection_is_longer_after_each_failure(endpoints):
    endpoints.record_failure('e1', 0.0)
    assert endpoints.acquire('s', (), 0.1).endpoint_id != 'e1'
    after = health.BASE_EJECTION_SECONDS + 0.01
    assert endpoints.acquire('s', (), after).endpoint_id == 'e1'
    endpoints.record_failure('e1', after)
    assert endpoints.health.table.is_ejected('e1', 2.5 * after)


def test_failed_endpoints_are_tried_if_all_have_failed(endpoints):
    for endpoint_id in ('e1', 'e2', 'e3'):
        endpoints.record_failure(endpoint_id, 0.0)
    assert isinstance(endpoints.acquire('s', (), 0.1), choice.Endpoint)


def test_released_request_frees_its_slot(endpoints):
    chosen = endpoints.acquire('s', (), 0.0)
    endpoints.release(chosen.endpoint_id)
    assert endpoints.counts.copy_running() == {}


def test_suspects_get_no_requests_while_others_are_available(endpoints):
    endpoints.update_loads({}, {}, ('e1', 'e2'))
    chosen = {endpoints.acquire('s', (), 0.0).endpoint_id for _ in range(8)}
    assert chosen == {'e3'}
    endpoints.update_loads({}, {}, ('e1', 'e2', 'e3'))
    assert endpoints.acquire('s', ('e3',), 0.0).endpoint_id in ('e1', 'e2')


def test_only_endpoint_with_room_is_found_by_cost():
    """Guards against a refusal while one of many endpoints has room.

    One that has room but fails for several hosts is not used in its place.
    """
    host = view.View('z1')
    names = [f'e{n}' for n in range(200)]
    host.update_endpoints(
        [make_notice(name, f'z{n % 4}') for n, name in enumerate(names)], True
    )
    loads = dict.fromkeys(names, 8 + choice.MAX_QUEUED)
    loads['e7'] = loads['e9'] = 8
    cost = costs.Cost(20, 100, 9.0, 1.0, (), is_stated=True)
    host.update_loads(loads, {}, ('e9',))
    for _ in range(20):
        assert host.acquire('s', (), 0.0, cost=cost).endpoint_id == 'e7'
        host.release('e7')
    refusal = host.acquire('s', ('e7',), 0.0, cost=cost)
    assert refusal.code == codes.ResultCode.QUEUE_FULL


def test_outcomes_are_reported_once(endpoints):
    endpoints.record_failure('e1', 0.0)
    endpoints.health.record_success('e1')
    endpoints.health.record_success('e2')
    assert endpoints.health.pop_outcomes() == {'e1': (1, 1), 'e2': (0, 1)}
    assert endpoints.health.pop_outcomes() == {}


def test_suspect_gets_repeatable_requests_when_others_are_full(endpoints):
    # With few endpoints a suspect has a large part of the slots. Requests that
    # waited at others instead were late.
    endpoints.update_loads({'e1': 0, 'e2': 8, 'e3': 8}, {}, ('e1',))
    once = endpoints.acquire('s', (), 0.0)
    assert once.endpoint_id in ('e2', 'e3')
    repeatable = endpoints.acquire('s', (), 0.0, can_retry=True)
    assert repeatable.endpoint_id == 'e1'


def test_stream_is_resumed_only_at_its_software_version():
    """Guards against a choice by load among endpoints of all versions."""
    host = view.View('z1')
    rows = tuple(
        dataclasses.replace(make_notice(name), software_version=version)
        for name, version in (('e1', 'v1'), ('e2', 'v2'), ('e3', 'v2'))
    )
    host.update_endpoints(rows, True)
    host.update_loads({'e1': 8}, {})
    chosen = host.acquire('s', (), 0.0, software_version='v1')
    assert chosen.endpoint_id == 'e1'
    host.record_failure('e1', 0.0)
    chosen = host.acquire('s', (), 0.1, software_version='v1')
    assert chosen.endpoint_id == 'e1'
    refusal = host.acquire('s', ('e1',), 0.0, software_version='v1')
    assert refusal.code == codes.ResultCode.NO_ENDPOINT
    assert host.directory.has_version('s', 'v1')
    assert not host.directory.has_version('s', 'v3')


def test_leaving_endpoint_that_is_forgotten_for_a_time_stays_excluded():
    """Guards against requests to an endpoint that said it was leaving.

    The leader drops an endpoint that is silent for long, for example while it
    is cut off from the stores, and may learn of it again.
    """
    endpoints = view.View('z1')
    endpoints.update_endpoints((make_notice('e1'),), True)
    endpoints.directory.record_departure(endpoints.acquire('s', (), 0.0))
    endpoints.update_endpoints((), True)
    endpoints.update_endpoints((make_notice('e1'),), True)
    assert isinstance(endpoints.acquire('s', (), 0.0), codes.Refusal)
