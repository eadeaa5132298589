"""Fair queue over client accounts.

References
----------
P. Goyal, H. M. Vin, H. Cheng: Start-time Fair Queueing, SIGCOMM 1996.
"""

import collections
import dataclasses

from rhubarbreach import codes
from rhubarbreach.scheduling import counters
from rhubarbreach.scheduling import meter
from rhubarbreach.scheduling import work

__all__ = ['Entry', 'FairQueue', 'Flow', 'LaneQueue']

# Maximum number of entries in each lane. Further work is refused, so that
# memory and waiting times stay bounded.
MAX_ENTRIES = {work.Lane.ONLINE: 4096, work.Lane.BATCH: 16384}
# Retry delay that callers are asked for when a queue is full.
QUEUE_FULL_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Queued work and the monotonic time of its arrival."""

    work: work.Work
    queued_at: float


@dataclasses.dataclass(slots=True)
class Flow:
    """Waiting work of one account.

    Parameters
    ----------
    weight : float
        Weight of the account.
    start_tag : float
        Virtual start time of the next entry: service received on all hosts,
        in tokens divided by the weight.
    queued_cost : float
        Estimated cost of the waiting entries in tokens.
    entries : dict of str to dict
        Waiting entries by work id, oldest first, for each model.
    """

    weight: float = 1.0
    start_tag: float = 0.0
    queued_cost: float = 0.0
    entries: dict = dataclasses.field(default_factory=dict)

    def get_first(self, model_id):
        """Return the oldest entry for a model, or None."""
        waiting = self.entries.get(model_id)
        return next(iter(waiting.values())) if waiting else None


class LaneQueue:
    """Fair queue of one lane.

    Parameters
    ----------
    max_entries : int
        Maximum number of entries.
    fair : bool
        If False, entries are served in order of arrival, as in the baseline
        policy.
    """

    def __init__(self, max_entries, fair=True):
        self.max_entries = max_entries
        self.fair = fair
        self.flows = {}
        self.backlogged = {}
        self.models = collections.Counter()
        self.virtual_time = 0.0
        self.queued_cost = 0.0
        self.entries_by_id = {}
        self.meter = meter.ServiceMeter()

    def __len__(self):
        return len(self.entries_by_id)

    def get_flow(self, account_id, weight=None):
        """Return the flow of an account, created if missing."""
        flow = self.flows.get(account_id)
        if flow is None:
            flow = self.flows[account_id] = Flow(start_tag=self.virtual_time)
        if weight is not None:
            flow.weight = weight
        return flow

    def push(self, entry, now):
        """Add an entry, or return a refusal.

        Parameters
        ----------
        entry : Entry
            Work to queue.
        now : float
            Monotonic seconds.

        Returns
        -------
        Refusal or None
            A refusal if the queue is full or the deadline is too short.
        """
        refusal = self.check(entry, now)
        if refusal is None:
            self.insert(entry)
            self.meter.start(now)
        return refusal

    def insert(self, entry):
        """Append an entry to those of the same account and model."""
        item = entry.work
        flow = self.get_flow(item.account_id, item.weight)
        if item.account_id not in self.backlogged:
            # An idle account must not accumulate a claim to service.
            flow.start_tag = max(flow.start_tag, self.virtual_time)
            self.backlogged[item.account_id] = flow
        flow.entries.setdefault(item.model_id, {})[item.work_id] = entry
        flow.queued_cost += item.cost
        self.queued_cost += item.cost
        self.models[item.model_id] += 1
        self.entries_by_id[item.work_id] = entry

    def remove(self, entry):
        """Remove an entry."""
        item = entry.work
        flow = self.flows[item.account_id]
        waiting = flow.entries[item.model_id]
        del waiting[item.work_id]
        del self.entries_by_id[item.work_id]
        flow.queued_cost -= item.cost
        self.queued_cost -= item.cost
        self.models[item.model_id] -= 1
        if not waiting:
            del flow.entries[item.model_id]
        if not flow.entries:
            del self.backlogged[item.account_id]
        if not self.entries_by_id:
            self.meter.stop()

    def check(self, entry, now):
        """Return a refusal if an entry cannot be served in time, else None."""
        if len(self) >= self.max_entries:
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                f'{len(self)} requests are already waiting',
                retry_after=QUEUE_FULL_RETRY_SECONDS,
            )
        wait = self.estimate_wait(entry.work, now)
        excess = now + wait - entry.work.deadline
        if excess <= 0:
            return None
        return codes.Refusal(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            f'the estimated wait of {wait:.1f} s exceeds the deadline',
            retry_after=excess,
        )

    def estimate_wait(self, item, now):
        """Return the expected queueing time in seconds, or 0 if unknown.

        The account receives at least its share of the measured service rate,
        and the whole rate once no other account has waiting entries.
        """
        rate = self.meter.get_rate(now)
        if not rate:
            return 0.0
        if not self.fair:
            return self.queued_cost / rate
        flow = self.get_flow(item.account_id, item.weight)
        weights = sum(other.weight for other in self.backlogged.values())
        if item.account_id not in self.backlogged:
            weights += flow.weight
        fair_cost = flow.queued_cost * weights / flow.weight
        return min(fair_cost, self.queued_cost) / rate

    def pop(self, now, model_ids=None):
        """Return the next entry, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        model_ids : collection of str, optional
            Models that can be served at present; None for all.

        Returns
        -------
        Entry or None
            Entry of the account with the least service relative to its weight.
        """
        entries = self.peek(model_ids)
        if not entries:
            return None
        first = min(entries, key=self.get_sort_key)
        self.serve(first, now)
        return first

    def get_sort_key(self, entry):
        """Return the sort key of the oldest entry of an account and model."""
        start_tag = (
            self.flows[entry.work.account_id].start_tag if self.fair else 0.0
        )
        return start_tag, entry.queued_at

    def peek(self, model_ids):
        """Return the oldest entry of each account and model.

        Parameters
        ----------
        model_ids : collection of str or None
            Models to include; None for all.

        Returns
        -------
        list of Entry
            Oldest entries, which stay in the queue.
        """
        return [
            flow.get_first(model_id)
            for flow in self.backlogged.values()
            for model_id in flow.entries
            if model_ids is None or model_id in model_ids
        ]

    def serve(self, entry, now):
        """Remove an entry that is about to run and charge its account."""
        item = entry.work
        flow = self.flows[item.account_id]
        self.virtual_time = max(self.virtual_time, flow.start_tag)
        flow.start_tag += item.cost / flow.weight
        self.meter.record(item.cost, now)
        self.remove(entry)

    def withdraw(self, work_id):
        """Remove an entry; return whether it was in the queue."""
        entry = self.entries_by_id.get(work_id)
        if entry is None:
            return False
        self.remove(entry)
        return True

    def pop_expired(self, now):
        """Remove and return the entries whose deadline has passed."""
        expired = [
            entry
            for entry in self.entries_by_id.values()
            if entry.work.deadline <= now
        ]
        for entry in expired:
            self.remove(entry)
        return expired

    def charge(self, account_id, cost):
        """Charge an account for cost beyond the estimate."""
        flow = self.get_flow(account_id)
        flow.start_tag += cost / flow.weight


class FairQueue:
    """Fair queues of both lanes, with service totals merged across hosts.

    Parameters
    ----------
    fair : bool
        If False, entries are served in order of arrival, as in the baseline
        policy.
    """

    def __init__(self, fair=True):
        self.lanes = {
            lane: LaneQueue(MAX_ENTRIES[lane], fair) for lane in work.Lane
        }
        self.totals = counters.ServiceTotals()

    def push(self, entry):
        """Add an entry; return a `Refusal` if it cannot be served."""
        return self.lanes[entry.work.lane].push(entry, entry.queued_at)

    def pop(self, now, lane=None, model_ids=None):
        """Return the next entry of a lane, online first, or None."""
        for candidate_lane in work.Lane if lane is None else (lane,):
            entry = self.lanes[candidate_lane].pop(now, model_ids)
            if entry is not None:
                item = entry.work
                # Counted at the start, so that other hosts learn of long
                # requests before these have ended.
                self.totals.add(candidate_lane, item.account_id, item.cost)
                return entry
        return None

    def withdraw(self, work_id):
        """Remove an entry; return whether it was in the queue."""
        return any(lane.withdraw(work_id) for lane in self.lanes.values())

    def charge(self, account_id, cost, lane=work.Lane.BATCH):
        """Correct the service of an account when a request has ended.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Tokens beyond the estimate; negative if fewer were used.
        lane : Lane
            Lane in which the request was served.
        """
        self.lanes[lane].charge(account_id, cost)
        self.totals.add(lane, account_id, cost)

    def merge_remote(self, host_id, message):
        """Charge the accounts for service by another host.

        Parameters
        ----------
        host_id : str
            Host that served the work.
        message : ServiceCounters
            Totals of that host.
        """
        for increase in self.totals.merge(host_id, message):
            lane = self.lanes[work.Lane(increase.lane)]
            if increase.account_id in lane.flows:
                lane.charge(increase.account_id, increase.served)
