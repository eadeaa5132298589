"""A store process is killed while the system starts for the first time.

It is restarted after a second, with the settings in effect then. With
TROUBLE=0 no process is killed.
"""

import asyncio
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

ZONES = ('amman-a', 'amman-b', 'zarqa-a', 'sahab-a')
KILL_AT = 0.2
OPERATOR_SECONDS = 45.0
READ_SECONDS = 6.0
VERSION = 1


async def put(platform, document):
    """Send the configuration until it is acknowledged; return whether."""
    try:
        await standins.put_configuration(platform, document, OPERATOR_SECONDS)
    except standins.CannotRun:
        platform.record.write('operator: no acknowledgement')
        return False
    return True


async def read_back(platform):
    """Return the version that the stores read back, or None."""
    deadline = time.monotonic() + READ_SECONDS
    while time.monotonic() < deadline:
        for store in platform.stores:
            answer = await standins.call(
                platform.get_control(store), 'GET', '/Config.Get',
                [('Host', 'control')], b'', 1.0,
            )
            platform.record.write(
                f'operator: {store.name} answers the read with '
                f'{answer.status}'
            )
            if answer.status == 200:
                return json.loads(answer.body)['version']
        await asyncio.sleep(0.5)
    return None


async def main(record):
    platform = standins.Platform(
        record,
        [(zone, 170) for zone in ZONES],
        [('amman-a', 150), ('amman-b', 260)],
    )
    try:
        platform.start_all()
        watch = asyncio.create_task(platform.watch())
        await asyncio.sleep(KILL_AT)
        if standins.has_trouble():
            platform.signal(platform.stores[1], signal.SIGKILL)
        route = {
            'name': 'r-quick', 'host': 'h.example', 'path_prefix': '/q/',
            'route_type': 'stream', 'timeout_ms': 5000,
            'target_latency_ms': 300, 'service': 'assist',
        }
        document = standins.make_configuration(
            VERSION, [route], [standins.make_service('assist')],
            [{'name': 't1', 'api_keys': ['key-1']}],
        )
        is_acknowledged = await put(platform, document)
        version = await read_back(platform)
        for machine in platform.machines:
            status = machine.process.poll()
            record.write(
                f'platform: {machine.name} '
                f'{"runs" if status is None else f"ended with {status}"}'
            )
        record.write(
            f'operator: acknowledged {is_acknowledged}, read back {version}'
        )
        watch.cancel()
        return version != VERSION
    finally:
        platform.close()


standins.run_case(FOLDER, main)
