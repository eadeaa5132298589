"""Evacuated zones as entry hosts know them, and hosts that stand still."""

import pytest

from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import evacuations
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages

STANDSTILL = evacuations.STANDSTILL_SECONDS
CUT_OFF = evacuations.CUT_OFF_SECONDS
SLOTS = 8


def make_notice(endpoint_id, zone, service='s'):
    return fleetmessages.EndpointNotice(
        endpoint_id, service, 'a:1', zone, SLOTS, 'ready', 1, 1
    )


@pytest.fixture
def endpoints():
    """Return a view of endpoints in two zones, one of which is evacuated."""
    rows = (make_notice('e1', 'z1'), make_notice('e2', 'z2'))
    known = view.View('z2')
    known.update_endpoints(rows, True)
    known.directory.set_evacuated_zones(['z2'])
    return known


def test_request_goes_to_other_zones_also_when_they_are_full(endpoints):
    """Guards against requests that overflow into the evacuated zone."""
    load = SLOTS + choice.MAX_QUEUED
    for _ in range(load):
        assert endpoints.acquire('s', (), 0.0).endpoint_id == 'e1'
    assert isinstance(endpoints.acquire('s', (), 0.0), codes.Refusal)


def test_service_without_another_zone_is_refused_as_not_run(endpoints):
    """Guards against requests that go there because nothing else is left.

    An endpoint that is ejected everywhere else is tried again, for example.
    """
    endpoints.directory.set_evacuated_zones(['z1', 'z2'])
    refusal = endpoints.acquire('s', (), 0.0, can_retry=True)
    assert refusal.code is codes.ResultCode.NO_ENDPOINT
    assert refusal.ran is codes.Ran.NO


def test_proofs_and_resumed_streams_do_not_reach_the_zone(endpoints):
    """Guards against the paths that name an endpoint they already used."""
    endpoint = endpoints.directory.endpoints['e2']
    assert endpoints.acquire_again(endpoint) is None
    assert endpoints.directory.list_endpoint_ids('s', '') == {'e1'}
    choices = {'e2'}
    assert isinstance(
        endpoints.acquire('s', (), 0.0, choices=choices), codes.Refusal
    )


def test_endpoint_that_crashes_in_the_zone_still_counts_as_crashed(endpoints):
    """Guards against a broken response that looks whole.

    The end of a response is judged by whether its endpoint was in service.
    """
    assert endpoints.directory.is_endpoint_in_service(
        endpoints.directory.endpoints['e2']
    )


def test_list_of_endpoints_does_not_open_the_zone(endpoints):
    """Guards against endpoints that announce themselves in the zone."""
    rows = (make_notice('e1', 'z1'), make_notice('e3', 'z2'))
    endpoints.update_endpoints(rows, True)
    assert endpoints.directory.list_endpoint_ids('s', None) == {'e1'}
    endpoints.directory.set_evacuated_zones([])
    assert endpoints.directory.list_endpoint_ids('s', None) == {'e1', 'e3'}


def test_reply_of_a_former_leader_does_not_reopen_a_zone():
    """Guards against a leader that does not know its successor yet."""
    known = evacuations.Evacuations().update(4, ['z2'])
    assert known.update(3, ()) is known
    assert known.update(4, None) is known
    restored = known.update(5, ['z3'])
    assert evacuations.find_restored(known, restored) == {'z2'}


def test_host_that_stood_still_waits_for_an_answer():
    """Guards against requests sent by what was known before a pause."""
    guard = evacuations.ContactGuard(0.0)
    assert not guard.begin_exchange(1.0)
    woken = 9.0
    assert not guard.may_send(woken)
    # The answer to the exchange before the pause is read now.
    guard.end_exchange(1.0)
    assert not guard.may_send(woken)
    assert guard.begin_exchange(woken)
    assert not guard.may_send(woken + 0.1)
    guard.end_exchange(woken)
    assert guard.may_send(woken + 0.1)


def test_host_that_reaches_no_store_goes_on_soon():
    """Guards against a partitioned zone that serves nothing."""
    guard = evacuations.ContactGuard(0.0)
    times = [number * 0.5 for number in range(1, 20)]
    for now in times:
        guard.begin_exchange(now)
        assert guard.may_send(now + 0.49)
    woken = times[-1] + 2 * STANDSTILL
    while (now := woken) < times[-1] + 2 * STANDSTILL + CUT_OFF:
        guard.begin_exchange(now)
        assert not guard.may_send(now)
        woken += 0.5
    guard.begin_exchange(woken)
    assert guard.may_send(woken)


def test_items_regard_the_endpoints_of_the_zone_as_draining():
    """Guards against items that are placed in the evacuated zone."""
    known = {
        name: choice.Endpoint(name, 's', 'a:1', zone, SLOTS)
        for name, zone in (('e1', 'z1'), ('e2', 'z2'))
    }
    marked = evacuations.exclude_zones(known, frozenset({'z2'}))
    draining = {name for name, e in marked.items() if e.is_draining}
    assert draining == {'e2'}
