"""Software versions that the leader remembers for streams."""

import types

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach import clock
from rhubarbreach.hosts import version_history
from rhubarbreach.protocol import streammessages
from rhubarbreach.streams import keeper
from rhubarbreach.streams import table


@pytest.fixture
def rows():
    """Return the mutable list of the endpoints in service."""
    return [types.SimpleNamespace(service='s', software_version='v1')]


@pytest.fixture
def ledger():
    return ledgers.Ledger()


@pytest.fixture
def history(ledger, rows):
    """Return a history whose commands are applied at once."""

    def propose(command, _):
        ledger.apply_command(commands.FAMILY.decode(command))
        return types.SimpleNamespace(done=lambda: True)

    return version_history.VersionHistory(ledger, propose, lambda: rows)


def test_version_is_known_until_its_streams_have_ended(history, rows):
    """Guards against a stream that goes on at the version after its own."""
    history.advance(0.0)
    rows[0] = types.SimpleNamespace(service='s', software_version='v2')
    history.advance(1.0)
    assert history.find_versions(('s',)) == ('v1', 'v2')
    history.advance(table.MAX_STREAM_SECONDS - 1.0)
    assert history.find_versions(('s',)) == ('v1', 'v2')
    history.advance(table.MAX_STREAM_SECONDS + 2.0)
    assert history.find_versions(('s',)) == ('v2',)


def test_new_leader_keeps_the_versions_that_have_left(history, ledger, rows):
    """Guards against versions that only the last leader remembered."""
    history.advance(0.0)
    rows[0] = types.SimpleNamespace(service='s', software_version='v2')
    successor = version_history.VersionHistory(
        ledger, history.propose, history.list_rows
    )
    successor.advance(500.0)
    assert successor.find_versions(('s',)) == ('v1', 'v2')
    assert successor.find_versions(('t',)) == ()


def test_version_is_known_before_it_is_committed(ledger, rows):
    """Guards against streams of a version that came into service just now."""
    history = version_history.VersionHistory(ledger, None, lambda: rows)
    ledger.apply_command(commands.AddVersions((('s', 'v0'),)))
    assert history.find_versions(('s',)) == ('v0', 'v1')


def test_long_stream_does_not_go_on_at_the_version_after_its_own(
    history, rows, monkeypatch
):
    """Guards against routes whose timeout exceeds what is remembered."""
    now = 0.0
    monkeypatch.setattr(clock, 'monotonic', lambda: now)
    link = types.SimpleNamespace(
        register=lambda *_, **__: None, send=lambda *_: True
    )
    store = keeper.OriginKeeper(link, history.find_versions)
    store.apply_news(
        'entry', streammessages.OriginNews(((b'r', 's', 'v1', 1, 605.0),))
    )
    history.advance(now)
    rows[0] = types.SimpleNamespace(service='s', software_version='v2')
    for now in (1.0, 150.0, 300.0):
        history.advance(now)
    reply = store.answer_query(
        'entry', streammessages.OriginQuery(b'r', ('s',))
    )
    assert reply.software_version == 'v1' or reply.versions != ('v2',)
