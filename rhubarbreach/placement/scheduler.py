"""Scheduler of one host: places work on endpoints as slots allow."""

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

# Seconds between two steps without a cause: deadlines of waiting work and
# expired leases are noticed within this time.
IDLE_STEP = 0.05


class Scheduler:
    """Fair queue, slot table and routing of one host, with its own task.

    Parameters
    ----------
    host_id, zone : str
        This host.
    registry : EndpointRegistry
        Announced endpoints.
    policy : PolicySettings
        Full or baseline policy.
    membership : Membership or None
        Live hosts; None for a host that is its own home host for all
        endpoints.
    link : Link or None
        Link to the other hosts.
    random : random.Random, optional
        Source of all choices.
    monotonic : callable, optional
        Clock, virtual in measurements.
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
        # An event of its own, since `wake` is called by other packages
        # that hold their locks.
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
        """Start the dispatch task and the exchange with other hosts."""
        self.thread.start()
        self.exchange.start()

    def close(self):
        """Refuse what waits and stop the dispatch task."""
        self.exchange.close()
        with self.lock:
            self.stopped = True
            waiting = list(self.futures.values())
            self.futures.clear()
        self.wake()
        if self.thread.is_alive():
            self.thread.join()
        for future in waiting:
            finish(future, make_draining())

    def set_preempt(self, function):
        """Set the function that is called with a preempted placement."""
        self.preempt = function

    def submit(self, item):
        """Queue work.

        Parameters
        ----------
        item : Work
            With a `work_id` that is new for each call.

        Returns
        -------
        concurrent.futures.Future
            Completes with a `Placement` or a `Refusal`. Its callbacks run
            on the dispatch task and must not block.
        """
        future = concurrent.futures.Future()
        now = self.monotonic()
        with self.lock:
            if self.stopped:
                refusal = make_draining()
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
            True when it waited: its future then has a `Refusal` with code
            CANCELLED. False when it was already placed or refused.
        """
        with self.lock:
            waited = self.core.withdraw(work_id)
            future = self.futures.pop(work_id, None) if waited else None
        if future is not None:
            refusal = codes.Refusal(
                codes.ResultCode.CANCELLED, 'withdrawn before it was placed'
            )
            finish(future, refusal)
        return waited

    def release(self, placement, outcome):
        """Give the slot of a placement back.

        Parameters
        ----------
        placement : Placement
            As returned by `submit`; also after it was preempted.
        outcome : Outcome
            How the attempt ended.
        """
        with self.lock:
            self.core.release(placement, outcome, self.monotonic())
            self.wake()

    def count_waiting_batch(self, model_id):
        """Return the batch work of a model that waits for a slot."""
        with self.lock:
            lane = self.core.queue.lanes[work.Lane.BATCH]
            return lane.models[model_id]

    def wake(self):
        """Let the dispatch task decide again."""
        self.ready.set()

    def run(self):
        """Decide whenever something changed, until closed."""
        while True:
            self.ready.wait(IDLE_STEP)
            self.ready.clear()
            if self.stopped:
                return
            self.step()

    def step(self):
        """Make and carry out the decisions that are due."""
        with self.lock:
            made = self.decide()
        for decision in made:
            try:
                self.carry_out(decision)
            except Exception:
                LOG.exception('event=decision_failed')
        self.exchange.send_reports()

    def decide(self):
        """Return the decisions of one step."""
        try:
            return self.core.step(self.monotonic())
        except Exception:
            LOG.exception('event=step_failed')
            return []

    def carry_out(self, decision):
        """Tell the submitter or the holder of a slot."""
        match decision:
            case decisions.Placed(placement=placement):
                self.complete(placement.work.work_id, placement)
            case decisions.Refused(work=item, refusal=refusal):
                self.complete(item.work_id, refusal)
            case decisions.Preempted(placement=placement):
                if self.preempt is not None:
                    self.preempt(placement)

    def complete(self, work_id, result):
        """Complete the future of a piece of work."""
        with self.lock:
            future = self.futures.pop(work_id, None)
        if future is not None:
            finish(future, result)


def finish(future, result):
    """Set a result unless the future was cancelled."""
    if future.set_running_or_notify_cancel():
        future.set_result(result)


def make_draining():
    """Return the refusal of a scheduler that was closed."""
    return codes.Refusal(
        codes.ResultCode.DRAINING, 'the host takes no new work'
    )
