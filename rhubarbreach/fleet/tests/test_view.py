"""Choice of an endpoint under full slots and failures."""

import pytest

from rhubarbreach import codes
from rhubarbreach.fleet import health
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages


def notice(endpoint_id, zone='z1', state='ready'):
    return fleetmessages.EndpointNotice(
        endpoint_id, 's', f'{endpoint_id}:1', zone, 8, state, 1, 1
    )


@pytest.fixture
def endpoints():
    made = view.View('z1')
    rows = (notice('e1'), notice('e2', 'z2'), notice('e3', 'z2'))
    made.update_endpoints(rows, True)
    return made


def test_load_goes_where_slots_are_free(endpoints):
    endpoints.update_others({'e1': 8, 'e2': 6, 'e3': 7}, {})
    assert endpoints.take('s', (), 0.0).endpoint_id == 'e2'


def test_hosts_do_not_choose_the_same_endpoint_at_equal_load():
    # Each host learns of the others' requests some 0.15 s late.
    chosen = set()
    for _ in range(12):
        host = view.View('elsewhere')
        rows = tuple(notice(f'e{n}') for n in range(6))
        host.update_endpoints(rows, True)
        chosen.add(host.take('s', (), 0.0).endpoint_id)
    assert len(chosen) >= 4


def test_own_zone_is_preferred_at_equal_load(endpoints):
    assert endpoints.take('s', (), 0.0).endpoint_id == 'e1'


def test_requests_spread_over_the_slots(endpoints):
    taken = [endpoints.take('s', (), 0.0).endpoint_id for _ in range(24)]
    assert all(taken.count(e) == 8 for e in ('e1', 'e2', 'e3'))


def test_full_fleet_refuses_with_a_time_to_come_back(endpoints):
    full = 8 + view.QUEUE_ALLOWED
    endpoints.update_others({'e1': full, 'e2': full, 'e3': full}, {})
    refusal = endpoints.take('s', (), 0.0)
    assert refusal.code == codes.ResultCode.QUEUE_FULL
    assert refusal.ran == codes.Ran.NO
    assert refusal.retry_after > 0


def test_caller_that_comes_back_may_queue_longer(endpoints):
    # It has no further attempt; a second refusal loses it.
    full = 8 + view.QUEUE_ALLOWED
    endpoints.update_others({'e1': full, 'e2': full, 'e3': full}, {})
    taken = endpoints.take('s', (), 0.0, view.QUEUE_RETURNING)
    assert isinstance(taken, view.Endpoint)


def test_callers_that_come_back_do_not_hold_a_lasting_overload(endpoints):
    # With one endpoint of six left, those that came back filled the longer
    # queue: of new requests one of fourteen was served (turnopatio-mx mix,
    # seed 510496254701).
    endpoints.update_others({'e1': 9, 'e2': 9, 'e3': 9}, {})
    for tick in range(24):
        endpoints.release(endpoints.take('s', (), tick / 10).endpoint_id)
    assert endpoints.choose_queue('s') == view.QUEUE_RETURNING
    for tick in range(24, 60):
        endpoints.release(endpoints.take('s', (), tick / 10).endpoint_id)
    assert endpoints.choose_queue('s') == view.QUEUE_ALLOWED
    endpoints.update_others({'e1': 7, 'e2': 9, 'e3': 9}, {})
    for tick in range(60, 70):
        endpoints.release(endpoints.take('s', (), tick / 10).endpoint_id)
    assert endpoints.choose_queue('s') == view.QUEUE_RETURNING


def test_batch_items_do_not_count_as_a_queue(endpoints):
    # They yield at once; a refusal would turn callers away for their sake.
    batch = {'e1': 8, 'e2': 4, 'e3': 2}
    endpoints.update_others({'e1': 1, 'e2': 4, 'e3': 6}, batch)
    assert endpoints.take('s', (), 0.0).endpoint_id == 'e1'


