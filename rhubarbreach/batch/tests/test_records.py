"""Tests of request records over a machine in process."""

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


class Bench:
    """Two hosts that share one group of records."""

    def __init__(self):
        self.client = fakes.LocalClient(
            [records.GROUP_ID], requests.RequestsMachine
        )
        self.first = records.Records(self.client, 'h1#1', 60.0)
        self.second = records.Records(self.client, 'h2#1', 60.0)

    @property
    def machine(self):
        """The machine of the group."""
        return self.client.machines[records.GROUP_ID]

    def pass_time(self, milliseconds):
        """Advance logical time."""
        for _ in range(0, milliseconds, 1000):
            tick = logicaltime.Tick(self.machine.time, 1000)
            self.machine.apply(0, requestcommands.COMMANDS.encode(tick))

    def reload(self):
        """Replace the machine by one restored from its snapshot."""
        data = self.machine.snapshot()
        restored = requests.RequestsMachine()
        restored.restore(data)
        self.client.machines[records.GROUP_ID] = restored


@pytest.fixture
def bench():
    """Return two hosts with request records."""
    made = Bench()
    yield made
    made.first.close()
    made.second.close()


def reserve(host, key='k', fingerprint=b'f', seconds=0.1):
    """Reserve a request at a host."""
    deadline = clock.monotonic() + seconds
    return host.reserve('a', key, fingerprint, deadline)


def end(host, reserved, completed=RESULT, key='k'):
    """Store the answer of a reserved request."""
    deadline = clock.monotonic() + 1
    return host.complete('a', key, reserved.token, completed, deadline)


def test_duplicate_gets_the_first_result(bench):
    """A request sent again at another host must not run again."""
    reserved = reserve(bench.first)
    assert reserve(bench.second) == entry_records.Running()
    assert end(bench.first, reserved) is None
    bench.reload()
    assert reserve(bench.second) == RESULT
    assert bench.second.get('a', 'k') == RESULT
    other = reserve(bench.second, fingerprint=b'g')
    assert other.code == codes.ResultCode.IDEMPOTENCY_CONFLICT


def test_lost_holder_leaves_the_outcome_unknown(bench):
    """A request of a lost host must never run a second time."""
    reserved = reserve(bench.first)
    bench.second.lose_holder('h1', 'h1#1')
    assert reserve(bench.second) == entry_records.Running()
    bench.second.lose_holder('h1', 'h1#2')
    bench.reload()
    duplicate = reserve(bench.second)
    assert duplicate.code == codes.ResultCode.OUTCOME_UNKNOWN
    assert duplicate.ran == codes.Ran.UNKNOWN
    # The first host was only cut off: its result is the true one.
    end(bench.first, reserved)
    assert reserve(bench.second) == RESULT


def test_deadline_leaves_the_outcome_unknown(bench):
    """A request whose host never reports must not stay running."""
    reserve(bench.first, seconds=5)
    bench.pass_time(8000)
    duplicate = reserve(bench.second)
    assert duplicate.code == codes.ResultCode.OUTCOME_UNKNOWN
    bench.pass_time(61_000)
    assert isinstance(reserve(bench.second), entry_records.Reserved)


def test_request_that_did_not_run_may_be_sent_again(bench):
    """A key must not be used up by a request that was refused."""
    bench.first.abandon('a', 'k', reserve(bench.first).token)
    reserved = reserve(bench.second)
    bench.second.mark_unknown('a', 'k', reserved.token)
    assert reserve(bench.first).code == codes.ResultCode.OUTCOME_UNKNOWN


def test_lost_reply_never_allows_two_runs(bench):
    """A reservation whose reply was lost must not run, nor a second one."""
    bench.client.lose_reply = lambda command: True
    refused = reserve(bench.first)
    assert (refused.code, refused.ran) == (
        codes.ResultCode.UNAVAILABLE,
        codes.Ran.NO,
    )
    bench.client.lose_reply = None
    data = requestcommands.COMMANDS.encode(
        requestcommands.ReserveRequest('a', 'r', b'f', 't', 'h', 9000, 9000)
    )
    states = [
        requestcommands.REPLIES.decode(bench.machine.apply(0, data)).state
        for _ in range(2)
    ]
    # The repetition of one and the same reservation is not a duplicate.
    assert states == ['reserved', 'reserved']
    assert reserve(bench.second, 'r') == entry_records.Running()


def test_large_result_is_not_kept_and_not_repeated(bench):
    """A result beyond the bound must not break the group or run again."""
    large = entry_records.Completed(200, 'text/plain', b'x' * 300_000)
    end(bench.first, reserve(bench.first), large)
    duplicate = reserve(bench.second)
    assert duplicate.code == codes.ResultCode.BODY_TOO_LARGE
    assert duplicate.ran == codes.Ran.YES
    missing = bench.first.get('a', 'none')
    assert missing.code == codes.ResultCode.NOT_FOUND
