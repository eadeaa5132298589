"""Fakes of the replicated groups and of the executor."""

import concurrent.futures
import threading

from rhubarbreach import codes
from rhubarbreach.dispatch import call
from rhubarbreach.state import jobs

UNAVAILABLE = codes.Refusal(
    codes.ResultCode.UNAVAILABLE, 'no majority', codes.Ran.UNKNOWN
)


class LocalClient:
    """State machines in this process behind the interface of the client.

    `lose_reply(command)` decides whether the reply to a committed command is
    lost. While `down` is True, all commands and queries are refused.
    """

    def __init__(self, group_ids, make_machine=jobs.JobsMachine):
        self.machines = {name: make_machine() for name in group_ids}
        self.lock = threading.Lock()
        self.index = 0
        self.down = False
        self.lose_reply = None

    def propose(self, group_id, command, deadline):
        """Apply a command immediately."""
        if self.down:
            return UNAVAILABLE
        with self.lock:
            self.index += 1
            reply = self.machines[group_id].apply(self.index, command)
        if self.lose_reply is not None and self.lose_reply(command):
            return UNAVAILABLE
        return reply

    def query(self, group_id, query, deadline):
        """Answer a query."""
        if self.down:
            return UNAVAILABLE
        return self.machines[group_id].query(query)


class FakeExecutor:
    """Fake executor with a pool; `answer(call)` returns the outcome."""

    def __init__(self, answer=None, workers=8):
        self.answer = answer or answer_ok
        self.executed = []
        self.cancelled = set()
        self.futures = {}
        self.pool = concurrent.futures.ThreadPoolExecutor(workers)

    def submit(self, item_call, sink=None):
        """Submit a call to the pool."""
        future = self.pool.submit(self.run, item_call)
        self.futures[item_call.request_id] = future
        return future

    def run(self, item_call):
        """Run a call unless it has been cancelled."""
        if item_call.request_id in self.cancelled:
            return codes.Refusal(codes.ResultCode.CANCELLED, 'cancelled')
        self.executed.append(item_call)
        return self.answer(item_call)

    def cancel(self, request_id):
        """Cancel a call that does not run yet."""
        self.cancelled.add(request_id)

    def cancel_job(self, job_id):
        """Cancel the calls of a job that do not run yet."""
        for request_id in list(self.futures):
            if request_id.startswith(f'{job_id}-'):
                self.cancelled.add(request_id)


def answer_ok(item_call):
    """Return a successful result with the body of the call."""
    return call.CallResult(
        200, 'application/json', item_call.body, 'endpoint-1', 1
    )
