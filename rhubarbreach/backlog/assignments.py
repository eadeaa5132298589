"""The leader's view of running items and of the stores that run them."""

import collections
import dataclasses
import secrets

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ends
from rhubarbreach.backlog import results
from rhubarbreach import eventlog
from rhubarbreach.protocol import workmessages
from rhubarbreach.web import answers

__all__ = ['Assignment', 'Assignments', 'Destination', 'EndedRun', 'Progress']

LOG = eventlog.Logger('assignments')

# Seconds without a report after which the runs of a store count as lost. A
# store reports at least every 0.4 s, and a lost message costs another 0.4 s.
SILENT_SECONDS = 1.5
# Seconds between commits of the events of a running item. Both the leader and
# the store hold them, so that they are repeated only if both are lost. Most
# runs end within 5 s, and their result contains the events again.
RUNNING_COMMIT_SECONDS = 1.5
# Bytes of item bodies in one reply to a store; it gets the other orders with
# its next reports. A reply beyond the limit of a message is never sent, and a
# large one does not arrive before the timeout of the report.
ORDER_BYTES = 256 * 1024
# Random bytes of an order id. Two orders of one item must have different ids,
# even if different leaders issued them.
ORDER_ID_BYTES = 8
# Bytes in a commit besides the text of an event, and besides the events of an
# item.
EVENT_OVERHEAD_BYTES = 5
ITEM_OVERHEAD_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """Service that runs an item, and the host name of its route."""

    service: str
    host: str


