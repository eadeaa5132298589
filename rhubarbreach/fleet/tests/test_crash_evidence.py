"""Tests of the search for prompt parts that crash endpoints."""

import pytest

from rhubarbreach.fleet import crash_evidence
from rhubarbreach.fleet import quarantine_trials
from rhubarbreach.fleet import request_parts

LATEST = 100.0


def make_prompt(number, *parts):
    """Return a prompt whose last part is its own."""
    return (*parts, f'own-{number}')


class EveryPart:
    """Collection that contains every part."""

    def __contains__(self, part):
        return True


@pytest.fixture
def evidence():
    """Return evidence without any crash."""
    return crash_evidence.CrashEvidence()


@pytest.fixture
def find_culprit(evidence):
    """Return a function that judges parts on which all hosts reported."""
    return lambda quarantined, latest: evidence.find_culprit(
        quarantined, latest, EveryPart()
    )


@pytest.fixture
def crash(evidence):
    """Return a function that adds crashes of different endpoints."""

    def add(*parts, count=1, start=1, has_head=True):
        for number in range(start, start + count):
            prompt = make_prompt(number, *parts)
            time = float(number)
            evidence.add_crash(f'e{number}', prompt, has_head, time, time)

    return add


def test_requests_with_a_crashing_part_take_down_no_further_endpoint(
    evidence, find_culprit, crash
):
    crash('first', 'bad', count=2)
    assert find_culprit((), LATEST) is None
    crash('first', 'bad', start=3)
    assert find_culprit((), LATEST) == 'bad'


def test_first_part_of_sound_requests_is_not_held_back(
    evidence, find_culprit, crash
):
    crash('first', count=3)
    evidence.add_answer('first', 3.5)
    evidence.add_service_answer('', LATEST)
    assert find_culprit((), LATEST) is None
    crash('first', count=3, start=4)
    evidence.add_answer('first', 5.5)
    assert find_culprit((), LATEST) is None


def test_part_that_was_answered_before_needs_more_crashes(
    evidence, find_culprit, crash
):
    evidence.add_answer('first', 0.5)
    crash('first', count=4)
    assert find_culprit((), LATEST) is None
    crash('first', start=5)
    assert find_culprit((), LATEST) is None
    evidence.add_service_answer('', 5.5)
    assert find_culprit((), LATEST) == 'first'


def test_request_that_is_tried_again_during_crashes_is_not_held_back(
    evidence,
    find_culprit,
):
    evidence.add_service_answer('', LATEST)
    for number in range(1, 9):
        prompt = make_prompt(1, 'first', 'rare')
        time = float(number)
        evidence.add_crash(f'e{number}', prompt, False, time, time)
    assert find_culprit((), LATEST) is None


def test_endpoint_that_crashes_by_itself_convicts_no_part(
    evidence, find_culprit
):
    for number in range(1, 9):
        prompt = make_prompt(number, 'first', 'rare')
        time = 10.0 * number
        evidence.add_crash('e1', prompt, True, time, time)
    assert find_culprit((), LATEST) is None


def test_waiting_request_is_no_suspect_beside_one_that_has_begun(
    evidence, find_culprit, crash
):
    evidence.add_service_answer('', LATEST)
    crash('other', 'rare', count=4, has_head=False)
    crash('first', 'bad', count=4)
    assert find_culprit((), LATEST) == 'bad'
    assert find_culprit(('bad',), LATEST) is None


def test_outage_of_all_endpoints_convicts_no_part_of_sound_requests(
    evidence,
    find_culprit,
):
    # Requests of all kinds waited at each endpoint, and none was answered
    # until the endpoints were back.
    for number in range(1, 9):
        prompt = make_prompt(number, 'first', 'second')
        evidence.add_crash(f'e{number}', prompt, False, 1.0, 1.0)
    evidence.add_service_answer('', 1.2)
    assert find_culprit((), LATEST) is None
    evidence.add_answer('first', 4.0)
    evidence.add_answer('second', 4.0)
    evidence.add_service_answer('', 5.0)
    assert find_culprit((), LATEST) is None


