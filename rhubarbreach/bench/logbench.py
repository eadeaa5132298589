"""Measure the replicated log with three stores in processes of their own.

One bare loop of append and sync on the same disk is measured in the same
run, so that only ratios have to be compared between runs.

Examples
--------
`python -m rhubarbreach.bench.logbench` prints one JSON object with:
`bare_per_second`, `commits_per_second`, `commit_ratio`, `commit_p50_ms`,
`commit_p99_ms`, the latencies with one proposer as `single_p50_ms` and
`single_p99_ms`, `failover_s`, `restart_s` until a restarted store has
applied all records again, and per idle group and second `idle_bytes` and
`idle_cpu_ms`, over the three stores together.
"""

import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

from rhubarbreach.bench import logstore

__all__ = ['main', 'measure_bare']

HOSTS = ('store-1', 'store-2', 'store-3')
RECORD_BYTES = 200
BARE_SECONDS = 2.0
LOAD_SECONDS = 4.0
CONCURRENCY = 512
IDLE_SECONDS = 4.0
IDLE_GROUPS = 4
RESTART_RECORDS = 100_000
WAIT_SECONDS = 60.0
FAILOVERS = 3


def measure_bare(folder, seconds):
    """Return the appends per second of one loop that syncs each.

    Parameters
    ----------
    folder : pathlib.Path
        Folder on the disk that is measured.
    seconds : float
        Duration.

    Returns
    -------
    float
        Appends per second.
    """
    count = 0
    with open(folder / 'bare', 'wb', buffering=0) as file:
        start = time.monotonic()
        while time.monotonic() - start < seconds:
            file.write(b'x' * RECORD_BYTES)
            os.fdatasync(file.fileno())
            count += 1
        return count / (time.monotonic() - start)


def find_address():
    """Return a free address on the loopback interface."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class StoreProcess:
    """One store in a process, driven by lines of JSON."""

    def __init__(self, host_id, folder, addresses, options):
        config = logstore.StoreConfig(
            host_id, str(folder), addresses, **options
        )
        command = [sys.executable, '-m', 'rhubarbreach.bench.logstore']
        self.process = subprocess.Popen(
            [*command, logstore.encode_config(config)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def ask(self, **request):
        """Send a request and return its answer."""
        self.process.stdin.write(json.dumps(request) + '\n')
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


class Fleet:
    """Three stores."""

    def __init__(self, folder, **options):
        self.folder = folder
        self.options = options
        self.addresses = {host: find_address() for host in HOSTS}
        self.stores = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        """Start a store."""
        self.stores[host] = StoreProcess(
            host, self.folder / host, self.addresses, self.options
        )

    def find_leader(self):
        """Return the host that leads the first group."""
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            for host, store in self.stores.items():
                if store.ask(name='status')['leads']:
                    return host
            time.sleep(0.01)
        raise TimeoutError('no leader')

    def close(self):
        """Kill all stores."""
        for store in self.stores.values():
            store.kill()


def measure_load(fleet):
    """Return rate and latencies of commits with many proposers."""
    leader = fleet.stores[fleet.find_leader()]
    leader.ask(name='load', seconds=1.0, concurrency=CONCURRENCY)
    many = leader.ask(
        name='load', seconds=LOAD_SECONDS, concurrency=CONCURRENCY
    )
    single = leader.ask(name='load', seconds=LOAD_SECONDS, concurrency=1)
    many['single_p50_ms'] = single['commit_p50_ms']
    many['single_p99_ms'] = single['commit_p99_ms']
    return many


def measure_failover(fleet):
    """Return the seconds from killing a leader to the next commit."""
    found = []
    for _ in range(FAILOVERS):
        leader = fleet.find_leader()
        other = next(host for host in fleet.stores if host != leader)
        fleet.stores[other].ask(name='commit', seconds=WAIT_SECONDS)
        fleet.stores.pop(leader).kill()
        found.append(
            fleet.stores[other].ask(name='commit', seconds=WAIT_SECONDS)[
                'seconds'
            ]
        )
        fleet.start(leader)
        fleet.stores[leader].ask(name='commit', seconds=WAIT_SECONDS)
    return found


def measure_idle(folder):
    """Return bytes and CPU time per idle group and second."""
    fleet = Fleet(folder, groups=IDLE_GROUPS)
    try:
        fleet.find_leader()
        time.sleep(1.0)
        before = [store.ask(name='status') for store in fleet.stores.values()]
        time.sleep(IDLE_SECONDS)
        after = [store.ask(name='status') for store in fleet.stores.values()]
    finally:
        fleet.close()

    def rate(name):
        total = sum(
            late[name] - early[name]
            for early, late in zip(before, after, strict=True)
        )
        return total / IDLE_SECONDS / IDLE_GROUPS

    return {
        'idle_bytes': rate('sent_bytes'),
        'idle_cpu_ms': rate('cpu_seconds') * 1000,
    }


def measure_restart(folder):
    """Return the seconds until a killed store holds many records again."""
    fleet = Fleet(folder, snapshot_entries=10 * RESTART_RECORDS)
    try:
        leader = fleet.find_leader()
        fleet.stores[leader].ask(
            name='fill', count=RESTART_RECORDS, concurrency=CONCURRENCY
        )
        fleet.stores.pop(leader).kill()
        fleet.start(leader)
        return fleet.stores[leader].ask(
            name='catch_up', count=RESTART_RECORDS, seconds=WAIT_SECONDS
        )['seconds']
    finally:
        fleet.close()


def measure(folder):
    """Return all figures."""
    figures = {'bare_per_second': measure_bare(folder, BARE_SECONDS)}
    fleet = Fleet(folder / 'load')
    try:
        figures.update(measure_load(fleet))
        figures['failover_s'] = measure_failover(fleet)
    finally:
        fleet.close()
    after = measure_bare(folder, BARE_SECONDS)
    figures['bare_per_second_after'] = after
    bare = (figures['bare_per_second'] + after) / 2
    figures['commit_ratio'] = figures['commits_per_second'] / bare
    figures['restart_s'] = measure_restart(folder / 'restart')
    figures.update(measure_idle(folder / 'idle'))
    return figures


def main():
    """Measure on the current folder's disk and print the figures."""
    with tempfile.TemporaryDirectory(dir='.') as folder:
        figures = measure(pathlib.Path(folder).resolve())
    sys.stdout.write(json.dumps(figures, indent=1) + '\n')


if __name__ == '__main__':
    main()
