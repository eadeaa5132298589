"""Task of the leader that schedules batch items on the stores."""

import collections
import dataclasses
import threading
import time

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.backlog import ends
from rhubarbreach.backlog import plan
from rhubarbreach.backlog import results
from rhubarbreach.backlog import versions
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import health
from rhubarbreach.protocol import workmessages

__all__ = ['Runner']

LOG = eventlog.Logger('runner')

# Seconds before a new leader starts items. Entry hosts and stores first have
# to find it and report the items that already run. Items started on slots in
# use yield immediately, and have to be processed from the start again.
DISCOVERY_SECONDS = 0.5
# Seconds between two scheduling steps; loads are reported at this interval.
PLAN_INTERVAL_SECONDS = 0.1
# Seconds before a failed item runs again, doubled after each failure.
FIRST_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 3.0
COMMIT_TIMEOUT_SECONDS = 3.0
# Seconds between commits of the events of waiting items. For running items it
# is `assignments.RUNNING_COMMIT_SECONDS`.
PROGRESS_COMMIT_SECONDS = 0.5
# Longest time in seconds for which the count of running items is reused. Many
# entry hosts ask for it between two scheduling steps.
RUNNING_COUNT_SECONDS = 0.02
# Seconds between two summaries of the backlog in the log.
LOG_INTERVAL_SECONDS = 1.0


