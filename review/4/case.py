"""All replicas of one service crash at once, and come back.

Another service goes on. With TROUBLE=0 no replica crashes. Both runs end with
a final fault: all processes of the system are killed.
"""

import asyncio
import collections
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ('amman-a', 'amman-b', 'zarqa-a', 'sahab-a')
REPLICAS = 12
# A load peak: 1.87 times the mean of 27.5 requests a second.
REQUESTS_PER_SECOND = 51.0
# Of twenty requests, one is for the other service.
OTHER_EVERY = 20
CRASH_AT = 10.0
DOWN_SECONDS = 4.0
FINAL_FAULT_AT = 20.0
RECOVER_SECONDS = 12.0
END_AT = 40.0


async def send(platform, number, outcomes, start):
    """Send one request and record its outcome with the time of its start."""
    at = time.monotonic() - start
    is_other = number % OTHER_EVERY == 0
    status = None
    for attempt in range(2):
        machine = platform.entries[(number + attempt) % len(platform.entries)]
        answer = await standins.call(
            platform.get_front(machine),
            'POST',
            '/o/x' if is_other else '/q/x',
            [
                ('Host', 'h.example'),
                ('X-Rhubarbreach-Credential', 'key-1'),
                ('X-Rhubarbreach-Request-Id', f'request-{number}-{attempt}'),
                ('X-Rhubarbreach-Deadline-Ms', '5000'),
                ('X-Rhubarbreach-Model', 'm'),
                ('X-Rhubarbreach-Token-Usage', '350,80'),
                (
                    'X-Rhubarbreach-Prompt-Prefix',
                    f'{"0a" if is_other else "5c"}:100,{number:08x}:250',
                ),
            ],
            b'question',
            6.0,
        )
        status = answer.status if answer.is_complete else None
        if status == 200:
            break
        await asyncio.sleep(0.3)
    outcomes.append((at, is_other, status))


async def main(record):
    platform = standins.Platform(
        record,
        [(zone, 170) for zone in ZONES],
        [('amman-a', 150), ('amman-b', 260)],
    )
    replicas = []
    try:
        platform.start_all()
        watch = asyncio.create_task(platform.watch())
        route = {
            'host': 'h.example',
            'route_type': 'stream',
            'timeout_ms': 5000,
            'target_latency_ms': 300,
            'priority': 0,
            'max_attempts': 2,
            'sticky': True,
            'resumable': True,
            'gap_aim_ms': 400,
        }
        routes = [
            {
                **route,
                'name': 'r-quick',
                'path_prefix': '/q/',
                'service': 'assist',
            },
            {
                **route,
                'name': 'r-other',
                'path_prefix': '/o/',
                'service': 'other',
            },
        ]
        tenant = {
            'name': 't1',
            'api_keys': ['key-1'],
            'priority': 1,
            'rate_per_s': 0,
            'burst': 0,
        }
        services = [
            standins.make_service('assist'),
            standins.make_service('other'),
        ]
        await standins.put_configuration(
            platform,
            standins.make_configuration(1, routes, services, [tenant]),
        )
        for number in range(1, REPLICAS + 2):
            replica = standins.ReplicaProcess(
                platform,
                record,
                number,
                'assist' if number <= REPLICAS else 'other',
                ZONES[number % 4],
                first_seconds=0.3,
            )
            replicas.append(replica)
            await replica.start()
        await standins.wait_ready(platform)
        await asyncio.sleep(1.0)
        start = time.monotonic()
        outcomes = []
        tasks = []
        faults = asyncio.create_task(
            run_faults(platform, replicas[:REPLICAS], start)
        )
        number = 0
        while time.monotonic() - start < END_AT:
            number += 1
            tasks.append(
                asyncio.create_task(send(platform, number, outcomes, start))
            )
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)
        back_at = await faults
        watch.cancel()
        for second in range(0, int(END_AT), 3):
            counts = collections.Counter(
                (is_other, status)
                for at, is_other, status in outcomes
                if second <= at < second + 3
            )
            record.write(f'client: from {second} s {dict(counts)}')
        before = [s for at, _, s in outcomes if at < FINAL_FAULT_AT]
        after = [s for at, _, s in outcomes if at > back_at + RECOVER_SECONDS]
        served = before.count(200) / len(before), after.count(200) / len(after)
        record.write(
            f'client: of the requests before the final fault {served[0]:.2f} '
            f'were served, of those later than {RECOVER_SECONDS:g} s after '
            f'the machines were back {served[1]:.2f}'
        )
        return served[0] >= 0.25 and served[1] < 0.25
    finally:
        for replica in replicas:
            await replica.kill()
        platform.close()


async def run_faults(platform, replicas, start):
    """Run the faults; return when all machines were back."""
    await asyncio.sleep(max(0.0, start + CRASH_AT - time.monotonic()))
    if standins.has_trouble():
        await asyncio.gather(*(replica.kill() for replica in replicas))
        await asyncio.sleep(DOWN_SECONDS)
        for replica in replicas:
            await replica.start()
    await asyncio.sleep(max(0.0, start + FINAL_FAULT_AT - time.monotonic()))
    for machine in platform.machines:
        platform.signal(machine, signal.SIGKILL)
    await asyncio.sleep(standins.RESTART_SECONDS + 0.3)
    return time.monotonic() - start


standins.run_case(FOLDER, main)
