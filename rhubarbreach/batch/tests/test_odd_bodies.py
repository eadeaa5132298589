"""Tests of deeply nested lines, bodies and results of batch jobs."""

import pytest

from rhubarbreach.batch import api
from rhubarbreach.batch import items
from rhubarbreach.batch import upload
from rhubarbreach import codes
from rhubarbreach.state import jobcommands

DEPTHS = (150, 940, 5000)


def nest(depth):
    return b'[' * depth + b']' * depth


@pytest.mark.parametrize('depth', DEPTHS)
@pytest.mark.parametrize(
    'line',
    [
        b'{"custom_id":"a","method":"POST","url":"/","body":{"model":"m",'
        b'"messages":%b}}',
        b'{"custom_id":"a","method":"POST","url":"/","body":{"model":"m"},'
        b'"other":%b}',
    ],
)
def test_nested_line_is_refused(line, depth):
    """Guards against an accepted item that no runner can read."""
    parser = upload.UploadParser(
        lambda *_: upload.JobRoute('', True), lambda _: True, 10
    )
    refusal = parser.add_line(1, line % nest(depth))
    assert refusal.code is codes.ResultCode.INVALID_JOB_LINE
    assert not parser.bodies


@pytest.mark.parametrize('depth', DEPTHS)
def test_nested_body_of_a_stored_item_has_default_fields(depth):
    """Guards against a stored item that stops its runner."""
    body = b'{"other":%b}' % nest(depth)
    assert items.parse_fields(body).model == ''
    assert items.estimate_body_cost(body) > 0


@pytest.mark.parametrize('depth', DEPTHS)
def test_nested_result_is_readable(depth):
    """Guards against results that cannot be read since one is nested."""
    stored = jobcommands.StoredResult(
        0, '', 200, 'application/json', nest(depth)
    )
    assert api.parse_body(stored)
