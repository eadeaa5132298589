"""Items that run, and the stores that run them, as the leader knows them."""

import collections
import dataclasses
import secrets

from rhubarbreach.backlog import commands
from rhubarbreach import eventlog
from rhubarbreach.protocol import workmessages

__all__ = ['Assignment', 'Assignments', 'Ended', 'Place', 'Progress']

LOG = eventlog.Logger('assignments')

# A store that has not reported for this long, in seconds, runs nothing any
# more: it reports each 0.4 s, and a lost message costs another 0.4 s.
SILENT_SECONDS = 1.5
# The events of a run are committed this often, in seconds. Leader and store
# both have them, so that only the loss of both repeats them; most runs end
# within 5 s, and their result holds the events again.
KEEP_SECONDS = 1.5
# Bytes of an order's random id. Two orders of one item must not have the same
# one, whichever leaders gave them.
ORDER_ID_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an item runs: its service and its route's host."""

    service: str
    host: str


@dataclasses.dataclass
class Progress:
    """What is known of an item beside its state in the ledger.

    `texts` are the events made so far, `kept` the number of those that are
    in the ledger. `makers` tells which order made them, as tuples of the
    order's id and the number of the event after which it was asked to go on.
    The item does not start before `not_before`, and while it runs its events
    are not committed before `keep_due`, in seconds of the monotonic clock.
    """

    texts: list = dataclasses.field(default_factory=list)
    makers: list = dataclasses.field(default_factory=list)
    attempts: int = 0
    failures: int = 0
    not_before: float = 0.0
    kept: int = 0
    keep_due: float = 0.0

    def take(self, report):
        """Add the events of a report; return whether none is missing."""
        known = len(self.texts)
        if not report.first or report.first > known + 1:
            return False
        added = report.texts[known + 1 - report.first :]
        if added and not self.is_made_by(report.order_id):
            self.makers.append((report.order_id, report.begun))
        self.texts.extend(added)
        return True

    def is_made_by(self, order_id):
        """Return whether an order has made the last event."""
        return bool(self.makers) and self.makers[-1][0] == order_id

    def is_followed_by(self, report):
        """Return whether the events of a run continue the text."""
        return report.begun == len(self.texts) or self.is_made_by(
            report.order_id
        )

    def list_unkept(self, key):
        """Return the events that are not in the ledger, by their orders."""
        items = []
        ends = [begun for _, begun in self.makers[1:]]
        ends.append(len(self.texts))
        for (order_id, begun), end in zip(self.makers, ends, strict=False):
            start = max(begun, self.kept)
            if start < end:
                texts = tuple(self.texts[start:end])
                items.append(
                    commands.ItemProgress(
                        *key, start + 1, texts, order_id, begun
                    )
                )
        return items