class Runner:
    """Scheduler of the open items while this store leads.

    Parameters
    ----------
    ledger : Ledger
        Replicated state.
    propose : callable
        Commits a command; takes the command and a deadline, and returns a
        future of the reply or a `Refusal`.
    link : Link
        Link to the stores that run the items.
    find_destination : callable
        Returns the `Destination` of a job, or None if its route was removed.
    list_slots : callable
        Returns the endpoints as a dict of id to `Endpoint`, the number of
        requests that run on each for entry hosts as a dict of id to int, and
        the ids of the endpoints that fail for several hosts.
    record_outcome : callable
        Takes the ids of an endpoint and of a store, and the numbers of
        failures and successes that the store has seen there.
    has_survived : callable
        Takes the id of an endpoint, the start of its process, and a time of
        the monotonic clock in seconds. Returns whether the process lived on
        after that time, or None if this is not known yet.
    count_item_starts : callable
        Takes the time; returns the items that may start by cold endpoint.
    take_item_start : callable
        Takes the id of an endpoint and the time; returns until when an item
        may start there, or None if it may not.
    """

    def __init__(
        self,
        ledger,
        propose,
        link,
        find_destination,
        list_slots,
        record_outcome,
        has_survived,
        count_item_starts=lambda now: {},
        take_item_start=lambda endpoint_id, now: float('inf'),
    ):
        self.progress_due = 0.0
        self.log_due = 0.0
        self.health = health.HealthTable()
        self.ledger = ledger
        self.propose = propose
        self.link = link
        self.find_destination = find_destination
        self.list_slots = list_slots
        self.record_outcome = record_outcome
        self.has_survived = has_survived
        self.count_item_starts = count_item_starts
        self.take_item_start = take_item_start
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.assignments = assignments.Assignments(self.load_progress)
        self.open_items = {}
        # Items that no longer run and whose end is not yet judged.
        self.ending_keys = set()
        self.results = results.ResultQueue(propose, self.wake.set)
        self.running_count = {}
        self.running_count_until = 0.0
        self.is_leading = False
        self.discovery_end = 0.0
        self.closed = False
        self.counts = collections.Counter()
        self.estimator = plan.RunTimeEstimator()
        self.thread = threading.Thread(
            target=self.run, name='runner', daemon=True
        )
        self.thread.start()

    def set_leading(self, is_leading):
        """Start or stop scheduling; stores continue their runs."""
        if is_leading == self.is_leading:
            return
        LOG.info('event=runner_changed leading={}', is_leading)
        self.is_leading = False
        # Replaced at both changes: a scheduling step that was in progress when
        # leadership ended may have loaded progress that is out of date when
        # this store leads again.
        with self.lock:
            self.assignments = assignments.Assignments(self.load_progress)
        self.results.clear()
        if is_leading:
            self.discovery_end = clock.monotonic() + DISCOVERY_SECONDS
            self.open_items = self.find_open_items()
            self.is_leading = True
        self.wake.set()

    def handle_report(self, worker_id, message):
        """Process the report of a store; return the reply."""
        with self.lock:
            reply, ended = self.assignments.handle_report(
                worker_id,
                message,
                self.open_items,
                self.find_endpoint,
                clock.monotonic(),
            )
        for ended_run in ended:
            self.handle_end(ended_run)
        return reply

    def find_endpoint(self, endpoint_id):
        """Return a known endpoint, or None."""
        endpoints, _, _ = self.list_slots()
        return endpoints.get(endpoint_id)

    def run(self):
        """Schedule while this store leads; sleep while no items are open."""
        while not self.closed:
            busy = False
            try:
                if self.is_leading:
                    busy = self.step(clock.monotonic())
            except Exception:
                LOG.exception('event=plan_failed')
                busy = True
            self.wake.wait(PLAN_INTERVAL_SECONDS if busy else None)
            self.wake.clear()

    def step(self, now):
        """Commit results, then cancel and start runs.

        Returns
        -------
        bool
            Whether there are open items, runs or queued results.
        """
        self.results.commit(now)
        self.open_items = self.find_open_items()
        self.judge_ends(now)
        endpoints, online, suspects = self.list_slots()
        with self.lock:
            ended_runs = self.assignments.drop_silent_workers(now)
            self.health.keep(endpoints)
            ejected = {e for e in endpoints if self.health.is_ejected(e, now)}
        ejected |= suspects
        for ended_run in ended_runs:
            self.handle_end(ended_run)
        self.cancel_unneeded(endpoints)
        runs = self.list_runs()
        slots = count_slots(endpoints, online, runs, ejected)
        self.estimator.update_availability(slots, now)
        running = self.list_running(runs)
        self.cancel_runs(plan.plan_yields(running, slots))
        if now >= self.discovery_end:
            unplaced = self.start_items(endpoints, slots, now)
            self.cancel_runs(plan.plan_displacements(running, unplaced))
        if now >= self.progress_due:
            self.progress_due = now + PROGRESS_COMMIT_SECONDS
            self.commit_progress(now)
        if now >= self.log_due:
            self.log_due = now + LOG_INTERVAL_SECONDS
            self.log_summary(slots)
        return bool(
            self.open_items or self.ending_keys or runs or self.results
        )

    def list_runs(self):
        """Return the assigned runs."""
        with self.lock:
            return list(self.assignments.runs.values())

    def find_open_items(self):
        """Return the open items by key; give up those that cannot run."""
        open_items = {}
        ending_keys = set()
        listed_keys = self.results.list_keys()
        unix_time = time.time()
        now = clock.monotonic()
        for job, items in self.ledger.list_open():
            destination = self.find_destination(job)
            is_expired = self.ledger.is_expired(job, unix_time, now)
            for item in items:
                key = (job.job_id, item.item_id)
                if destination is not None and not is_expired:
                    open_items[key] = (job, item, destination)
                    continue
                reason = 'its time is over'
                if destination is None:
                    reason = 'its route is gone'
                if key not in listed_keys and not self.end_item(
                    job, item, reason
                ):
                    ending_keys.add(key)
        self.ending_keys = ending_keys
        return open_items

    def judge_ends(self, now):
        """List the items that no longer wait for the proof of their end."""
        unix_time = time.time()
        listed_keys = self.results.list_keys()
        with self.lock:
            ending = [
                (key, progress, key in self.assignments.runs)
                for key, progress in self.assignments.progress.items()
                if progress.orderly_end is not None
                or progress.final_reason is not None
            ]
        for key, progress, is_running in ending:
            if key not in self.open_items or key in listed_keys:
                continue
            job, item, _ = self.open_items[key]
            end = progress.orderly_end
            has_survived = end is not None and self.judge_survival(end)
            if progress.final_reason is not None:
                self.end_item(job, item, progress.final_reason)
            elif (
                has_survived
                and not is_running
                and ends.is_overdue(end, job.due, unix_time, now)
            ):
                self.take_as_whole(job, item, end, 'its time is short')

    def judge_survival(self, end):
        """Return whether a process lived on after the end of its response.

        Returns
        -------
        bool or None
            None if this is not known yet.
        """
        if end.has_survived:
            return True
        survived = self.has_survived(*end.process, end.seen_at)
        end.has_survived = bool(survived)
        return survived

    def end_item(self, job, item, reason):
        """List an item that does not run again; return whether it is judged.

        An output whose end is not proven is whole if its endpoint lived on.
        """
        key = (job.job_id, item.item_id)
        with self.lock:
            end = self.assignments.get_progress(key).orderly_end
            is_running = key in self.assignments.runs
        if end is not None:
            survived = None if is_running else self.judge_survival(end)
            if survived is None:
                return False
            if survived:
                return self.take_as_whole(job, item, end, reason)
        self.give_up(job, item, reason)
        return True

    def cancel_unneeded(self, endpoints):
        """Cancel runs of closed items and runs on draining endpoints.

        A run whose events would be lost goes on until its endpoint ends. One
        that its store has not reported may not have begun, and does not.
        """
        with self.lock:
            progress = self.assignments.progress
            for key in list(progress):
                if (
                    key not in self.open_items
                    and key not in self.ending_keys
                    and key not in self.assignments.runs
                ):
                    del progress[key]
            keys = [
                run.key
                for run in self.assignments.runs.values()
                if run.key not in self.open_items
                or is_to_leave(run, endpoints)
            ]
        self.cancel_runs(keys)

    def list_running(self, runs):
        """Return the runs that are not cancelled, as `RunningItem`."""
        unix_time = time.time()
        running = []
        for run in runs:
            if run.cancelled:
                continue
            event_count = len(run.progress.texts)
            running.append(
                plan.RunningItem(
                    run.key,
                    run.endpoint.endpoint_id,
                    run.destination.service,
                    run.job.due,
                    run.job.due
                    - unix_time
                    - self.estimator.predict(event_count),
                    event_count,
                )
            )
        return running

    def cancel_runs(self, keys):
        """Cancel runs and notify their stores immediately, if reachable."""
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
        """Assign items to free slots; return the waiting items left over."""
        unix_time = time.time()
        waiting = []
        notified = set()
        with self.lock:
            ended_keys = self.results.list_keys()
            for key, (job, _, destination) in self.open_items.items():
                if key in self.assignments.runs or key in ended_keys:
                    continue
                progress = self.assignments.get_progress(key)
                if progress.not_before > now:
                    continue
                if progress.final_reason is not None:
                    continue
                service = destination.service
                if progress.texts and versions.is_stranded(
                    progress, service, endpoints, slots, now
                ):
                    if self.may_be_whole(progress):
                        continue
                    restart_item(key, progress)
                event_count = len(progress.texts)
                slack = (
                    job.due - unix_time - self.estimator.predict(event_count)
                )
                waiting.append(
                    plan.WaitingItem(
                        key,
                        service,
                        job.due,
                        slack,
                        event_count,
                        progress.software_version if event_count else None,
                    )
                )
            started = set()
            max_starts = self.count_item_starts(now)
            for item, endpoint_id in plan.plan_starts(
                waiting, slots, max_starts
            ):
                zone = endpoints[endpoint_id].availability_zone
                if self.assignments.choose_worker(zone) is None:
                    # A permit would be lost.
                    continue
                start_before = self.take_item_start(endpoint_id, now)
                if start_before is None:
                    continue
                endpoint = dataclasses.replace(
                    endpoints[endpoint_id], start_before=start_before
                )
                job, ledger_item, destination = self.open_items[item.key]
                worker_id = self.assignments.assign(
                    job, ledger_item, endpoint, destination, now
                )
                if worker_id is not None:
                    started.add(item.key)
                    notified.add(worker_id)
        for worker_id in notified:
            # An empty message makes the store request its orders immediately.
            self.link.send(worker_id, workmessages.RunCancel(()))
        return [item for item in waiting if item.key not in started]

    def may_be_whole(self, progress):
        """Return whether all events of an item may be there."""
        end = progress.orderly_end
        return end is not None and self.judge_survival(end) is not False

    def log_summary(self, slots):
        """Log a summary of open and running items."""
        unix_time = time.time()
        LOG.info(
            'event=backlog open={} late={} running={} online={} slots={} '
            'endpoints={} yielded={} failed={} completed={}',
            len(self.open_items),
            sum(job.due < unix_time for job, _, _ in self.open_items.values()),
            sum(endpoint.batch for endpoint in slots),
            sum(endpoint.online for endpoint in slots),
            sum(endpoint.total for endpoint in slots),
            len(slots),
            self.counts['yielded'],
            self.counts['failed'],
            self.counts['completed'],
        )

    def commit_progress(self, now):
        """Commit new events without waiting for the commit."""
        with self.lock:
            ended_keys = self.results.list_keys()
            items = self.assignments.take_uncommitted(ended_keys, now)
        if items:
            command = commands.AddProgress(tuple(items))
            self.propose(
                commands.FAMILY.encode(command), now + COMMIT_TIMEOUT_SECONDS
            )

    def load_progress(self, key):
        """Return the progress of an item that the ledger holds."""
        texts, source, software_version = self.ledger.get_progress(*key)
        sources = [] if source is None else [source]
        event_count, process = self.ledger.get_end(*key)
        end = None
        if process is not None and event_count == len(texts):
            end = ends.OrderlyEnd(*process, clock.monotonic())
        return assignments.Progress(
            texts,
            sources,
            committed=len(texts),
            software_version=software_version,
            orderly_end=end,
            committed_end=process,
        )

    def count_running(self):
        """Return the number of running items by endpoint id."""
        now = clock.monotonic()
        if now >= self.running_count_until:
            self.running_count = collections.Counter(
                run.endpoint.endpoint_id for run in self.list_runs()
            )
            self.running_count_until = now + RUNNING_COUNT_SECONDS
        return self.running_count

    def handle_end(self, ended):
        """Process an ended run: complete, retry or give up its item."""
        run = ended.assignment
        now = clock.monotonic()
        if ended.outcome == 'unproven' and self.has_crashed(ended, now):
            ended = dataclasses.replace(
                ended, outcome='failed', detail='endpoint is gone'
            )
        outcome = ended.outcome
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
            ended.event_count,
            ended.seconds,
        )
        self.record_health(run, ended, now)
        if progress.orderly_end is not None:
            self.judge_survival(progress.orderly_end)
        progress.add_contrary_evidence(ended)
        if outcome == 'completed':
            self.estimator.add_item(
                len(progress.texts), ended.event_count, ended.seconds
            )
            self.complete(run, progress, ended, now)
        elif outcome == 'unproven':
            if progress.add_unproven_end(ended, now):
                self.complete(run, progress, ended, now)
            else:
                self.progress_due = now
        elif outcome == 'impossible':
            self.stop_running(run, progress, ended.detail)
        elif outcome not in ('cancelled', 'expired', 'lost'):
            self.handle_failure(run, progress, ended, now)
        self.wake.set()

    def has_crashed(self, ended, now):
        """Return whether an endpoint is gone after its response."""
        endpoint = ended.assignment.endpoint
        return ended.is_port_closed and not self.has_survived(
            endpoint.endpoint_id, endpoint.born, now
        )

    def complete(self, run, progress, ended, now):
        """Queue the result of an item; run it anew if that fits no commit.

        Bytes of the output that are not UTF-8 are replaced by longer ones.
        """
        if not self.add_output(run.job, run.item, progress.texts):
            self.handle_failure(
                run,
                progress,
                dataclasses.replace(
                    ended,
                    outcome='oversized',
                    detail='result exceeds a commit',
                ),
                now,
            )

    def add_output(self, job, item, texts):
        """Queue the output of an item; return whether it fits a commit."""
        text = b'\n'.join(texts).decode('utf-8', 'replace')
        result = commands.ItemResult(
            item.item_id, commands.ItemState.COMPLETED, text
        )
        return self.results.add(job.job_id, result)

    def take_as_whole(self, job, item, end, reason):
        """Queue an output without the proof of its end.

        Returns
        -------
        bool
            False if another run goes on, or if the output fits no commit.
        """
        key = (job.job_id, item.item_id)
        with self.lock:
            progress = self.assignments.get_progress(key)
            if progress.orderly_end is not end or key in self.assignments.runs:
                return False
            texts = list(progress.texts)
        LOG.info(
            'event=end_not_proven job={} item={} endpoint={} made={} '
            'reason={!r}',
            job.job_id,
            item.item_id,
            end.endpoint_id,
            len(texts),
            reason,
        )
        if self.add_output(job, item, texts):
            return True
        progress.orderly_end = None
        return False

    def handle_failure(self, run, progress, ended, now):
        """Schedule the retry of a failed item, or give the item up."""
        progress.failures += 1
        progress.attempts += ended.outcome == 'attempted'
        backoff = FIRST_BACKOFF_SECONDS * 2 ** min(progress.failures - 1, 8)
        progress.not_before = now + min(MAX_BACKOFF_SECONDS, backoff)
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
        if ended.outcome == 'oversized':
            self.drop_events(run, progress)
        if progress.attempts >= max(1, run.job.max_attempts):
            self.stop_running(run, progress, ended.detail)

    def stop_running(self, run, progress, reason):
        """Let an item run no more; its result follows."""
        progress.final_reason = reason
        self.end_item(run.job, run.item, reason)

    def drop_events(self, run, progress):
        """Drop the events of an item, also those in the ledger.

        They cannot become a result, and may come from a faulty endpoint.
        """
        with self.lock:
            restart_item(run.key, progress)
            progress.oversized_at.add(run.endpoint.endpoint_id)
        self.propose(
            commands.FAMILY.encode(commands.DropProgress(*run.key)),
            clock.monotonic() + COMMIT_TIMEOUT_SECONDS,
        )

    def record_health(self, run, ended, now):
        """Record the success or failure of a run for its endpoint.

        An item whose output is too large at several endpoints is at fault
        itself.
        """
        endpoint_id = run.endpoint.endpoint_id
        outcome = ended.outcome
        others = run.progress.oversized_at - {endpoint_id}
        if outcome == 'failed' or (outcome == 'oversized' and not others):
            with self.lock:
                self.health.record_failure(endpoint_id, now)
            self.record_outcome(endpoint_id, run.worker_id, 1, 0)
        elif outcome == 'completed' or (
            outcome == 'unproven' and ended.event_count
        ):
            with self.lock:
                self.health.record_success(endpoint_id)
            self.record_outcome(endpoint_id, run.worker_id, 0, 1)

    def give_up(self, job, item, reason):
        """Queue the result of an item that is given up."""
        self.results.add(
            job.job_id,
            commands.ItemResult(
                item.item_id, commands.ItemState.GIVEN_UP, '', reason
            ),
        )

    def close(self):
        """Stop scheduling."""
        self.closed = True
        self.wake.set()


