"""Register state machine and a linearizability check of its histories."""

import dataclasses
import json
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client

GROUP = 'g'
NEVER = float('inf')


class RegisterMachine:
    """State machine of one register that runs each operation id once."""

    def __init__(self):
        self.value = 0
        self.results = {}

    def apply(self, index, command):
        operation_id, kind, argument = json.loads(command)
        if operation_id not in self.results:
            self.results[operation_id] = self.value
            if kind == 'write':
                self.value = argument
        return json.dumps(self.results[operation_id]).encode()

    def query(self, query):
        return json.dumps(self.value).encode()

    def snapshot(self):
        return json.dumps([self.value, self.results]).encode()

    def restore(self, data):
        self.value, self.results = json.loads(data)


@dataclasses.dataclass(frozen=True)
class Operation:
    """Operation of a history.

    A write returns the previous value, a read the current one.
    """

    start: float
    end: float
    is_write: bool
    argument: int
    result: int | None


def is_linearizable(history):
    """Return whether an order that respects real time explains all results."""
    history = sorted(history, key=lambda operation: operation.start)
    completed = sum(
        1 << n
        for n, operation in enumerate(history)
        if operation.end is not NEVER
    )
    visited = set()
    stack = [(0, 0)]
    while stack:
        done, value = stack.pop()
        if done & completed == completed:
            return True
        if (done, value) in visited:
            continue
        visited.add((done, value))
        stack.extend(list_successors(history, done, value))
    return False


def list_successors(history, done, value):
    """Yield the states after each operation that may come next."""
    remaining = [n for n in range(len(history)) if not done >> n & 1]
    first_end = min(history[n].end for n in remaining)
    for n in remaining:
        operation = history[n]
        if operation.start > first_end:
            break
        if operation.result is None or operation.result == value:
            next_value = operation.argument if operation.is_write else value
            yield done | 1 << n, next_value


class Worker:
    """Caller that records the history of its operations."""

    def __init__(self, number, cluster, stop, random):
        self.number = number
        self.cluster = cluster
        self.stop = stop
        self.random = random
        self.history = []
        self.error = None
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        """Run operations one after another until stopped."""
        count = 0
        try:
            while not self.stop.is_set():
                count += 1
                self.run_operation(count)
                self.stop.wait(self.random.uniform(0.005, 0.05))
        except Exception as error:
            self.error = error

    def run_operation(self, count):
        """Run one random operation and record it."""
        hosts = tuple(self.cluster.links)
        link = self.cluster.links.get(self.random.choice(hosts))
        if link is None:
            return
        is_write = self.random.random() < 0.6
        argument = self.number * 100000 + count
        start = clock.monotonic()
        if is_write:
            command = json.dumps([str(argument), 'write', argument])
            result = client.propose(
                link, GROUP, command.encode(), start + 2, hosts
            )
        else:
            result = client.query(link, GROUP, b'', start + 2, hosts)
        end = clock.monotonic()
        if isinstance(result, codes.Refusal):
            if result.ran != codes.Ran.NO and is_write:
                self.history.append(
                    Operation(start, NEVER, True, argument, None)
                )
            return
        self.history.append(
            Operation(start, end, is_write, argument, json.loads(result))
        )
