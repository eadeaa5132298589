"""Benchmark of relayed streams against direct streams."""

import dataclasses
import subprocess
import sys

import fire
import msgspec

from rhubarbreach.bench import relayload
from rhubarbreach.bench import relayparts

__all__ = ['main', 'run_steps']

MODULE = 'rhubarbreach.bench.relaybench'
STREAM_COUNTS = (100, 300, 600)
ENDPOINTS = 2
CLIENTS = 2

# Streams start at a limited rate and run for `SETTLE_SECONDS` before the
# measurement, so that it does not include a backlog from their start.
STARTS_PER_SECOND = 150
SETTLE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one step: one path with one number of streams.

    Parameters
    ----------
    path : str
        `direct` or `relay`.
    streams : int
        Concurrent streams.
    tokens : float
        Tokens per second.
    requests : float
        Requests per second.
    broken : int
        Connections that were closed before the end of the stream.
    first_p50, first_p95, gap_p95 : float
        Time to first token and time between tokens in milliseconds.
    core : float
        CPU seconds of the entry process per second.
    queued : float
        Seconds per second that threads of the entry process were runnable
        but waited for a CPU.
    token_us : float
        CPU microseconds of the entry process per token.
    """

    path: str
    streams: int
    tokens: float
    requests: float
    broken: int
    first_p50: float
    first_p95: float
    gap_p95: float
    core: float
    queued: float
    token_us: float


class BenchProcess:
    """Child process of the benchmark, controlled through its pipes."""

    def __init__(self, *arguments):
        self.process = subprocess.Popen(
            [sys.executable, '-m', MODULE, *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read_line(self):
        """Return the next line that the process prints."""
        return self.process.stdout.readline().strip()

    def send_line(self):
        """Send an empty line to the process."""
        self.process.stdin.write('\n')
        self.process.stdin.flush()

    def close(self):
        """Kill the process."""
        self.process.kill()
        self.process.wait()


def get_quantile(values, quantile):
    """Return a quantile of values in seconds, in milliseconds."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[int(quantile * (len(ordered) - 1))] * 1000


def run_step(path, ports, entry, streams, tokens, seconds, seed):
    """Run one step and return its `Step`.

    Parameters
    ----------
    path : str
        `direct` or `relay`.
    ports : list of int
        Ports to which the clients connect, in rotation.
    entry : BenchProcess
        Entry process, whose CPU time is read.
    streams, tokens : int
        Concurrent streams, and tokens of each stream.
    seconds : float
        Duration of the measurement.
    seed : int
        Seed of the clients.
    """
    clients = [
        BenchProcess(
            'client',
            ports[number % len(ports)],
            streams // CLIENTS,
            tokens,
            seed + number,
            streams / STARTS_PER_SECOND,
            SETTLE_SECONDS,
            seconds,
        )
        for number in range(CLIENTS)
    ]
    try:
        for client in clients:
            client.read_line()
        before = read_cpu_times(entry)
        for client in clients:
            client.send_line()
        reports = [
            msgspec.json.decode(
                client.read_line(), type=relayload.ClientReport
            )
            for client in clients
        ]
        after = read_cpu_times(entry)
        cpu_seconds, queued_seconds = (
            after[0] - before[0],
            after[1] - before[1],
        )
    finally:
        for client in clients:
            client.close()
    return summarize(path, streams, reports, cpu_seconds, queued_seconds)


def read_cpu_times(entry):
    """Return the CPU time of the entry and its wait for a CPU in seconds."""
    entry.send_line()
    return tuple(map(float, entry.read_line().split()))


def summarize(path, streams, reports, cpu_seconds, queued_seconds):
    """Combine the reports of the clients into a `Step`."""
    seconds = max(report.seconds for report in reports)
    tokens = sum(report.tokens for report in reports)
    first = [value for report in reports for value in report.first]
    gaps = [value for report in reports for value in report.gaps]
    return Step(
        path=path,
        streams=streams,
        tokens=tokens / seconds,
        requests=sum(report.requests for report in reports) / seconds,
        broken=sum(report.broken for report in reports),
        first_p50=get_quantile(first, 0.5),
        first_p95=get_quantile(first, 0.95),
        gap_p95=get_quantile(gaps, 0.95),
        core=cpu_seconds / seconds,
        queued=queued_seconds / seconds,
        token_us=cpu_seconds / tokens * 1e6 if tokens else 0.0,
    )


def run_steps(
    counts=STREAM_COUNTS, rate=50.0, tokens=300, seconds=6.0, seed=1
):
    """Measure the direct path and the relay at several stream counts.

    Parameters
    ----------
    counts : tuple of int
        Numbers of concurrent streams.
    rate : float
        Tokens per second and stream.
    tokens : int
        Tokens of each stream.
    seconds : float
        Duration of the measurement of each step.
    seed : int
        Seed of the clients.
    """
    children = [BenchProcess('endpoint', rate) for _ in range(ENDPOINTS)]
    try:
        ports = [int(child.read_line()) for child in children]
        entry = BenchProcess('entry', *ports)
        children.append(entry)
        entry_port = int(entry.read_line())
        print(
            'path   streams tokens/s  req/s first_p50 first_p95 gap_p95 '
            'core queued us/token broken'
        )
        for streams in counts:
            for path, targets in (('direct', ports), ('relay', [entry_port])):
                step = run_step(
                    path, targets, entry, streams, tokens, seconds, seed
                )
                print(
                    f'{step.path:6} {step.streams:7} {step.tokens:8.0f} '
                    f'{step.requests:6.1f} {step.first_p50:9.1f} '
                    f'{step.first_p95:9.1f} {step.gap_p95:7.1f} '
                    f'{step.core:4.2f} {step.queued:6.2f} '
                    f'{step.token_us:8.1f} {step.broken:6}',
                    flush=True,
                )
    finally:
        for child in children:
            child.close()


def run_entry(*ports):
    """Run the entry process in front of endpoints on the given ports."""
    relayparts.run_entry(ports)


def main():
    """Run the benchmark or one of its child processes."""
    fire.Fire(
        {
            'run': run_steps,
            'endpoint': relayparts.run_endpoint,
            'entry': run_entry,
            'client': relayload.run_client,
        }
    )


if __name__ == '__main__':
    main()
