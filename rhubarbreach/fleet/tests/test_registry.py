"""Announcements that come late, twice, reordered or from the dead."""

import pytest

from rhubarbreach.fleet import registry
from rhubarbreach.protocol import fleetmessages

INTERVAL = 1.0


@pytest.fixture
def known():
    return registry.Registry(INTERVAL)


def make(endpoint_id='e', address='a:1', state='ready', born=1, sequence=1):
    return fleetmessages.EndpointNotice(
        endpoint_id, 's', address, 'z', 8, state, born, sequence
    )


def states(known, now=0.0):
    return {r.endpoint_id: r.state for r in known.list_rows(now, True)}


def test_late_announcement_does_not_end_a_drain(known):
    known.hear(make(state='draining', sequence=5), 0.0)
    assert not known.hear(make(sequence=4), 0.1)
    assert states(known) == {'e': 'draining'}


def test_announcement_after_the_last_message_changes_nothing(known):
    known.hear(make(sequence=5), 0.0)
    known.leave('e', 0.1)
    assert not known.hear(make(sequence=6), 0.2)
    assert known.list_rows(0.2) == ()


def test_restart_under_the_same_id_counts_anew(known):
    known.hear(make(sequence=9), 0.0)
    known.leave('e', 0.1)
    assert known.hear(make(born=2, sequence=1), 0.2)
    assert states(known) == {'e': 'ready'}
    assert not known.hear(make(born=1, sequence=10), 0.3)


def test_later_process_at_an_address_replaces_the_earlier(known):
    # The late announcement of a dead process must not bring back its id at
    # an address that another one has.
    known.hear(make('old', born=1, sequence=3), 0.0)
    known.hear(make('new', born=2), 0.1)
    assert states(known) == {'new': 'ready'}
    assert not known.hear(make('old', born=1, sequence=4), 0.2)
    assert states(known) == {'new': 'ready'}


def test_silent_endpoint_expires(known):
    known.hear(make(), 0.0)
    assert known.expire(INTERVAL * registry.MISSED_ANNOUNCEMENTS) == []
    assert known.expire(INTERVAL * registry.MISSED_ANNOUNCEMENTS + 1) == ['e']


def test_news_of_another_store_keep_their_age(known):
    notice = make()
    known.hear(notice, 0.0)
    told = known.list_rows(2.0)[0]
    assert told.age == pytest.approx(2.0)
    other = registry.Registry(INTERVAL)
    other.hear(told, 10.0)
    assert other.list_rows(10.0)[0].age == pytest.approx(2.0)


def test_revision_changes_with_what_hosts_need_only(known):
    known.hear(make(sequence=1), 0.0)
    revision = known.revision
    known.hear(make(sequence=2), 1.0)
    assert known.revision == revision
    known.hear(make(sequence=3, state='draining'), 2.0)
    assert known.revision > revision
