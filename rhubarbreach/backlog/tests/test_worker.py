"""Worker of a store while leaders change and messages are lost."""

import collections
import concurrent.futures
import dataclasses
import threading
import time
import types

import pytest

from rhubarbreach.backlog import execution
from rhubarbreach.backlog import worker
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import workmessages
from rhubarbreach.web import memory

ORDER = workmessages.RunOrder(
    'o1', 'job', 'a', 'account', 'h', '/p/', (), b'', 'e1', '127.0.0.1:1', 2
)
KNOWN = (('o1', 2),)
REFUSAL = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
DEADLINE_SECONDS = 5.0


class FakeLink:
    """Link that answers reports from a list of replies.

    The last reply is repeated forever.
    """

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
        result = condition()
        if result:
            return result
        time.sleep(0.01)
    raise AssertionError(f'condition not met within {DEADLINE_SECONDS} s')


@pytest.fixture
def worker_setup(monkeypatch):
    """Return a worker, its link, and the event that releases its runs.

    Each run produces two events and waits to be released.
    """
    release = threading.Event()
    release.runs = []

    def execute_run(run, progress, *_):
        release.runs.append(run)
        for number in (3, 4):
            progress.texts.append(b'%d' % number)
            progress.last_id = number
        while not release.is_set() and not run.cancelled:
            time.sleep(0.005)
        return ('cancelled' if run.cancelled else 'completed'), ''

    monkeypatch.setattr(execution, 'execute_run', execute_run)
    link = FakeLink()
    leader = ['one']
    store_worker = worker.Worker(
        link,
        'z1',
        None,
        lambda: leader[0],
        lambda: ['one', 'two'],
        lambda _: None,
    )
    store_worker.test_leader = leader
    yield store_worker, link, release
    store_worker.close()


def get_reports(link):
    return [message.runs[0] for _, message in list(link.calls) if message.runs]


def test_events_are_reported_until_leader_has_them(worker_setup):
    # Replies may be lost: events that were only sent are not yet known.
    store_worker, link, release = worker_setup
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
    wait_for(lambda: not store_worker.active)


def test_ended_run_is_kept_until_leader_has_all_events(worker_setup):
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    release.set()
    wait_for(
        lambda: [r for r in get_reports(link) if r.outcome == 'completed']
    )
    time.sleep(0.1)
    assert store_worker.active


def test_new_leader_sends_event_counts_before_events(worker_setup):
    # The new leader may have fewer events than the former one.
    store_worker, link, _ = worker_setup
    link.replies.extend([orders(ORDER), orders(known=(('o1', 4),))])
    wait_for(lambda: any(r.first == 5 for r in get_reports(link)))
    link.replies.append(orders(known=(('o1', 3),)))
    store_worker.test_leader[0] = 'two'
    wait_for(lambda: any(r.first == 0 for r in get_reports(link)))
    result = wait_for(
        lambda: [r for r in get_reports(link) if r.first == 4 and r.texts]
    )
    assert result[0].texts == (b'4',)


def test_lost_reply_does_not_restart_reporting(worker_setup):
    # Otherwise reports of a megabyte time out and start over each time.
    store_worker, link, _ = worker_setup
    link.replies.extend([orders(ORDER), orders(known=(('o1', 4),))])
    wait_for(lambda: any(r.first == 5 for r in get_reports(link)))
    call_count = len(link.calls)
    link.replies.extend([REFUSAL, orders(known=(('o1', 4),))])
    wait_for(lambda: len(link.calls) >= call_count + 3)
    assert all(
        message.runs[0].first == 5 for _, message in link.calls[call_count:]
    )


def test_report_size_is_bounded(worker_setup, monkeypatch):
    monkeypatch.setattr(worker, 'REPORT_BYTES', 100)
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    active_run = store_worker.active['o1']
    active_run.progress.texts.extend(b'x' * 60 for _ in range(9))
    active_run.progress.last_id = 13
    release.set()
    wait_for(lambda: active_run.outcome)
    first_events = set()
    for known in range(4, 13):
        link.replies.append(orders(known=(('o1', known),)))
        wait_for(lambda known=known: active_run.known == known)
        report = store_worker.make_reports(0.0)[0]
        assert sum(map(len, report.texts)) <= 100
        assert bool(report.outcome) == (known >= 12)
        first_events.add(report.first)
    assert first_events == set(range(5, 14))


def test_event_larger_than_report_is_sent_alone(worker_setup, monkeypatch):
    monkeypatch.setattr(worker, 'REPORT_BYTES', 100)
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    store_worker.active['o1'].progress.texts[0] = b'x' * 1000
    assert len(store_worker.make_reports(0.0)[0].texts) == 1


def test_leader_without_earlier_events_gets_none(worker_setup):
    # Otherwise events from number 3 on are reported as events from 2 on.
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=(('o1', 1),))])
    wait_for(
        lambda: store_worker.active and store_worker.active['o1'].known == 1
    )
    report = store_worker.make_reports(0.0)[0]
    assert (report.first, report.texts, report.outcome) == (0, (), '')


def test_run_unknown_to_leader_is_cancelled(worker_setup):
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(orders())
    wait_for(lambda: not store_worker.active)
    assert release.runs[0].cancelled


def test_new_order_for_running_item_starts_new_run(worker_setup):
    # Orders must not be matched by item: the run of the former order, which
    # the leader no longer knows, would be taken for the run of the new one.
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    again = dataclasses.replace(ORDER, order_id='o2', last_id=4)
    link.replies.append(orders(again))
    link.replies.append(orders(known=(('o2', 4),)))
    wait_for(lambda: len(release.runs) == 2)
    assert release.runs[0].cancelled
    assert list(store_worker.active) == ['o2']
    assert store_worker.active['o2'].begun == 4


