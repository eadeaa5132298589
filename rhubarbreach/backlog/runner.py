"""The tasks that run batch items on endpoints, at the leader."""

import collections
import concurrent.futures
import threading
import time

from rhubarbreach.backlog import commands
from rhubarbreach.backlog import execution
from rhubarbreach.backlog import plan
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.fleet import health

__all__ = ['Runner']

LOG = eventlog.Logger('runner')

# Items that run at once; the fleet of today has 48 slots.
MAX_RUNNING = 64
# Seconds between two plans; loads are reported this often.
PLAN_SECONDS = 0.1
# Seconds before a failed item runs again, doubled by each failure.
FIRST_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 3.0
COMMIT_SECONDS = 3.0
# Interval at which the events that items have made are committed, in seconds.
# After a loss this much of each item is repeated at most; an item runs for
# about 5 s.
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
    dialect : object
        `encode_item(item, account, host, endpoint_id, last_id)` and
        `is_not_run(head)`.
    find_place : callable
        Returns the `Place` of a job, None when its route is gone.
    list_slots : callable
        Returns the endpoints as a dict of id to `Endpoint` and the requests
        that run on each for entry hosts, as a dict of id to int.
    """

    def __init__(self, ledger, propose, dialect, find_place, list_slots):
        self.keep_due = 0.0
        self.report_due = 0.0
        self.health = health.HealthTable()
        self.ledger = ledger
        self.propose = propose
        self.dialect = dialect
        self.find_place = find_place
        self.list_slots = list_slots
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.runs = {}
        self.progress = {}
        self.results = []
        self.is_leading = False
        self.closed = False
        self.counts = collections.Counter()
        self.pace = plan.Pace()
        self.executor = concurrent.futures.ThreadPoolExecutor(
            MAX_RUNNING, thread_name_prefix='item'
        )
        self.thread = threading.Thread(
            target=self.run, name='runner', daemon=True
        )
        self.thread.start()

    def lead(self, is_leading):
        """Begin or cease to run items."""
        if is_leading == self.is_leading:
            return
        self.is_leading = is_leading
        LOG.info('event=runner_changed leading={}', is_leading)
        if not is_leading:
            self.cancel_all()
            with self.lock:
                self.progress.clear()
                self.results.clear()
        self.wake.set()

    def cancel_all(self):
        """End all runs."""
        with self.lock:
            runs = list(self.runs.values())
        for run in runs:
            run.cancel()

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
        self.commit_results()
        open_items = self.find_open()
        self.cancel_closed(open_items)
        endpoints, online = self.list_slots()
        with self.lock:
            runs = list(self.runs.values())
            self.health.keep(endpoints)
            ejected = {e for e in endpoints if self.health.is_ejected(e, now)}
        slots = count_slots(endpoints, online, runs, ejected)
        running = self.list_running(runs)
        self.cancel_keys(plan.plan_yields(running, slots))
        unplaced = self.start_items(open_items, endpoints, slots, now)
        self.cancel_keys(plan.plan_displacements(running, unplaced))
        if now >= self.keep_due:
            self.keep_due = now + KEEP_SECONDS
            self.keep_progress(now)
        if now >= self.report_due:
            self.report_due = now + REPORT_SECONDS
            self.report(open_items, slots)
        return bool(open_items or runs or self.results)

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

    def cancel_closed(self, open_items):
        """End the runs of items that need no result any more."""
        with self.lock:
            runs = list(self.runs.values())
            for key in list(self.progress):
                if key not in open_items and key not in self.runs:
                    del self.progress[key]
        for run in runs:
            if run.key not in open_items or run.endpoint.is_draining:
                run.cancel()

    def list_running(self, runs):
        """Return the runs that go on, as the plan sees them."""
        moment = time.time()
        running = []
        for run in runs:
            if run.cancelled:
                continue
            made = len(self.get_progress(run.key).texts)
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
        """Cancel runs whose slots others need."""
        with self.lock:
            runs = [self.runs[key] for key in keys if key in self.runs]
        for run in runs:
            if not run.cancelled:
                self.counts['yielded'] += 1
                run.cancel()

    def start_items(self, open_items, endpoints, slots, now):
        """Start items on free slots; return those that are left."""
        moment = time.time()
        waiting = []
        with self.lock:
            listed = {(job, result.item_id) for job, result in self.results}
            for key, (job, _, place) in open_items.items():
                progress = self.progress.get(key)
                if key in self.runs or key in listed:
                    continue
                if progress is not None and progress.not_before > now:
                    continue
                made = 0 if progress is None else len(progress.texts)
                slack = job.due - moment - self.pace.predict(made)
                waiting.append(
                    plan.Waiting(key, place.service, job.due, slack, made)
                )
        room = MAX_RUNNING - len(self.runs)
        starts = plan.plan_starts(waiting, slots)[:room]
        for item, endpoint_id in starts:
            job, entry, place = open_items[item.key]
            run = execution.Run(job, entry, endpoints[endpoint_id], place)
            with self.lock:
                self.runs[run.key] = run
                if run.key not in self.progress:
                    self.progress[run.key] = self.load_progress(run.key)
            self.executor.submit(self.run_item, run)
        started = {item.key for item, _ in starts}
        return [item for item in waiting if item.key not in started]

    def report(self, open_items, slots):
        """Write what waits and what runs to the log."""
        moment = time.time()
        LOG.info(
            'event=backlog open={} late={} running={} online={} slots={} '
            'endpoints={} yielded={} failed={} completed={}',
            len(open_items),
            sum(job.due < moment for job, _, _ in open_items.values()),
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
        items = []
        with self.lock:
            for (job_id, item_id), progress in self.progress.items():
                texts = tuple(progress.texts[progress.kept :])
                if texts:
                    items.append(
                        commands.ItemProgress(
                            job_id, item_id, progress.kept + 1, texts
                        )
                    )
                    progress.kept += len(texts)
        if items:
            command = commands.AddProgress(tuple(items))
            self.propose(commands.FAMILY.encode(command), now + COMMIT_SECONDS)

    def load_progress(self, key):
        """Return what an item is known to have made under any leader."""
        texts = self.ledger.get_made(*key)
        return execution.Progress(texts, len(texts), kept=len(texts))

    def count_running(self):
        """Return the items that run on each endpoint."""
        with self.lock:
            return dict(
                collections.Counter(
                    run.endpoint.endpoint_id for run in self.runs.values()
                )
            )

    def get_progress(self, key):
        """Return the progress of an item, empty when it has none."""
        with self.lock:
            return self.progress.get(key) or execution.Progress()

    def run_item(self, run):
        """Run an item once and draw the consequences."""
        progress = self.get_progress(run.key)
        outcome, detail = execution.carry_out(run, progress, self.dialect)
        self.finish(run, progress, outcome, detail)

    def finish(self, run, progress, outcome, detail):
        """Draw the consequences of a run."""
        if run.cancelled:
            outcome = 'cancelled'
        self.counts[outcome] += 1
        now = clock.monotonic()
        LOG.info(
            'event=item_run job={} item={} endpoint={} outcome={} first={} '
            'made={} seconds={:.3f}',
            run.job.job_id,
            run.item.item_id,
            run.endpoint.endpoint_id,
            outcome,
            run.first,
            len(progress.texts) - run.first,
            now - run.began,
        )
        self.note_health(run.endpoint.endpoint_id, outcome, now)
        if outcome == 'completed':
            made = len(progress.texts)
            self.pace.add(made, made - run.first, now - run.began)
            text = b'\n'.join(progress.texts).decode('utf-8', 'replace')
            self.list_result(
                run.job,
                commands.ItemResult(
                    run.item.item_id, commands.ItemState.COMPLETED, text
                ),
            )
        elif outcome == 'impossible':
            self.give_up(run.job, run.item, detail)
        elif outcome != 'cancelled':
            progress.failures += 1
            progress.attempts += outcome == 'attempted'
            pause = FIRST_PAUSE_SECONDS * 2 ** min(progress.failures - 1, 8)
            progress.not_before = now + min(MAX_PAUSE_SECONDS, pause)
            LOG.info(
                'event=item_failed job={} item={} endpoint={} outcome={} '
                'attempts={} made={} reason={!r}',
                run.job.job_id,
                run.item.item_id,
                run.endpoint.endpoint_id,
                outcome,
                progress.attempts,
                len(progress.texts),
                detail,
            )
            if progress.attempts >= max(1, run.job.max_attempts):
                self.give_up(run.job, run.item, detail)
        with self.lock:
            self.runs.pop(run.key, None)
        self.wake.set()

    def note_health(self, endpoint_id, outcome, now):
        """Leave an endpoint out on which a run has failed."""
        with self.lock:
            if outcome == 'failed':
                self.health.note_failure(endpoint_id, now)
            elif outcome == 'completed':
                self.health.note_success(endpoint_id)

    def give_up(self, job, item, reason):
        """List an item as given up."""
        self.list_result(
            job,
            commands.ItemResult(
                item.item_id, commands.ItemState.GIVEN_UP, '', reason
            ),
        )

    def list_result(self, job, result):
        """Queue a result for the next commit."""
        with self.lock:
            known = any(
                job_id == job.job_id and one.item_id == result.item_id
                for job_id, one in self.results
            )
            if not known:
                self.results.append((job.job_id, result))

    def commit_results(self):
        """Commit the queued results; keep them when it is not known."""
        with self.lock:
            results = list(self.results)
        if not results:
            return
        command = commands.FAMILY.encode(commands.AddResults(tuple(results)))
        deadline = clock.monotonic() + COMMIT_SECONDS
        reply = self.propose(command, deadline).result()
        if isinstance(reply, codes.Refusal):
            LOG.warning(
                'event=results_not_committed reason={!r}', reply.reason
            )
            return
        for job_id, result in results:
            LOG.info(
                'event=item_listed job={} item={} state={} bytes={} '
                'reason={!r}',
                job_id,
                result.item_id,
                result.state,
                len(result.output),
                result.reason,
            )
        with self.lock:
            done = set(map(id, results))
            self.results = [r for r in self.results if id(r) not in done]

    def close(self):
        """Stop all runs."""
        self.closed = True
        self.cancel_all()
        self.wake.set()
        self.executor.shutdown(wait=False, cancel_futures=True)


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
