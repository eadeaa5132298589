"""Tests of the tracking of revisions and the choice of upstreams."""

from rhubarbreach.distribution import effect
from rhubarbreach.distribution import upstreams
from rhubarbreach.distribution import watch
from rhubarbreach.membership import model
from rhubarbreach.protocol import configmessages


def poll(tracker, now, revision, host_id='relay', incarnation=1, **fields):
    watch_message = configmessages.ConfigWatch(
        host_id, incarnation, revision, 0.6, **fields
    )
    tracker.record_poll(watch_message, now)
    return watch_message


def find_pending(tracker, revision, now, grace=0.0):
    return [
        (host.host_id, round(host.seconds, 3))
        for host in tracker.find_pending(revision, grace, now)
    ]


def test_silent_host_is_pending_until_its_grant_ends():
    """Guards against a host that is not listed while it may accept keys."""
    tracker = effect.RevisionTracker()
    tracker.record_grant(poll(tracker, 10.0, 5), 5, 12.0)
    assert find_pending(tracker, 6, 10.5) == [('relay', 1.5)]
    assert find_pending(tracker, 6, 12.0) == []
    assert find_pending(tracker, 6, 12.0, grace=58.0) == [('relay', 58.0)]
    assert find_pending(tracker, 5, 10.5) == []


def test_host_without_a_grant_is_not_listed():
    """Guards against revision 0 being listed for a healthy host.

    The host polled once without a reply and then switched its upstream.
    """
    tracker = effect.RevisionTracker()
    poll(tracker, 10.0, 0, host_id='entry')
    assert tracker.get_revisions() == {}


def test_grants_of_a_restarted_relay_still_count():
    """Guards against downstream hosts that are missed after a restart.

    They may still use the grants that the relay made before it restarted.
    """
    tracker = effect.RevisionTracker()
    tracker.record_grant(poll(tracker, 10.0, 5, downstream=3), 5, 12.0)
    poll(tracker, 10.5, 0, incarnation=2)
    assert find_pending(tracker, 6, 11.0) == [('relay', 1.0)]


def test_former_process_of_a_restarted_host_is_not_pending():
    """Guards against operators waiting after each restart of a host.

    The host has no downstream hosts, so its former grants are unused.
    """
    tracker = effect.RevisionTracker()
    tracker.record_grant(poll(tracker, 10.0, 5), 5, 12.0)
    restarted = poll(tracker, 10.5, 0, incarnation=2)
    assert find_pending(tracker, 6, 11.0) == []
    tracker.record_grant(restarted, 6, 12.5)
    assert find_pending(tracker, 6, 11.0) == []
    assert find_pending(tracker, 7, 11.0) == [('relay', 1.5)]


def test_hosts_that_a_relay_reports_are_pending():
    """Guards against a relay whose revision hides those of its hosts."""
    relay = effect.RevisionTracker()
    relay.record_grant(poll(relay, 100.0, 5, host_id='entry'), 5, 101.5)
    rows = relay.report_downstream(0.0, 100.5)
    tracker = effect.RevisionTracker()
    poll(tracker, 10.0, 6, below=rows)
    assert find_pending(tracker, 6, 10.2) == [('entry', 0.8)]
    assert find_pending(tracker, 6, 11.1) == []


def test_grants_of_relays_count_for_downstream_hosts():
    """Guards against a rate share reassigned while its host still uses it.

    A relay that is silent may have granted any host its own validity.
    """
    tracker = effect.RevisionTracker()
    rows = (configmessages.HostLag('entry', 1, 6, 1.5),)
    watch_message = poll(tracker, 10.0, 6, downstream=1, below=rows)
    tracker.record_grant(watch_message, 6, 12.0)
    assert tracker.get_granted_until('entry', 10.5) == 11.5
    assert tracker.get_granted_until('other', 10.5) == effect.NEVER
    assert tracker.get_granted_until('relay', 10.5) == 12.0
    for host_id in ('entry', 'other'):
        assert tracker.get_granted_until(host_id, 11.5) == 12.0


def test_host_that_switched_its_upstream_is_not_pending():
    """Guards against a host listed until its grant by a former upstream ends.

    An older revision counts again only for a new process of the host.
    """
    tracker = effect.RevisionTracker()
    tracker.record_grant(poll(tracker, 10.0, 5, host_id='entry'), 5, 12.0)
    rows = (configmessages.HostLag('entry', 1, 6, 1.5),)
    watch_message = poll(tracker, 10.5, 6, downstream=1, below=rows)
    tracker.record_grant(watch_message, 6, 12.5)
    assert find_pending(tracker, 6, 11.0, grace=600.0) == []
    assert tracker.get_revisions() == {'entry': 6, 'relay': 6}
    poll(tracker, 10.8, 6, host_id='entry')
    restarted = (configmessages.HostLag('entry', 2, 5, 1.5),)
    poll(tracker, 11.0, 6, downstream=1, below=restarted)
    assert find_pending(tracker, 6, 11.0) == [('entry', 1.5)]


def test_report_of_many_hosts_is_bounded():
    """Guards against polls whose size grows with the number of hosts."""
    tracker = effect.RevisionTracker()
    for number in range(500):
        watch_message = poll(tracker, 10.0, 5, host_id=f'entry-{number}')
        tracker.record_grant(watch_message, 5, 12.0 + number / 1000)
    rows = tracker.report_downstream(0.0, 10.0)
    assert len(rows) == effect.MAX_REPORT_ROWS
    assert rows[-1].host_id == ''
    assert rows[-1].seconds > 2.4


def test_hosts_are_spread_over_the_upstreams():
    """Guards against a single relay that all hosts poll."""
    relays = [f'relay-{number}' for number in range(4)]
    first = [
        watch.order_upstreams(f'entry-{number}', relays)[0]
        for number in range(400)
    ]
    assert all(first.count(relay) > 50 for relay in relays)


def test_relays_of_the_zone_come_first_and_poll_stores():
    """Guards against store hosts that all hosts poll, and against cycles."""

    def make_host(host_id, zone, *roles):
        return model.HostInfo(host_id, 'r', zone, '', '', roles, 1)

    hosts = (
        make_host('store', 'a', 'store'),
        make_host('far', 'b', 'relay'),
        make_host('near', 'a', 'relay'),
        make_host('entry', 'a', 'entry'),
    )
    choose = upstreams.choose_upstreams
    assert choose('entry', 'a', ('entry',), hosts) == ('near', 'far', 'store')
    assert choose('near', 'a', ('relay',), hosts) == ('store',)
    assert choose('entry', 'a', ('entry',), (), ('store',)) == ('store',)