@dataclasses.dataclass
class Progress:
    """Progress of an item on this leader.

    `texts` are the events so far, and `committed` is the number of those in
    the ledger. `sources` holds the orders whose runs produced them, as tuples
    of the order id and the number of the event after which the run resumed
    the item, and `software_version` is that of the endpoints which produced
    them. The item does not start before `not_before`, and while it runs its
    events are not committed before `commit_due`. It waits for an endpoint of
    its software version since `waiting_since`. `oversized_at` holds the
    endpoints whose output for the item exceeded a result. `unproven_ends`
    holds the endpoints whose responses ended after the last event, without a
    length that shows whether they were whole. `orderly_end` is the end of the
    response that held the last event, unless something speaks against it, and
    `committed_end` the process of that end in the ledger. An item with a
    `final_reason` does not run again. `lost_order_id` is the order whose store
    fell silent, until it is heard again. Times are in seconds of the monotonic
    clock.
    """

    texts: list = dataclasses.field(default_factory=list)
    sources: list = dataclasses.field(default_factory=list)
    attempts: int = 0
    failures: int = 0
    not_before: float = 0.0
    committed: int = 0
    commit_due: float = 0.0
    software_version: str = ''
    waiting_since: float | None = None
    oversized_at: set = dataclasses.field(default_factory=set)
    unproven_ends: list = dataclasses.field(default_factory=list)
    orderly_end: ends.OrderlyEnd | None = None
    committed_end: tuple | None = None
    final_reason: str | None = None
    lost_order_id: str | None = None

    @property
    def output_bytes(self):
        """Size of the output so far, with a separator after each event."""
        return sum(map(len, self.texts)) + len(self.texts)

    @property
    def end_process(self):
        """Process of the orderly end, or None."""
        return None if self.orderly_end is None else self.orderly_end.process

    @property
    def is_committed(self):
        """Whether the ledger holds all that is known."""
        return (
            self.committed == len(self.texts)
            and self.committed_end == self.end_process
        )

    def add_report(self, report, software_version):
        """Add the events of a report; return whether none is missing.

        Parameters
        ----------
        report : RunReport
            Report of a run of the item.
        software_version : str
            Software version of its endpoint.
        """
        event_count = len(self.texts)
        if not report.first or report.first > event_count + 1:
            return False
        added = report.texts[event_count + 1 - report.first :]
        if not self.texts:
            self.software_version = software_version
        if added:
            self.unproven_ends = []
            self.orderly_end = None
        if added and not self.is_from_order(report.order_id):
            self.sources.append((report.order_id, report.begun))
        self.texts.extend(added)
        return True

    def is_from_order(self, order_id):
        """Return whether the last event comes from the run of an order."""
        return bool(self.sources) and self.sources[-1][0] == order_id

    def is_continued_by(self, report):
        """Return whether the events of a run continue the known ones."""
        if self.is_from_order(report.order_id):
            return True
        is_same_version = report.software_version == self.software_version
        return report.begun == len(self.texts) and (
            is_same_version or not self.texts
        )

    def add_unproven_end(self, ended, now):
        """Record an end after the last event; return whether it is proven.

        The ends of several endpoints agree, or those of the only one.

        Parameters
        ----------
        ended : EndedRun
            Run whose response has ended, in order and without a length.
        now : float
            Seconds of the monotonic clock.
        """
        if ended.begun + ended.event_count != len(self.texts):
            return False
        endpoint = ended.assignment.endpoint
        if ended.event_count:
            self.orderly_end = ends.OrderlyEnd(
                endpoint.endpoint_id, endpoint.born, now
            )
        self.unproven_ends.append(endpoint.endpoint_id)
        return (
            len(set(self.unproven_ends)) >= answers.MIN_AGREEING_ENDS
            or len(self.unproven_ends) > answers.MIN_AGREEING_ENDS
        )

    def add_contrary_evidence(self, ended):
        """Take an end back that a further run speaks against.

        Parameters
        ----------
        ended : EndedRun
            Run that has ended.
        """
        event_count = ended.begun + ended.event_count
        if ended.ends_within_event and event_count == len(self.texts):
            self.unproven_ends = []
            self.orderly_end = None
        end = self.orderly_end
        if ended.is_port_closed and end is not None:
            endpoint = ended.assignment.endpoint
            if (
                end.process == (endpoint.endpoint_id, endpoint.born)
                and not end.has_survived
            ):
                self.orderly_end = None

    def restart(self):
        """Drop the events, so that the item begins anew."""
        self.texts = []
        self.unproven_ends = []
        self.orderly_end = self.committed_end = None
        self.sources = []
        self.committed = 0
        self.software_version = ''
        self.waiting_since = None

    def take_uncommitted(self, key, max_bytes):
        """Return events that are not in the ledger, grouped by order.

        They count as committed then.

        Parameters
        ----------
        key : tuple of str
            Ids of the job and the item.
        max_bytes : int
            Bytes of events to return at most; the rest stays uncommitted.

        Returns
        -------
        list of ItemProgress, int
            Events, and their size in bytes.
        """
        end = self.committed
        size = 0
        while end < len(self.texts):
            text_bytes = len(self.texts[end]) + EVENT_OVERHEAD_BYTES
            if size + text_bytes > max_bytes:
                break
            size += text_bytes
            end += 1
        items = self.list_events(key, end)
        self.committed = end
        if end == len(self.texts):
            self.add_end(key, items)
        return items, size

    def add_end(self, key, items):
        """Add the end after the last event to the events to commit."""
        process = self.end_process
        if process == self.committed_end or not self.sources:
            return
        self.committed_end = process
        if not items:
            items.append(
                commands.ItemProgress(
                    *key,
                    len(self.texts) + 1,
                    (),
                    *self.sources[-1],
                    self.software_version,
                )
            )
        if process is not None:
            ended_at, ended_born = process
            items[-1] = dataclasses.replace(
                items[-1], ended_at=ended_at, ended_born=ended_born
            )

    def list_events(self, key, end):
        """Return the uncommitted events up to number `end`, by order."""
        items = []
        lasts = [begun for _, begun in self.sources[1:]]
        lasts.append(len(self.texts))
        for (order_id, begun), last in zip(self.sources, lasts, strict=False):
            start = max(begun, self.committed)
            stop = min(last, end)
            if start < stop:
                texts = tuple(self.texts[start:stop])
                items.append(
                    commands.ItemProgress(
                        *key,
                        start + 1,
                        texts,
                        order_id,
                        begun,
                        self.software_version,
                    )
                )
        return items


@dataclasses.dataclass
class Assignment:
    """Item that a store runs on an endpoint.

    `begun` is the number of the event after which the run resumes the item,
    and `progress` is the progress of the item. `reported` is whether the
    store has reported the run.
    """

    order_id: str
    job: object
    item: object
    endpoint: object
    destination: Destination
    worker_id: str
    begun: int
    progress: Progress
    cancelled: bool = False
    reported: bool = False

    @property
    def key(self):
        """Ids of the job and the item."""
        return (self.job.job_id, self.item.item_id)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRun:
    """Run that has ended.

    `begun` is the number of events before the run, and `event_count` the
    number of events that the run itself produced. `ends_within_event` and
    `is_port_closed` are those of its `RunReport`.
    """

    assignment: Assignment
    outcome: str
    detail: str = ''
    begun: int = 0
    event_count: int = 0
    seconds: float = 0.0
    ends_within_event: bool = False
    is_port_closed: bool = False


@dataclasses.dataclass
class Worker:
    """Store that runs items.

    `reported_at` is the time of its last report, in seconds of the monotonic
    clock.
    """

    availability_zone: str
    reported_at: float
    takes_orders: bool = True