def test_endpoints_without_an_early_head_are_judged_too(
    evidence, find_culprit, crash
):
    crash('first', 'bad', count=3, has_head=False)
    assert find_culprit((), LATEST) is None
    evidence.add_service_answer('', 3.5)
    assert find_culprit((), LATEST) == 'bad'


def test_crash_is_judged_only_after_all_hosts_have_reported(
    evidence, find_culprit, crash
):
    crash('first', 'bad', count=3)
    assert find_culprit((), 2.5) is None
    assert find_culprit((), 3.0) == 'bad'


def test_new_leader_waits_for_answers_before_it_judges_former_crashes(
    evidence,
    find_culprit,
):
    # The first part of sound requests was answered under another leader.
    for number in range(1, 6):
        prompt = make_prompt(number, 'first')
        evidence.add_crash(f'e{number}', prompt, True, float(number), 50.0)
    evidence.add_service_answer('', LATEST)
    assert find_culprit((), 49.5) is None
    evidence.add_answer('first', 30.0)
    assert find_culprit((), LATEST) is None


def test_breaks_at_one_endpoint_count_as_one_crash(evidence, find_culprit):
    for number in range(1, 5):
        prompt = make_prompt(number, 'first', 'bad')
        time = 1.0 + number / 10
        evidence.add_crash('e1', prompt, True, time, time)
        evidence.add_crash('e2', prompt, True, time, time)
    assert len(evidence.incidents) == 2
    assert find_culprit((), LATEST) is None


def test_companion_part_is_found_at_the_next_crash(
    evidence, find_culprit, crash
):
    # The part that comes last in the prompts was held back in its place.
    crash('bad', 'companion', count=3)
    assert find_culprit((), LATEST) == 'companion'
    assert find_culprit(('companion',), LATEST) is None
    crash('bad', start=4)
    assert find_culprit(('companion',), LATEST) == 'bad'


def test_hosts_report_answers_only_while_a_part_is_suspected(evidence, crash):
    crash('first', 'bad', count=2)
    assert set(evidence.list_suspects(())) == {'first', 'bad'}
    evidence.add_answer('first', 2.5)
    evidence.expire(3.0)
    assert evidence.list_suspects(()) == ('bad',)
    assert evidence.list_suspects(('bad',)) == ()
    crash('first', start=3)
    assert set(evidence.list_suspects(('bad',))) == {'first'}


def test_crashes_are_forgotten(evidence, crash):
    crash('first', 'bad', count=3)
    evidence.add_answer('first', 2.0)
    now = 3.0 + crash_evidence.RETENTION_SECONDS
    evidence.expire(now)
    assert len(evidence.incidents) == 1
    evidence.expire(now + 1.0)
    assert not (evidence.incidents or evidence.answered_at)


def test_outage_of_a_service_beside_a_working_one_convicts_no_common_part(
    evidence,
    find_culprit,
):
    # Another service completed responses while all endpoints were away.
    for number in range(1, 13):
        prompt = make_prompt(number, 'first')
        evidence.add_crash(f'e{number}', prompt, True, 1.0, 1.0, 'down')
    evidence.add_answer('first', 0.5)
    evidence.add_service_answer('up', 50.0)
    assert find_culprit((), LATEST) is None
    # The part that all requests share is answered as soon as any is.
    evidence.add_answer('first', 60.0)
    evidence.add_service_answer('down', 60.0)
    assert find_culprit((), LATEST) is None


def test_part_that_crashes_two_services_is_found_while_one_is_down(evidence):
    # The only endpoint of one service crashes each time it returns.
    for number in range(1, 7):
        prompt = make_prompt(number, 'first', 'bad')
        time = float(number)
        evidence.add_crash(f'a{number}', prompt, False, time, time, 'up')
        evidence.add_crash('b1', prompt, False, time, time, 'down')
    evidence.add_service_answer('up', 7.0)
    evidence.add_answer('first', 7.0)
    assert evidence.find_culprit((), LATEST, EveryPart()) == 'bad'


