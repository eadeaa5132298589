"""Replica that has left, after all stores were killed at the same moment."""

import json
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness2  # noqa: E402

DRAIN_SECONDS = 2.0
KILL_AFTER_SECONDS = 0.7
DOWN_SECONDS = 0.6
# Time from a heartbeat that was sent before the replica left to its arrival.
LATE_SECONDS = 3.6
CALM_SECONDS = 3.5
REQUESTS = 30


def wait_until(moment):
    """Wait until a time of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))


def case(fleet, record, has_trouble):
    fleet.start_all()
    fleet.add_replicas(6)
    time.sleep(3.0)
    fleet.put(harness2.make_document(1))
    fleet.wait_ready()
    time.sleep(5.0)
    for number in range(12):
        fleet.call(fleet.entries[number % 3], f'early-{number:04d}')
    time.sleep(1.0)
    leaving = fleet.replicas[0]
    # This heartbeat is on its way when the replica leaves.
    leaving.sequence += 1
    heartbeat = json.dumps(
        {
            'service': leaving.service,
            'address': leaving.address,
            'zone': leaving.zone,
            'version': leaving.version,
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'seq': leaving.sequence,
            'born': leaving.born,
        }
    ).encode()
    sent_at = time.monotonic()
    leaving.heartbeats_from = float('inf')
    time.sleep(0.2)
    if leaving.deregister(fleet.stores[0]) != 200:
        raise harness2.CannotRun('the departure was not acknowledged')
    left_at = time.monotonic()
    record.write(f'departure of replica {leaving.id} acknowledged')
    started_at = left_at
    if has_trouble:
        time.sleep(KILL_AFTER_SECONDS)
        for store in fleet.stores:
            fleet.processes[store].kill()
        for store in fleet.stores:
            fleet.kill(store)
        record.write('all stores were killed')
        time.sleep(DOWN_SECONDS)
        for store in fleet.stores:
            fleet.start(store)
        started_at = time.monotonic()
        record.write('all stores have been started')
    wait_until(sent_at + LATE_SECONDS)
    answer = harness2.send(
        fleet.get_control(fleet.stores[1]),
        'POST',
        f'/Instances.Heartbeat/{leaving.id}',
        [('Content-Type', 'application/json')],
        heartbeat,
        1.0,
    )
    record.write(
        f'heartbeat of {leaving.id} arrives {LATE_SECONDS} s late: status '
        f'{answer.status}'
    )
    if answer.status is None:
        raise harness2.CannotRun('no store took the late heartbeat')
    wait_until(max(started_at + CALM_SECONDS, left_at + 5.0))
    threads = [
        threading.Thread(
            target=fleet.call,
            args=(fleet.entries[number % 3], f'later-{number:04d}'),
        )
        for number in range(REQUESTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    late = [run for run in leaving.runs if run.at > left_at + DRAIN_SECONDS]
    for run in late:
        record.write(
            f'{run.request_id} reached {leaving.id} {run.at - left_at:.2f} s '
            f'after the acknowledgement, {run.at - started_at:.2f} s after '
            'the last start of a store'
        )
    if late:
        return (
            f'DRAIN: {len(late)} of {REQUESTS} requests reached a replica '
            f'later than {DRAIN_SECONDS} s after its departure was '
            'acknowledged'
        )
    return None


harness2.run_case(pathlib.Path(__file__).resolve().parent, case)