class Assignments:
    """Runs and progress by item, and the stores that run items.

    Callers have to hold a lock.

    Parameters
    ----------
    load_progress : callable
        Returns the `Progress` that the ledger holds for a key.
    make_order_id : callable, optional
        Returns a unique order id.
    """

    def __init__(self, load_progress, make_order_id=None):
        self.load_progress = load_progress
        self.make_order_id = make_order_id or make_random_id
        self.runs = {}
        self.progress = {}
        self.workers = {}
        # By store, the number of events of the ended runs that it may report
        # again, by order id.
        self.ended_orders = {}

    def get_progress(self, key):
        """Return the progress of an item; load it on first use."""
        if key not in self.progress:
            self.progress[key] = self.load_progress(key)
        return self.progress[key]

    def choose_worker(self, zone):
        """Return the id of the store for a run on an endpoint of a zone.

        Stores in the availability zone of the endpoint are preferred, since
        events then cross zones only once. Among them the store with the
        fewest runs is chosen.
        """
        counts = collections.Counter(
            run.worker_id for run in self.runs.values()
        )
        return min(
            (
                worker_id
                for worker_id in self.workers
                if self.workers[worker_id].takes_orders
            ),
            key=lambda worker_id: (
                self.workers[worker_id].availability_zone != zone,
                counts[worker_id],
                worker_id,
            ),
            default=None,
        )

    def assign(self, job, item, endpoint, destination, now):
        """Assign an item; return the id of the store, or None without one."""
        worker_id = self.choose_worker(endpoint.availability_zone)
        if worker_id is None:
            return None
        progress = self.get_progress((job.job_id, item.item_id))
        progress.commit_due = now + RUNNING_COMMIT_SECONDS
        progress.waiting_since = None
        run = Assignment(
            self.make_order_id(),
            job,
            item,
            endpoint,
            destination,
            worker_id,
            len(progress.texts),
            progress,
        )
        self.runs[run.key] = run
        return worker_id

    def take_uncommitted(self, ended_keys, now):
        """Return the events to commit now, and count them as committed.

        Parameters
        ----------
        ended_keys : collection
            Keys of items whose results are about to be committed.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        list of ItemProgress
            Events that fit into one commit.
        """
        items = []
        remaining_bytes = results.MAX_COMMIT_BYTES
        for key, progress in self.progress.items():
            is_early = (
                key in self.runs
                and now < progress.commit_due
                and progress.committed_end == progress.end_process
            )
            if is_early or key in ended_keys or progress.is_committed:
                continue
            taken, size = progress.take_uncommitted(
                key, remaining_bytes - ITEM_OVERHEAD_BYTES
            )
            if not taken:
                # A commit that is full; the events follow in the next one.
                continue
            remaining_bytes -= size + ITEM_OVERHEAD_BYTES
            items += taken
            progress.commit_due = now + RUNNING_COMMIT_SECONDS
        return items

    def handle_report(
        self, worker_id, message, open_items, find_endpoint, now
    ):
        """Process the report of a store.

        Parameters
        ----------
        worker_id : str
            Id of the reporting store.
        message : WorkReport
            Report with the runs of the store.
        open_items : dict
            Tuples of job, item and `Destination` by key.
        find_endpoint : callable
            Returns the `Endpoint` of an id, or None if it is unknown.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        WorkOrders, list of EndedRun
            Reply to the store, and the runs that have ended.
        """
        self.workers[worker_id] = Worker(
            message.availability_zone, now, message.takes_orders
        )
        known = []
        ended = []
        cancels = []
        reported = set()
        ended_orders = self.get_ended_orders(worker_id, message)
        for report in message.runs:
            if report.order_id in ended_orders:
                # The reply to the report of the end was lost.
                event_count = ended_orders[report.order_id]
                known.append((report.order_id, event_count))
                continue
            key = (report.job_id, report.item_id)
            run = self.runs.get(key)
            if run is None or is_behind(run, report):
                adopted = self.adopt_run(
                    worker_id, report, open_items, find_endpoint
                )
                if run is not None and adopted is not None:
                    ended.append(EndedRun(run, 'cancelled', begun=run.begun))
                run = adopted or run
            if run is None or run.worker_id != worker_id:
                continue
            if run.order_id != report.order_id:
                # Events of another order do not necessarily follow the known
                # ones.
                continue
            progress = run.progress
            run.reported = True
            reported.add(run.order_id)
            is_complete = progress.add_report(
                report, run.endpoint.software_version
            )
            if report.outcome and is_complete:
                del self.runs[key]
                ended_orders[run.order_id] = len(progress.texts)
                event_count = len(progress.texts) - report.begun
                ended.append(
                    EndedRun(
                        run,
                        report.outcome,
                        report.detail,
                        report.begun,
                        event_count,
                        report.seconds,
                        report.ends_within_event,
                        report.is_port_closed,
                    )
                )
            elif run.cancelled:
                cancels.append(run.order_id)
            known.append((run.order_id, len(progress.texts)))
        orders = self.list_orders(worker_id, reported, ended, now)
        reply = workmessages.WorkOrders(
            True, None, tuple(orders), tuple(known), tuple(cancels)
        )
        return reply, ended

    def get_ended_orders(self, worker_id, message):
        """Return the ended runs that a store still reports, by order id."""
        reported = {report.order_id for report in message.runs}
        ended_orders = {
            order_id: event_count
            for order_id, event_count in self.ended_orders.get(
                worker_id, {}
            ).items()
            if order_id in reported
        }
        self.ended_orders[worker_id] = ended_orders
        return ended_orders

    def adopt_run(self, worker_id, report, open_items, find_endpoint):
        """Return a run that was started under another leader, or None.

        The run is not adopted if another run produced known events after the
        one at which this run resumed the item: one output must not mix the
        events of both runs.
        """
        key = (report.job_id, report.item_id)
        open_item = open_items.get(key)
        if open_item is None:
            return None
        progress = self.get_progress(key)
        if not progress.is_continued_by(report):
            return None
        endpoint = find_endpoint(report.endpoint_id)
        if endpoint is None:
            return None
        # The endpoint may have restarted since.
        endpoint = dataclasses.replace(
            endpoint,
            software_version=report.software_version,
            born=report.born or endpoint.born,
        )
        job, item, destination = open_item
        run = Assignment(
            report.order_id,
            job,
            item,
            endpoint,
            destination,
            worker_id,
            report.begun,
            progress,
        )
        self.runs[key] = run
        progress.lost_order_id = None
        return run

    def list_orders(self, worker_id, reported, ended, now):
        """Return the orders that a store has not reported yet.

        An order whose reply was lost is sent again. An order that was
        cancelled before the store reported it ends here. So does a run that
        the store no longer reports: the store may have restarted, and sending
        the order again would join the events of two runs. An item that is
        larger than `ORDER_BYTES` is ordered alone. An order whose permit for a
        cold endpoint has ended is not sent.
        """
        orders = []
        remaining_bytes = ORDER_BYTES
        for key, run in list(self.runs.items()):
            if run.worker_id != worker_id or run.order_id in reported:
                continue
            start_before = run.endpoint.start_before
            if run.reported or run.cancelled or now >= start_before:
                del self.runs[key]
                outcome = 'lost' if run.reported else 'cancelled'
                ended.append(EndedRun(run, outcome, begun=run.begun))
                continue
            item = run.item
            remaining_bytes -= len(item.body)
            if remaining_bytes < 0 and orders:
                continue
            orders.append(
                workmessages.RunOrder(
                    run.order_id,
                    *key,
                    run.job.account,
                    run.destination.host,
                    item.path,
                    item.headers,
                    item.body,
                    run.endpoint.endpoint_id,
                    run.endpoint.address,
                    run.begun,
                    run.endpoint.software_version,
                    run.endpoint.born,
                    run.progress.output_bytes,
                    None
                    if start_before == float('inf')
                    else start_before - now,
                )
            )
        return orders

    def drop_silent_workers(self, now):
        """Remove stores that do not report; return their ended runs."""
        silent = [
            worker_id
            for worker_id, worker in self.workers.items()
            if now - worker.reported_at > SILENT_SECONDS
        ]
        ended = []
        for worker_id in silent:
            del self.workers[worker_id]
            self.ended_orders.pop(worker_id, None)
            worker_runs = [
                run for run in self.runs.values() if run.worker_id == worker_id
            ]
            for run in worker_runs:
                del self.runs[run.key]
                run.progress.lost_order_id = run.order_id
                ended.append(EndedRun(run, 'lost'))
            LOG.warning(
                'event=worker_silent store={} runs={}',
                worker_id,
                len(worker_runs),
            )
        return ended


def is_behind(run, report):
    """Return whether the reported run of another order is further ahead.

    Its store was silent for a while, and the run of the item that was started
    meanwhile has no event yet.
    """
    progress = run.progress
    is_first = progress.lost_order_id == report.order_id and (
        report.begun == len(progress.texts)
    )
    return (
        run.order_id != report.order_id
        and (is_first or progress.is_from_order(report.order_id))
        and report.outcome in ('', 'completed', 'unproven')
    )


def make_random_id():
    """Return a random order id."""
    return secrets.token_hex(ORDER_ID_BYTES)
