"""One job and the columns of its items."""

import array
import heapq

import msgspec

from rhubarbreach import codes
from rhubarbreach.state import jobcommands
from rhubarbreach.state import pack

__all__ = ['Claim', 'Job', 'MAX_LOST_CLAIMS', 'make_result']

State = jobcommands.ItemState

# A lost claim does not say which of its items was to blame, so that it takes
# many before an item fails. Items fail on their own attempts much earlier.
MAX_LOST_CLAIMS = 16
# Endpoints that are lost come back after a while; attempts at growing
# distances outlast that.
RETRY_FACTOR = 5
# Largest cost that its column holds.
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
    """Return the stored result of an item that ended without an answer."""
    stored = jobcommands.StoredResult(int(code), reason, 0, '', b'')
    return ENCODER.encode(stored)


class Claim:
    """Items of one job held by a host until a logical time."""

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
        What the job was opened with.
    sequence : int
        Order of jobs in the group.
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
        """Number of items added so far."""
        return len(self.states)

    def add(self, custom_ids, bodies, costs):
        """Add items at the end."""
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

    def peek(self):
        """Return the pending item that is claimed next."""
        return self.returned[0] if self.returned else self.next_new

    def take(self, limit, max_bytes):
        """Remove pending items, at least one, from the queue of the job."""
        taken = []
        size = 0
        while len(taken) < limit and self.has_pending():
            index = self.peek()
            size += self.bodies.get_size(index)
            if taken and size > max_bytes:
                break
            if self.returned:
                heapq.heappop(self.returned)
            else:
                self.next_new += 1
            taken.append(index)
        return taken

    def get_cost(self, indexes):
        """Return the estimated cost of some items in tokens."""
        return sum(self.costs[index] for index in indexes)

    def move(self, index, state):
        """Change the state of an item."""
        self.counts[self.states[index]] -= 1
        self.counts[state] += 1
        self.states[index] = state

    def lease(self, index, epoch):
        """Put an item under a claim."""
        self.move(index, State.CLAIMED)
        self.epochs[index] = epoch

    def is_held(self, index, epoch):
        """Return whether an item is under the claim of an epoch."""
        return (
            0 <= index < len(self.states)
            and self.epochs[index] == epoch
            and self.states[index] in (State.CLAIMED, State.STARTED)
        )

    def give_back(self, index):
        """Make an item pending again."""
        self.move(index, State.PENDING)
        heapq.heappush(self.returned, index)

    def finish(self, index, state, result):
        """End an item for good."""
        self.move(index, state)
        self.results.set(index, result)
        self.bodies.drop(index)

    def retry(self, index, result, now):
        """End one attempt of an item.

        An item that may not run twice ends with outcome unknown, whatever
        its holder says. Others become pending again after a delay, which
        does not hold up the job.
        """
        if self.states[index] == State.STARTED:
            self.finish(index, State.UNKNOWN, result)
            return
        attempts = self.attempts[index] = min(255, self.attempts[index] + 1)
        if attempts >= self.begin.max_attempts:
            self.finish(index, State.FAILED, result)
        elif not self.begin.retry_delay:
            self.give_back(index)
        else:
            self.move(index, State.PENDING)
            delay = self.begin.retry_delay * RETRY_FACTOR ** (attempts - 1)
            heapq.heappush(self.delayed, (now + delay, index))

    def wake(self, now):
        """Make delayed items pending; return whether there were any."""
        due = 0
        while self.delayed and self.delayed[0][0] <= now:
            heapq.heappush(self.returned, heapq.heappop(self.delayed)[1])
            due += 1
        return due > 0

    def lose(self, index):
        """End the claim of an item whose holder is lost."""
        if self.states[index] == State.STARTED:
            reason = 'the host that ran the item was lost'
            code = codes.ResultCode.OUTCOME_UNKNOWN
            self.finish(index, State.UNKNOWN, make_result(code, reason))
            return
        self.losses[index] += 1
        if self.losses[index] < MAX_LOST_CLAIMS:
            self.give_back(index)
            return
        reason = f'{MAX_LOST_CLAIMS} hosts were lost while they held the item'
        code = codes.ResultCode.CLAIM_LOST
        self.finish(index, State.FAILED, make_result(code, reason))

    def cancel(self):
        """End all items that have no final result."""
        self.state = jobcommands.JobState.CANCELLED
        moved = bytes(self.states).translate(CANCEL_TABLE)
        self.states = array.array('B', moved)
        self.counts = [moved.count(state) for state in State]
        self.returned = []
        self.delayed = []
        self.next_new = self.added
        self.bodies.clear()

    def is_finished(self):
        """Return whether each item has a final result."""
        final = sum(self.counts[State.DONE :])
        return final == self.begin.item_count

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
