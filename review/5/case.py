"""One replica whose answers to batch items do not end.

With TROUBLE=0 all replicas send proper answers.
"""

import asyncio
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ('amman-a', 'amman-b', 'zarqa-a', 'sahab-a')
REPLICAS = 6
FAULTY = 1
ENDLESS_RATE = 3_000_000
JOBS = 4
ITEMS_PER_JOB = 10
FINISH_SECONDS = 18.0
# Longest wait until the conditions of the rule hold; the items may not be
# given up within 60 s.
CHECK_SECONDS = 52.0
CALM_SECONDS = 5.0
UNFINISHED_SECONDS = 3.0
FAILED_SECONDS = 20.0
KEY = ('X-Rhubarbreach-Credential', 'key-1')


async def submit(platform, job_id):
    """Submit a batch job until it is accepted."""
    items = [
        {
            'id': f'{job_id}-{position}',
            'path': '/b/x',
            'headers': {
                'X-Rhubarbreach-Model': 'm',
                'X-Rhubarbreach-Token-Usage': '350,309',
            },
            'body': standins.encode_body(b'note' * 375),
            'tokens': 659,
        }
        for position in range(ITEMS_PER_JOB)
    ]
    body = json.dumps({'requests': items}).encode()
    for attempt in range(10):
        machine = platform.entries[attempt % len(platform.entries)]
        answer = await standins.call(
            platform.get_front(machine),
            'POST',
            f'/b/{job_id}',
            [
                ('Host', 'h.example'),
                KEY,
                ('X-Rhubarbreach-Request-Id', job_id),
                ('X-Rhubarbreach-Deadline-Ms', '4000'),
                ('Content-Type', 'application/json'),
            ],
            body,
            5.0,
        )
        platform.record.write(f'client: job {job_id} got {answer.status}')
        if answer.status == 202:
            return
        await asyncio.sleep(0.5)
    raise standins.CannotRun(f'job {job_id} was not accepted')


async def read(platform, job_id, results, turn):
    """Read the new results of a job; return whether there was an answer."""
    machine = platform.entries[turn % len(platform.entries)]
    answer = await standins.call(
        platform.get_front(machine),
        'GET',
        f'/lots/{job_id}?after={len(results)}',
        [('Host', 'h.example'), KEY],
        b'',
        3.0,
    )
    if answer.status == 200:
        for result in json.loads(answer.body)['results']:
            results[result['id']] = result['state']
            platform.record.write(
                f'client: {result["id"]} is listed as {result["state"]}'
            )
    return answer.status == 200


class Watch:
    """Runs at the replicas, as these see them."""

    def __init__(self, faulty_ids):
        self.faulty_ids = faulty_ids
        self.runs = []
        self.ends = []

    def count_running(self):
        """Return the number of runs that have not ended."""
        return len(self.runs) - len(self.ends)

    def are_conditions_met(self, now):
        """Return whether the rule applies: calm, and no recent failure."""
        if self.count_running():
            return False
        failed = [at for at, i, _ in self.ends if i in self.faulty_ids]
        finished = [at for at, i, _ in self.ends if i not in self.faulty_ids]
        return now - max(failed, default=0.0) > FAILED_SECONDS and now - max(
            failed + finished
        ) > max(CALM_SECONDS, UNFINISHED_SECONDS)


async def main(record):
    platform = standins.Platform(
        record,
        [(zone, 170) for zone in ZONES],
        [('amman-a', 150), ('amman-b', 260)],
    )
    replicas = []
    try:
        platform.start_all()
        watching = asyncio.create_task(platform.watch())
        route = {
            'name': 'r-batch',
            'host': 'h.example',
            'path_prefix': '/b/',
            'route_type': 'batch',
            'timeout_ms': 15000,
            'target_latency_ms': 400,
            'priority': 2,
            'service': 'assist',
            'max_attempts': 3,
            'sticky': True,
            'resumable': True,
            'gap_aim_ms': 400,
            'completion_target_ms': 18000,
            'retention_s': 60,
            'max_count': 1000000,
        }
        tenant = {
            'name': 't1',
            'api_keys': ['key-1'],
            'priority': 1,
            'rate_per_s': 24,
            'burst': 24,
        }
        await standins.put_configuration(
            platform,
            standins.make_configuration(
                1, [route], [standins.make_service('assist')], [tenant]
            ),
        )
        watch = Watch({f'i-{n:04x}' for n in range(1, FAULTY + 1)})
        for number in range(1, REPLICAS + 1):
            is_faulty = standins.has_trouble() and number <= FAULTY
            replica = standins.ReplicaProcess(
                platform,
                record,
                number,
                'assist',
                ZONES[number % 4],
                pause_seconds=0.026,
                is_logging=True,
                endless_event_rate=ENDLESS_RATE if is_faulty else 0,
            )
            replica.runs, replica.ends = watch.runs, watch.ends
            replicas.append(replica)
            await replica.start()
        await standins.wait_ready(platform)
        await asyncio.sleep(1.0)
        jobs = {f'job-{number}': {} for number in range(JOBS)}
        for job_id in jobs:
            await submit(platform, job_id)
        start = time.monotonic()
        turn = 0
        is_checked = False
        while time.monotonic() < start + CHECK_SECONDS:
            turn += 1
            answers = [
                await read(platform, job_id, results, turn)
                for job_id, results in jobs.items()
            ]
            if all(len(r) == ITEMS_PER_JOB for r in jobs.values()):
                is_checked = True
                break
            now = time.monotonic()
            is_over = now > start + FINISH_SECONDS
            if is_over and all(answers) and watch.are_conditions_met(now):
                is_checked = True
                break
            await asyncio.sleep(0.5)
        if not is_checked:
            raise standins.CannotRun('the conditions of the rule never held')
        unlisted = [
            f'{job_id}-{position}'
            for job_id, results in jobs.items()
            for position in range(ITEMS_PER_JOB)
            if f'{job_id}-{position}' not in results
        ]
        record.write(
            f'client: {time.monotonic() - start:.1f} s after the last job was '
            f'accepted no replica runs an item, and {len(unlisted)} of '
            f'{JOBS * ITEMS_PER_JOB} items are listed neither as completed '
            f'nor as dead_letter: {unlisted}'
        )
        watching.cancel()
        return len(unlisted) > 0
    finally:
        for replica in replicas:
            await replica.kill()
        platform.close()


standins.run_case(FOLDER, main)
