"""One store process of the log measurement."""

import concurrent.futures
import dataclasses
import json
import sys
import threading
import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client
from rhubarbreach.consensus import group
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.protocol import link

__all__ = ['CountMachine', 'StoreConfig', 'encode_config', 'main']

COMMAND = b'x' * 200
COMMAND_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConfig:
    """What a store process is told."""

    host_id: str
    folder: str
    addresses: dict
    groups: int = 1
    snapshot_entries: int = 20000


def encode_config(config):
    """Return a configuration as one argument."""
    return json.dumps(dataclasses.asdict(config))


class CountMachine:
    """Counts commands."""

    def __init__(self):
        self.count = 0

    def apply(self, index, command):
        """Count one command."""
        self.count += 1
        return b''

    def query(self, query):
        """Return the count."""
        return str(self.count).encode()

    def snapshot(self):
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data):
        """Take a count."""
        self.count = int(data)


class Load:
    """Proposers that each wait for one commit before the next."""

    def __init__(self, one, seconds, count):
        self.group = one
        self.end = clock.monotonic() + seconds
        self.left = count
        self.latencies = []
        self.refusals = 0
        self.running = 0
        self.lock = threading.Lock()
        self.done = threading.Event()

    def run(self, concurrency):
        """Run and return commits per second and latencies."""
        self.running = concurrency
        start = clock.monotonic()
        for _ in range(concurrency):
            self.propose()
        self.done.wait()
        seconds = clock.monotonic() - start
        ordered = sorted(self.latencies)
        return {
            'commits_per_second': len(ordered) / seconds,
            'commit_p50_ms': ordered[len(ordered) // 2] * 1000,
            'commit_p99_ms': ordered[len(ordered) * 99 // 100] * 1000,
            'refusals': self.refusals,
        }

    def propose(self):
        """Propose one command."""
        now = clock.monotonic()
        self.left -= 1
        if now >= self.end or self.left < 0:
            with self.lock:
                self.running -= 1
                if self.running == 0:
                    self.done.set()
            return
        future = self.group.propose(COMMAND, now + COMMAND_SECONDS)
        future.add_done_callback(lambda done: self.finish(done, now))

    def finish(self, done, start):
        """Record one commit and go on."""
        if isinstance(done.result(), codes.Refusal):
            self.refusals += 1
        else:
            self.latencies.append(clock.monotonic() - start)
        self.propose()


class StoreServer:
    """Answers the requests of the measurement."""

    def __init__(self, config):
        peers = {
            host: address
            for host, address in config.addresses.items()
            if host != config.host_id
        }
        self.link = link.Link(
            config.host_id, config.addresses[config.host_id], peers, None
        )
        self.set = groups.GroupSet(self.link)
        self.start = clock.monotonic()
        for number in range(config.groups):
            settings = model.GroupSettings(
                f'group-{number}',
                config.host_id,
                config.folder,
                tuple(config.addresses),
                snapshot_entries=config.snapshot_entries,
            )
            self.set.add(group.Group(settings, self.link, CountMachine()))
        self.first = self.set.get('group-0')

    def status(self):
        """Return what the store has used so far."""
        return {
            'leads': self.first.quorum_contact > 0,
            'cpu_seconds': time.process_time(),
            'sent_bytes': sum(
                peer.sent_bytes for peer in self.link.peers.values()
            ),
        }

    def load(self, seconds, concurrency):
        """Run many proposers for some time."""
        return Load(self.first, seconds, 10**9).run(concurrency)

    def fill(self, count, concurrency):
        """Commit a number of records."""
        return Load(self.first, 10**9, count).run(concurrency)

    def catch_up(self, count, seconds):
        """Return the seconds from the start until records are applied."""
        end = self.start + seconds
        while clock.monotonic() < end:
            if self.first.machine.count >= count:
                return {'seconds': clock.monotonic() - self.start}
            time.sleep(0.01)
        return {'seconds': seconds}

    def commit(self, seconds):
        """Return the seconds until one command is committed."""
        start = clock.monotonic()
        result = client.propose(self.link, 'group-0', COMMAND, start + seconds)
        if isinstance(result, codes.Refusal):
            return {'refusal': result.reason, 'seconds': seconds}
        return {'seconds': clock.monotonic() - start}


def main():
    """Serve requests from standard input until it ends."""
    server = StoreServer(StoreConfig(**json.loads(sys.argv[1])))
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        for line in sys.stdin:
            request = json.loads(line)
            function = getattr(server, request.pop('name'))
            answer = executor.submit(function, **request).result()
            sys.stdout.write(json.dumps(answer) + '\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