@dataclasses.dataclass
class Assignment:
    """An item that a store runs on an endpoint.

    `begun` is the number of the event after which the run was asked to go
    on, and `progress` that of its item. `reported` tells whether the store
    has begun it.
    """

    order_id: str
    job: object
    item: object
    endpoint: object
    place: Place
    worker_id: str
    begun: int
    progress: Progress
    cancelled: bool = False
    reported: bool = False

    @property
    def key(self):
        """Job and item."""
        return (self.job.job_id, self.item.item_id)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A run that has ended; `made` counts its own events."""

    assignment: Assignment
    outcome: str
    detail: str = ''
    begun: int = 0
    made: int = 0
    seconds: float = 0.0


@dataclasses.dataclass
class Worker:
    """A store that runs items; `heard` is in seconds of the clock."""

    availability_zone: str
    heard: float
    takes_orders: bool = True


class Assignments:
    """Runs by item. The caller holds a lock.

    Parameters
    ----------
    load_progress : callable
        Returns the `Progress` of a key that the ledger holds.
    make_order_id : callable, optional
        Returns an id that no other order has.
    """

    def __init__(self, load_progress, make_order_id=None):
        self.load_progress = load_progress
        self.make_order_id = make_order_id or make_random_id
        self.runs = {}
        self.progress = {}
        self.workers = {}

    def get_progress(self, key):
        """Return the progress of an item, loaded when it is first used."""
        if key not in self.progress:
            self.progress[key] = self.load_progress(key)
        return self.progress[key]

    def choose_worker(self, zone):
        """Return the store that runs an item on an endpoint of a zone.

        Stores of the endpoint's zone go first, as events then cross zones
        once; among them the one with the fewest runs.
        """
        counts = collections.Counter(
            run.worker_id for run in self.runs.values()
        )
        return min(
            (one for one in self.workers if self.workers[one].takes_orders),
            key=lambda one: (
                self.workers[one].availability_zone != zone,
                counts[one],
                one,
            ),
            default=None,
        )

    def assign(self, job, item, endpoint, place, now):
        """Assign an item; return the store's id, None when there is none."""
        worker_id = self.choose_worker(endpoint.availability_zone)
        if worker_id is None:
            return None
        progress = self.get_progress((job.job_id, item.item_id))
        progress.keep_due = now + KEEP_SECONDS
        run = Assignment(
            self.make_order_id(),
            job,
            item,
            endpoint,
            place,
            worker_id,
            len(progress.texts),
            progress,
        )
        self.runs[run.key] = run
        return worker_id

    def take_unkept(self, listed, now):
        """Return the events to commit now, and count them as kept.

        Parameters
        ----------
        listed : collection
            Keys of items whose result is about to be committed.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        list of ItemProgress
        """
        items = []
        for key, progress in self.progress.items():
            runs = key in self.runs and now < progress.keep_due
            if runs or key in listed or progress.kept == len(progress.texts):
                continue
            items += progress.list_unkept(key)
            progress.kept = len(progress.texts)
            progress.keep_due = now + KEEP_SECONDS
        return items

    def take_report(self, worker_id, message, open_items, find_endpoint, now):
        """Take the report of a store.

        Parameters
        ----------
        worker_id : str
            Store that reports.
        message : WorkReport
            Its runs.
        open_items : dict
            Tuples of job, item and `Place` by key.
        find_endpoint : callable
            Returns the `Endpoint` of an id, None if it is not known.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        WorkOrders, list of Ended
            Answer to the store, and the runs that have ended.
        """
        self.workers[worker_id] = Worker(
            message.availability_zone, now, message.takes_orders
        )
        known = []
        ended = []
        cancels = []
        reported = set()
        for report in message.runs:
            key = (report.job_id, report.item_id)
            run = self.runs.get(key)
            if run is None:
                run = self.adopt(worker_id, report, open_items, find_endpoint)
            if run is None or run.worker_id != worker_id:
                continue
            if run.order_id != report.order_id:
                # The events of another order need not follow those that are
                # known.
                continue
            progress = run.progress
            run.reported = True
            reported.add(run.order_id)
            is_whole = progress.take(report)
            if report.outcome and is_whole:
                del self.runs[key]
                made = len(progress.texts) - report.begun
                ended.append(
                    Ended(
                        run,
                        report.outcome,
                        report.detail,
                        report.begun,
                        made,
                        report.seconds,
                    )
                )
            elif run.cancelled:
                cancels.append(run.order_id)
            known.append((run.order_id, len(progress.texts)))
        orders = self.list_orders(worker_id, reported, ended)
        reply = workmessages.WorkOrders(
            True, None, tuple(orders), tuple(known), tuple(cancels)
        )
        return reply, ended

    def adopt(self, worker_id, report, open_items, find_endpoint):
        """Return a run that was begun under another leader, or None.

        Another run may have made the events that are known behind the one
        after which this run was asked to go on. A text must not go from that
        run to this one.
        """
        key = (report.job_id, report.item_id)
        found = open_items.get(key)
        if found is None:
            return None
        progress = self.get_progress(key)
        if not progress.is_followed_by(report):
            return None
        endpoint = find_endpoint(report.endpoint_id)
        if endpoint is None:
            return None
        job, item, place = found
        run = Assignment(
            report.order_id,
            job,
            item,
            endpoint,
            place,
            worker_id,
            report.begun,
            progress,
        )
        self.runs[key] = run
        return run

    def list_orders(self, worker_id, reported, ended):
        """Return the runs that a store has not begun yet.

        An order whose answer was lost is sent again. One that was withdrawn
        before the store has got it ends here, as does a run that the store
        has had and has no more: it may have started again, and to send the
        order once more would join the events of two runs.
        """
        orders = []
        for key, run in list(self.runs.items()):
            if run.worker_id != worker_id or run.order_id in reported:
                continue
            if run.reported or run.cancelled:
                del self.runs[key]
                outcome = 'lost' if run.reported else 'cancelled'
                ended.append(Ended(run, outcome, begun=run.begun))
                continue
            item = run.item
            orders.append(
                workmessages.RunOrder(
                    run.order_id,
                    *key,
                    run.job.account,
                    run.place.host,
                    item.path,
                    item.headers,
                    item.body,
                    run.endpoint.endpoint_id,
                    run.endpoint.address,
                    run.begun,
                )
            )
        return orders

    def drop_silent(self, now):
        """Forget the stores that do not report; return their runs' ends."""
        silent = [
            worker_id
            for worker_id, worker in self.workers.items()
            if now - worker.heard > SILENT_SECONDS
        ]
        ended = []
        for worker_id in silent:
            del self.workers[worker_id]
            lost = [
                run for run in self.runs.values() if run.worker_id == worker_id
            ]
            for run in lost:
                del self.runs[run.key]
                ended.append(Ended(run, 'lost'))
            LOG.warning(
                'event=worker_silent store={} runs={}', worker_id, len(lost)
            )
        return ended


def make_random_id():
    """Return the id of an order."""
    return secrets.token_hex(ORDER_ID_BYTES)
