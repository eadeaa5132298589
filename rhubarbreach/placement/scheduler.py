"""Scheduler of one host, which places work on the slots of endpoints."""

import concurrent.futures
import random as random_module
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import slots
from rhubarbreach.placement import core
from rhubarbreach.placement import decisions
from rhubarbreach.placement import exchange
from rhubarbreach.scheduling import work

__all__ = ['Scheduler']

LOG = logbook.Logger('scheduler')

# Maximum interval between two steps. Passed deadlines and expired leases are
# detected within this time.
IDLE_STEP_SECONDS = 0.05


class Scheduler:
    """Fair queue, slot table and routing of one host, with a dispatch thread.

    Parameters
    ----------
    host_id, zone : str
        Id and zone of this host.
    registry : EndpointRegistry
        Registry of announced endpoints.
    policy : PolicySettings
        Full or baseline policy.
    membership : Membership or None
        Live hosts; None for a single host, which is then the home host of
        all endpoints.
    link : Link or None
        Link to the other hosts.
    random : random.Random, optional
        Random number generator for all choices.
    monotonic : callable, optional
        Monotonic clock; policy benchmarks pass a virtual one.
    """

    def __init__(
        self,
        host_id,
        zone,
        registry,
        policy,
        membership=None,
        link=None,
        random=None,
        monotonic=clock.monotonic,
    ):
        self.monotonic = monotonic
        self.registry = registry
        fixed = policy.baseline_slots if policy.mode == core.BASELINE else 0
        self.slots = slots.SlotTable(host_id, fixed)
        self.core = core.Core(
            zone, registry, self.slots, policy, random or random_module
        )
        self.lock = threading.RLock()
        # An event instead of a condition on the lock, since other packages
        # call `wake` while they hold their own locks.
        self.ready = threading.Event()
        self.futures = {}
        self.preempt = None
        self.stopped = False
        self.exchange = exchange.Exchange(self, host_id, membership, link)
        self.thread = threading.Thread(
            target=self.run, name='scheduler', daemon=True
        )
        registry.subscribe(self.wake)

    def start(self):
        """Start the dispatch thread and the exchange with other hosts."""
        self.thread.start()
        self.exchange.start()

    def close(self):
        """Stop the dispatch thread and refuse the waiting work."""
        self.exchange.close()
        with self.lock:
            self.stopped = True
            waiting = list(self.futures.values())
            self.futures.clear()
        self.wake()
        if self.thread.is_alive():
            self.thread.join()
        for future in waiting:
            complete_future(future, refuse_draining())

    def set_preempt(self, callback):
        """Set the callback that receives each preempted placement."""
        self.preempt = callback

    def submit(self, item):
        """Queue work.

        Parameters
        ----------
        item : Work
            Work with a `work_id` that is unique for each call.

        Returns
        -------
        concurrent.futures.Future
            Completes with a `Placement` or a `Refusal`. Its callbacks run
            on the dispatch thread and must not block.
        """
        future = concurrent.futures.Future()
        now = self.monotonic()
        with self.lock:
            if self.stopped:
                refusal = refuse_draining()
            else:
                refusal = self.core.submit(item, now)
            if refusal is None:
                self.futures[item.work_id] = future
                self.wake()
        if refusal is not None:
            future.set_result(refusal)
        return future

    def withdraw(self, work_id):
        """Remove waiting work.

        Returns
        -------
        bool
            True if the work was waiting; its future then has a `Refusal` with
            code CANCELLED. False if it was already placed or refused.
        """
        with self.lock:
            was_waiting = self.core.withdraw(work_id)
            future = self.futures.pop(work_id, None) if was_waiting else None
        if future is not None:
            refusal = codes.Refusal(
                codes.ResultCode.CANCELLED,
                'the work was withdrawn before it was placed',
            )
            complete_future(future, refusal)
        return was_waiting

    def release(self, placement, outcome):
        """Release the slot of a placement.

        Parameters
        ----------
        placement : Placement
            Placement returned by `submit`, also if it was preempted.
        outcome : Outcome
            Result of the attempt.
        """
        with self.lock:
            self.core.release(placement, outcome, self.monotonic())
            self.wake()

    def is_in_service(self, endpoint):
        """Return whether an endpoint takes new work, restarted or not.

        A process may have sent a response before its start was known here.

        Parameters
        ----------
        endpoint : EndpointInfo
            Endpoint of a placement.
        """
        info = self.registry.get(endpoint.endpoint_id)
        return info is not None and not info.draining

    def count_waiting_batch(self, model_id):
        """Return the number of waiting batch entries of a model."""
        with self.lock:
            lane = self.core.queue.lanes[work.Lane.BATCH]
            return lane.models[model_id]

    def wake(self):
        """Trigger a step of the dispatch thread."""
        self.ready.set()

    def run(self):
        """Run a step after each change until the scheduler is closed."""
        while True:
            self.ready.wait(IDLE_STEP_SECONDS)
            self.ready.clear()
            if self.stopped:
                return
            self.step()

    def step(self):
        """Make and execute the decisions that are due."""
        with self.lock:
            pending = self.decide()
        for decision in pending:
            try:
                self.execute(decision)
            except Exception:
                LOG.exception('event=decision_failed')
        try:
            self.exchange.send_strikes()
        except Exception:
            LOG.exception('event=strikes_failed')

    def decide(self):
        """Return the decisions of one step."""
        try:
            return self.core.step(self.monotonic())
        except Exception:
            LOG.exception('event=step_failed')
            return []

    def execute(self, decision):
        """Execute a decision."""
        match decision:
            case decisions.Placed(placement=placement):
                self.resolve(placement.work.work_id, placement)
            case decisions.Refused(work=item, refusal=refusal):
                self.resolve(item.work_id, refusal)
            case decisions.Preempted(placement=placement):
                if self.preempt is not None:
                    self.preempt(placement)

    def resolve(self, work_id, result):
        """Set the result of the future of a piece of work."""
        with self.lock:
            future = self.futures.pop(work_id, None)
        if future is not None:
            complete_future(future, result)


def complete_future(future, result):
    """Set a result unless the future was cancelled."""
    if future.set_running_or_notify_cancel():
        future.set_result(result)


def refuse_draining():
    """Return the refusal of work after the scheduler was closed."""
    return codes.Refusal(
        codes.ResultCode.DRAINING,
        'the host is draining and accepts no new work',
    )
