"""A store that runs items while leaders change and messages are lost."""

import collections
import concurrent.futures
import dataclasses
import threading
import time

import pytest

from rhubarbreach.backlog import execution
from rhubarbreach.backlog import worker
from rhubarbreach import codes
from rhubarbreach.protocol import workmessages

ORDER = workmessages.RunOrder(
    'o1', 'job', 'a', 'account', 'h', '/p/', (), b'', 'e1', '127.0.0.1:1', 2
)
KNOWN = (('o1', 2),)
REFUSAL = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
DEADLINE_SECONDS = 5.0


class FakeLink:
    """Answers reports by a list of replies, the last one for ever."""

    def __init__(self):
        self.replies = collections.deque([orders()])
        self.calls = []

    def register(self, *_, **__):
        pass

    def call(self, store, message, _):
        self.calls.append((store, message))
        future = concurrent.futures.Future()
        reply = self.replies[0]
        if len(self.replies) > 1:
            self.replies.popleft()
        future.set_result(reply)
        return future


def orders(*new, known=(), cancels=()):
    return workmessages.WorkOrders(True, None, new, known, cancels)


def wait_for(condition):
    deadline = time.monotonic() + DEADLINE_SECONDS
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise AssertionError('not in time')


@pytest.fixture
def play(monkeypatch):
    """A worker whose runs make two events and wait to be released."""
    release = threading.Event()
    release.runs = []

    def carry_out(run, progress, _):
        release.runs.append(run)
        for number in (3, 4):
            progress.texts.append(b'%d' % number)
            progress.last_id = number
        while not release.is_set() and not run.cancelled:
            time.sleep(0.005)
        return ('cancelled' if run.cancelled else 'completed'), ''

    monkeypatch.setattr(execution, 'carry_out', carry_out)
    link = FakeLink()
    leader = ['one']
    made = worker.Worker(
        link, 'z1', None, lambda: leader[0], lambda: ['one', 'two']
    )
    made.test_leader = leader
    yield made, link, release
    made.close()


def get_reports(link):
    return [m.runs[0] for _, m in list(link.calls) if m.runs]


def test_events_are_reported_until_the_leader_has_them(play):
    # Answers are lost; a report must not take for known what was only sent.
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: len(get_reports(link)) >= 3)
    assert all(r.first == 3 for r in get_reports(link)[1:])
    assert get_reports(link)[-1].texts == (b'3', b'4')
    link.replies.append(orders(known=(('o1', 4),)))
    release.set()
    ended = wait_for(
        lambda: [r for r in get_reports(link) if r.outcome == 'completed']
    )
    assert ended[0].begun == 2
    wait_for(lambda: not made.active)


def test_end_that_the_leader_lacks_events_of_is_kept(play):
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    release.set()
    wait_for(
        lambda: [r for r in get_reports(link) if r.outcome == 'completed']
    )
    time.sleep(0.1)
    assert made.active


def test_another_leader_tells_first_what_it_knows(play):
    # It may have fewer events than the one before.
    made, link, _ = play
    link.replies.extend([orders(ORDER), orders(known=(('o1', 4),))])
    wait_for(lambda: any(r.first == 5 for r in get_reports(link)))
    link.replies.append(orders(known=(('o1', 3),)))
    made.test_leader[0] = 'two'
    wait_for(lambda: any(r.first == 0 for r in get_reports(link)))
    found = wait_for(
        lambda: [r for r in get_reports(link) if r.first == 4 and r.texts]
    )
    assert found[0].texts == (b'4',)


def test_lost_answer_does_not_start_the_telling_anew(play):
    # Reports of a megabyte timed out, and each time all began again.
    made, link, _ = play
    link.replies.extend([orders(ORDER), orders(known=(('o1', 4),))])
    wait_for(lambda: any(r.first == 5 for r in get_reports(link)))
    told = len(link.calls)
    link.replies.extend([REFUSAL, orders(known=(('o1', 4),))])
    wait_for(lambda: len(link.calls) >= told + 3)
    assert all(m.runs[0].first == 5 for _, m in link.calls[told:])


def test_report_holds_a_bounded_part_of_many_events(play, monkeypatch):
    monkeypatch.setattr(worker, 'REPORT_BYTES', 100)
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    one = made.active['o1']
    one.progress.texts.extend(b'x' * 60 for _ in range(9))
    one.progress.last_id = 13
    release.set()
    wait_for(lambda: one.outcome)
    seen = set()
    for known in range(4, 13):
        link.replies.append(orders(known=(('o1', known),)))
        wait_for(lambda known=known: one.known == known)
        report = made.make_reports(0.0)[0]
        assert sum(map(len, report.texts)) <= 100
        assert bool(report.outcome) == (known >= 12)
        seen.add(report.first)
    assert seen == set(range(5, 14))


def test_event_larger_than_a_report_is_told_alone(play, monkeypatch):
    monkeypatch.setattr(worker, 'REPORT_BYTES', 100)
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    made.active['o1'].progress.texts[0] = b'x' * 1000
    assert len(made.make_reports(0.0)[0].texts) == 1


def test_leader_that_lacks_earlier_events_is_told_none(play):
    # Events from number 3 on would have been told as those from 2 on.
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=(('o1', 1),))])
    wait_for(lambda: made.active and made.active['o1'].known == 1)
    report = made.make_reports(0.0)[0]
    assert (report.first, report.texts, report.outcome) == (0, (), '')


def test_run_that_the_leader_does_not_know_ends(play):
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(orders())
    wait_for(lambda: not made.active)
    assert release.runs[0].cancelled


def test_new_order_for_an_item_that_runs_begins_a_run(play):
    # The order was matched by its item, and the run of the order before,
    # which the leader did not know any more, was taken for it.
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    again = dataclasses.replace(ORDER, order_id='o2', last_id=4)
    link.replies.append(orders(again))
    link.replies.append(orders(known=(('o2', 4),)))
    wait_for(lambda: len(release.runs) == 2)
    assert release.runs[0].cancelled
    assert list(made.active) == ['o2']
    assert made.active['o2'].first == 4


def test_cancelled_run_is_reported_with_its_events(play):
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    made.take_cancel('one', workmessages.RunCancel(('o1',)))
    found = wait_for(
        lambda: [r for r in get_reports(link) if r.outcome == 'cancelled']
    )
    assert found[0].texts == (b'3', b'4')


def test_runs_outlive_an_election_but_not_a_cut(play, monkeypatch):
    monkeypatch.setattr(worker, 'ORPHAN_SECONDS', 0.6)
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(REFUSAL)
    time.sleep(0.3)
    assert not release.runs[0].cancelled
    wait_for(lambda: release.runs[0].cancelled)
    assert not made.active


def test_store_that_ends_hands_its_runs_back(play):
    made, link, release = play
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(orders(known=(('o1', 4),)))
    made.drain(time.monotonic() + DEADLINE_SECONDS)
    assert not made.active
    last = get_reports(link)[-1]
    assert (last.outcome, made.draining) == ('cancelled', True)
    assert link.calls[-1][1].takes_orders is False
