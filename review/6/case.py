"""Batch jobs on a host to which a version of the configuration adds a route.

The new route has the shortest prefix, `/`, as a route for all other paths.
"""

import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness2  # noqa: E402

CONFIG_APPLY_SECONDS = 2.0
ACK_SECONDS = 4.0
CANCEL_SECONDS = 3.0
FINISH_SECONDS = 18.0
READ_JOB = 'job0000a'
ENDED_JOB = 'job0000b'


def case(fleet, record, has_trouble):
    fleet.start_all()
    for replica in fleet.add_replicas(6):
        replica.event_count = 193
        replica.event_seconds = 0.02
    time.sleep(3.0)
    fleet.put(harness2.make_document(1))
    fleet.wait_ready()
    time.sleep(4.0)
    items = [f'itema{n:03d}' for n in range(10)]
    others = [f'itemb{n:03d}' for n in range(190)]
    for entry, job, ids in (
        (0, READ_JOB, items),
        (1, ENDED_JOB, others),
    ):
        answer = fleet.submit(fleet.entries[entry], job, ids)
        if answer.status != 202:
            raise harness2.CannotRun(f'{job} was not accepted')
    time.sleep(1.5)
    for job in (READ_JOB, ENDED_JOB):
        path = f'/lots/{job}?after=0'
        if fleet.call_job(fleet.entries[2], 'GET', path).status != 200:
            raise harness2.CannotRun(f'{job} cannot be read')
    if has_trouble:
        document = harness2.make_document(2)
        document['routes'].append(
            harness2.make_route('r-rest', '/', 'safe', sticky=False)
        )
        fleet.put(document)
    time.sleep(CONFIG_APPLY_SECONDS + 0.5)
    # The client ends a job, and asks again until that is acknowledged.
    asked_at = time.monotonic()
    ended_at = None
    number = 0
    while ended_at is None and time.monotonic() < asked_at + ACK_SECONDS:
        number += 1
        answer = fleet.call_job(
            fleet.entries[number % 3], 'DELETE', f'/lots/{ENDED_JOB}'
        )
        if answer.status == 200:
            ended_at = time.monotonic()
        else:
            time.sleep(0.3)
    end_counts_at = ended_at or asked_at + ACK_SECONDS
    # The client of the other job reads about twice a second.
    read_until = time.monotonic() + FINISH_SECONDS
    listed = {}
    reads = good = 0
    while time.monotonic() < read_until:
        reads += 1
        answer = fleet.call_job(
            fleet.entries[reads % 3],
            'GET',
            f'/lots/{READ_JOB}?after={len(listed)}',
        )
        if answer.status == 200 and answer.complete:
            good += 1
            for result in json.loads(answer.body)['results']:
                listed[result['id']] = result['state']
        time.sleep(0.5)
    whole = {run.request_id for run in fleet.list_runs() if run.is_whole}
    late = [
        run
        for run in fleet.list_runs()
        if run.request_id in others and run.at > end_counts_at + CANCEL_SECONDS
    ]
    record.write(
        f'job {READ_JOB}: {good} of {reads} reads answered, {len(listed)} of '
        f'{len(items)} items listed, {len(whole & set(items))} of them have '
        'run to their end at replicas'
    )
    record.write(
        f'job {ENDED_JOB}: its end was '
        f'{"acknowledged" if ended_at else "never acknowledged"}, '
        f'{len(late)} items reached replicas later than {CANCEL_SECONDS} s '
        'after that'
    )
    if not good:
        return (
            f'LOST: an accepted job cannot be read in {FINISH_SECONDS} s, and '
            f'UNASKED: {len(late)} items of a job whose end was asked run'
        )
    if late:
        return f'UNASKED: {len(late)} items'
    return None


harness2.run_case(pathlib.Path(__file__).resolve().parent, case)