def is_to_leave(run, endpoints):
    """Return whether a run has to resume elsewhere, as its endpoint drains.

    If no other endpoint has its software version, its events would be lost.
    """
    if not is_draining(endpoints.get(run.endpoint.endpoint_id)):
        return False
    return not (run.reported and run.progress.texts) or versions.is_in_service(
        run.endpoint.software_version, run.destination.service, endpoints
    )


def is_draining(endpoint):
    """Return whether an endpoint is known to drain.

    An unknown endpoint may have announced itself to another leader, so its
    runs are not cancelled. If it no longer exists, they fail anyway.
    """
    return endpoint is not None and endpoint.is_draining


def restart_item(key, progress):
    """Drop the events of an item, so that it begins anew."""
    LOG.info(
        'event=item_restarted job={} item={} made={} version={!r}',
        *key,
        len(progress.texts),
        progress.software_version,
    )
    progress.restart()


def count_slots(endpoints, online, runs, ejected):
    """Return the `EndpointSlots` of each endpoint that accepts items."""
    batch = collections.Counter(
        run.endpoint.endpoint_id for run in runs if not run.cancelled
    )
    return [
        plan.EndpointSlots(
            endpoint.endpoint_id,
            endpoint.service,
            endpoint.slots,
            online.get(endpoint.endpoint_id, 0),
            batch[endpoint.endpoint_id],
            endpoint.software_version,
        )
        for endpoint in endpoints.values()
        if not endpoint.is_draining and endpoint.endpoint_id not in ejected
    ]
