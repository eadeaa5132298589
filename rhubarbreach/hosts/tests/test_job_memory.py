"""Tests of the share of its limits that a store can use beside its jobs."""

import types

import pytest

from rhubarbreach.hosts import job_memory

MEGABYTE = 1_000_000


@pytest.fixture
def ledger():
    return types.SimpleNamespace(job_bytes=0)


@pytest.fixture
def memory(ledger):
    settings = types.SimpleNamespace(
        memory_bytes=150 * MEGABYTE,
        message_bytes=30 * MEGABYTE,
        socket_bytes=30 * MEGABYTE,
        max_connections=1024,
    )
    return job_memory.JobMemory(settings, ledger)


def test_pages_of_jobs_are_returned_before_others_use_more(
    memory, ledger, monkeypatch
):
    """Guards against freed blocks beside a crowd that takes their memory."""
    released = []
    monkeypatch.setattr(
        job_memory.allocator, 'release_pages', lambda: released.append(True)
    )
    ledger.job_bytes = 37 * MEGABYTE
    full_share = memory.find_share()
    assert full_share < 0.5
    ledger.job_bytes = 0
    assert memory.find_share() == full_share
    memory.release()
    assert released
    assert memory.find_share() == 1.0


def test_few_freed_bytes_need_no_release(memory, ledger, monkeypatch):
    """Guards against a search of the whole heap for each job that leaves."""
    monkeypatch.setattr(job_memory.allocator, 'release_pages', pytest.fail)
    ledger.job_bytes = 30 * MEGABYTE
    memory.find_share()
    ledger.job_bytes -= MEGABYTE
    memory.release()
