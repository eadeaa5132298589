"""Task of a store that runs batch items for the leader.

More items may run concurrently than one process can handle, so all stores run
items, preferably on endpoints near them. A store keeps the events of its runs
until the leader has them, and continues its runs when the leader changes.
"""

import concurrent.futures
import threading
import time

from rhubarbreach.backlog import execution
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.protocol import workmessages
from rhubarbreach.web import memory

__all__ = ['Worker']

LOG = eventlog.Logger('worker')

# Concurrent runs of a store. Six stores share the 360 slots of the largest
# deployment, and some of the stores may be lost.
MAX_RUNNING = 96
# Seconds between two reports while items run, and while none does. The end of
# a run or a message of the leader triggers a report immediately.
REPORT_INTERVAL_SECONDS = 0.15
IDLE_INTERVAL_SECONDS = 0.4
# Minimum seconds between two reports, so that several results share a report.
MIN_INTERVAL_SECONDS = 0.02
REPORT_TIMEOUT_SECONDS = 0.4
RETRY_INTERVAL_SECONDS = 0.1
# Seconds without contact to a leader after which no run starts: its item may
# have ended or run elsewhere. An election takes at most 1 s.
LEADER_TIMEOUT_SECONDS = 2.0
# Seconds within which an order begins after the report that it answers.
# A store that has stood still must not begin a run that the leader has given
# up or an operator has excluded since.
ORDER_SECONDS = 2.0
# Bytes of events in one report; the rest follows immediately. After a change
# of the leader a store may have to report a megabyte. A single report of that
# size would exceed the timeout each time and never arrive.
REPORT_BYTES = 64 * 1024


class ActiveRun:
    """Run with its outcome and the number of events that the leader has.

    `begun` is the number of the event after which the run resumes the item.
    `known` is the number of events that the leader has, or None until the
    current leader has sent it. `started` is whether a thread executes the run.
    The run may begin until `begin_until`, and before `start_before` if its
    endpoint is cold.
    """

    def __init__(
        self,
        order,
        memory_pool,
        begin_until=float('inf'),
        start_before=float('inf'),
        has_left=lambda endpoint_id, born: False,
    ):
        self.run = execution.Run(
            order, memory_pool, begin_until, start_before, has_left
        )
        self.begun = order.last_id
        self.progress = execution.RunProgress(
            [], order.last_id, order.output_bytes
        )
        self.known = order.last_id
        self.started = False
        self.outcome = ''
        self.detail = ''
        self.ended_at = None

    def make_report(self, now, remaining_bytes):
        """Return the `RunReport` for the leader.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.
        remaining_bytes : int
            Bytes of events that still fit into the report of the store.
        """
        order = self.run.order
        texts = ()
        outcome = ''
        first = 0
        if self.known is not None and self.known >= self.begun:
            # Read the outcome before the events: otherwise a report with the
            # outcome could lack events that arrived in between.
            outcome = self.outcome
            first = self.known + 1
            texts = self.select_texts(self.known - self.begun, remaining_bytes)
            if self.known + len(texts) < self.progress.last_id:
                outcome = ''
        end = now if self.ended_at is None else self.ended_at
        return workmessages.RunReport(
            order.order_id,
            order.job_id,
            order.item_id,
            order.endpoint_id,
            first,
            texts,
            self.begun,
            max(0.0, end - self.run.started_at),
            outcome,
            self.detail,
            order.software_version,
            bool(outcome) and self.run.ends_within_event,
            bool(outcome) and self.run.is_port_closed,
            order.born,
        )

    def drop_events(self):
        """Drop the events of the run, as none of them can be used."""
        order = self.run.order
        self.progress = execution.RunProgress(
            [], order.last_id, order.output_bytes
        )

    def has_unreported(self, report):
        """Return whether there is more to report than a report held."""
        last = max(report.first - 1, 0) + len(report.texts)
        return self.outcome != report.outcome or self.known > last

    def select_texts(self, position, remaining_bytes):
        """Return the events from a position on that fit into a report.

        An event that is larger than a whole report is sent alone.
        """
        texts = []
        is_empty = remaining_bytes == REPORT_BYTES
        for text in self.progress.texts[position:]:
            remaining_bytes -= len(text)
            if remaining_bytes < 0 and (texts or not is_empty):
                break
            texts.append(text)
        return tuple(texts)


