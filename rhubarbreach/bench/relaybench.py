"""Benchmark of the relay of streams against the direct path."""

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

# The streams begin at this rate, and run on for a while before the
# measurement, so that it does not see a backlog from their start.
STARTS_PER_SECOND = 150
SETTLE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Result of one step.

    Parameters
    ----------
    path : str
        `direct` or `relay`.
    streams : int
        Streams at once.
    tokens : float
        Tokens per second.
    requests : float
        Requests per second.
    broken : int
        Connections that were closed early.
    first_p50, first_p95, gap_p95 : float
        Milliseconds to the first token and between tokens.
    core : float
        Processor seconds of the entry process per second.
    queued : float
        Seconds per second that threads of the entry process were ready and
        waited for a processor.
    token_us : float
        Processor microseconds of the entry process per token.
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


class Part:
    """One process of the benchmark."""

    def __init__(self, *arguments):
        self.process = subprocess.Popen(
            [sys.executable, '-m', MODULE, *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read(self):
        """Return the next line that the process prints."""
        return self.process.stdout.readline().strip()

    def tell(self):
        """Send an empty line to the process."""
        self.process.stdin.write('\n')
        self.process.stdin.flush()

    def close(self):
        """End the process."""
        self.process.kill()
        self.process.wait()


def get_quantile(values, quantile):
    """Return a quantile of seconds in milliseconds."""
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
        Where the clients connect to, in turn.
    entry : Part
        Entry process, asked for its processor time.
    streams, tokens : int
        Streams at once and tokens of each.
    seconds : float
        Measured time.
    seed : int
        Seed of the clients.
    """
    clients = [
        Part(
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
            client.read()
        before = read_processor_seconds(entry)
        for client in clients:
            client.tell()
        reports = [
            msgspec.json.decode(client.read(), type=relayload.ClientReport)
            for client in clients
        ]
        after = read_processor_seconds(entry)
        used, queued = after[0] - before[0], after[1] - before[1]
    finally:
        for client in clients:
            client.close()
    return summarize(path, streams, reports, used, queued)


def read_processor_seconds(entry):
    """Return seconds on a processor and waiting for one, of the entry."""
    entry.tell()
    return tuple(map(float, entry.read().split()))


def summarize(path, streams, reports, used, queued):
    """Return the step that the reports of the clients describe."""
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
        core=used / seconds,
        queued=queued / seconds,
        token_us=used / tokens * 1e6 if tokens else 0.0,
    )


def run_steps(
    counts=STREAM_COUNTS, rate=50.0, tokens=300, seconds=6.0, seed=1
):
    """Measure direct path and relay at several numbers of streams.

    Parameters
    ----------
    counts : tuple of int
        Streams at once.
    rate : float
        Tokens per second and stream.
    tokens : int
        Tokens of one stream.
    seconds : float
        Measured time of a step.
    seed : int
        Seed of the clients.
    """
    parts = [Part('endpoint', rate) for _ in range(ENDPOINTS)]
    try:
        ports = [int(part.read()) for part in parts]
        entry = Part('entry', *ports)
        parts.append(entry)
        entry_port = int(entry.read())
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
        for part in parts:
            part.close()


def run_entry(*ports):
    """Run the entry process over endpoints on some ports."""
    relayparts.run_entry(ports)


def main():
    """Run the benchmark or one of its parts."""
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
