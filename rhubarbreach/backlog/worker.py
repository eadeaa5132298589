"""The task of a store that runs batch items for the leader.

The load this answers: more items at once than one process can read, and
leaders that are lost while items run. Each store runs items on the endpoints
near it. It keeps their events until the leader has them, and goes on with its
runs under the next leader.
"""

import concurrent.futures
import threading
import time

from rhubarbreach.backlog import execution
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.protocol import workmessages

__all__ = ['Worker']

LOG = eventlog.Logger('worker')

# Runs at once: six stores share the 360 slots of the largest deployment, and
# some of them may be lost.
MAX_RUNNING = 96
# Seconds between two reports while items run, and while none does. Results
# and orders do not wait for it.
REPORT_SECONDS = 0.15
IDLE_SECONDS = 0.4
# Pause after a report, in seconds, so that several results share the next.
MIN_REPORT_SECONDS = 0.02
REPORT_TIMEOUT_SECONDS = 0.4
RETRY_SECONDS = 0.1
# Without a leader for this long, in seconds, runs end: the leader that can
# not be reached lets others run the items. An election takes 1 s or less.
ORPHAN_SECONDS = 2.0
# Bytes of events in one report; the rest follows at once. A report has to
# arrive within its time-out: under a new leader a store may have a megabyte to
# tell, which took longer, so that no report ever arrived.
REPORT_BYTES = 64 * 1024


class Active:
    """A run and what its leader knows of it.

    `known` is the number of events that the leader has, None until a leader
    has told.
    """

    def __init__(self, order):
        self.run = execution.Run(order)
        self.first = order.last_id
        self.progress = execution.Progress([], order.last_id)
        self.known = order.last_id
        self.outcome = ''
        self.detail = ''
        self.ended = None

    def report(self, now, room):
        """Return the state for the leader.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        room : int
            Bytes of events that may be told.
        """
        order = self.run.order
        texts = ()
        outcome = ''
        first = 0
        if self.known is not None and self.known >= self.first:
            # The outcome is read first: events that come after it would
            # otherwise be missing in a report that says it is over.
            outcome = self.outcome
            first = self.known + 1
            texts = self.take_texts(self.known - self.first, room)
            if self.known + len(texts) < self.progress.last_id:
                outcome = ''
        end = now if self.ended is None else self.ended
        return workmessages.RunReport(
            order.order_id,
            order.job_id,
            order.item_id,
            order.endpoint_id,
            first,
            texts,
            self.first,
            max(0.0, end - self.run.began),
            outcome,
            self.detail,
        )

    def is_behind(self, report):
        """Return whether more is to be told than a report has held."""
        last = max(report.first - 1, 0) + len(report.texts)
        return self.outcome != report.outcome or self.known > last

    def take_texts(self, position, room):
        """Return events from a position on that fit into some bytes.

        An event that is larger than a whole report is told alone.
        """
        texts = []
        is_first = room == REPORT_BYTES
        for text in self.progress.texts[position:]:
            room -= len(text)
            if room < 0 and (texts or not is_first):
                break
            texts.append(text)
        return tuple(texts)


