"""Batch runner of a host: claims items, runs them, reports results."""

import concurrent.futures
import dataclasses
import threading

import logbook

from rhubarbreach.batch import holdings
from rhubarbreach.batch import items
from rhubarbreach.batch import lanes
from rhubarbreach.batch import window
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import jobcommands

__all__ = ['Runner']

LOG = logbook.Logger('batch')

# Seconds between renewals. A renewal also tells of cancelled jobs whose
# `CancelAttempts` message was lost.
RENEW_PERIOD = 1.0
# Seconds for an item from its hand-over to the executor, with its wait for
# an endpoint.
ITEM_TIMEOUT = 600.0
# Seconds without claims for a target whose item was refused here, so that
# it is not claimed and refused over and over. Other hosts may run it.
REFUSED_SECONDS = 1.0
# Seconds for handing items back at the end of a drain.
HANDBACK_TIME = 5.0
# Bytes of bodies in one claim; the reply stays below 1 MiB.
CLAIM_BYTES = 512 * 1024
# Seconds between two looks at what is due.
LOOP_PERIOD = 0.02
WORKERS = 8
MILLISECONDS = 1000


class Runner:
    """Runs the batch items of one host.

    Parameters
    ----------
    store : Store
        Client of the job groups.
    executor : object
        `submit(call)` and `cancel(request_id)`.
    holder_id : str
        Host id and incarnation, `host#incarnation`.
    settings : JobSettings
        Bounds of claims.
    metrics : Metrics
        Counters.
    count_waiting : callable, optional
        Returns the number of batch calls of a model that have no endpoint
        yet.
    """

    def __init__(
        self, store, executor, holder_id, settings, metrics, count_waiting=None
    ):
        self.store = store
        self.executor = executor
        self.holder_id = holder_id
        self.settings = settings
        self.metrics = metrics
        self.count_waiting = count_waiting
        self.holdings = holdings.Holdings()
        self.lanes = [
            lanes.GroupLane(number) for number in range(store.job_groups)
        ]
        self.lock = threading.Lock()
        self.stopping = []
        self.wake = threading.Event()
        self.draining = False
        self.closed = False
        self.pool = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix='batch'
        )
        self.thread = threading.Thread(
            target=self.run, name='batch-runner', daemon=True
        )

    def start(self):
        """Begin to claim items."""
        self.thread.start()

    def run(self):
        """Look at what is due until the runner is closed."""
        while not self.closed:
            try:
                self.step(clock.monotonic())
            except Exception:
                LOG.exception('event=batch_step_failed')
            self.wake.wait(LOOP_PERIOD)
            self.wake.clear()

    def step(self, now):
        """Start the exchanges that are due."""
        self.repeat_stops()
        expired = self.holdings.remove_expired(now)
        if expired:
            self.stop_items(expired)
        for lane in self.lanes:
            if not lane.reporting and self.is_report_due(lane, now):
                lane.reporting = True
                self.spawn(self.report, lane)
            if not lane.renewing and now >= lane.renew_at:
                self.renew_if_held(lane, now)
        if not self.draining:
            self.claim_due(now)

    def spawn(self, function, *arguments):
        """Run a function on the pool and log what it raises."""

        def guarded():
            try:
                function(*arguments)
            except Exception:
                self.metrics.count('batch_exchange_errors_total')
                LOG.exception('event=batch_exchange_failed')

        try:
            self.pool.submit(guarded)
        except RuntimeError:
            # The pool was shut down by close().
            return

    # Claims.

    def claim_due(self, now):
        """Claim from the groups whose backoff has passed."""
        ready = [
            lane
            for lane in self.lanes
            if not lane.claiming and now >= lane.claim_at
        ]
        if not ready:
            return
        wanted, excluded = self.plan_claims(now)
        if wanted <= 0:
            return
        share = min(-(-wanted // len(ready)), self.settings.claim_items)
        for lane in ready:
            lane.claiming = True
            lane.requested = share
            self.spawn(self.claim, lane, share, excluded)

    def plan_claims(self, now):
        """Return how many items to claim and the targets to leave out."""
        requested = sum(lane.requested for lane in self.lanes)
        windows = {}
        for name, state in self.holdings.measure_targets(now).items():
            # The items of a job without a common model are counted under
            # no target here and under several in the scheduler.
            waiting = None
            if self.count_waiting is not None and name:
                waiting = self.count_waiting(name)
            windows[name] = dataclasses.replace(
                state, waiting=waiting, requested=requested
            )
        return window.plan_claims(windows, requested)

    def claim(self, lane, limit, excluded):
        """Claim items of a group and hand them to the executor."""
        try:
            self.exchange_claim(lane, limit, excluded)
        finally:
            lane.requested = 0
            lane.claiming = False
        self.wake.set()

    def exchange_claim(self, lane, limit, excluded):
        """Send a claim, or repeat the one whose outcome is not known."""
        if lane.pending_claim is None:
            lane.pending_claim = jobcommands.ClaimItems(
                self.holder_id,
                lane.sequence,
                limit,
                CLAIM_BYTES,
                int(self.settings.claim_timeout * MILLISECONDS),
                excluded,
            )
        now = clock.monotonic()
        reply = self.store.propose(
            lane.group, lane.pending_claim, now + lanes.EXCHANGE_TIMEOUT
        )
        if isinstance(reply, codes.Refusal):
            lane.claim_at = clock.monotonic() + lanes.RETRY_DELAY
            return
        lane.pending_claim = None
        lane.sequence += 1
        if not reply.claims:
            lane.backoff = window.choose_backoff(lane.backoff)
            lane.claim_at = clock.monotonic() + lane.backoff
            return
        lane.backoff = 0.0
        deadline = self.get_claim_deadline(now)
        for claimed in reply.claims:
            self.take_claim(lane, claimed, deadline)

    def get_claim_deadline(self, sent_at):
        """Return until when a claim sent at a time is surely held."""
        timeout = self.settings.claim_timeout * (1 - clock.MAX_DRIFT)
        return sent_at + timeout

    def take_claim(self, lane, claimed, deadline):
        """Hand the items of a claim to the executor."""
        held = items.make_held(lane.group, claimed)
        if not claimed.idempotent:
            held = self.start_items(lane, claimed, held)
        if not held:
            return
        self.holdings.add(lane.group, claimed, held, deadline)
        self.metrics.count('batch_items_claimed_total', len(held))
        call_deadline = clock.monotonic() + ITEM_TIMEOUT
        for one in held:
            future = self.executor.submit(items.make_call(one, call_deadline))
            self.holdings.attach(one, future)
            future.add_done_callback(
                lambda done, one=one: self.end(lane, one, done)
            )

    def start_items(self, lane, claimed, held):
        """Mark items that may not run twice; return those that may run.

        When the outcome is not known none of them runs, and the items end
        with outcome unknown when the claim expires.
        """
        command = jobcommands.StartItems(
            (jobcommands.LeasedItems(claimed.epoch, claimed.items),)
        )
        deadline = clock.monotonic() + lanes.EXCHANGE_TIMEOUT
        reply = self.store.propose(lane.group, command, deadline)
        if isinstance(reply, codes.Refusal):
            if reply.ran == codes.Ran.NO:
                now = clock.monotonic()
                for one in held:
                    lane.outbox.put(items.Released(one, False), now)
            return []
        started = {index for leased in reply.claims for index in leased.items}
        return [one for one in held if one.item in started]

    # Ends of items.

    def end(self, lane, held, future):
        """Queue the end of an item for its group."""
        answer = items.read_end(future)
        if not self.holdings.end(held):
            self.metrics.count('batch_results_dropped_total')
            return
        ended = items.judge_end(held, answer)
        kind = 'released'
        if isinstance(ended, items.Ended):
            kind = ended.end.name.lower()
        self.metrics.count('batch_items_ended_total', kind=kind)
        now = clock.monotonic()
        if isinstance(ended, items.Released) and ended.refused:
            self.holdings.refuse(held.target, now + REFUSED_SECONDS)
        lane.outbox.put(ended, now)

    def is_report_due(self, lane, now):
        """Return whether ends should be reported to a group now."""
        delay = 0 if self.draining else lanes.REPORT_DELAY
        return lane.is_report_due(now, delay)

    def report(self, lane):
        """Report batches of ends until none is due."""
        try:
            while lane.report_batch(self.store, self.metrics):
                if not self.is_report_due(lane, clock.monotonic()):
                    return
        finally:
            lane.reporting = False

    # Renewal and cancellation.

    def renew_if_held(self, lane, now):
        """Start a renewal of the claims of a group, if there are any."""
        epochs = self.holdings.list_epochs(lane.group)
        period = min(RENEW_PERIOD, self.settings.claim_timeout / 4)
        lane.renew_at = now + period
        if epochs:
            lane.renewing = True
            self.spawn(self.renew, lane, epochs)

    def renew(self, lane, epochs):
        """Renew claims and stop the items of those that were lost."""
        try:
            now = clock.monotonic()
            command = jobcommands.RenewClaims(
                self.holder_id,
                epochs,
                int(self.settings.claim_timeout * MILLISECONDS),
            )
            reply = self.store.propose(
                lane.group, command, now + lanes.EXCHANGE_TIMEOUT
            )
            if isinstance(reply, codes.Refusal):
                return
            self.holdings.extend(
                lane.group, epochs, self.get_claim_deadline(now)
            )
            lost = self.holdings.remove(lane.group, reply.lost)
            if lost:
                self.stop_items(lost)
        finally:
            lane.renewing = False

    def stop_items(self, held):
        """Cancel the calls of items whose claims are gone."""
        self.metrics.count('batch_items_stopped_total', len(held))
        with self.lock:
            self.stopping.extend(held)
        self.repeat_stops()

    def repeat_stops(self):
        """Cancel again what has not ended.

        A call that was just handed over may not be known to the executor
        yet, and would start after a single cancellation.
        """
        with self.lock:
            stopping, self.stopping = self.stopping, []
        left = []
        for one in stopping:
            future = self.holdings.get_future(one)
            if future is not None and not future.cancel():
                self.executor.cancel(items.make_request_id(one))
                left.append(one)
        with self.lock:
            self.stopping.extend(left)

    def cancel_job(self, job_id):
        """Stop the items of a job that was cancelled."""
        self.stop_items(self.holdings.remove_job(job_id))

    # Drain.

    def drain(self, finish_by, deadline):
        """Stop claiming, finish or hand back all items.

        Parameters
        ----------
        finish_by : float
            Monotonic deadline for items that may run again; they are then
            cancelled and handed back, at the latest `HANDBACK_TIME` before
            the deadline of the drain.
        deadline : float
            Monotonic deadline of the whole drain.

        Returns
        -------
        bool
            Whether nothing is left.
        """
        self.draining = True
        finish_by = min(finish_by, deadline - HANDBACK_TIME)
        if not self.wait_until(self.is_idle, finish_by):
            self.cancel_repeatable()
        return self.wait_until(self.is_idle, deadline)

    def cancel_repeatable(self):
        """Cancel the calls of items that may run again elsewhere."""
        repeatable = [
            held for held in self.holdings.list_items() if held.idempotent
        ]
        if repeatable:
            self.stop_items(repeatable)

    def is_idle(self):
        """Return whether no item is outstanding or unreported."""
        return not self.holdings.list_items() and all(
            lane.is_idle() for lane in self.lanes
        )

    def wait_until(self, condition, deadline):
        """Wait for a condition; return whether it became true."""
        while not condition():
            if clock.monotonic() >= deadline:
                return False
            self.wake.set()
            threading.Event().wait(LOOP_PERIOD)
        return True

    def close(self):
        """Stop the runner without handing anything back."""
        self.closed = True
        self.wake.set()
        if self.thread.ident is not None:
            self.thread.join()
        self.pool.shutdown(wait=False, cancel_futures=True)
