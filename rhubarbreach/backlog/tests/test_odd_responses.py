"""Tests of items with early responses and statuses that do not exist."""

import pytest

from rhubarbreach.backlog.tests import test_execution

run_against = test_execution.run_against
BODY = b'id: 1\ndata: a\n\nid: 2\ndata: b\n\n'
LENGTH = b'Content-Length: %d\r\n\r\n%s' % (len(BODY), BODY)


@pytest.mark.parametrize('status', [b'000', b'099', b'199', b'600', b'999'])
@pytest.mark.parametrize('header', [b'', b'Not-Run: 1\r\n'])
def test_invalid_status_is_no_result(run_against, status, header):
    """Guards against an item that counts as not run or as a result."""
    response = b'HTTP/1.1 %s X\r\n%s%s' % (status, header, LENGTH)
    outcome, progress, _ = run_against([response])
    assert outcome[0] == 'failed'
    assert not progress.texts


@pytest.mark.parametrize('pause', [0.0, 0.3])
def test_early_response_without_length_is_not_whole(run_against, pause):
    """Guards against a part of an output that counts as the whole."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'
    outcome, progress, _ = run_against(
        [head + BODY[:20]], pause, body=b'u' * 8_000_000
    )
    assert outcome[0] == 'failed'
    assert progress.texts in ([], [b'a'])
