"""Tests of what is known of cold endpoints, and of the permits for them."""

import pytest

from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import cold_permits
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import view
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages

INTERVAL = 1.2
COLD_STARTS = {'s': 3.0}
LIMIT = cold_permits.compute_limit(9.2, 1.5, 5.0)


def make_notice(sequence=1, cold_seconds=0.0, endpoint_id='e', born=1):
    return fleetmessages.EndpointNotice(
        endpoint_id,
        's',
        f'{endpoint_id}:1',
        'z1',
        8,
        'ready',
        born,
        sequence,
        cold_seconds=cold_seconds,
    )


@pytest.fixture
def endpoints():
    """Return a registry with an endpoint that announced itself at 10 s."""
    endpoints = registry.Registry(INTERVAL)
    endpoints.record_announcement(make_notice(), 10.0)
    return endpoints


@pytest.fixture
def host():
    """Return the view of a host that knows two warm endpoints at 10 s."""
    host = view.View('z1')
    host.cold.limit_services(['s'])
    rows = [make_notice(endpoint_id='e'), make_notice(endpoint_id='f')]
    host.update_endpoints(rows, True)
    apply_reply(host, {}, sent=10.0)
    return host


def apply_reply(host, cold, sent, granted=None, stamp='a'):
    reply = fleetmessages.ExchangeReply(
        True, None, cold_granted=granted or {}, cold=cold, cold_stamp=stamp
    )
    host.apply_cold(reply, ('e', 'f'), sent, sent + 0.01)


def is_cold(endpoints, now):
    return 'e' in endpoints.list_cold(COLD_STARTS, now)


def test_endpoint_is_cold_for_the_announced_time(endpoints):
    endpoints.record_announcement(make_notice(2, 2.0), 11.0)
    assert is_cold(endpoints, 12.9)
    assert not is_cold(endpoints, 13.1)


def test_new_process_that_does_not_say_is_cold_after_its_start(endpoints):
    endpoints.record_announcement(make_notice(1, None, born=2), 11.0)
    endpoints.record_announcement(make_notice(2, None, born=2), 12.2)
    assert is_cold(endpoints, 13.9)
    assert not is_cold(endpoints, 14.1)


def test_late_announcement_does_not_prove_an_endpoint_warm(endpoints):
    """Guards against an announcement from before a restart.

    Another store may have forwarded it after the failure was reported.
    """
    endpoints.record_failures({'e': 0.2}, 10.6)
    endpoints.record_announcement(make_notice(2), 10.7)
    assert is_cold(endpoints, 10.8)
    endpoints.record_announcement(make_notice(3), 11.9)
    assert not is_cold(endpoints, 12.0)


def test_repeated_report_of_a_failure_does_not_renew_it(endpoints):
    """Guards against endpoints that stay cold while a failure is reported."""
    endpoints.record_failures({'e': 0.0}, 10.1)
    endpoints.record_announcement(make_notice(2), 11.2)
    assert not endpoints.record_failures({'e': 1.15}, 11.35)
    assert not is_cold(endpoints, 11.4)


def test_silent_endpoint_is_unknown(endpoints):
    assert not is_cold(endpoints, 10.0 + 2 * INTERVAL)
    assert is_cold(endpoints, 10.0 + 3 * INTERVAL)


def test_zone_counts_as_cold_until_its_endpoints_announce_again(endpoints):
    endpoints.treat_zone_as_cold('z1', 10.5)
    assert is_cold(endpoints, 10.6)
    endpoints.record_announcement(make_notice(2), 11.2)
    assert not is_cold(endpoints, 11.3)


@pytest.mark.parametrize(
    'rates', [(9.2, 1.5, 5.0), (2.0, 1.0, 1.0), (40, 1, 0)]
)
def test_permits_used_as_late_as_possible_stay_within_the_limit(rates):
    """Guards against permits that are hoarded and arrive in one second."""
    limit = cold_permits.compute_limit(*rates)
    allocator = cold_permits.PermitAllocator()
    allocator.update({'e': 's'}, {'s': limit}, 0.0)
    latest = cold_permits.PERMIT_SECONDS + cold_permits.ARRIVAL_SECONDS
    most = 0
    # All permits that are valid at 10 s are used then, the later ones at once.
    now = 10.0 - latest
    while now < 11.0:
        most += allocator.grant({'e': 50}, now).get('e', 0)
        now += 0.01
    assert 0 < most <= rates[0] * rates[1] + rates[2]


def test_permits_of_another_endpoint_replace_missing_ones():
    """Guards against refusals while other cold endpoints have room."""
    allocator = cold_permits.PermitAllocator()
    allocator.update(
        {'e': 's', 'f': 's', 'g': 't'}, {'s': LIMIT, 't': LIMIT}, 0
    )
    assert allocator.grant({'e': 8}, 1.0) == {'e': 5, 'f': 3}


def test_endpoint_that_failed_here_gets_no_request_without_a_permit(host):
    """Guards against probes of many hosts at an endpoint that restarts."""
    host.record_failure('e', 10.5)
    chosen = [host.acquire('s', (), 20.0).endpoint_id for _ in range(10)]
    assert chosen == ['f'] * 10


