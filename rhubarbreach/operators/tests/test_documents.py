"""Tests that the documentation for operators and callers matches the code."""

import pathlib
import re

import pytest

from rhubarbreach import codes
from rhubarbreach.commands import admin

DOCS = pathlib.Path(__file__).parents[3] / 'docs'
ROW = re.compile(
    r'\| (\d+) \| (\w+) \| (\d+) \| ([^|]+) \| ([^|]+) \| (.+) \|'
)


@pytest.fixture
def rows():
    text = (DOCS / 'result-codes.md').read_text(encoding='utf-8')
    return ROW.findall(text)


def test_table_of_result_codes_matches_the_enum(rows):
    """Guards against result codes that are missing in the documentation."""
    listed = [(int(row[0]), row[1], int(row[2])) for row in rows]
    assert listed == [
        (code.value, code.name, codes.HTTP_STATUS[code])
        for code in codes.ResultCode
    ]


def test_each_result_code_states_whether_the_request_ran(rows):
    """Guards against codes that do not tell a caller how to react."""
    allowed = {member.value for member in codes.Ran}
    for row in rows:
        assert set(row[3].split(', ')) <= allowed, row
        assert all(cell.strip() for cell in row[4:])


def test_guide_names_only_commands_that_exist():
    """Guards against commands that were renamed only in the code."""
    text = (DOCS / 'operators.md').read_text(encoding='utf-8')
    names = set(re.findall(r'rhubarbreach admin (?!-)(\w+)', text))
    assert len(names) > 10
    missing = [name for name in names if not hasattr(admin.Admin, name)]
    assert missing == []
