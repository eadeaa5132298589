"""Replicas whose answers do not end, below the load of a small deployment.

With TROUBLE=0 all replicas send proper answers.
"""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ('amman-a', 'amman-b', 'zarqa-a', 'sahab-a')
ENTRY_MB = 150
REPLICAS = 6
FAULTY = 3
# Bytes a second of each answer without end: 16 MB within the time of a request.
ENDLESS_RATE = 3_200_000
CLIENTS = 24
REQUESTS_PER_SECOND = 27.5
CALM_SECONDS = 4.0
TROUBLE_SECONDS = 35.0
# The rule allows three.
ALLOWED_LOST = 3


class Tally:
    """Requests of the clients."""

    def __init__(self):
        self.statuses = collections.Counter()
        self.unanswered = []
        self.number = 0


async def run_client(platform, index, tally, deadline):
    """Send requests on a kept connection, one after the other."""
    machine = platform.entries[index % len(platform.entries)]
    client = standins.Client(platform.get_front(machine))
    gap = CLIENTS / REQUESTS_PER_SECOND
    due = time.monotonic() + gap * index / CLIENTS
    while time.monotonic() < deadline:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        due = max(due + gap, time.monotonic())
        tally.number += 1
        request_id = f'request-{tally.number}'
        is_kept = client.is_open
        answer = await client.send(
            'POST', '/q/x',
            [
                ('Host', 'h.example'),
                ('X-Rhubarbreach-Credential', 'key-1'),
                ('X-Rhubarbreach-Request-Id', request_id),
                ('X-Rhubarbreach-Deadline-Ms', '5000'),
            ],
            b'question', 6.5,
        )
        tally.statuses[answer.status if answer.is_complete else 'cut'] += 1
        if is_kept and not answer.is_complete:
            tally.unanswered.append(request_id)
        if answer.status != 200:
            platform.record.write(
                f'client: {request_id} at {machine.name} got {answer.status} '
                f'complete={answer.is_complete}'
            )
    client.close()


async def main(record):
    platform = standins.Platform(
        record,
        [(zone, 170) for zone in ZONES],
        [('amman-a', ENTRY_MB), ('amman-a', ENTRY_MB)],
    )
    replicas = []
    runs = []
    try:
        platform.start_all()
        watch = asyncio.create_task(platform.watch())
        route = {
            'name': 'r-brief', 'host': 'h.example', 'path_prefix': '/q/',
            'route_type': 'stream', 'timeout_ms': 5000,
            'target_latency_ms': 300, 'priority': 0, 'service': 'assist',
            'max_attempts': 1, 'sticky': True, 'resumable': False,
            'gap_aim_ms': 400,
        }
        tenant = {
            'name': 't1', 'api_keys': ['key-1'], 'priority': 1,
            'rate_per_s': 0, 'burst': 0,
        }
        await standins.put_configuration(
            platform,
            standins.make_configuration(
                1, [route], [standins.make_service('assist')], [tenant]
            ),
        )
        for number in range(1, REPLICAS + 1):
            is_faulty = standins.has_trouble() and number <= FAULTY
            replica = standins.ReplicaProcess(
                platform, record, number, 'assist', ZONES[0],
                is_logging=True,
                endless_rate=ENDLESS_RATE if is_faulty else 0,
            )
            replica.runs = runs
            replicas.append(replica)
        for replica in replicas[FAULTY:]:
            await replica.start()
        await standins.wait_ready(platform)
        await asyncio.sleep(1.0)
        tally = Tally()
        end = time.monotonic() + CALM_SECONDS + TROUBLE_SECONDS
        clients = [
            asyncio.create_task(run_client(platform, index, tally, end))
            for index in range(CLIENTS)
        ]
        await asyncio.sleep(CALM_SECONDS)
        for replica in replicas[:FAULTY]:
            await replica.start()
        await asyncio.gather(*clients)
        sound = {replica.replica_id for replica in replicas[FAULTY:]}
        at_sound = {
            request_id for replica_id, request_id, _ in runs
            if replica_id in sound
        }
        lost = [r for r in tally.unanswered if r in at_sound]
        for machine in platform.machines:
            record.write(
                f'platform: {machine.name} peak {machine.peak_mb:.0f} MB of '
                f'{machine.memory_mb} MB, killed {machine.memory_kills} times'
            )
        record.write(f'client: statuses {dict(tally.statuses)}')
        record.write(
            f'client: {len(lost)} requests of kept connections ran at sound '
            f'replicas and got no answer: {lost}'
        )
        watch.cancel()
        return len(lost) > ALLOWED_LOST
    finally:
        for replica in replicas:
            await replica.kill()
        platform.close()


standins.run_case(FOLDER, main)
