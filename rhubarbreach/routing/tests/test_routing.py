"""Tests of endpoint selection, ejection, cache view and crash suspects."""

import random

from rhubarbreach import codes
from rhubarbreach.membership import endpoints
from rhubarbreach.placement.tests import conftest
from rhubarbreach.protocol import hostmessages
from rhubarbreach.routing import cache
from rhubarbreach.routing import choose
from rhubarbreach.routing import ejection
from rhubarbreach.routing import load
from rhubarbreach.routing import suspects


def make_info(name, zone='z1', now=0.0):
    """Return an endpoint with 16 slots."""
    row = conftest.make_row(name, slots=16, zone=zone)
    return endpoints.make_info(row, now)


def count_choices(loads, zones, matches=None):
    """Return how often each endpoint is chosen in 200 trials."""
    infos = [make_info(name, zone) for name, zone in zones.items()]
    view = choose.View(
        'z1',
        lambda endpoint: loads[endpoint.endpoint_id],
        lambda name, prefix: (matches or {}).get(name, 0.0),
        lambda name: 1.0,
    )
    request = conftest.make_work('w', prefix=(b'p',))
    generator = random.Random(1)
    names = [
        choose.choose_endpoint(
            request, infos, view, 0.0, generator
        ).endpoint.endpoint_id
        for _ in range(200)
    ]
    return {name: names.count(name) for name in zones}


def test_other_zone_is_chosen_only_with_much_less_load():
    """Guards against work that stays on loaded endpoints of the same zone."""
    zones = {'a': 'z1', 'b': 'z1', 'c': 'z2'}
    balanced = count_choices({'a': 3, 'b': 3, 'c': 2}, zones)
    assert balanced['c'] == 0
    overloaded = count_choices({'a': 14, 'b': 14, 'c': 2}, zones)
    assert overloaded['c'] == 200


def test_cached_prompt_is_preferred_unless_endpoint_is_full():
    """Guards against a cached prefix that draws work to a full endpoint."""
    zones = {'a': 'z1', 'b': 'z1', 'c': 'z1'}
    loads = {'a': 4, 'b': 4, 'c': 4}
    assert count_choices(loads, zones, {'c': 1.0})['c'] == 200
    loads = {'a': 0, 'b': 0, 'c': 16}
    assert count_choices(loads, zones, {'c': 1.0})['c'] == 0


def test_no_candidate_gives_refusal():
    """A model without endpoints is an expected error, not an exception."""
    view = choose.View('z', len, len, len)
    request = conftest.make_work('w')
    refusal = choose.choose_endpoint(request, [], view, 0.0, random)
    assert refusal.code == codes.ResultCode.NO_ENDPOINT


def test_lagging_report_is_corrected():
    """Requests started since the last report must count immediately."""
    view = load.LoadView()
    endpoint = make_info('a', now=10.0)
    for started_at in (10.1, 10.2, 10.3):
        view.start('a', started_at)
    assert view.estimate(endpoint, 10.4) == 3
    view.finish('a')
    assert view.estimate(endpoint, 10.4) == 2


def test_gap_in_cache_events_ages_prefixes():
    """Missed evictions must not leave outdated prefixes for long."""
    view = cache.CacheView()
    view.apply_events('e', 0, 2, [b'p'], [], 0.0)
    assert view.match('e', (b'p', b'q'), 100.0) == 0.5
    view.apply_events('e', 9, 10, [], [], 1.0)
    assert view.match('e', (b'p', b'q'), 100.0) == 0.0


def test_slow_endpoint_is_ejected_and_returns_gradually():
    """A slow replica must get no work, and regain its weight gradually."""
    ejector = ejection.Ejector()
    names = ['a', 'b', 'c', 'd']
    for _ in range(10):
        for name in names:
            latency = 0.2 if name == 'd' else 0.02
            ejector.observe(name, False, latency, 1.0)
    assert ejector.update(names, 1.0) == ['d']
    assert ejector.is_ejected('d', 5.9)
    assert 0 < ejector.get_weight('d', 6.5) < ejector.get_weight('d', 12.0)
    assert ejector.get_weight('d', 17.0) == 1.0


def test_at_most_a_third_is_ejected():
    """A fault of all replicas must not leave a model without endpoints."""
    ejector = ejection.Ejector()
    names = ['a', 'b', 'c', 'd', 'e', 'f']
    for _ in range(10):
        for name in names:
            ejector.observe(name, name > 'c', 0.02, 1.0)
    assert len(ejector.update(names, 1.0)) == 2
    assert ejector.update(names, 1.0) == []


def test_only_the_request_that_ran_alone_is_quarantined():
    """A request that ran beside a crashing request must not be refused."""
    tracker = suspects.Suspects()
    for number in range(3):
        endpoint = make_info(f'e{number}')
        tracker.report_loss(endpoint, [b'good', b'bad'], False, 0.0)
    assert tracker.is_suspect(b'good', 1.0)
    assert not tracker.is_quarantined(b'bad', 1.0)
    for incarnation in (1, 1, 2):
        report = hostmessages.StrikeReport(b'bad', 'e1', incarnation, True)
        tracker.merge(report, 1.0)
        expected = incarnation == 2
        assert tracker.is_quarantined(b'bad', 1.0) == expected
    tracker.clear(b'good')
    assert not tracker.is_suspect(b'good', 1.0)


def test_request_that_was_refused_by_mistake_may_run_again():
    """Guards against a coincidence that refuses a request for an hour."""
    tracker = suspects.Suspects()
    for number in range(suspects.MAX_STRIKES):
        tracker.report_loss(make_info(f'e{number}'), (b'x',), True, 1.0)
    later = 2.0 + suspects.FIRST_REFUSAL_SECONDS
    assert tracker.is_quarantined(b'x', 2.0)
    assert not tracker.is_quarantined(b'x', later)
    # It runs alone, and another strike refuses it for longer.
    assert tracker.is_suspect(b'x', later)
    tracker.report_loss(make_info('e9'), (b'x',), True, later)
    assert tracker.is_quarantined(b'x', 2 * later)
    tracker.clear(b'x')
    assert not tracker.is_quarantined(b'x', 2 * later)
