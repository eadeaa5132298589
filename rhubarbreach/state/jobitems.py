"""Jobs with their items stored in columns, and claims of items."""

import array
import heapq

import msgspec

from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import pack

__all__ = ['Claim', 'Job', 'MAX_LOST_CLAIMS', 'make_result']

State = jobcommands.ItemState

# Lost claims after which an item fails. The limit is high because a lost
# claim does not show which of its items was the cause. An item that fails by
# itself reaches `max_attempts` much earlier.
MAX_LOST_CLAIMS = 16
# Factor by which the delay grows with each retry, so that the attempts of an
# item outlast the outage of an endpoint.
RETRY_FACTOR = 5
# Largest value that fits the 32-bit column of costs.
MAX_COST = 0xFFFFFFFF
ENCODER = msgspec.msgpack.Encoder()
CANCEL_TABLE = bytes(
    {
        State.PENDING: State.CANCELLED,
        State.CLAIMED: State.CANCELLED,
        State.STARTED: State.UNKNOWN,
    }.get(state, state)
    for state in range(256)
)


def make_result(code, reason):
    """Return the encoded result of an item that ended without a response."""
    stored = jobcommands.StoredResult(int(code), reason, 0, '', b'')
    return ENCODER.encode(stored)


class Claim:
    """Claim of a host on items of one job until a logical time.

    `open` is the number of items that are still held.
    """

    __slots__ = ('epoch', 'job_id', 'host_id', 'expires_at', 'items', 'open')

    def __init__(self, epoch, job_id, host_id, expires_at, items):
        self.epoch = epoch
        self.job_id = job_id
        self.host_id = host_id
        self.expires_at = expires_at
        self.items = array.array('I', items)
        self.open = len(self.items)


