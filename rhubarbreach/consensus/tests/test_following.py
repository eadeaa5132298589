"""Tests of a follower without a link and threads."""

import contextlib
import itertools
import random

import pytest

from rhubarbreach.consensus import following
from rhubarbreach.consensus import formation
from rhubarbreach.consensus import model
from rhubarbreach.consensus import state as states
from rhubarbreach.consensus import store as stores
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages


@pytest.fixture
def state(tmp_path):
    settings = model.GroupSettings('g', 'host-1', str(tmp_path))
    store = stores.Store(tmp_path / 'g')
    store.save_vote(1, '')
    opened = states.State(settings, store, random.Random(1), 0.0)
    yield opened
    store.close()


def install(state):
    """Send a snapshot to a follower and return whether it is acknowledged."""
    message = logmessages.InstallSnapshot(
        'g', 1, 'host-2', 10, 1, stores.encode_members(()), 0, b'data', True
    )
    following.handle_install(state, 'host-2', message, 0.0)
    ((_, reply),) = state.after_sync
    state.after_sync.clear()
    return reply.done


def test_snapshot_that_a_full_disk_refuses_is_not_acknowledged(
    state, monkeypatch
):
    """Guards against a voter without the log that its leader counts."""

    def refuse(*_):
        raise exceptions.DiskFullError('snapshot')

    acknowledged = False
    with monkeypatch.context() as patch:
        patch.setattr(stores.files, 'replace_file', refuse)
        with contextlib.suppress(exceptions.DiskFullError):
            acknowledged = install(state)
    assert not acknowledged
    assert install(state)
    assert state.store.last_index == 10


def test_standbys_without_a_leader_do_not_answer_each_other(state):
    """Guards against announcements that two standbys repeat forever."""
    state.is_standby = True
    hello = logmessages.StoreHello('g', 'store-2', False, (), 1, None)
    formation.handle_hello(state, 'host-2', hello)
    assert not state.outbox


@pytest.mark.parametrize('refused', [1, 2])
def test_snapshot_in_effect_is_restored_although_the_disk_is_full(
    state, monkeypatch, refused
):
    """Guards against entries that are applied without their snapshot."""
    calls = itertools.count(1)
    roll = state.store.log.roll

    def refuse():
        if next(calls) == refused:
            raise exceptions.DiskFullError('new segment')
        roll()

    monkeypatch.setattr(state.store.log, 'roll', refuse)
    with contextlib.suppress(exceptions.DiskFullError):
        install(state)
    assert bool(state.snapshot_to_restore) == bool(state.store.base_index)
