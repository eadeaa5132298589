"""Tests of the configuration view of a host."""

import pytest

from rhubarbreach import codes
from rhubarbreach.distribution import revision
from rhubarbreach.distribution import view
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import model

KEY = 'rb-secret'
BOUND = 600.0


def encode(*changes):
    return tuple(model.CHANGES.encode(change) for change in changes)


def make_reply(new_revision, *changes, validity=2.0):
    return configmessages.ConfigReply(
        new_revision, encode(*changes), None, validity
    )


SETUP = (
    model.PutAccount(model.Account('patio', 1.0, 1.0)),
    model.PutKey(model.Key('key-1', 'patio', view.get_digest(KEY))),
)
REVOKE = model.RevokeKey('key-1')
LENGTHEN = model.PutAccount(
    model.Account('patio', 1.0, 1.0, stale_key_bound=BOUND)
)


@pytest.fixture
def config_view():
    new_view = view.ConfigView()
    new_view.accept_reply(0, 100.0, make_reply(2, *SETUP))
    return new_view


def get_code(config_view, now, key=KEY):
    result = config_view.authenticate(key, now)
    return result.code if isinstance(result, codes.Refusal) else None


def test_key_works_until_the_validity_counted_from_the_poll(config_view):
    """Guards against a revoked key that still works on a partitioned host."""
    assert config_view.authenticate(KEY, 101.97) == view.Identity(
        'patio', 'key-1'
    )
    assert get_code(config_view, 101.99) == codes.ResultCode.CONFIG_STALE
    assert (
        get_code(config_view, 101.0, 'other') == codes.ResultCode.KEY_UNKNOWN
    )
    assert get_code(config_view, 101.0, '') == codes.ResultCode.KEY_MISSING


def test_lengthened_bound_applies_to_its_account_only(config_view):
    """Guards against a bound of one account that affects other accounts."""
    other = model.Key('key-2', 'other', view.get_digest('other-key'))
    reply = make_reply(
        5,
        LENGTHEN,
        model.PutAccount(model.Account('other', 1.0, 1.0)),
        model.PutKey(other),
    )
    config_view.accept_reply(2, 100.0, reply)
    assert get_code(config_view, 100.0 + BOUND * 0.98) is None
    assert (
        get_code(config_view, 100.0 + BOUND) == codes.ResultCode.CONFIG_STALE
    )
    assert (
        get_code(config_view, 102.0, 'other-key')
        == codes.ResultCode.CONFIG_STALE
    )


def test_revoked_key_is_refused_at_once(config_view):
    """Guards against a revocation that only applies after the validity."""
    invalidated = []
    config_view.subscribe(
        lambda update: invalidated.extend(view.find_invalidated_keys(update))
    )
    config_view.accept_reply(2, 100.5, make_reply(3, REVOKE))
    assert get_code(config_view, 100.6) == codes.ResultCode.KEY_REVOKED
    assert invalidated == ['key-1']


def test_reordered_and_duplicated_replies_change_nothing(config_view):
    """Guards against a delayed reply that reverts or repeats a change."""
    late = make_reply(3, REVOKE)
    newer = make_reply(4, REVOKE, SETUP[0])
    assert config_view.accept_reply(2, 101.0, newer) == view.Outcome.RENEWED
    valid_until = config_view.valid_until
    for _ in range(2):
        config_view.accept_reply(2, 100.5, late)
    assert (config_view.revision, config_view.valid_until) == (4, valid_until)
    assert get_code(config_view, 101.0) == codes.ResultCode.KEY_REVOKED


def test_reply_of_a_deposed_leader_does_not_extend_the_validity(config_view):
    """Guards against a deposed leader that keeps revoked keys valid."""
    valid_until = config_view.valid_until
    old = make_reply(1, validity=2.0)
    assert config_view.accept_reply(2, 101.0, old) == view.Outcome.STALE
    unconfirmed = make_reply(2, validity=0.0)
    assert (
        config_view.accept_reply(2, 101.0, unconfirmed) == view.Outcome.STALE
    )
    assert config_view.valid_until == valid_until


def test_older_configuration_never_replaces_a_newer_one(config_view):
    """Guards against a delayed snapshot that reverts a revocation."""
    older = config_view.snapshot
    config_view.accept_reply(2, 100.5, make_reply(3, REVOKE))
    assert not config_view.replace_snapshot(older, None)
    assert get_code(config_view, 100.6) == codes.ResultCode.KEY_REVOKED


def test_restarted_host_rejects_a_revision_older_than_its_last(tmp_path):
    """Guards against a restart that reverts a revocation."""
    before = view.ConfigView(revision.RevisionFile(str(tmp_path)))
    before.accept_reply(0, 100.0, make_reply(3, *SETUP, REVOKE))
    restarted = view.ConfigView(revision.RevisionFile(str(tmp_path)))
    assert restarted.accept_reply(0, 101.0, make_reply(2, *SETUP)) == (
        view.Outcome.STALE
    )
    assert get_code(restarted, 101.0) == codes.ResultCode.CONFIG_STALE
    restarted.accept_reply(0, 101.0, make_reply(3, *SETUP, REVOKE))
    assert get_code(restarted, 101.0) == codes.ResultCode.KEY_REVOKED


def test_torn_write_leaves_the_previous_revision(tmp_path):
    """Guards against a revision that is lost by a power failure."""
    file = revision.RevisionFile(str(tmp_path))
    file.write(7)
    file.write(8)
    path = tmp_path / 'config-revision'
    data = bytearray(path.read_bytes())
    data[revision.SLOT.size] ^= 0xFF
    path.write_bytes(data)
    assert revision.RevisionFile(str(tmp_path)).revision == 7


def test_inapplicable_changes_lead_to_a_fetch_of_the_snapshot(config_view):
    """Guards against a view that diverges from the store hosts."""
    reply = make_reply(3, model.RevokeKey('nothing'))
    assert config_view.accept_reply(2, 101.0, reply) == view.Outcome.FETCH
    assert config_view.revision == 2