class Job:
    """A job with its items in columns.

    Parameters
    ----------
    begin : BeginJob
        Command that opened the job.
    sequence : int
        Position of the job in the order of the group.

    Notes
    -----
    Items from index `next_new` on were never claimed. `returned` is a heap of
    pending items below that index; `delayed` is a heap of items that become
    pending later, with their logical times. `losses` counts the lost claims
    of each item.
    """

    def __init__(self, begin, sequence):
        self.begin = begin
        self.sequence = sequence
        self.state = jobcommands.JobState.UPLOADING
        self.changed_at = 0
        self.next_new = 0
        self.returned = []
        self.delayed = []
        self.counts = [0] * len(State)
        self.states = array.array('B')
        self.attempts = array.array('B')
        self.losses = array.array('B')
        self.epochs = array.array('Q')
        self.costs = array.array('I')
        self.custom_ids = pack.Pack()
        self.bodies = pack.Pack()
        self.results = pack.Pack()

    @property
    def added(self):
        """Number of items that have been added."""
        return len(self.states)

    def add(self, custom_ids, bodies, costs):
        """Append items."""
        for custom_id, body, cost in zip(
            custom_ids, bodies, costs, strict=True
        ):
            index = len(self.states)
            self.custom_ids.set(index, custom_id.encode())
            self.bodies.set(index, body)
            self.states.append(State.PENDING)
            self.attempts.append(0)
            self.losses.append(0)
            self.epochs.append(0)
            self.costs.append(min(max(cost, 1), MAX_COST))
        self.counts[State.PENDING] = len(self.states)

    def has_pending(self):
        """Return whether an item can be claimed."""
        return self.state == jobcommands.JobState.RUNNING and (
            bool(self.returned) or self.next_new < self.added
        )

    def peek_pending(self):
        """Return the index of the pending item that is claimed next."""
        return self.returned[0] if self.returned else self.next_new

    def pop_pending(self, limit, max_bytes):
        """Remove pending items from the queue of the job.

        The first item is taken even if it exceeds `max_bytes`.

        Parameters
        ----------
        limit : int
            Maximum number of items.
        max_bytes : int
            Maximum size of their bodies together.

        Returns
        -------
        list of int
            Indexes of the items.
        """
        indexes = []
        size = 0
        while len(indexes) < limit and self.has_pending():
            index = self.peek_pending()
            size += self.bodies.get_size(index)
            if indexes and size > max_bytes:
                break
            if self.returned:
                heapq.heappop(self.returned)
            else:
                self.next_new += 1
            indexes.append(index)
        return indexes

    def get_cost(self, indexes):
        """Return the estimated cost of items in tokens."""
        return sum(self.costs[index] for index in indexes)

    def set_state(self, index, state):
        """Set the state of an item."""
        self.counts[self.states[index]] -= 1
        self.counts[state] += 1
        self.states[index] = state

    def claim_item(self, index, epoch):
        """Put an item under a claim."""
        self.set_state(index, State.CLAIMED)
        self.epochs[index] = epoch

    def is_held(self, index, epoch):
        """Return whether an item is held under the claim of an epoch."""
        return (
            0 <= index < len(self.states)
            and self.epochs[index] == epoch
            and self.states[index] in (State.CLAIMED, State.STARTED)
        )

    def requeue(self, index):
        """Make an item pending again."""
        self.set_state(index, State.PENDING)
        heapq.heappush(self.returned, index)

    def finish(self, index, state, result):
        """Store the final state and the result of an item."""
        self.set_state(index, state)
        self.results.set(index, result)
        self.bodies.drop(index)

    def end_attempt(self, index, result, now):
        """End a failed attempt of an item.

        A started item must not run twice, so it ends with outcome unknown
        even though its holder reported `RETRY`. Any other item becomes
        pending again after a delay, during which the other items of the job
        continue.
        """
        if self.states[index] == State.STARTED:
            self.finish(index, State.UNKNOWN, result)
            return
        attempts = self.attempts[index] = min(255, self.attempts[index] + 1)
        if attempts >= self.begin.max_attempts:
            self.finish(index, State.FAILED, result)
        elif not self.begin.retry_delay:
            self.requeue(index)
        else:
            self.set_state(index, State.PENDING)
            delay = self.begin.retry_delay * RETRY_FACTOR ** (attempts - 1)
            heapq.heappush(self.delayed, (now + delay, index))

    def requeue_due(self, now):
        """Queue the delayed items that are due; return whether any were."""
        due_count = 0
        while self.delayed and self.delayed[0][0] <= now:
            heapq.heappush(self.returned, heapq.heappop(self.delayed)[1])
            due_count += 1
        return due_count > 0

    def lose_claim(self, index):
        """End the claim of an item whose holder was lost."""
        if self.states[index] == State.STARTED:
            reason = 'the host that ran the item was lost'
            code = codes.ResultCode.OUTCOME_UNKNOWN
            self.finish(index, State.UNKNOWN, make_result(code, reason))
            return
        self.losses[index] += 1
        if self.losses[index] < MAX_LOST_CLAIMS:
            self.requeue(index)
            return
        reason = f'{MAX_LOST_CLAIMS} hosts were lost while they held the item'
        code = codes.ResultCode.CLAIM_LOST
        self.finish(index, State.FAILED, make_result(code, reason))

    def cancel(self):
        """Cancel the job and end all items that have no final state."""
        self.state = jobcommands.JobState.CANCELLED
        states = bytes(self.states).translate(CANCEL_TABLE)
        self.states = array.array('B', states)
        self.counts = [states.count(state) for state in State]
        self.returned = []
        self.delayed = []
        self.next_new = self.added
        self.bodies.clear()

    def is_finished(self):
        """Return whether all items have a final state."""
        final_count = sum(self.counts[State.DONE :])
        return final_count == self.begin.item_count

    def make_status(self):
        """Return the status as shown to the client."""
        begin = self.begin
        return jobcommands.JobStatus(
            begin.job_id,
            begin.account_id,
            begin.client_id,
            self.state,
            begin.method,
            begin.path,
            begin.item_count,
            self.added,
            self.counts[State.DONE],
            self.counts[State.FAILED],
            self.counts[State.UNKNOWN],
            self.counts[State.CANCELLED],
            begin.created_at,
        )
