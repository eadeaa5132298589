"""Benchmark of the replicated log with three stores in separate processes.

Each run also measures a loop of append and sync on the same disk without
replication, so that runs can be compared by their ratios.

Examples
--------
`python -m rhubarbreach.bench.logbench` prints one JSON object with these
fields: `bare_per_second` and `bare_per_second_after`, the rate of the loop
before and after the load; `commits_per_second`; `commit_ratio`, the ratio of
this rate to the mean rate of the loop; `commit_p50_ms` and `commit_p99_ms`;
`single_p50_ms` and `single_p99_ms`, the latencies with one proposer;
`failover_s`, a list of the seconds of each failover; `restart_s`, the time
until a restarted store has applied all records again; `idle_bytes` and
`idle_cpu_ms`, each per idle group and second, summed over the three stores.
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
    """Return the appends per second of a loop that syncs after each append.

    Parameters
    ----------
    folder : pathlib.Path
        Folder on the disk to measure.
    seconds : float
        Duration of the loop.

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
    """Store process that takes requests and sends responses as JSON lines."""

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
        """Send a request and return the response."""
        self.process.stdin.write(json.dumps(request) + '\n')
        self.process.stdin.flush()
        return json.loads(self.process.stdout.readline())

    def kill(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


class StoreCluster:
    """Cluster of three store processes."""

    def __init__(self, folder, **options):
        self.folder = folder
        self.options = options
        self.addresses = {host: find_address() for host in HOSTS}
        self.stores = {}
        for host in HOSTS:
            self.start(host)

    def start(self, host):
        """Start the store process of a host."""
        self.stores[host] = StoreProcess(
            host, self.folder / host, self.addresses, self.options
        )

    def find_leader(self):
        """Wait for a leader of the first group and return its host."""
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            for host, store in self.stores.items():
                if store.ask(name='status')['leads']:
                    return host
            time.sleep(0.01)
        raise TimeoutError(
            f'no leader was elected within {WAIT_SECONDS:.0f} s'
        )

    def close(self):
        """Kill all store processes."""
        for store in self.stores.values():
            store.kill()


def measure_load(cluster):
    """Return rate and latencies of commits under load.

    Measured are many concurrent proposers and, after them, one proposer.
    """
    leader = cluster.stores[cluster.find_leader()]
    leader.ask(name='load', seconds=1.0, concurrency=CONCURRENCY)
    result = leader.ask(
        name='load', seconds=LOAD_SECONDS, concurrency=CONCURRENCY
    )
    single = leader.ask(name='load', seconds=LOAD_SECONDS, concurrency=1)
    result['single_p50_ms'] = single['commit_p50_ms']
    result['single_p99_ms'] = single['commit_p99_ms']
    return result


def measure_failover(cluster):
    """Return the seconds from each kill of a leader to the next commit."""
    durations = []
    for _ in range(FAILOVERS):
        leader = cluster.find_leader()
        other = next(host for host in cluster.stores if host != leader)
        cluster.stores[other].ask(name='commit', seconds=WAIT_SECONDS)
        cluster.stores.pop(leader).kill()
        durations.append(
            cluster.stores[other].ask(name='commit', seconds=WAIT_SECONDS)[
                'seconds'
            ]
        )
        cluster.start(leader)
        cluster.stores[leader].ask(name='commit', seconds=WAIT_SECONDS)
    return durations


def measure_idle(folder):
    """Return the bytes and CPU time per idle group and second."""
    cluster = StoreCluster(folder, groups=IDLE_GROUPS)
    try:
        cluster.find_leader()
        time.sleep(1.0)
        before = [
            store.ask(name='status') for store in cluster.stores.values()
        ]
        time.sleep(IDLE_SECONDS)
        after = [store.ask(name='status') for store in cluster.stores.values()]
    finally:
        cluster.close()

    def compute_rate(name):
        total = sum(
            end[name] - start[name]
            for start, end in zip(before, after, strict=True)
        )
        return total / IDLE_SECONDS / IDLE_GROUPS

    return {
        'idle_bytes': compute_rate('sent_bytes'),
        'idle_cpu_ms': compute_rate('cpu_seconds') * 1000,
    }


def measure_restart(folder):
    """Return the seconds until a restarted store has applied all records."""
    cluster = StoreCluster(folder, snapshot_entries=10 * RESTART_RECORDS)
    try:
        leader = cluster.find_leader()
        cluster.stores[leader].ask(
            name='fill', count=RESTART_RECORDS, concurrency=CONCURRENCY
        )
        cluster.stores.pop(leader).kill()
        cluster.start(leader)
        return cluster.stores[leader].ask(
            name='catch_up', count=RESTART_RECORDS, seconds=WAIT_SECONDS
        )['seconds']
    finally:
        cluster.close()


def measure(folder):
    """Run all measurements and return their results by name."""
    results = {'bare_per_second': measure_bare(folder, BARE_SECONDS)}
    cluster = StoreCluster(folder / 'load')
    try:
        results.update(measure_load(cluster))
        results['failover_s'] = measure_failover(cluster)
    finally:
        cluster.close()
    after = measure_bare(folder, BARE_SECONDS)
    results['bare_per_second_after'] = after
    bare = (results['bare_per_second'] + after) / 2
    results['commit_ratio'] = results['commits_per_second'] / bare
    results['restart_s'] = measure_restart(folder / 'restart')
    results.update(measure_idle(folder / 'idle'))
    return results


def main():
    """Measure on the disk of the current folder and print the results."""
    with tempfile.TemporaryDirectory(dir='.') as folder:
        results = measure(pathlib.Path(folder).resolve())
    sys.stdout.write(json.dumps(results, indent=1) + '\n')


if __name__ == '__main__':
    main()
