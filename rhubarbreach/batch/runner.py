"""Batch runner: claims items, executes them and reports their results."""

import concurrent.futures
import dataclasses
import threading

import logbook

from rhubarbreach.batch import claims
from rhubarbreach.batch import items
from rhubarbreach.batch import sessions
from rhubarbreach.batch import window
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.state import jobcommands

__all__ = ['Runner']

LOG = logbook.Logger('batch')

# The reply to a renewal also reveals cancelled jobs whose `CancelAttempts`
# message was lost.
RENEW_PERIOD_SECONDS = 1.0
# Time limit of an item in the executor, including the wait for an endpoint.
ITEM_TIMEOUT_SECONDS = 600.0
# Pause of the claims for a target whose item this host refused. Without it,
# the same item would be claimed and refused in a loop; other hosts may be able
# to execute it.
REFUSAL_BACKOFF_SECONDS = 1.0
# Time reserved for releasing items to their groups at the end of a drain.
RELEASE_SECONDS = 5.0
# Limit of the bodies in one claim; it keeps the reply below 1 MiB.
MAX_CLAIM_BYTES = 512 * 1024
LOOP_PERIOD_SECONDS = 0.02
MAX_WORKERS = 8
MILLISECONDS_PER_SECOND = 1000


class Runner:
    """Batch runner of one host, which claims and executes items.

    Parameters
    ----------
    store : Store
        Client of the job groups.
    executor : object
        `submit(call)` and `cancel(request_id)`.
    holder_id : str
        Host id and incarnation, `host#incarnation`.
    settings : JobSettings
        Limits of claims.
    metrics : Metrics
        Counters.
    count_waiting : callable, optional
        `count_waiting(model_id)` returns the number of batch calls of a
        model that wait for an endpoint.
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
        self.claims = claims.ClaimTable()
        self.sessions = [
            sessions.GroupSession(number) for number in range(store.job_groups)
        ]
        self.lock = threading.Lock()
        self.cancelling = {}
        self.wake = threading.Event()
        self.draining = False
        self.closed = False
        self.lacks_thread = False
        self.pool = concurrent.futures.ThreadPoolExecutor(
            MAX_WORKERS, thread_name_prefix='batch'
        )
        self.thread = threading.Thread(
            target=self.run, name='batch-runner', daemon=True
        )

    def start(self):
        """Start the thread that claims items."""
        self.thread.start()

    def run(self):
        """Run steps until the runner is closed."""
        while not self.closed:
            try:
                self.step(clock.monotonic())
            except Exception:
                LOG.exception('event=batch_step_failed')
            self.wake.wait(LOOP_PERIOD_SECONDS)
            self.wake.clear()

    def step(self, now):
        """Cancel items of expired claims and start due exchanges."""
        if self.lacks_thread:
            self.submit_task(int)
        self.retry_cancellations()
        expired = self.claims.remove_expired(now)
        if expired:
            self.cancel_items(expired)
        for session in self.sessions:
            if not session.reporting and self.is_report_due(session, now):
                session.reporting = True
                self.submit_task(self.report, session)
            if not session.renewing and now >= session.renew_at:
                self.renew_if_held(session, now)
        if not self.draining:
            self.claim_due(now)

    def submit_task(self, function, *arguments):
        """Run a function on the pool and log its exceptions.

        Without a thread for it, the function stays queued until one is free or
        can be started.
        """

        def run_task():
            try:
                function(*arguments)
            except Exception:
                self.metrics.count('batch_exchange_errors_total')
                LOG.exception('event=batch_exchange_failed')

        try:
            self.pool.submit(run_task)
            self.lacks_thread = False
        except RuntimeError as error:
            # The pool may also have been shut down by close().
            self.lacks_thread = not self.closed
            if self.lacks_thread:
                LOG.error('event=thread_not_started reason={!r}', str(error))

    def claim_due(self, now):
        """Claim from the groups whose backoff has passed."""
        ready = [
            session
            for session in self.sessions
            if not session.claiming and now >= session.claim_at
        ]
        if not ready:
            return
        claim_size, excluded = self.plan_claims(now)
        if claim_size <= 0:
            return
        share = min(-(-claim_size // len(ready)), self.settings.claim_items)
        for session in ready:
            session.claiming = True
            session.requested = share
            self.submit_task(self.claim, session, share, excluded)

    def plan_claims(self, now):
        """Return the number of items to claim and the targets to exclude."""
        requested = sum(session.requested for session in self.sessions)
        windows = {}
        for name, state in self.claims.measure_targets(now).items():
            # The scheduler counts the waiting items of a job with several
            # models by model; the target is empty here, so their number is
            # not known.
            waiting = None
            if self.count_waiting is not None and name:
                waiting = self.count_waiting(name)
            windows[name] = dataclasses.replace(
                state, waiting=waiting, requested=requested
            )
        return window.plan_claims(windows, requested)

    def claim(self, session, limit, excluded):
        """Claim items of a group and submit them to the executor."""
        try:
            self.exchange_claim(session, limit, excluded)
        finally:
            session.requested = 0
            session.claiming = False
        self.wake.set()

    def exchange_claim(self, session, limit, excluded):
        """Send a claim, or repeat the last one if its outcome is unknown."""
        if not session.end_previous_claims(self.store, self.holder_id):
            return
        if session.pending_claim is None:
            session.pending_claim = jobcommands.ClaimItems(
                self.holder_id,
                session.sequence,
                limit,
                MAX_CLAIM_BYTES,
                int(self.settings.claim_timeout * MILLISECONDS_PER_SECOND),
                excluded,
            )
        now = clock.monotonic()
        reply = self.store.propose(
            session.group,
            session.pending_claim,
            now + sessions.EXCHANGE_TIMEOUT_SECONDS,
        )
        if isinstance(reply, codes.Refusal):
            session.claim_at = clock.monotonic() + sessions.RETRY_DELAY_SECONDS
            return
        session.pending_claim = None
        session.sequence += 1
        if not reply.claims:
            session.backoff = window.choose_backoff(session.backoff)
            session.claim_at = clock.monotonic() + session.backoff
            return
        session.backoff = 0.0
        deadline = self.get_claim_deadline(now)
        for claimed in reply.claims:
            self.execute_claim(session, claimed, deadline)

    def get_claim_deadline(self, sent_at):
        """Return the time until which a claim is certainly held.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the claim or its renewal was sent.
        """
        timeout = self.settings.claim_timeout * (1 - clock.MAX_DRIFT)
        return sent_at + timeout

    def execute_claim(self, session, claimed, deadline):
        """Submit the items of a claim to the executor."""
        claimed_items = items.make_claimed_items(session.group, claimed)
        if self.draining:
            # The claim was in flight when the drain began.
            now = clock.monotonic()
            for item in claimed_items:
                session.outbox.put(items.ReleasedItem(item, False), now)
            return
        if not claimed.idempotent:
            claimed_items = self.start_items(session, claimed, claimed_items)
        if not claimed_items:
            return
        self.claims.add(session.group, claimed, claimed_items, deadline)
        self.metrics.count('batch_items_claimed_total', len(claimed_items))
        call_deadline = clock.monotonic() + ITEM_TIMEOUT_SECONDS
        for item in claimed_items:
            future = self.executor.submit(items.make_call(item, call_deadline))
            self.claims.attach_future(item, future)
            future.add_done_callback(
                lambda done, item=item: self.queue_end(session, item, done)
            )

    def start_items(self, session, claimed, claimed_items):
        """Mark non-idempotent items as started; return those that may run.

        If it is unknown whether the command was committed, none of the items
        is executed, and they end with an unknown outcome when the claim
        expires.
        """
        command = jobcommands.StartItems(
            (jobcommands.LeasedItems(claimed.epoch, claimed.items),)
        )
        deadline = clock.monotonic() + sessions.EXCHANGE_TIMEOUT_SECONDS
        reply = self.store.propose(session.group, command, deadline)
        if isinstance(reply, codes.Refusal):
            if reply.ran == codes.Ran.NO:
                now = clock.monotonic()
                for item in claimed_items:
                    session.outbox.put(items.ReleasedItem(item, False), now)
            return []
        started = {index for leased in reply.claims for index in leased.items}
        return [item for item in claimed_items if item.index in started]

    def queue_end(self, session, item, future):
        """Queue the end of an item for the report to its group."""
        outcome = items.get_outcome(future)
        if not self.claims.end_item(item):
            self.metrics.count('batch_results_dropped_total')
            return
        end = items.classify_end(item, outcome)
        kind = 'released'
        if isinstance(end, items.AttemptEnd):
            kind = end.end.name.lower()
        self.metrics.count('batch_items_ended_total', kind=kind)
        now = clock.monotonic()
        if isinstance(end, items.ReleasedItem) and end.refused:
            self.claims.mark_refused(
                item.target, now + REFUSAL_BACKOFF_SECONDS
            )
        session.outbox.put(end, now)

    def is_report_due(self, session, now):
        """Return whether a report to a group is due."""
        delay = 0 if self.draining else sessions.REPORT_DELAY_SECONDS
        return session.is_report_due(now, delay)

    def report(self, session):
        """Send reports until none is due."""
        try:
            while session.report_batch(self.store, self.metrics):
                if not self.is_report_due(session, clock.monotonic()):
                    return
        finally:
            session.reporting = False

    def renew_if_held(self, session, now):
        """Start a renewal of the claims of a group if it has any."""
        epochs = self.claims.list_epochs(session.group)
        period = min(RENEW_PERIOD_SECONDS, self.settings.claim_timeout / 4)
        session.renew_at = now + period
        if epochs:
            session.renewing = True
            self.submit_task(self.renew, session, epochs)

    def renew(self, session, epochs):
        """Renew claims and cancel the items of lost claims."""
        try:
            now = clock.monotonic()
            command = jobcommands.RenewClaims(
                self.holder_id,
                epochs,
                int(self.settings.claim_timeout * MILLISECONDS_PER_SECOND),
            )
            reply = self.store.propose(
                session.group, command, now + sessions.EXCHANGE_TIMEOUT_SECONDS
            )
            if isinstance(reply, codes.Refusal):
                return
            self.claims.extend(
                session.group, epochs, self.get_claim_deadline(now)
            )
            lost_items = self.claims.remove(session.group, reply.lost)
            if lost_items:
                self.cancel_items(lost_items)
        finally:
            session.renewing = False

    def cancel_items(self, claimed_items):
        """Cancel the calls of items, repeatedly until they have ended."""
        with self.lock:
            for item in claimed_items:
                self.cancelling[items.make_request_id(item)] = item
        self.retry_cancellations()

    def retry_cancellations(self):
        """Repeat the cancellation of calls that have not ended.

        A call that is being submitted may be unknown to the executor at the
        first cancellation and would then start.
        """
        with self.lock:
            cancelling = list(self.cancelling.items())
        for request_id, item in cancelling:
            future = self.claims.get_future(item)
            if future is not None and not future.cancel():
                self.executor.cancel(request_id)
            if not self.claims.is_open(item):
                with self.lock:
                    self.cancelling.pop(request_id, None)

    def cancel_job(self, job_id):
        """Cancel the items of a cancelled job."""
        self.cancel_items(self.claims.remove_job(job_id))

    def drain(self, finish_by, deadline):
        """Stop claiming, and finish or release all items.

        Parameters
        ----------
        finish_by : float
            Monotonic time at which idempotent items that still run are
            cancelled and released, at the latest `RELEASE_SECONDS` before
            the deadline of the drain.
        deadline : float
            Monotonic deadline of the whole drain.

        Returns
        -------
        bool
            Whether all items have ended and were reported.
        """
        self.draining = True
        finish_by = min(finish_by, deadline - RELEASE_SECONDS)
        if self.wait_until(self.is_idle, finish_by):
            return True

        def cancel_and_check_idle():
            # A claim that was in flight may still add items.
            self.cancel_idempotent()
            return self.is_idle()

        return self.wait_until(cancel_and_check_idle, deadline)

    def cancel_idempotent(self):
        """Cancel the calls of idempotent items, which may run elsewhere."""
        self.cancel_items(
            [item for item in self.claims.list_items() if item.idempotent]
        )

    def is_idle(self):
        """Return whether no item is in flight or unreported."""
        return not self.claims.list_items() and all(
            session.is_idle() for session in self.sessions
        )

    def wait_until(self, condition, deadline):
        """Wait for a condition; return whether it became true."""
        while not condition():
            if clock.monotonic() >= deadline:
                return False
            self.wake.set()
            threading.Event().wait(LOOP_PERIOD_SECONDS)
        return True

    def close(self):
        """Stop the runner without releasing its items."""
        self.closed = True
        self.wake.set()
        if self.thread.ident is not None:
            self.thread.join()
        self.pool.shutdown(wait=False, cancel_futures=True)