REQUEST = request_parts.add_request_part((), '/p', 'account', b'body')


@pytest.fixture
def crash_request(evidence):
    """Return a function that adds crashes on one request, sent again."""

    def add(count, start=1, prompt=REQUEST, has_head=False, step=2.0):
        for number in range(start, start + count):
            time = number * step
            evidence.add_crash(f'e{number}', prompt, has_head, time, time)

    return add


def test_request_that_is_sent_again_is_held_back_after_three_crashes(
    evidence, find_culprit, crash_request
):
    """Guards against a request that crashes all endpoints one by one."""
    crash_request(2)
    evidence.add_service_answer('', LATEST)
    assert find_culprit((), LATEST) is None
    crash_request(1, 3)
    assert find_culprit((), LATEST) == REQUEST[0]
    assert evidence.list_suspects(()) == (REQUEST[0],)


def test_sound_request_that_breaks_with_a_zone_is_not_held_back(
    evidence, find_culprit, crash_request
):
    """Guards against the retry of a request at endpoints that fail together.

    Its service answers other requests again, but not yet this one.
    """
    crash_request(3, step=0.2)
    for number in range(10, 16):
        evidence.add_crash(f'e{number}', ('own', ''), False, 0.5, 0.5)
    evidence.add_service_answer('', LATEST)
    assert find_culprit((), LATEST) is None


def test_request_that_is_answered_needs_more_crashes(
    evidence, find_culprit, crash_request
):
    """Guards against holding back a request that many callers send."""
    evidence.add_answer(REQUEST[0], 0.5)
    crash_request(4)
    evidence.add_service_answer('', LATEST)
    assert find_culprit((), LATEST) is None
    evidence.add_answer(REQUEST[0], LATEST)
    crash_request(1, 5)
    assert find_culprit((), LATEST) is None


def test_request_is_held_back_rather_than_the_parts_of_its_prompt(
    evidence, find_culprit, crash_request
):
    """Guards against refusing all requests that share a part with it."""
    prompt = request_parts.add_request_part(
        ('first', 'own'), '/p', 'account', b'body'
    )
    crash_request(3, prompt=prompt, has_head=True)
    assert find_culprit((), LATEST) == prompt[1]


def test_requests_of_one_crash_do_not_displace_shared_parts(evidence):
    """Guards against a crash of many requests that hides their part."""
    for number in range(2 * crash_evidence.MAX_SUSPECTS):
        prompt = request_parts.add_request_part(
            ('bad', 'own'), '/p', 'account', b'%d' % number
        )
        evidence.add_crash('e1', prompt, True, 1.0, 1.0)
    assert evidence.list_suspects(()) == ('bad',)


def test_part_of_a_request_depends_on_path_account_and_body():
    """Guards against refusing the request of another account."""
    make = request_parts.add_request_part
    digests = {
        make((), path, account, body)[0]
        for path, account, body in (
            ('/p', 'a', b'b'),
            ('/q', 'a', b'b'),
            ('/p', 'c', b'b'),
            ('/p', 'a', b'd'),
            ('/p', 'ab', b''),
        )
    }
    assert len(digests) == 5
    forged = ('first', REQUEST[0], 'own')
    prompt = make(forged, '/p', 'other', b'body')
    assert REQUEST[0] not in prompt
    assert (prompt[0], prompt[-1]) == ('first', 'own')


def test_request_is_tried_a_bounded_number_of_times():
    """Guards against trials that crash more endpoints than allowed."""
    assert quarantine_trials.may_try(REQUEST[0], 1)
    assert not quarantine_trials.may_try(REQUEST[0], 2)
    assert quarantine_trials.may_try('part', 9)
