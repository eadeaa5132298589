"""Items whose software version leaves or stays full."""

import pytest

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import runner as runners
from rhubarbreach.backlog import versions
from rhubarbreach.fleet import choice


@pytest.fixture
def progress():
    """Return the progress of an item with an event of version v1."""
    return assignments.Progress([b'1'], software_version='v1')


def is_stranded(progress, present, now, online=0, draining=()):
    """Judge an item while v1 has `online` requests."""
    endpoints = {
        version: choice.Endpoint(
            version, 's', 'a', 'z', 8, version in draining, version
        )
        for version in present
    }
    slots = runners.count_slots(endpoints, {'v1': online}, [], ())
    return versions.is_stranded(progress, 's', endpoints, slots, now)


def test_item_begins_anew_once_its_version_has_left(progress):
    """Guards against an item that waits for ever for its version."""
    assert not is_stranded(progress, ('v1', 'v2'), 0.0)
    assert is_stranded(progress, ('v1', 'v2'), 0.0, draining=('v1',))
    assert is_stranded(progress, ('v2',), 0.0)


def test_item_begins_anew_if_its_version_stays_full(progress):
    """Guards against an item that waits while other versions are idle."""
    assert not is_stranded(progress, ('v1', 'v2'), 0.0, online=8)
    assert not is_stranded(progress, ('v1', 'v2'), 2.0)
    assert not is_stranded(progress, ('v1', 'v2'), 4.0, online=8)
    assert is_stranded(progress, ('v1', 'v2'), 7.1, online=8)


def test_item_waits_while_all_versions_are_full(progress):
    """Guards against events dropped although no other slot is free."""
    assert not is_stranded(progress, ('v1',), 0.0, online=8)
    assert not is_stranded(progress, ('v1',), 60.0, online=8)