class Worker:
    """Worker of a store, which runs items for the leader.

    Parameters
    ----------
    link : Link
        Link to the other stores.
    zone : str
        Availability zone of this store.
    dialect : object
        Encodes items for endpoints and reads the heads of responses.
    find_leader : callable
        Returns the host id of the leader, or None if it is unknown.
    list_stores : callable
        Returns the host ids of the other stores.
    record_departure : callable
        Called with the id of an endpoint that says that it is leaving, and
        the start of its process.
    output_memory : MemoryPool, optional
        Bounds the outputs of all runs.
    has_left : callable, optional
        See `execution.Run`.
    """

    def __init__(
        self,
        link,
        zone,
        dialect,
        find_leader,
        list_stores,
        record_departure,
        output_memory=memory.UNBOUNDED,
        has_left=lambda endpoint_id, born: False,
    ):
        self.memory = output_memory
        self.has_left = has_left
        self.link = link
        self.zone = zone
        self.dialect = dialect
        self.find_leader = find_leader
        self.list_stores = list_stores
        self.record_departure = record_departure
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.active = {}
        self.leader_id = None
        self.report_target = None
        self.last_contact = clock.monotonic()
        self.store_turn = 0
        self.draining = False
        self.closed = False
        link.register(workmessages.RunCancel, self.handle_cancel, inline=True)
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
            pause = RETRY_INTERVAL_SECONDS
            try:
                if self.send_report():
                    pause = (
                        REPORT_INTERVAL_SECONDS
                        if self.active
                        else IDLE_INTERVAL_SECONDS
                    )
            except Exception:
                LOG.exception('event=report_failed')
            self.wake.wait(pause)
            self.wake.clear()
            time.sleep(MIN_INTERVAL_SECONDS)

    def send_report(self):
        """Send a report to the leader; return whether it has replied."""
        store = self.choose_store()
        if store is None:
            return False
        now = clock.monotonic()
        if store != self.report_target:
            self.set_report_target(store)
        reports = self.make_reports(now)
        message = workmessages.WorkReport(
            self.zone, not self.draining, tuple(reports)
        )
        call = self.link.call(store, message, now + REPORT_TIMEOUT_SECONDS)
        reply = call.result()
        if isinstance(reply, codes.Refusal) or not reply.is_leader:
            self.handle_refusal(reply, clock.monotonic())
            return False
        self.leader_id = store
        self.last_contact = clock.monotonic()
        self.apply_reply(reports, reply, now)
        return True

    def make_reports(self, now):
        """Return reports of all runs, with as many events as fit."""
        reports = []
        remaining_bytes = REPORT_BYTES
        with self.lock:
            for active_run in self.active.values():
                report = active_run.make_report(now, remaining_bytes)
                remaining_bytes -= sum(map(len, report.texts))
                reports.append(report)
        return reports

    def choose_store(self):
        """Return the leader if it is known, or else each store in turn."""
        leader = self.find_leader() or self.leader_id
        if leader is not None:
            return leader
        stores = self.list_stores()
        if not stores:
            return None
        self.store_turn += 1
        return stores[self.store_turn % len(stores)]

    def set_report_target(self, store):
        """Report to another store, which first sends its event counts."""
        self.report_target = store
        with self.lock:
            for active_run in self.active.values():
                active_run.known = None

    def handle_refusal(self, reply, now):
        """Switch to another leader, and drop waiting runs if none replies.

        Runs that have started go on: a silent leader may know them still, and
        the next one adopts them unless their items have gone on elsewhere.
        """
        hint = None
        if not isinstance(reply, codes.Refusal):
            hint = reply.leader_id
        self.leader_id = hint
        if now - self.last_contact <= LEADER_TIMEOUT_SECONDS:
            return
        with self.lock:
            waiting = [
                order_id
                for order_id, active_run in self.active.items()
                if not active_run.started
            ]
            for order_id in waiting:
                self.active.pop(order_id).run.cancelled = True
        if waiting:
            LOG.warning('event=runs_orphaned count={}', len(waiting))

    def apply_reply(self, reports, reply, sent):
        """Start, continue and end runs as the leader's reply requests.

        Parameters
        ----------
        reports : sequence of RunReport
            Runs that were reported.
        reply : WorkOrders
            Reply to the report.
        sent : float
            Time of the report, in seconds of the monotonic clock.
        """
        known_counts = dict(reply.known)
        has_more = False
        with self.lock:
            for report in reports:
                order_id = report.order_id
                active_run = self.active.get(order_id)
                if active_run is None:
                    continue
                if order_id in known_counts:
                    active_run.known = known_counts[order_id]
                    has_more = has_more or active_run.has_unreported(report)
                    last = report.first + len(report.texts) - 1
                    if report.outcome and active_run.known >= last:
                        del self.active[order_id]
                    continue
                del self.active[order_id]
                active_run.run.cancel()
            started = []
            for order in reply.orders:
                if order.order_id not in self.active and not self.draining:
                    start_before = float('inf')
                    if order.start_within is not None:
                        start_before = sent + order.start_within
                    active_run = ActiveRun(
                        order,
                        self.memory,
                        sent + ORDER_SECONDS,
                        start_before,
                        self.has_left,
                    )
                    self.active[order.order_id] = active_run
                    started.append(active_run)
        self.cancel_runs(reply.cancels)
        for active_run in started:
            self.start_run(active_run)
        if has_more:
            self.wake.set()

    def start_run(self, active_run):
        """Start a run; forget it if there is no thread for it.

        The leader then sends the order again.
        """
        try:
            self.executor.submit(self.execute_run, active_run)
        except RuntimeError as error:
            LOG.warning('event=run_not_started reason={!r}', str(error))
            # The executor may have queued the run before the error.
            active_run.run.cancel()
            with self.lock:
                self.active.pop(active_run.run.order.order_id, None)

    def execute_run(self, active_run):
        """Execute a run and trigger a report of its outcome."""
        outcome, detail = 'cancelled', ''
        with self.lock:
            active_run.started = not active_run.run.cancelled
        if active_run.started:
            outcome, detail = execution.execute_run(
                active_run.run,
                active_run.progress,
                self.dialect,
                self.record_departure,
            )
        if active_run.run.cancelled and outcome != 'completed':
            outcome = 'cancelled'
        if outcome == 'oversized':
            active_run.drop_events()
        active_run.detail = detail
        active_run.ended_at = clock.monotonic()
        active_run.outcome = outcome
        self.wake.set()

    def handle_cancel(self, _, message):
        """Cancel runs immediately for the leader, and request orders."""
        self.cancel_runs(message.order_ids)
        self.wake.set()

    def cancel_runs(self, order_ids):
        """Cancel runs; their events are still reported."""
        with self.lock:
            runs = [
                self.active[order_id].run
                for order_id in order_ids
                if order_id in self.active
            ]
        for run in runs:
            run.cancel()

    def cancel_all(self):
        """Cancel all runs."""
        with self.lock:
            order_ids = list(self.active)
        self.cancel_runs(order_ids)

    def drain(self, deadline):
        """Accept no more orders, cancel all runs and report their events."""
        self.draining = True
        self.cancel_all()
        self.wake.set()
        while self.active and clock.monotonic() < deadline:
            time.sleep(MIN_INTERVAL_SECONDS)

    def close(self):
        """Cancel all runs and stop reporting."""
        self.closed = True
        self.cancel_all()
        self.wake.set()
        self.executor.shutdown(wait=False, cancel_futures=True)
