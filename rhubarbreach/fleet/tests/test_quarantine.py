"""Tests of the quarantine and the evidence of an entry host."""

import msgspec
import pytest

from rhubarbreach import codes
from rhubarbreach.fleet import quarantine
from rhubarbreach.protocol import codec
from rhubarbreach.protocol import fleetmessages

PROMPT = ('first', 'bad', 'own')


def make_reply(leader_id='s1', **fields):
    """Return the reply of a leader to an exchange."""
    return fleetmessages.ExchangeReply(True, leader_id, **fields)


@pytest.fixture
def table():
    """Return the quarantine of a host that knows the leader."""
    table = quarantine.Quarantine()
    table.apply_reply(make_reply(), 0.0)
    table.apply_reply(make_reply(), 0.5)
    return table


def test_request_with_a_quarantined_part_is_refused_until_its_end(table):
    reply = make_reply(quarantine_revision=1, quarantined={'bad': 60.0})
    assert table.find_refusal(PROMPT, 1.0) is None
    table.apply_reply(reply, 1.0)
    refusal = table.find_refusal(PROMPT, 11.0)
    assert refusal.code == codes.ResultCode.QUARANTINED
    assert refusal.ran == codes.Ran.NO
    assert refusal.retry_after == 50.0
    assert table.find_refusal(('first', 'own'), 11.0) is None
    assert table.find_refusal(PROMPT, 61.0) is None
    # A reply without the parts does not end the quarantine.
    table.apply_reply(make_reply(quarantine_revision=1), 12.0)
    assert table.find_refusal(PROMPT, 13.0) is not None


def test_crash_is_reported_until_the_leader_replies(table):
    table.record_crash('e1', PROMPT, True, 1.0)
    expected = fleetmessages.CrashNotice('e1', PROMPT, True, 1.0)
    for _ in range(2):
        assert table.make_report(2.0) == ((expected,), {})
    table.record_crash('e2', PROMPT, False, 2.5)
    table.apply_reply(make_reply(), 3.0)
    crashes, _ = table.make_report(3.0)
    assert [crash.endpoint_id for crash in crashes] == ['e2']


def test_new_leader_learns_the_crashes_before_it(table):
    table.record_crash('e1', PROMPT, True, 1.0)
    table.make_report(2.0)
    table.apply_reply(make_reply(), 2.0)
    assert table.make_report(2.0) == ((), {})
    table.apply_reply(make_reply('s2'), 3.0)
    crashes, _ = table.make_report(3.0)
    assert [crash.endpoint_id for crash in crashes] == ['e1']
    table.apply_reply(make_reply('s2'), 3.0)
    assert table.make_report(3.5) == ((), {})


def test_answers_to_suspected_parts_are_reported(table):
    table.record_answer(PROMPT, 1.0)
    table.record_answer(('other', 'own'), 2.0)
    reply = make_reply(suspect_parts=('first', 'unused'))
    table.apply_reply(reply, 3.0)
    assert table.make_report(3.0) == ((), {'first': 2.0})


def test_prompt_that_shares_no_part_is_not_reported(table):
    table.record_crash('e1', ('own',), True, 1.0)
    table.record_crash('e1', (), True, 1.0)
    assert table.make_report(1.0) == ((), {})


def test_report_of_long_prompts_fits_into_a_message(table):
    # The exchanges of the host failed, and it lost its leader.
    for number in range(256):
        parts = tuple(f'{part:08x}' for part in range(1000))
        table.record_crash(f'e{number}', (*parts, f'{number}'), True, 1.0)
    crashes, _ = table.make_report(1.0)
    assert crashes[-1].endpoint_id == 'e255'
    message = fleetmessages.Exchange(0, '', {}, {}, {}, crashes=crashes)
    assert len(msgspec.msgpack.encode(message)) < codec.MAX_MESSAGE_BYTES


def test_crash_that_is_recorded_during_an_exchange_is_reported(table):
    # The thread of the request waited for the lock.
    assert table.make_report(2.0) == ((), {})
    table.record_crash('e1', PROMPT, True, 1.999)
    table.apply_reply(make_reply(), 2.1)
    crashes, _ = table.make_report(2.2)
    assert [crash.endpoint_id for crash in crashes] == ['e1']