def test_host_without_leader_sends_nothing_to_cold_endpoints(host):
    host.record_failure('e', 10.5)
    host.cold.record_news({'f': 0.1}, 10.5)
    refusal = host.acquire('s', (), 30.0)
    assert refusal.code == codes.ResultCode.NO_ENDPOINT
    assert refusal.ran == codes.Ran.NO


def test_reply_from_before_a_failure_does_not_prove_an_endpoint_warm(host):
    host.record_failure('e', 10.5)
    apply_reply(host, None, sent=10.4)
    assert host.cold.make_report(10.6)[1] == pytest.approx({'e': 0.1})
    assert host.acquire('s', ('f',), 20.0).code == codes.ResultCode.NO_ENDPOINT
    apply_reply(host, None, sent=10.6)
    assert host.acquire('s', ('f',), 20.0).endpoint_id == 'e'


def test_new_leader_that_knows_nothing_yet_changes_nothing(host):
    """Guards against endpoints that count as warm after an election."""
    apply_reply(host, {'e': -1.0}, sent=10.5)
    host.record_failure('f', 10.6)
    apply_reply(host, None, sent=11.0, stamp='')
    assert host.acquire('s', (), 20.0).code == codes.ResultCode.NO_ENDPOINT


def test_new_process_is_cold_until_the_leader_says_otherwise(host):
    rows = [make_notice(endpoint_id='e', born=2), make_notice(endpoint_id='f')]
    host.update_endpoints(rows, True)
    assert host.acquire('s', ('f',), 11.0).code == codes.ResultCode.NO_ENDPOINT


def test_permit_is_used_once_and_only_while_it_is_valid(host):
    apply_reply(host, {'e': 3.0}, sent=10.5, granted={'e': 2})
    chosen = host.acquire('s', ('f',), 10.6)
    assert chosen.start_before == pytest.approx(10.8)
    assert isinstance(host.acquire('s', ('f',), 10.81), codes.Refusal)


def test_cold_endpoint_is_used_while_the_others_are_loaded(host):
    apply_reply(host, {'e': 3.0}, sent=10.5, granted={'e': 1})
    assert not host.cold.needs_permit('s', (), None, 10.6)
    assert host.acquire('s', (), 10.6).endpoint_id == 'f'
    host.update_loads({'f': 8}, {})
    assert host.acquire('s', (), 10.6).endpoint_id == 'e'
    assert host.cold.needs_permit('s', (), None, 10.6)
    host.cold.want_permit('s')
    assert host.cold.make_report(10.6)[0] == {'e': 1}


def test_proof_of_an_end_needs_a_permit_at_a_cold_endpoint(host):
    endpoint = host.acquire('s', ('f',), 10.6)
    host.record_failure('e', 10.7)
    assert host.acquire_again(endpoint) is None


def test_services_without_a_limit_are_served_as_before(host):
    host.cold.limit_services(())
    host.record_failure('e', 10.5)
    assert isinstance(host.acquire('s', ('f',), 20.0), choice.Endpoint)
    assert host.cold.make_report(10.6) == ({}, {}, 'a')


def test_list_of_300_cold_endpoints_is_small():
    """Guards against replies that fill a link when a zone comes back."""
    names = [f'endpoint-{number:03}' for number in range(300)]

    def measure(**fields):
        reply = fleetmessages.ExchangeReply(True, None, **fields)
        return len(codec.encode(codec.Envelope('h', 1, True, 0, reply)))

    size = measure(cold=dict.fromkeys(names, 2.5), cold_stamp='127.0.0.1:1:1')
    assert size - measure() < 300 * 24
    print(f'list={size - measure()}')


def test_restored_zone_is_cold_until_a_new_leader_names_its_endpoints(host):
    """Guards against a zone that comes back between two leaders.

    The endpoints are warm as far as the host knows, and a new leader names no
    cold ones at first.
    """
    host.cold.treat_zones_as_cold({'z1'}, 11.0)
    apply_reply(host, None, sent=11.1, stamp='')
    endpoint = host.directory.endpoints['e']
    assert host.cold.state.is_cold(endpoint, 11.2)
    apply_reply(host, {}, sent=11.3, stamp='b')
    assert not host.cold.state.is_cold(endpoint, 11.4)


def test_no_permits_for_endpoints_to_which_nothing_is_sent():
    """Guards against permits for an evacuated zone that nobody can use."""
    allocator = cold_permits.PermitAllocator()
    allocator.update({'e': 's', 'f': 's'}, {'s': LIMIT}, 0)
    assert allocator.grant({'e': 8}, 1.0, {'f'}) == {'e': 5}
    assert allocator.grant({'f': 2}, 1.5, {'e', 'f'}) == {}


def test_waiting_requests_share_one_wish_for_permits(host):
    """Guards against permits that expire at one host and lack at others."""
    host.update_loads({'e': 8, 'f': 8}, {})
    apply_reply(host, {'e': 3.0}, sent=11.0, stamp='b')
    for _ in range(10):
        host.cold.want_permits('s', 10)
    wanted, _, _ = host.cold.make_report(11.1)
    assert wanted == {'e': 10}
