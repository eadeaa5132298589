"""Tests of the check that limits and memory fit each other."""

import types

import pytest

from rhubarbreach.catalog import model
from rhubarbreach.web import bounds

MEGABYTE = 1_000_000


def make_settings(**changes):
    memory_bytes = changes.pop('memory_bytes', 150 * MEGABYTE)
    fraction = changes.pop('message_fraction', 0.2)
    return types.SimpleNamespace(
        memory_bytes=memory_bytes,
        message_fraction=fraction,
        message_bytes=memory_bytes * fraction,
        socket_bytes=memory_bytes * changes.pop('socket_fraction', 0.2),
        max_connections=changes.pop('max_connections', 1024),
        room_seconds=changes.pop('room_seconds', 1.0),
        role=changes.pop('role', 'store'),
        job_fraction=(job_fraction := changes.pop('job_fraction', 0.25)),
        job_bytes=memory_bytes * job_fraction,
    )


def test_defaults_fit_the_smallest_host():
    """Guards against defaults that contradict each other."""
    limits = model.DEFAULT_LIMITS
    assert not bounds.find_contradictions(make_settings(), limits, 1024)


@pytest.mark.parametrize(
    ('changes', 'max_by_descriptors', 'named'),
    [
        ({'message_fraction': 0.05}, 1024, 'message_fraction'),
        ({'message_fraction': 0.9}, 1024, 'memory_mb'),
        ({'socket_fraction': 0.5}, 1024, 'sockets'),
        ({'max_connections': 4000}, 4000, 'memory_mb'),
        ({'memory_bytes': 90 * MEGABYTE}, 1024, 'memory_mb'),
        ({}, 480, 'descriptors'),
        ({'room_seconds': 20.0}, 1024, 'room_ms'),
        ({'job_fraction': 0.4}, 1024, 'job_fraction'),
    ],
)
def test_limits_that_do_not_fit_are_named(changes, max_by_descriptors, named):
    """Guards against limits that hold one by one and not together."""
    found = bounds.find_contradictions(
        make_settings(**changes), model.DEFAULT_LIMITS, max_by_descriptors
    )
    assert any(named in line for line in found)


def test_jobs_leave_less_for_others():
    """Guards against limits that hold only while no job is kept."""
    settings = make_settings()
    shares = [
        bounds.find_share(settings, job_bytes)
        for job_bytes in (0, settings.job_bytes, settings.memory_bytes)
    ]
    assert shares[0] == 1.0
    assert 0.0 < shares[1] < 0.5
    assert shares[2] == 0.0