def test_use_beyond_half_of_the_slots_is_reported_at_once(endpoints):
    # A wave of requests meets slots that batch items hold; these have to
    # yield before the next regular report, and other hosts have to know.
    told = []
    endpoints.on_pressure = lambda: told.append(1)
    endpoints.update_others({'e1': 2, 'e2': 3, 'e3': 3}, {})
    endpoints.take('s', (), 0.0)
    assert not told
    batch = {'e1': 2, 'e2': 4, 'e3': 3}
    endpoints.update_others({'e1': 1, 'e2': 1, 'e3': 1}, batch)
    endpoints.take('s', (), 0.0)
    assert told


def test_service_is_pressed_when_no_endpoint_has_slots_to_spare(endpoints):
    endpoints.update_others({'e1': 2, 'e2': 8}, {'e1': 2, 'e3': 3})
    assert not endpoints.is_pressed('s')
    endpoints.take('s', ('e1', 'e2'), 0.0)
    assert endpoints.is_pressed('s')


def test_draining_endpoint_gets_nothing(endpoints):
    endpoints.update_endpoints((notice('e1', state='draining'),), False)
    taken = {endpoints.take('s', (), 0.0).endpoint_id for _ in range(8)}
    assert taken == {'e2', 'e3'}


def test_incomplete_news_removes_nothing(endpoints):
    # A leader that has just started has not heard all endpoints yet.
    endpoints.update_endpoints((notice('e4'),), False)
    assert set(endpoints.endpoints) == {'e1', 'e2', 'e3', 'e4'}
    endpoints.update_endpoints((notice('e4'),), True)
    assert set(endpoints.endpoints) == {'e4'}


def test_failed_endpoint_is_left_out_longer_each_time(endpoints):
    endpoints.note_failure('e1', 0.0)
    assert endpoints.take('s', (), 0.1).endpoint_id != 'e1'
    after = health.FIRST_EJECTION_SECONDS + 0.01
    assert endpoints.take('s', (), after).endpoint_id == 'e1'
    endpoints.note_failure('e1', after)
    assert endpoints.health.is_ejected('e1', 2.5 * after)


def test_all_failed_are_tried_again(endpoints):
    for endpoint_id in ('e1', 'e2', 'e3'):
        endpoints.note_failure(endpoint_id, 0.0)
    assert isinstance(endpoints.take('s', (), 0.1), view.Endpoint)


def test_released_request_frees_its_slot(endpoints):
    taken = endpoints.take('s', (), 0.0)
    endpoints.release(taken.endpoint_id)
    assert endpoints.copy_running() == {}


def test_suspects_get_nothing_while_others_are_there(endpoints):
    endpoints.update_others({}, {}, ('e1', 'e2'))
    taken = {endpoints.take('s', (), 0.0).endpoint_id for _ in range(8)}
    assert taken == {'e3'}
    endpoints.update_others({}, {}, ('e1', 'e2', 'e3'))
    assert endpoints.take('s', ('e3',), 0.0).endpoint_id in ('e1', 'e2')


def test_outcomes_are_told_once(endpoints):
    endpoints.note_failure('e1', 0.0)
    endpoints.note_success('e1')
    endpoints.note_success('e2')
    assert endpoints.take_outcomes() == {'e1': (1, 1), 'e2': (0, 1)}
    assert endpoints.take_outcomes() == {}


def test_suspect_serves_what_can_be_repeated_when_others_are_full(endpoints):
    # In a small fleet a suspect is a large part of the slots; requests that
    # would wait elsewhere were late for its sake.
    endpoints.update_others({'e1': 0, 'e2': 8, 'e3': 8}, {}, ('e1',))
    once = endpoints.take('s', (), 0.0)
    assert once.endpoint_id in ('e2', 'e3')
    repeatable = endpoints.take('s', (), 0.0, may_fail=True)
    assert repeatable.endpoint_id == 'e1'
