"""Tests of request records over a state machine in this process."""

import pytest

from rhubarbreach.batch import records
from rhubarbreach.batch.tests import fakes
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.entry import records as entry_records
from rhubarbreach.state import logicaltime
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests

RESULT = entry_records.Completed(200, 'application/json', b'{"a":1}')


class Harness:
    """Two hosts that share one group of records."""

    def __init__(self):
        self.client = fakes.LocalClient(
            [records.GROUP_ID], requests.RequestsMachine
        )
        self.first = records.Records(self.client, 'h1#1', 60.0)
        self.second = records.Records(self.client, 'h2#1', 60.0)

    @property
    def machine(self):
        """State machine of the group."""
        return self.client.machines[records.GROUP_ID]

    def pass_time(self, milliseconds):
        """Advance the logical time of the group."""
        for _ in range(0, milliseconds, 1000):
            tick = logicaltime.Tick(self.machine.time, 1000)
            self.machine.apply(0, requestcommands.COMMANDS.encode(tick))

    def reload(self):
        """Replace the state machine by one restored from its snapshot."""
        data = self.machine.snapshot()
        restored = requests.RequestsMachine()
        restored.restore(data)
        self.client.machines[records.GROUP_ID] = restored


@pytest.fixture
def harness():
    """Return a harness whose hosts are closed after the test."""
    instance = Harness()
    yield instance
    instance.first.close()
    instance.second.close()


def reserve(host, key='k', fingerprint=b'f', seconds=0.1):
    """Reserve a request at a host."""
    deadline = clock.monotonic() + seconds
    return host.reserve('a', key, fingerprint, deadline)


def end(host, reserved, completed=RESULT, key='k'):
    """Store the response to a reserved request."""
    deadline = clock.monotonic() + 1
    return host.complete('a', key, reserved.token, completed, deadline)


def test_duplicate_gets_the_first_result(harness):
    """A request repeated at another host must not run again."""
    reserved = reserve(harness.first)
    assert reserve(harness.second) == entry_records.Running()
    assert end(harness.first, reserved) is None
    harness.reload()
    assert reserve(harness.second) == RESULT
    assert harness.second.get('a', 'k') == RESULT
    other = reserve(harness.second, fingerprint=b'g')
    assert other.code == codes.ResultCode.IDEMPOTENCY_CONFLICT


def test_lost_holder_leaves_the_outcome_unknown(harness):
    """A request of a lost host must never run a second time.

    If the host was only partitioned, its late result must still be stored.
    """
    reserved = reserve(harness.first)
    harness.second.mark_holder_lost('h1', 'h1#1')
    assert reserve(harness.second) == entry_records.Running()
    harness.second.mark_holder_lost('h1', 'h1#2')
    harness.reload()
    duplicate = reserve(harness.second)
    assert duplicate.code == codes.ResultCode.OUTCOME_UNKNOWN
    assert duplicate.ran == codes.Ran.UNKNOWN
    # The first host was only partitioned; its result is the valid one.
    end(harness.first, reserved)
    assert reserve(harness.second) == RESULT


def test_deadline_leaves_the_outcome_unknown(harness):
    """A request whose host never reports its end must not stay running."""
    reserve(harness.first, seconds=5)
    harness.pass_time(8000)
    duplicate = reserve(harness.second)
    assert duplicate.code == codes.ResultCode.OUTCOME_UNKNOWN
    harness.pass_time(61_000)
    assert isinstance(reserve(harness.second), entry_records.Reserved)


def test_request_that_did_not_run_may_be_sent_again(harness):
    """A request that was abandoned must not use up its key."""
    harness.first.abandon('a', 'k', reserve(harness.first).token)
    reserved = reserve(harness.second)
    harness.second.mark_unknown('a', 'k', reserved.token)
    assert reserve(harness.first).code == codes.ResultCode.OUTCOME_UNKNOWN


def test_lost_reply_never_allows_two_runs(harness):
    """A lost reply to a reservation must not allow two executions."""
    harness.client.lose_reply = lambda command: True
    refused = reserve(harness.first)
    assert (refused.code, refused.ran) == (
        codes.ResultCode.UNAVAILABLE,
        codes.Ran.NO,
    )
    harness.client.lose_reply = None
    data = requestcommands.COMMANDS.encode(
        requestcommands.ReserveRequest('a', 'r', b'f', 't', 'h', 9000, 9000)
    )
    states = [
        requestcommands.REPLIES.decode(harness.machine.apply(0, data)).state
        for _ in range(2)
    ]
    # A reservation repeated with the same token is not a duplicate.
    assert states == ['reserved', 'reserved']
    assert reserve(harness.second, 'r') == entry_records.Running()


def test_large_result_is_not_stored_and_not_repeated(harness):
    """A result above the size limit must not be stored, nor cause a rerun."""
    large = entry_records.Completed(200, 'text/plain', b'x' * 300_000)
    end(harness.first, reserve(harness.first), large)
    duplicate = reserve(harness.second)
    assert duplicate.code == codes.ResultCode.BODY_TOO_LARGE
    assert duplicate.ran == codes.Ran.YES
    missing = harness.first.get('a', 'none')
    assert missing.code == codes.ResultCode.NOT_FOUND
