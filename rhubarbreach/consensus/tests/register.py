"""A register machine and a check that its histories are linearizable."""

import dataclasses
import json
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client

GROUP = 'g'
NEVER = float('inf')


class RegisterMachine:
    """One register; an operation id is carried out once."""

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
    """A write returns the value before it, a read the value."""

    start: float
    end: float
    is_write: bool
    argument: int
    result: int | None


def is_linearizable(history):
    """Return whether some order within real time explains all results."""
    history = sorted(history, key=lambda operation: operation.start)
    needed = sum(
        1 << n for n, one in enumerate(history) if one.end is not NEVER
    )
    seen = set()
    stack = [(0, 0)]
    while stack:
        done, value = stack.pop()
        if done & needed == needed:
            return True
        if (done, value) in seen:
            continue
        seen.add((done, value))
        stack.extend(follow(history, done, value))
    return False


def follow(history, done, value):
    """Return the states after each operation that may come next."""
    left = [n for n in range(len(history)) if not done >> n & 1]
    first_end = min(history[n].end for n in left)
    for n in left:
        one = history[n]
        if one.start > first_end:
            break
        if one.result is None or one.result == value:
            after = one.argument if one.is_write else value
            yield done | 1 << n, after


class Worker:
    """A caller that records what it saw."""

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
        """Send operations one after another."""
        count = 0
        try:
            while not self.stop.is_set():
                count += 1
                self.operate(count)
                self.stop.wait(self.random.uniform(0.005, 0.05))
        except Exception as error:
            self.error = error

    def operate(self, count):
        """Carry out one operation."""
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
