"""Tests of announcements of the own interface from a faulty sender."""

import types

import pytest

from rhubarbreach import codes
from rhubarbreach.daemon import announce

ANNOUNCEMENT = {
    'endpoint_id': 'e1',
    'address': '127.0.0.1:80',
    'zone': 'z1',
    'kind': 'engine',
    'models': ['m'],
    'incarnation': 1,
    'sequence': 1,
    'load': {'running': 1, 'waiting': 0, 'slots': 8, 'kv_used': 0.5},
}


@pytest.fixture
def rows():
    return []


@pytest.fixture
def handler(rows):
    registry = types.SimpleNamespace(announce=lambda row, _: rows.append(row))
    return announce.AnnouncementHandler(
        registry, types.SimpleNamespace(alive=lambda: [])
    )


@pytest.mark.parametrize('address', ['10.0.0.1:80', 'engine-1.local:1'])
def test_sound_announcement_is_recorded(handler, rows, address):
    reply = handler.handle({**ANNOUNCEMENT, 'address': address}, '127.0.0.1')
    assert reply == {'announce_to': []}
    assert len(rows) == 1


@pytest.mark.parametrize(
    'changes',
    [
        {'incarnation': 2**64},
        {'incarnation': -(2**63) - 1},
        {'sequence': int('9' * 60)},
        {'sequence': -1},
        {'load': {'running': 2**64}},
        {'load': {'waiting': -1}},
        {'load': {'slots': 2**64}},
        {'load': {'slots': -5}},
        {'load': {'kv_used': float('nan')}},
        {'load': {'kv_used': float('inf')}},
        {'load': {'kv_used': -1.0}},
        {'address': '127.0.0.1'},
        {'address': '127.0.0.1:99999'},
        {'address': '127.0.0.1:0'},
        {'address': '127.0.0.1:' + '9' * 5000},
        {'address': '127.0.0.1\0:80'},
        {'address': '127.0.0.1/x:80'},
        {'address': 'user@host:80'},
        {'address': ':80'},
        {'endpoint_id': ''},
        {'endpoint_id': 'e' * 300},
        {'endpoint_id': 'e\n'},
        {'zone': 'z' * 300},
        {'zone': '\0'},
        {'kind': 'x' * 300},
        {'software_version': 'v' * 300},
        {'software_version': 'v\n'},
        {'models': ['m'] * 3000},
        {'models': ['m' * 300]},
    ],
)
def test_announcement_of_no_endpoint_is_refused(handler, rows, changes):
    """Guards against one entry that ends the exchange of all entries."""
    reply = handler.handle({**ANNOUNCEMENT, **changes}, '127.0.0.1')
    assert isinstance(reply, codes.Refusal)
    assert reply.code is codes.ResultCode.MALFORMED_BODY
    assert not rows
