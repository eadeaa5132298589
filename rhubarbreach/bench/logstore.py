"""Store process of the log benchmark."""

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
COMMAND_TIMEOUT_SECONDS = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreConfig:
    """Settings of a store process, passed as its argument."""

    host_id: str
    folder: str
    addresses: dict
    groups: int = 1
    snapshot_entries: int = 20000


def encode_config(config):
    """Return the settings as one argument of the command line."""
    return json.dumps(dataclasses.asdict(config))


class CountMachine:
    """State machine that counts commands."""

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
        """Replace the count by that of a snapshot."""
        self.count = int(data)


class ProposalLoad:
    """Closed-loop proposers, each with one command in flight.

    Parameters
    ----------
    target : group.Group
        Group that commits the commands.
    seconds : float
        Duration of the load.
    count : int
        Largest number of commands.
    """

    def __init__(self, target, seconds, count):
        self.group = target
        self.end = clock.monotonic() + seconds
        self.remaining = count
        self.latencies = []
        self.refusals = 0
        self.active_proposers = 0
        self.lock = threading.Lock()
        self.finished = threading.Event()

    def run(self, concurrency):
        """Run the proposers and return commits per second and latencies."""
        self.active_proposers = concurrency
        start = clock.monotonic()
        for _ in range(concurrency):
            self.propose()
        self.finished.wait()
        seconds = clock.monotonic() - start
        ordered = sorted(self.latencies)
        return {
            'commits_per_second': len(ordered) / seconds,
            'commit_p50_ms': ordered[len(ordered) // 2] * 1000,
            'commit_p99_ms': ordered[len(ordered) * 99 // 100] * 1000,
            'refusals': self.refusals,
        }

    def propose(self):
        """Propose the next command, or end this proposer."""
        now = clock.monotonic()
        self.remaining -= 1
        if now >= self.end or self.remaining < 0:
            with self.lock:
                self.active_proposers -= 1
                if self.active_proposers == 0:
                    self.finished.set()
            return
        future = self.group.propose(COMMAND, now + COMMAND_TIMEOUT_SECONDS)
        future.add_done_callback(lambda proposal: self.finish(proposal, now))

    def finish(self, proposal, start):
        """Record the outcome of one command and propose the next."""
        if isinstance(proposal.result(), codes.Refusal):
            self.refusals += 1
        else:
            self.latencies.append(clock.monotonic() - start)
        self.propose()


class StoreServer:
    """Store with its groups; serves the requests of the benchmark.

    The public methods are called by the names in the requests.
    """

    def __init__(self, config):
        peers = {
            host: address
            for host, address in config.addresses.items()
            if host != config.host_id
        }
        self.link = link.Link(
            config.host_id, config.addresses[config.host_id], peers, None
        )
        self.group_set = groups.GroupSet(self.link)
        self.started_at = clock.monotonic()
        for number in range(config.groups):
            settings = model.GroupSettings(
                f'group-{number}',
                config.host_id,
                config.folder,
                tuple(config.addresses),
                snapshot_entries=config.snapshot_entries,
            )
            self.group_set.add(
                group.Group(settings, self.link, CountMachine())
            )
        self.first_group = self.group_set.get('group-0')

    def status(self):
        """Return whether the store leads the first group, and its usage."""
        return {
            'leads': self.first_group.quorum_contact > 0,
            'cpu_seconds': time.process_time(),
            'sent_bytes': sum(
                peer.sent_bytes for peer in self.link.peers.values()
            ),
        }

    def load(self, seconds, concurrency):
        """Run concurrent proposers for a number of seconds."""
        return ProposalLoad(self.first_group, seconds, 10**9).run(concurrency)

    def fill(self, count, concurrency):
        """Commit a number of commands with concurrent proposers."""
        return ProposalLoad(self.first_group, 10**9, count).run(concurrency)

    def catch_up(self, count, seconds):
        """Return the seconds from the start to the last of `count` commands.

        The result is `seconds` if they are not applied by then.
        """
        end = self.started_at + seconds
        while clock.monotonic() < end:
            if self.first_group.machine.count >= count:
                return {'seconds': clock.monotonic() - self.started_at}
            time.sleep(0.01)
        return {'seconds': seconds}

    def commit(self, seconds):
        """Commit one command and return the seconds that it took."""
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
            response = executor.submit(function, **request).result()
            sys.stdout.write(json.dumps(response) + '\n')
            sys.stdout.flush()


if __name__ == '__main__':
    main()
