"""Outcomes of commands that a client has sent to several hosts."""

import concurrent.futures

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.protocol import logmessages

UNANSWERED = codes.Refusal(
    codes.ResultCode.UNAVAILABLE, 'no reply in time', codes.Ran.UNKNOWN
)
DISK_FULL = codes.Refusal(codes.ResultCode.DISK_FULL, 'disk is full')


class FakeLink:
    """Link to hosts that refuse the commands with the given refusals."""

    def __init__(self, refusals):
        self.refusals = list(refusals)
        self.host_id = 'host-1'
        self.peers = {'host-2': None}
        self.closed = False

    def call(self, host_id, message, deadline):
        refusal = self.refusals.pop(0)
        reply = refusal
        if refusal is not UNANSWERED:
            reply = logmessages.ClusterReply(None, refusal)
        future = concurrent.futures.Future()
        future.set_result(reply)
        return future


def send(refusals, is_read=False):
    """Send a command or query; return its refusal."""
    new_client = client.Client(FakeLink(refusals))
    function = new_client.query if is_read else new_client.propose
    return function('g', b'x', clock.monotonic() + 10.0)


@pytest.mark.parametrize(
    ('refusals', 'ran'),
    [
        ([DISK_FULL], codes.Ran.NO),
        ([UNANSWERED, DISK_FULL], codes.Ran.UNKNOWN),
    ],
    ids=['refused', 'unanswered, then refused'],
)
def test_refusal_after_an_unanswered_attempt_leaves_the_outcome_open(
    refusals, ran
):
    """Guards against a refused command that is committed later."""
    refusal = send(refusals)
    assert refusal.code == codes.ResultCode.DISK_FULL
    assert refusal.ran == ran


def test_query_changes_nothing_in_any_attempt():
    """Guards against a refused read that counts as a change."""
    assert send([UNANSWERED, DISK_FULL], True).ran == codes.Ran.NO