def test_cancelled_run_is_reported_with_its_events(worker_setup):
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    store_worker.handle_cancel('one', workmessages.RunCancel(('o1',)))
    result = wait_for(
        lambda: [r for r in get_reports(link) if r.outcome == 'cancelled']
    )
    assert result[0].texts == (b'3', b'4')


def test_runs_go_on_until_a_leader_does_not_know_them(
    worker_setup, monkeypatch
):
    """Guards against runs and events that are dropped for silence."""
    monkeypatch.setattr(worker, 'LEADER_TIMEOUT_SECONDS', 0.3)
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(REFUSAL)
    time.sleep(0.9)
    assert not release.runs[0].cancelled
    link.replies.append(orders(known=KNOWN))
    wait_for(lambda: get_reports(link)[-1].texts == (b'3', b'4'))
    link.replies.append(orders())
    wait_for(lambda: release.runs[0].cancelled)
    assert not store_worker.active


def test_no_run_starts_after_leader_timeout(worker_setup, monkeypatch):
    """Guards against a run of an item that may have ended meanwhile."""
    monkeypatch.setattr(worker, 'LEADER_TIMEOUT_SECONDS', 0.3)
    store_worker, link, release = worker_setup
    monkeypatch.setattr(store_worker.executor, '_max_workers', 1)
    waiting = dataclasses.replace(ORDER, order_id='o2', item_id='b')
    known = (*KNOWN, ('o2', 2))
    link.replies.extend([orders(ORDER, waiting), orders(known=known)])
    wait_for(lambda: release.runs)
    link.replies.append(REFUSAL)
    wait_for(lambda: list(store_worker.active) == ['o1'])
    release.set()
    wait_for(lambda: store_worker.active['o1'].outcome == 'completed')
    time.sleep(0.1)
    assert len(release.runs) == 1


def test_draining_worker_reports_and_ends_its_runs(worker_setup):
    store_worker, link, release = worker_setup
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    wait_for(lambda: release.runs)
    link.replies.append(orders(known=(('o1', 4),)))
    store_worker.drain(time.monotonic() + DEADLINE_SECONDS)
    assert not store_worker.active
    last = get_reports(link)[-1]
    assert (last.outcome, store_worker.draining) == ('cancelled', True)
    assert link.calls[-1][1].takes_orders is False


def test_run_without_thread_is_not_reported(worker_setup, monkeypatch):
    # The leader would wait for ever for the end of a run that never starts.
    store_worker, link, release = worker_setup
    submit = store_worker.executor.submit
    failures = [RuntimeError("can't start new thread")]

    def submit_later(*arguments):
        if failures:
            raise failures.pop()
        return submit(*arguments)

    monkeypatch.setattr(store_worker.executor, 'submit', submit_later)
    link.replies.append(orders(ORDER, known=KNOWN))
    assert wait_for(lambda: release.runs)


def test_run_without_usable_events_reports_its_end():
    # The leader may already have some of the events.
    active_run = worker.ActiveRun(ORDER, memory.UNBOUNDED)
    for text in (b'3', b'4', b'5'):
        active_run.progress.add(text)
    active_run.known = 4
    active_run.drop_events()
    active_run.outcome = 'oversized'
    report = active_run.make_report(time.monotonic(), worker.REPORT_BYTES)
    assert (report.outcome, report.texts) == ('oversized', ())
    assert not active_run.has_unreported(report)


def test_order_to_a_store_that_stood_still_is_not_carried_out():
    """Guards against items sent to a zone that was evacuated meanwhile."""
    now = clock.monotonic()
    late = worker.ActiveRun(ORDER, memory.UNBOUNDED, now - 0.1)
    assert not late.run.may_begin()
    assert late.run.cancelled
    prompt = worker.ActiveRun(ORDER, memory.UNBOUNDED, now + DEADLINE_SECONDS)
    assert prompt.run.may_begin()
    assert not prompt.run.cancelled


def test_order_for_an_endpoint_that_has_left_is_not_carried_out():
    """Guards against items that a store sends after a departure."""
    left = {}
    run = worker.ActiveRun(
        ORDER, memory.UNBOUNDED, has_left=lambda e, born: left.get(e) == born
    ).run
    left[ORDER.endpoint_id] = ORDER.born + 1
    assert run.may_begin()
    left[ORDER.endpoint_id] = ORDER.born
    assert not run.may_begin()


def test_order_has_to_begin_soon_after_its_report(worker_setup):
    """Guards against a run that begins long after the leader ordered it."""
    _, link, release = worker_setup
    before = clock.monotonic()
    link.replies.extend([orders(ORDER), orders(known=KNOWN)])
    (run,) = wait_for(lambda: release.runs)
    assert before < run.begin_until
    assert run.begin_until < clock.monotonic() + worker.ORDER_SECONDS


def test_run_at_a_cold_endpoint_does_not_begin_late(worker_setup):
    """Guards against items that reach a cold endpoint beyond its limit.

    The time counts from the report, as the reply may have been under way.
    """
    sent = clock.monotonic() - 1.0
    order = dataclasses.replace(ORDER, start_within=0.3, address='127.0.0.1:1')
    store_worker, _, release = worker_setup
    store_worker.apply_reply((), orders(order), sent)
    (run,) = wait_for(lambda: release.runs)
    assert run.start_before == pytest.approx(sent + 0.3)
    dialect = types.SimpleNamespace(encode_item=lambda *_: ())
    outcome = execution.attempt_run(
        run, execution.RunProgress(), dialect, None
    )
    assert outcome[0] == 'expired'