class Worker:
    """Runs items for the leader.

    Parameters
    ----------
    link : Link
        Link to the other stores.
    zone : str
        Availability zone of this store.
    dialect : object
        Encodes items for endpoints and reads the heads of answers.
    find_leader : callable
        Returns the host id of the leader, None when it is not known.
    list_stores : callable
        Returns the host ids of the other stores.
    """

    def __init__(self, link, zone, dialect, find_leader, list_stores):
        self.link = link
        self.zone = zone
        self.dialect = dialect
        self.find_leader = find_leader
        self.list_stores = list_stores
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.active = {}
        self.leader_id = None
        self.told_by = None
        self.contact = clock.monotonic()
        self.turn = 0
        self.draining = False
        self.closed = False
        link.register(workmessages.RunCancel, self.take_cancel, inline=True)
        self.executor = concurrent.futures.ThreadPoolExecutor(
            MAX_RUNNING, thread_name_prefix='item'
        )
        self.thread = threading.Thread(
            target=self.run, name='worker', daemon=True
        )
        self.thread.start()

    def run(self):
        """Report until the worker is closed."""
        while not self.closed:
            pause = RETRY_SECONDS
            try:
                if self.exchange():
                    pause = REPORT_SECONDS if self.active else IDLE_SECONDS
            except Exception:
                LOG.exception('event=report_failed')
            self.wake.wait(pause)
            self.wake.clear()
            time.sleep(MIN_REPORT_SECONDS)

    def exchange(self):
        """Report to the leader; return whether it has answered."""
        store = self.choose_store()
        if store is None:
            return False
        now = clock.monotonic()
        if store != self.told_by:
            self.follow(store)
        reports = self.make_reports(now)
        message = workmessages.WorkReport(
            self.zone, not self.draining, tuple(reports)
        )
        call = self.link.call(store, message, now + REPORT_TIMEOUT_SECONDS)
        reply = call.result()
        if isinstance(reply, codes.Refusal) or not reply.is_leader:
            self.lose(reply, clock.monotonic())
            return False
        self.leader_id = store
        self.contact = clock.monotonic()
        self.take_orders(reports, reply)
        return True

    def make_reports(self, now):
        """Return the state of all runs, with as many events as fit."""
        reports = []
        room = REPORT_BYTES
        with self.lock:
            for one in self.active.values():
                report = one.report(now, room)
                room -= sum(map(len, report.texts))
                reports.append(report)
        return reports

    def choose_store(self):
        """Return the leader, or another store at each turn."""
        leader = self.find_leader() or self.leader_id
        if leader is not None:
            return leader
        stores = self.list_stores()
        if not stores:
            return None
        self.turn += 1
        return stores[self.turn % len(stores)]

    def follow(self, store):
        """Let another leader tell what it knows of the runs."""
        self.told_by = store
        with self.lock:
            for one in self.active.values():
                one.known = None

    def lose(self, reply, now):
        """Look for another leader; end the runs when there is none."""
        hint = None
        if not isinstance(reply, codes.Refusal):
            hint = reply.leader_id
        self.leader_id = hint
        if now - self.contact > ORPHAN_SECONDS and self.active:
            LOG.warning('event=runs_orphaned count={}', len(self.active))
            self.cancel_all()
            with self.lock:
                self.active.clear()

    def take_orders(self, reports, reply):
        """Begin, go on with and end runs as the leader says."""
        known = dict(reply.known)
        behind = False
        with self.lock:
            for report in reports:
                order_id = report.order_id
                one = self.active.get(order_id)
                if one is None:
                    continue
                if order_id in known:
                    one.known = known[order_id]
                    behind = behind or one.is_behind(report)
                    last = report.first + len(report.texts) - 1
                    if report.outcome and one.known >= last:
                        del self.active[order_id]
                    continue
                del self.active[order_id]
                one.run.cancel()
            started = []
            for order in reply.orders:
                if order.order_id not in self.active and not self.draining:
                    one = self.active[order.order_id] = Active(order)
                    started.append(one)
        self.cancel_runs(reply.cancels)
        for one in started:
            self.executor.submit(self.carry_out, one)
        if behind:
            self.wake.set()

    def carry_out(self, one):
        """Run an item once and tell the leader."""
        outcome, detail = 'cancelled', ''
        if not one.run.cancelled:
            outcome, detail = execution.carry_out(
                one.run, one.progress, self.dialect
            )
        if one.run.cancelled and outcome != 'completed':
            outcome = 'cancelled'
        one.detail = detail
        one.ended = clock.monotonic()
        one.outcome = outcome
        self.wake.set()

    def take_cancel(self, _, message):
        """End runs at once, on the leader's word, and ask for orders."""
        self.cancel_runs(message.order_ids)
        self.wake.set()

    def cancel_runs(self, order_ids):
        """End runs; what they have made is reported."""
        with self.lock:
            runs = [
                self.active[order_id].run
                for order_id in order_ids
                if order_id in self.active
            ]
        for run in runs:
            run.cancel()

    def cancel_all(self):
        """End all runs."""
        with self.lock:
            order_ids = list(self.active)
        self.cancel_runs(order_ids)

    def drain(self, deadline):
        """Take no more orders, end what runs and report what it has made."""
        self.draining = True
        self.cancel_all()
        self.wake.set()
        while self.active and clock.monotonic() < deadline:
            time.sleep(MIN_REPORT_SECONDS)

    def close(self):
        """Stop all runs."""
        self.closed = True
        self.cancel_all()
        self.wake.set()
        self.executor.shutdown(wait=False, cancel_futures=True)
