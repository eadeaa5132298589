"""Part of prompts that crashes each replica once it writes on it."""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import harness2  # noqa: E402

BAD_PART = 'dead01'
FIRST_PART = 'aa01'
ATTACK_SECONDS = 24.0
MAX_REQUESTS = 3
CRASHES = 5


def make_headers(part, number):
    return [
        ('X-Rhubarbreach-Model', 'm'),
        ('X-Rhubarbreach-Token-Usage', '350,28'),
        (
            'X-Rhubarbreach-Prompt-Prefix',
            f'{FIRST_PART}:100,{part}:100,{number:08x}:150',
        ),
    ]


def case(fleet, record, has_trouble):
    fleet.start_all()

    def behave(replica, run):
        prompt = run.headers.get('x-rhubarbreach-prompt-prefix', '')
        is_bad = f'{BAD_PART}:' in prompt
        return 'crash' if has_trouble and is_bad else 'answer'

    for replica in fleet.add_replicas(6, behave=behave):
        # The head and this many events are written before the crash.
        replica.crash_after = int(os.environ.get('EVENTS', '1'))
    time.sleep(3.0)
    fleet.put(harness2.make_document(1))
    fleet.wait_ready()
    time.sleep(4.0)
    stop = threading.Event()
    sound = []
    lock = threading.Lock()

    def call_sound(number):
        path = '/u/x' if number % 3 == 0 else '/a/x'
        sent_at = time.monotonic()
        answer = fleet.call(
            fleet.entries[number % 3],
            f'sound-{number:04d}',
            path,
            headers=make_headers('bb02', number),
            has_prompt=False,
        )
        with lock:
            sound.append((sent_at, path, answer))

    def send_sound():
        number = 0
        while not stop.wait(0.2):
            number += 1
            threading.Thread(
                target=call_sound, args=(number,), daemon=True
            ).start()

    threading.Thread(target=send_sound, daemon=True).start()
    time.sleep(5.0)
    attack_at = time.monotonic()
    number = 0
    while time.monotonic() < attack_at + ATTACK_SECONDS:
        number += 1
        threading.Thread(
            target=fleet.call,
            args=(fleet.entries[number % 3], f'part-{number:04d}'),
            kwargs={
                'headers': make_headers(BAD_PART, number),
                'body': b'%d' % number,
                'has_prompt': False,
            },
            daemon=True,
        ).start()
        time.sleep(1.0)
    stop.set()
    time.sleep(6.0)
    runs = [
        run for run in fleet.list_runs() if run.request_id.startswith('part-')
    ]
    crashes = [run.ended_at for run in runs if run.what == 'crash']
    record.write(f'{len(runs)} runs of {number} requests with the part')
    if not has_trouble:
        failed = [a for _, _, a in sound if not a.complete or a.status != 200]
        record.write(f'{len(failed)} of {len(sound)} sound requests failed')
        return f'{len(failed)} sound requests failed' if failed else None
    if len(crashes) < CRASHES:
        return None
    since = sorted(crashes)[CRASHES - 1] + harness2.STABLE_WINDOW_SECONDS
    late = sorted({run.request_id for run in runs if run.at > since})
    record.write(
        f'{len(crashes)} crashes; requests with the part that reached '
        f'replicas later than 3 s after the fifth: {len(late)} {late}'
    )
    for name, begin, end in (
        ('before', 0.0, attack_at),
        ('after', since, float('inf')),
    ):
        chosen = [x for x in sound if begin <= x[0] < end]
        begun = [x for x in chosen if x[2].status == 200]
        cut = [x for x in chosen if x[2].status == 200 and not x[2].complete]
        record.write(
            f'sound requests {name}: {len(chosen)} sent, {len(begun)} begun, '
            f'{len(cut)} of these cut'
        )
    if len(late) > MAX_REQUESTS:
        return (
            f'BUDGET: {len(late)} requests with the part reached replicas '
            f'later than 3 s after the fifth crash, {MAX_REQUESTS} are allowed'
        )
    return None


harness2.run_case(pathlib.Path(__file__).resolve().parent, case)
