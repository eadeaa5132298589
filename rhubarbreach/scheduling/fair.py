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

# Entries of one lane; beyond it new work is refused so that memory and
# waiting times stay bounded.
MAX_ENTRIES = {work.Lane.ONLINE: 4096, work.Lane.BATCH: 16384}
# Seconds that a caller is asked to wait when a queue is full.
FULL_RETRY_AFTER = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Work in the queue and the monotonic time at which it came."""

    work: work.Work
    queued_at: float


@dataclasses.dataclass(slots=True)
class Flow:
    """Waiting work of one account.

    Parameters
    ----------
    weight : float
        Weight of the account.
    tag : float
        Service so far in tokens divided by the weight, on all hosts.
    queued_cost : float
        Estimated tokens of the waiting entries.
    entries : dict of str to dict
        Waiting entries by work id, oldest first, for each model.
    """

    weight: float = 1.0
    tag: float = 0.0
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
        Bound of the queue.
    fair : bool
        False serves in order of arrival, for the baseline policy.
    """

    def __init__(self, max_entries, fair=True):
        self.max_entries = max_entries
        self.fair = fair
        self.flows = {}
        self.backlogged = {}
        self.models = collections.Counter()
        self.virtual = 0.0
        self.queued_cost = 0.0
        self.by_work = {}
        self.meter = meter.ServiceMeter()

    def __len__(self):
        return len(self.by_work)

    def get_flow(self, account_id, weight=None):
        """Return the flow of an account."""
        flow = self.flows.get(account_id)
        if flow is None:
            flow = self.flows[account_id] = Flow(tag=self.virtual)
        if weight is not None:
            flow.weight = weight
        return flow

    def push(self, entry, now):
        """Add an entry, or return the refusal of it.

        Parameters
        ----------
        entry : Entry
            Work to queue.
        now : float
            Monotonic seconds.

        Returns
        -------
        Refusal or None
            Not run, when the queue is full or the deadline too short.
        """
        refusal = self.check(entry, now)
        if refusal is None:
            self.insert(entry)
            self.meter.start(now)
        return refusal

    def insert(self, entry):
        """Add an entry behind those of the same account and model."""
        item = entry.work
        flow = self.get_flow(item.account_id, item.weight)
        if item.account_id not in self.backlogged:
            # An idle account does not save up service.
            flow.tag = max(flow.tag, self.virtual)
            self.backlogged[item.account_id] = flow
        flow.entries.setdefault(item.model_id, {})[item.work_id] = entry
        flow.queued_cost += item.cost
        self.queued_cost += item.cost
        self.models[item.model_id] += 1
        self.by_work[item.work_id] = entry

    def remove(self, entry):
        """Take an entry out."""
        item = entry.work
        flow = self.flows[item.account_id]
        waiting = flow.entries[item.model_id]
        del waiting[item.work_id]
        del self.by_work[item.work_id]
        flow.queued_cost -= item.cost
        self.queued_cost -= item.cost
        self.models[item.model_id] -= 1
        if not waiting:
            del flow.entries[item.model_id]
        if not flow.entries:
            del self.backlogged[item.account_id]
        if not self.by_work:
            self.meter.stop()

    def check(self, entry, now):
        """Return a refusal if an entry cannot be served in time."""
        if len(self) >= self.max_entries:
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                f'{len(self)} requests wait already',
                retry_after=FULL_RETRY_AFTER,
            )
        wait = self.estimate_wait(entry.work, now)
        late = now + wait - entry.work.deadline
        if late <= 0:
            return None
        return codes.Refusal(
            codes.ResultCode.DEADLINE_TOO_SHORT,
            f'the estimated wait of {wait:.1f} s exceeds the deadline',
            retry_after=late,
        )

    def estimate_wait(self, item, now):
        """Return the expected seconds in the queue, 0 when not known.

        The account gets at least its share of the measured rate, and the
        whole rate once the others have nothing left.
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
        own = flow.queued_cost * weights / flow.weight
        return min(own, self.queued_cost) / rate

    def pop(self, now, model_ids=None):
        """Return the next entry, or None.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        model_ids : collection of str, optional
            Models that can be served now; None for all.

        Returns
        -------
        Entry or None
            Of the account with the least service for its weight.
        """
        entries = self.peek(model_ids)
        if not entries:
            return None
        best = min(entries, key=self.get_order)
        self.serve(best, now)
        return best

    def get_order(self, entry):
        """Return the sort key of an entry that is first of its account."""
        tag = self.flows[entry.work.account_id].tag if self.fair else 0.0
        return tag, entry.queued_at

    def peek(self, model_ids):
        """Return the oldest entry of each account and model.

        Parameters
        ----------
        model_ids : collection of str or None
            Models to look at; None for all.

        Returns
        -------
        list of Entry
            Left in the queue.
        """
        return [
            flow.get_first(model_id)
            for flow in self.backlogged.values()
            for model_id in flow.entries
            if model_ids is None or model_id in model_ids
        ]

    def serve(self, entry, now):
        """Account for an entry that leaves the queue to be run."""
        item = entry.work
        flow = self.flows[item.account_id]
        self.virtual = max(self.virtual, flow.tag)
        flow.tag += item.cost / flow.weight
        self.meter.record(item.cost, now)
        self.remove(entry)

    def withdraw(self, work_id):
        """Remove an entry; return whether it waited."""
        entry = self.by_work.get(work_id)
        if entry is None:
            return False
        self.remove(entry)
        return True

    def take_expired(self, now):
        """Remove and return the entries whose deadline has passed."""
        expired = [
            entry
            for entry in self.by_work.values()
            if entry.work.deadline <= now
        ]
        for entry in expired:
            self.remove(entry)
        return expired

    def charge(self, account_id, cost):
        """Add measured cost that was not in the estimate."""
        flow = self.get_flow(account_id)
        flow.tag += cost / flow.weight


class FairQueue:
    """Two lanes of fair queues, with counters merged across hosts.

    Parameters
    ----------
    fair : bool
        False serves in order of arrival, for the baseline policy.
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
        for one in work.Lane if lane is None else (lane,):
            entry = self.lanes[one].pop(now, model_ids)
            if entry is not None:
                item = entry.work
                # The other hosts learn of it now, not when it has ended.
                self.totals.add(one, item.account_id, item.cost)
                return entry
        return None

    def withdraw(self, work_id):
        """Remove an entry; return whether it waited."""
        return any(lane.withdraw(work_id) for lane in self.lanes.values())

    def charge(self, account_id, cost, lane=work.Lane.BATCH):
        """Correct the service of an account when a request has ended.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Tokens beyond the estimate; negative when it was less.
        lane : Lane
            Lane in which it was served.
        """
        self.lanes[lane].charge(account_id, cost)
        self.totals.add(lane, account_id, cost)

    def merge_remote(self, host_id, message):
        """Charge the accounts for what another host served.

        Parameters
        ----------
        host_id : str
            Host that served.
        message : ServiceCounters
            Its totals.
        """
        for gained in self.totals.merge(host_id, message):
            lane = self.lanes[work.Lane(gained.lane)]
            if gained.account_id in lane.flows:
                lane.charge(gained.account_id, gained.served)
