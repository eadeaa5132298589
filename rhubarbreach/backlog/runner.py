"""The task of the leader that has batch items run by the stores."""

import collections
import threading
import time

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import plan
from rhubarbreach.backlog import results
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import health
from rhubarbreach.protocol import workmessages

__all__ = ['Runner']

LOG = eventlog.Logger('runner')

# A new leader starts items only after this long, in seconds: entry hosts and
# stores have to find it and tell what runs already. Items that are started
# on slots in use yield again at once, and are read from the start.
LEARN_SECONDS = 0.5
# Seconds between two plans; loads are reported this often.
PLAN_SECONDS = 0.1
# Seconds before a failed item runs again, doubled by each failure.
FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 3.0
COMMIT_SECONDS = 3.0
# Interval at which the events of items that wait are committed, in seconds.
# Those of an item that runs are committed as `assignments.KEEP_SECONDS` says.
KEEP_SECONDS = 0.5
# Interval of the line in the log that sums the backlog up, in seconds.
REPORT_SECONDS = 1.0


class Runner:
    """Plans and runs the open items while this store leads.

    Parameters
    ----------
    ledger : Ledger
        Replicated state.
    propose : callable
        Commits a command; takes it and a deadline, returns a future of its
        reply or a `Refusal`.
    link : Link
        Link to the stores that run the items.
    find_place : callable
        Returns the `Place` of a job, None when its route is gone.
    list_slots : callable
        Returns the endpoints as a dict of id to `Endpoint`, the requests
        that run on each for entry hosts, as a dict of id to int, and the ids
        of those that fail for several hosts.
    note_outcome : callable
        Takes the id of an endpoint and of a store, and the failures and
        successes that the store has seen there.
    """

    def __init__(
        self, ledger, propose, link, find_place, list_slots, note_outcome
    ):
        self.keep_due = 0.0
        self.report_due = 0.0
        self.health = health.HealthTable()
        self.ledger = ledger
        self.propose = propose
        self.link = link
        self.find_place = find_place
        self.list_slots = list_slots
        self.note_outcome = note_outcome
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.assignments = assignments.Assignments(self.load_progress)
        self.open_items = {}
        self.results = results.Results(propose, self.wake.set)
        self.is_leading = False
        self.learned = 0.0
        self.closed = False
        self.counts = collections.Counter()
        self.pace = plan.Pace()
        self.thread = threading.Thread(
            target=self.run, name='runner', daemon=True
        )
        self.thread.start()

    def lead(self, is_leading):
        """Begin or cease to plan; stores go on with what they run."""
        if is_leading == self.is_leading:
            return
        LOG.info('event=runner_changed leading={}', is_leading)
        self.is_leading = False
        # Also before it leads again: a plan that was being made when it ceased
        # to lead may have left progress behind that is out of date by now.
        with self.lock:
            self.assignments = assignments.Assignments(self.load_progress)
        self.results.clear()
        if is_leading:
            self.learned = clock.monotonic() + LEARN_SECONDS
            self.open_items = self.find_open()
            self.is_leading = True
        self.wake.set()

    def take_report(self, worker_id, message):
        """Return the answer to the report of a store, as the leader."""
        with self.lock:
            reply, ended = self.assignments.take_report(
                worker_id,
                message,
                self.open_items,
                self.find_endpoint,
                clock.monotonic(),
            )
        for one in ended:
            self.finish(one)
        return reply

    def find_endpoint(self, endpoint_id):
        """Return an endpoint that is known, or None."""
        endpoints, _, _ = self.list_slots()
        return endpoints.get(endpoint_id)

    def run(self):
        """Plan while this store leads; sleep while nothing is open."""
        while not self.closed:
            busy = False
            try:
                if self.is_leading:
                    busy = self.step(clock.monotonic())
            except Exception:
                LOG.exception('event=plan_failed')
            self.wake.wait(PLAN_SECONDS if busy else None)
            self.wake.clear()

    def step(self, now):
        """Commit results, cancel, start; return whether items are open."""
        self.results.commit(now)
        self.open_items = self.find_open()
        endpoints, online, suspects = self.list_slots()
        with self.lock:
            lost = self.assignments.drop_silent(now)
            self.health.keep(endpoints)
            ejected = {e for e in endpoints if self.health.is_ejected(e, now)}
        ejected |= suspects
        for one in lost:
            self.finish(one)
        self.cancel_closed(endpoints)
        runs = self.list_runs()
        slots = count_slots(endpoints, online, runs, ejected)
        self.pace.note_room(slots, now)
        running = self.list_running(runs)
        self.cancel_keys(plan.plan_yields(running, slots))
        if now >= self.learned:
            unplaced = self.start_items(endpoints, slots, now)
            self.cancel_keys(plan.plan_displacements(running, unplaced))
        if now >= self.keep_due:
            self.keep_due = now + KEEP_SECONDS
            self.keep_progress(now)
        if now >= self.report_due:
            self.report_due = now + REPORT_SECONDS
            self.report(slots)
        return bool(self.open_items or runs or self.results)

    def list_runs(self):
        """Return the runs that are assigned."""
        with self.lock:
            return list(self.assignments.runs.values())

    def find_open(self):
        """Return the open items by key; give up what cannot be done."""
        found = {}
        moment = time.time()
        for job, items in self.ledger.list_open():
            place = self.find_place(job)
            for item in items:
                key = (job.job_id, item.item_id)
                if place is None:
                    self.give_up(job, item, 'its route is gone')
                elif moment > job.retained_until:
                    self.give_up(job, item, 'its time is over')
                else:
                    found[key] = (job, item, place)
        return found

    def cancel_closed(self, endpoints):
        """End the runs of items that need no result, or that must move."""
        with self.lock:
            progress = self.assignments.progress
            for key in list(progress):
                if (
                    key not in self.open_items
                    and key not in self.assignments.runs
                ):
                    del progress[key]
            keys = [
                run.key
                for run in self.assignments.runs.values()
                if run.key not in self.open_items
                or is_draining(endpoints.get(run.endpoint.endpoint_id))
            ]
        self.cancel_keys(keys)

    def list_running(self, runs):
        """Return the runs that go on, as the plan sees them."""
        moment = time.time()
        running = []
        for run in runs:
            if run.cancelled:
                continue
            made = len(run.progress.texts)
            running.append(
                plan.Running(
                    run.key,
                    run.endpoint.endpoint_id,
                    run.place.service,
                    run.job.due,
                    run.job.due - moment - self.pace.predict(made),
                    made,
                )
            )
        return running

    def cancel_keys(self, keys):
        """Cancel runs, at once where their stores can be reached."""
        by_worker = {}
        with self.lock:
            for key in keys:
                run = self.assignments.runs.get(key)
                if run is not None and not run.cancelled:
                    run.cancelled = True
                    self.counts['yielded'] += 1
                    by_worker.setdefault(run.worker_id, []).append(
                        run.order_id
                    )
        for worker_id, order_ids in by_worker.items():
            self.link.send(worker_id, workmessages.RunCancel(tuple(order_ids)))

    def start_items(self, endpoints, slots, now):
        """Assign items to free slots; return those that are left."""
        moment = time.time()
        waiting = []
        told = set()
        with self.lock:
            listed = self.results.list_keys()
            for key, (job, _, place) in self.open_items.items():
                if key in self.assignments.runs or key in listed:
                    continue
                progress = self.assignments.get_progress(key)
                if progress.not_before > now:
                    continue
                made = len(progress.texts)
                slack = job.due - moment - self.pace.predict(made)
                waiting.append(
                    plan.Waiting(key, place.service, job.due, slack, made)
                )
            started = set()
            for item, endpoint_id in plan.plan_starts(waiting, slots):
                job, entry, place = self.open_items[item.key]
                worker_id = self.assignments.assign(
                    job, entry, endpoints[endpoint_id], place, now
                )
                if worker_id is not None:
                    started.add(item.key)
                    told.add(worker_id)
        for worker_id in told:
            # It asks for its orders.
            self.link.send(worker_id, workmessages.RunCancel(()))
        return [item for item in waiting if item.key not in started]

    def report(self, slots):
        """Write what waits and what runs to the log."""
        moment = time.time()
        LOG.info(
            'event=backlog open={} late={} running={} online={} slots={} '
            'endpoints={} yielded={} failed={} completed={}',
            len(self.open_items),
            sum(job.due < moment for job, _, _ in self.open_items.values()),
            sum(one.batch for one in slots),
            sum(one.online for one in slots),
            sum(one.total for one in slots),
            len(slots),
            self.counts['yielded'],
            self.counts['failed'],
            self.counts['completed'],
        )

    def keep_progress(self, now):
        """Commit the events made since the last time, without waiting."""
        with self.lock:
            listed = self.results.list_keys()
            items = self.assignments.take_unkept(listed, now)
        if items:
            command = commands.AddProgress(tuple(items))
            self.propose(commands.FAMILY.encode(command), now + COMMIT_SECONDS)

    def load_progress(self, key):
        """Return what an item is known to have made under any leader."""
        texts, maker = self.ledger.get_made(*key)
        makers = [] if maker is None else [maker]
        return assignments.Progress(texts, makers, kept=len(texts))

    def count_running(self):
        """Return the items that run on each endpoint."""
        return dict(
            collections.Counter(
                run.endpoint.endpoint_id for run in self.list_runs()
            )
        )

    def finish(self, ended):
        """Draw the consequences of a run that has ended."""
        run = ended.assignment
        outcome = ended.outcome
        now = clock.monotonic()
        progress = run.progress
        self.counts[outcome] += 1
        LOG.info(
            'event=item_run job={} item={} endpoint={} store={} outcome={} '
            'begun={} made={} seconds={:.3f}',
            run.job.job_id,
            run.item.item_id,
            run.endpoint.endpoint_id,
            run.worker_id,
            outcome,
            ended.begun,
            ended.made,
            ended.seconds,
        )
        self.note_health(run, outcome, now)
        if outcome == 'completed':
            self.pace.add(len(progress.texts), ended.made, ended.seconds)
            text = b'\n'.join(progress.texts).decode('utf-8', 'replace')
            self.results.add(
                run.job.job_id,
                commands.ItemResult(
                    run.item.item_id, commands.ItemState.COMPLETED, text
                ),
            )
        elif outcome == 'impossible':
            self.give_up(run.job, run.item, ended.detail)
        elif outcome not in ('cancelled', 'lost'):
            self.note_failure(run, progress, ended, now)
        self.wake.set()

    def note_failure(self, run, progress, ended, now):
        """Let a failed item wait, or give it up."""
        progress.failures += 1
        progress.attempts += ended.outcome == 'attempted'
        pause = FIRST_PAUSE_SECONDS * 2 ** min(progress.failures - 1, 8)
        progress.not_before = now + min(MAX_PAUSE_SECONDS, pause)
        LOG.info(
            'event=item_failed job={} item={} endpoint={} outcome={} '
            'attempts={} made={} reason={!r}',
            run.job.job_id,
            run.item.item_id,
            run.endpoint.endpoint_id,
            ended.outcome,
            progress.attempts,
            len(progress.texts),
            ended.detail,
        )
        if progress.attempts >= max(1, run.job.max_attempts):
            self.give_up(run.job, run.item, ended.detail)

    def note_health(self, run, outcome, now):
        """Leave an endpoint out on which a run has failed."""
        endpoint_id = run.endpoint.endpoint_id
        if outcome == 'failed':
            with self.lock:
                self.health.note_failure(endpoint_id, now)
            self.note_outcome(endpoint_id, run.worker_id, 1, 0)
        elif outcome == 'completed':
            with self.lock:
                self.health.note_success(endpoint_id)
            self.note_outcome(endpoint_id, run.worker_id, 0, 1)

    def give_up(self, job, item, reason):
        """List an item as given up."""
        self.results.add(
            job.job_id,
            commands.ItemResult(
                item.item_id, commands.ItemState.GIVEN_UP, '', reason
            ),
        )

    def close(self):
        """Stop planning."""
        self.closed = True
        self.wake.set()


def is_draining(endpoint):
    """Return whether an endpoint is known to drain.

    One that is not known may have announced itself to another leader; when
    it is gone its runs fail by themselves.
    """
    return endpoint is not None and endpoint.is_draining


def count_slots(endpoints, online, runs, ejected):
    """Return the use of the slots of each endpoint that takes items."""
    batch = collections.Counter(
        run.endpoint.endpoint_id for run in runs if not run.cancelled
    )
    return [
        plan.Slots(
            endpoint.endpoint_id,
            endpoint.service,
            endpoint.slots,
            online.get(endpoint.endpoint_id, 0),
            batch[endpoint.endpoint_id],
        )
        for endpoint in endpoints.values()
        if not endpoint.is_draining and endpoint.endpoint_id not in ejected
    ]
