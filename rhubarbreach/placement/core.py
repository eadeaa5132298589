"""Scheduling decisions of one host, independent of threads and clocks."""

import collections
import itertools

from rhubarbreach import codes
from rhubarbreach.placement import baseline
from rhubarbreach.placement import decisions
from rhubarbreach.placement import expiry
from rhubarbreach.placement import isolation
from rhubarbreach.placement import outcomes
from rhubarbreach.placement import versions
from rhubarbreach.routing import cache
from rhubarbreach.routing import choose
from rhubarbreach.routing import ejection
from rhubarbreach.routing import load
from rhubarbreach.routing import suspects
from rhubarbreach.scheduling import fair
from rhubarbreach.scheduling import work

__all__ = ['Core']

# Interval of the search for entries past their deadline.
EXPIRY_INTERVAL_SECONDS = 0.1
BASELINE = 'baseline'


class Core:
    """Scheduler of one host, built from fair queue, slot table and routing.

    The current time is passed to each method. The caller serializes the calls.

    Parameters
    ----------
    zone : str
        Zone of this host.
    registry : EndpointRegistry
        Registry of announced endpoints.
    slots : SlotTable
        Slot table of this host.
    policy : PolicySettings
        Full or baseline policy.
    random : random.Random
        Random number generator for all choices.
    """

    def __init__(self, zone, registry, slots, policy, random):
        self.zone = zone
        self.registry = registry
        self.slots = slots
        self.baseline = policy.mode == BASELINE
        self.random = random
        self.queue = fair.FairQueue(fair=not self.baseline)
        self.load = load.LoadView()
        self.cache = cache.CacheView()
        self.ejector = ejection.Ejector()
        self.suspects = suspects.Suspects()
        self.isolation = isolation.IsolationQueue()
        # Ordered by time of placement, so that the last item is the newest.
        self.running = {}
        self.by_endpoint = collections.defaultdict(dict)
        self.reports = []
        self.placement_numbers = itertools.count()
        self.round_robin_index = 0
        self.next_expiry = 0.0

    def submit(self, item, now):
        """Queue work.

        Parameters
        ----------
        item : Work
            Work to place.
        now : float
            Monotonic seconds.

        Returns
        -------
        Refusal or None
            A refusal if the work is not queued.
        """
        refusal = self.check(item, now)
        if refusal is not None:
            return refusal
        entry = fair.Entry(item, now)
        if not self.baseline and self.suspects.is_suspect(item.digest, now):
            self.isolation.push(entry)
            return None
        return self.queue.push(entry)

    def check(self, item, now):
        """Return a refusal if work must not run, else None."""
        if item.deadline <= now:
            return codes.Refusal(
                codes.ResultCode.DEADLINE_TOO_SHORT, 'the deadline has passed'
            )
        # Items of jobs are not refused: endpoints may have crashed under them
        # by coincidence, and they can wait until one runs them alone.
        if item.lane == work.Lane.ONLINE and self.suspects.is_quarantined(
            item.digest, now
        ):
            return codes.Refusal(
                codes.ResultCode.QUARANTINED,
                f'at least {suspects.MAX_STRIKES} endpoints were lost while '
                'this request ran alone on them',
            )
        is_bound = item.software_version is not None or item.in_use
        if is_bound and not versions.list_usable(self.registry, item, now):
            return versions.refuse(item)
        return None

    def withdraw(self, work_id):
        """Remove waiting work; return whether it was waiting."""
        if self.queue.withdraw(work_id):
            return True
        return self.isolation.withdraw(work_id, self.slots)

    def step(self, now):
        """Return all decisions that can be made at present.

        Returns
        -------
        list of Placed, Refused or Preempted
            Decisions, in order of execution.
        """
        result = []
        if now >= self.next_expiry:
            self.next_expiry = now + EXPIRY_INTERVAL_SECONDS
            result += expiry.refuse_expired(self, now)
            self.eject(now)
        if self.baseline:
            return result + baseline.place_in_order(self, now)
        result += self.preempt_excess(now)
        result += self.place_isolated(now)
        result += self.place_online(now)
        result += self.place_batch(now)
        return result

    def eject(self, now):
        """Eject slow or failing replicas of the models in use."""
        if self.baseline:
            return
        models = {
            running.placement.work.model_id
            for running in self.running.values()
        }
        for model_id in models:
            replicas = self.registry.usable(model_id, now)
            ids = [endpoint.endpoint_id for endpoint in replicas]
            self.ejector.update(ids, now)

    def list_candidates(self, item, now):
        """Return the endpoints on which work may run.

        Endpoints that the work excludes are returned only if no other healthy
        endpoint is left, and ejected endpoints only if all are ejected.
        """
        usable = versions.list_usable(self.registry, item, now)
        healthy = [
            endpoint
            for endpoint in usable
            if not self.ejector.is_ejected(endpoint.endpoint_id, now)
        ]
        allowed = [
            endpoint
            for endpoint in healthy
            if endpoint.endpoint_id not in item.excluded
        ]
        return allowed or healthy or list(usable)

    def list_placeable(self, lane, now):
        """Return the waiting models of a lane that have a slot for it."""
        return {
            model_id
            for model_id, count in self.queue.lanes[lane].models.items()
            if count > 0 and self.has_slot(model_id, lane, now)
        }

    def has_slot(self, model_id, lane, now):
        """Return whether any endpoint of a model accepts work of a lane."""
        for endpoint in self.registry.usable(model_id, now):
            endpoint_id = endpoint.endpoint_id
            if self.ejector.is_ejected(endpoint_id, now):
                continue
            if self.slots.has_free(endpoint_id, lane, now):
                return True
            if lane == work.Lane.ONLINE and (
                self.find_newest_batch(endpoint_id)
                or self.slots.may_exceed(endpoint_id, now)
            ):
                return True
        return False

    def place_online(self, now):
        """Place online work, preempting batch work if needed."""
        result = []
        lane = self.queue.lanes[work.Lane.ONLINE]
        while len(lane):
            models = self.list_placeable(work.Lane.ONLINE, now)
            entry = self.queue.pop(now, work.Lane.ONLINE, models)
            if entry is None:
                break
            result += self.place_online_request(entry.work, now)
        return result

    def place_online_request(self, item, now):
        """Place one online request."""
        if self.suspects.is_suspect(item.digest, now):
            return self.isolate(item, now)
        candidates = self.list_candidates(item, now)
        free = self.filter_free(candidates, item.lane, now)
        choice = self.choose(item, free, now)
        if isinstance(choice, choose.Choice):
            return [self.start(item, choice, now)]
        newest = self.find_victim(candidates)
        if newest is not None:
            endpoint = newest.placement.endpoint
            choice = choose.Choice(endpoint, 'slot taken back from batch')
            return [self.preempt(newest), self.start(item, choice, now)]
        excess_allowed = [
            endpoint
            for endpoint in candidates
            if self.slots.may_exceed(endpoint.endpoint_id, now)
        ]
        choice = self.choose(item, excess_allowed or candidates, now)
        if isinstance(choice, choose.Choice):
            return [self.start(item, choice, now)]
        return [decisions.Refused(item, choice)]

    def place_batch(self, now):
        """Place batch work on spare slots."""
        result = []
        lane = self.queue.lanes[work.Lane.BATCH]
        while len(lane):
            models = self.list_placeable(work.Lane.BATCH, now)
            entry = None
            if models:
                entry = self.queue.pop(now, work.Lane.BATCH, models)
            if entry is None:
                break
            item = entry.work
            if self.suspects.is_suspect(item.digest, now):
                result += self.isolate(item, now)
                continue
            candidates = self.list_candidates(item, now)
            free = self.filter_free(candidates, item.lane, now)
            if not free:
                # Only excluded endpoints have a free slot. One of them is used
                # so that the entry does not block the lane.
                usable = versions.list_usable(self.registry, item, now)
                free = self.filter_free(usable, item.lane, now) or usable
            if not free:
                result.append(decisions.Refused(item, versions.refuse(item)))
                continue
            choice = self.choose(item, free, now)
            result.append(self.start(item, choice, now))
        return result

    def filter_free(self, endpoints, lane, now):
        """Return the endpoints that have a free slot for a lane."""
        return [
            endpoint
            for endpoint in endpoints
            if self.slots.has_free(endpoint.endpoint_id, lane, now)
        ]

    def choose(self, item, candidates, now):
        """Choose a candidate by load, cached prefix and zone."""
        view = choose.View(
            self.zone,
            lambda endpoint: self.get_load(endpoint, now),
            lambda name, prefix: self.cache.match(name, prefix, now),
            lambda name: self.ejector.get_weight(name, now),
        )
        choice = choose.choose_endpoint(
            item, candidates, view, now, self.random
        )
        if isinstance(choice, codes.Refusal) and candidates:
            # Slow start may exclude all candidates by chance.
            return choose.Choice(candidates[0], 'only candidate')
        return choice

    def get_load(self, endpoint, now):
        """Return the estimated number of requests on an endpoint.

        The reply of the home host is newer than the report of the endpoint.
        """
        requests = self.slots.get_load(endpoint.endpoint_id, now)
        if requests is None:
            requests = self.load.estimate(endpoint, now)
        return requests

    def start(self, item, choice, now, is_exclusive=False):
        """Record a placement and return the decision."""
        endpoint_id = choice.endpoint.endpoint_id
        placement = work.Placement(
            item, choice.endpoint, is_exclusive, choice.reason
        )
        self.slots.force_acquire(endpoint_id, item.lane)
        self.load.start(endpoint_id, now)
        self.cache.add(endpoint_id, item.prefix, now)
        self.running[item.work_id] = decisions.Running(
            placement, next(self.placement_numbers)
        )
        self.by_endpoint[endpoint_id][item.work_id] = placement
        return decisions.Placed(placement)

    def find_newest_batch(self, endpoint_id):
        """Return the newest batch placement on an endpoint, or None.

        A crash suspect that runs alone is excluded. Under steady online load
        it would be preempted each time and never be cleared or quarantined.
        """
        for work_id in reversed(self.by_endpoint[endpoint_id]):
            running = self.running[work_id]
            if running.preempted or running.placement.alone:
                continue
            if running.placement.work.lane == work.Lane.BATCH:
                return running
        return None

    def find_victim(self, candidates):
        """Return the newest batch placement on the candidates, or None.

        The newest placement has generated the fewest tokens, which must be
        processed again after the preemption.
        """
        batch = [
            self.find_newest_batch(endpoint.endpoint_id)
            for endpoint in candidates
        ]
        batch = [running for running in batch if running is not None]
        return max(batch, key=lambda running: running.order, default=None)

    def preempt(self, running):
        """Release the slot of a batch placement and return the decision."""
        running.preempted = True
        placement = running.placement
        self.slots.release(placement.endpoint.endpoint_id, work.Lane.BATCH)
        return decisions.Preempted(placement)

    def preempt_excess(self, now):
        """Preempt batch placements that exceed the leased slots."""
        result = []
        for endpoint_id in list(self.by_endpoint):
            for _ in range(self.slots.count_excess(endpoint_id, now)):
                newest = self.find_newest_batch(endpoint_id)
                if newest is None:
                    break
                result.append(self.preempt(newest))
        return result

    def isolate(self, item, now):
        """Move work that became a crash suspect to the isolation queue."""
        refusal = self.check(item, now)
        if refusal is not None:
            return [decisions.Refused(item, refusal)]
        self.isolation.push(fair.Entry(item, now))
        return []

    def place_isolated(self, now):
        """Place a crash suspect once its endpoint is empty.

        It is the first one whose model has an endpoint.
        """
        if self.isolation.started:
            return []
        for entry in self.isolation.list_waiting():
            refusal = self.check(entry.work, now)
            if refusal is not None:
                self.withdraw(entry.work.work_id)
                return [decisions.Refused(entry.work, refusal)]
            candidates = self.list_candidates(entry.work, now)
            if not candidates:
                continue
            endpoint = self.isolation.reserve_endpoint(
                candidates, self.load, self.slots, now
            )
            if not self.slots.is_exclusive(endpoint.endpoint_id, now):
                return []
            self.isolation.start(entry)
            choice = choose.Choice(endpoint, 'crash suspect runs alone')
            return [self.start(entry.work, choice, now, is_exclusive=True)]
        self.isolation.release_endpoint(self.slots)
        return []

    def release(self, placement, outcome, now):
        """Release the slot of a placement and record its outcome.

        Parameters
        ----------
        placement : Placement
            Placement that has ended.
        outcome : Outcome
            Outcome of the placement.
        now : float
            Monotonic seconds.
        """
        item, endpoint = placement.work, placement.endpoint
        running = self.running.get(item.work_id)
        if running is None:
            return
        if outcome.status == work.OutcomeStatus.ENDPOINT_LOST:
            outcomes.report_loss(self, placement, now)
        del self.running[item.work_id]
        del self.by_endpoint[endpoint.endpoint_id][item.work_id]
        if not running.preempted:
            self.slots.release(endpoint.endpoint_id, item.lane)
        self.load.finish(endpoint.endpoint_id)
        outcomes.record_outcome(self, placement, outcome, now)
        if placement.alone:
            self.isolation.finish(self.slots)
            if outcome.status == work.OutcomeStatus.COMPLETED:
                self.suspects.clear(item.digest)

    def pop_reports(self):
        """Return and clear the strike reports for the other hosts."""
        reports, self.reports = self.reports, []
        return reports
