"""Replay of online load peaks and items in virtual time, without a network.

Engines run `slots` requests at a time and admit in order of arrival. Hosts
report every 0.15 s, and at once when their number of requests has grown.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from rhubarbreach.backlog import plan
from rhubarbreach.fleet import choice

__all__ = ['Load', 'Outcome', 'replay']

SLOTS = 8
ITEM_EVENTS = 129
ONLINE_EVENTS = 18
OBJECTIVE_SECONDS = 0.3
DUE_SECONDS = 18.0
READ_SECONDS = (0.01, 0.045)
INTERVAL_SECONDS = (0.03, 0.06)
MESSAGE_SECONDS = 0.005


@dataclasses.dataclass(frozen=True)
class Load:
    """Load of a fleet; the numbers of requests are fractions of the slots.

    `items` is the fraction of all slots that the submitted items would use.
    """

    endpoints: int = 10
    hosts: int = 8
    zones: int = 3
    quiet: float = 0.14
    peak: float = 0.74
    items: float = 0.4
    seconds: float = 60.0
    seed: int = 1


@dataclasses.dataclass
class Outcome:
    """What the replay counts; of items, those due before its end."""

    online: int = 0
    late: int = 0
    waited: int = 0
    submitted: int = 0
    in_time: int = 0
    cuts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    kept: list = dataclasses.field(default_factory=list)


@dataclasses.dataclass(eq=False)
class Run:
    """Online request (`key` is None) or run of an item at an endpoint."""

    key: tuple | None
    endpoint_id: str
    host: object
    sent_at: float
    interval: float
    events: int
    begun: int = 0
    first_at: float | None = None
    started_at: float | None = None
    cancelled: bool = False
    ended: bool = False

    def count_events(self, now):
        if self.first_at is None or now < self.first_at:
            return self.begun
        made = 1 + int((now - self.first_at) / self.interval)
        return min(self.events, self.begun + made)


class Host:
    """Entry host; it learns of other zones and of items with each report."""

    def __init__(self, zone):
        self.zone = zone
        self.own = collections.Counter()
        self.elsewhere = {}
        self.items = {}
        self.reported = {}
        self.is_due = False


class Replay:
    """A fleet with its load and a policy."""

    def __init__(self, load, policy):
        self.load = load
        self.policy = policy
        self.random = random.Random(load.seed)
        self.arrivals = random.Random(load.seed)
        self.jobs = random.Random(load.seed)
        self.queue = []
        self.numbers = itertools.count()
        self.now = 0.0
        zones = [f'z{n}' for n in range(load.zones)]
        self.endpoints = [
            choice.Endpoint(f'e{n:02}', 's', '', zones[n % load.zones], SLOTS)
            for n in range(load.endpoints)
        ]
        self.running = {e.endpoint_id: [] for e in self.endpoints}
        self.queued = {e.endpoint_id: [] for e in self.endpoints}
        self.hosts = [Host(zones[n % load.zones]) for n in range(load.hosts)]
        self.open = {}
        self.runs = {}
        self.pace = {}
        self.estimator = plan.RunTimeEstimator(ITEM_EVENTS, 0.045)
        self.outcome = Outcome()
        self.step_at = None
        self.peak_end = 0.0
        self.peak_start = self.arrivals.uniform(2.0, 4.0)

    def at(self, delay, function, *arguments):
        entry = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.queue, entry)

    def play(self):
        self.at(0.0, self.arrive)
        self.at(0.0, self.submit)
        self.at(0.0, self.step, True)
        for host in self.hosts:
            self.at(self.random.uniform(0, 0.15), self.report, host, True)
        while self.queue and self.queue[0][0] < self.load.seconds:
            self.now, _, function, arguments = heapq.heappop(self.queue)
            function(*arguments)
        return self.outcome

    def arrive(self):
        if self.now >= self.peak_end > self.peak_start:
            self.peak_start = self.now + self.arrivals.uniform(2.6, 4.2)
        if self.now >= self.peak_start > self.peak_end:
            self.peak_end = self.now + self.arrivals.uniform(1.9, 2.9)
        is_peak = self.peak_start <= self.now < self.peak_end
        level = self.load.peak if is_peak else self.load.quiet
        if level:
            host = self.arrivals.choice(self.hosts)
            counts = collections.Counter(host.elsewhere)
            for peer in self.hosts:
                if peer.zone == host.zone:
                    counts.update(peer.own)
            chosen = choice.choose_endpoint(
                self.endpoints, counts, host.items, host.zone, (), 40, 0.5
            )
            self.outcome.online += 1
            pace = self.arrivals.uniform(*INTERVAL_SECONDS)
            endpoint_id = chosen.endpoint_id
            run = Run(None, endpoint_id, host, self.now, pace, ONLINE_EVENTS)
            host.own[run.endpoint_id] += 1
            self.at(MESSAGE_SECONDS, self.enter, run)
            if not host.is_due:
                host.is_due = True
                self.at(MESSAGE_SECONDS, self.report, host, False)
        seconds = ONLINE_EVENTS * sum(INTERVAL_SECONDS) / 2
        rate = max(level, 0.001) * self.load.endpoints * SLOTS / seconds
        self.at(self.arrivals.expovariate(rate), self.arrive)

    def submit(self):
        for _ in range(10):
            key = ('j', f'{len(self.pace):05}')
            due = self.now + DUE_SECONDS
            # Items due after the end of the replay are not judged.
            self.outcome.submitted += due <= self.load.seconds
            self.open[key] = [0, due]
            self.pace[key] = self.jobs.uniform(*INTERVAL_SECONDS)
        seconds = ITEM_EVENTS * sum(INTERVAL_SECONDS) / 2
        slots = self.load.items * self.load.endpoints * SLOTS
        self.at(
            self.jobs.uniform(0.5, 1.5) * 10 * seconds / slots, self.submit
        )

    def report(self, host, is_periodic):
        host.is_due = host.is_due and is_periodic
        has_grown = host.own.total() > sum(host.reported.values())
        host.reported = dict(host.own)
        host.elsewhere = self.sum_online(host.zone)
        host.items = collections.Counter(
            run.endpoint_id for run in self.runs.values()
        )
        if has_grown and self.step_at != self.now:
            self.step_at = self.now
            self.at(0.001, self.step, False)
        if is_periodic:
            self.at(0.15, self.report, host, True)

    def sum_online(self, excluded_zone=None):
        totals = collections.Counter()
        for host in self.hosts:
            if host.zone != excluded_zone:
                totals.update(host.reported)
        return totals

    def step(self, is_periodic):
        online = self.sum_online()
        batch = collections.Counter()
        for run in self.runs.values():
            batch[run.endpoint_id] += not run.cancelled
        slots = [
            plan.EndpointSlots(
                e.endpoint_id,
                's',
                SLOTS,
                online[e.endpoint_id],
                batch[e.endpoint_id],
                availability_zone=e.availability_zone,
            )
            for e in self.endpoints
        ]
        self.estimator.update_availability(slots, self.now)
        running = []
        waiting = []
        for key, (events, due) in self.open.items():
            run = self.runs.get(key)
            if run is not None:
                events = run.count_events(self.now - 0.08)
            slack = due - self.now - self.estimator.predict(events)
            if run is None:
                waiting.append(plan.WaitingItem(key, 's', due, slack, events))
            elif not run.cancelled:
                running.append(
                    plan.RunningItem(
                        key, run.endpoint_id, 's', due, slack, events
                    )
                )
        starts, reasons = self.policy.step(
            waiting, running, slots, self.estimator, self.now
        )
        for key, reason in reasons.items():
            run = self.runs[key]
            run.cancelled = True
            self.outcome.cuts[reason] += 1
            wait = self.random.uniform(0, run.interval)
            self.at(2 * MESSAGE_SECONDS + wait, self.cut, run)
        for item, endpoint_id in starts:
            pace = self.pace[item.key]
            run = Run(item.key, endpoint_id, None, self.now, pace, ITEM_EVENTS)
            run.begun = self.open[item.key][0]
            self.runs[item.key] = run
            self.at(2 * MESSAGE_SECONDS, self.enter, run)
        self.outcome.kept.append(
            sum(max(0, e.total - e.online - e.batch) for e in slots)
        )
        if is_periodic:
            self.at(0.1, self.step, True)

    def enter(self, run):
        if not run.cancelled:
            self.queued[run.endpoint_id].append(run)
            self.admit(run.endpoint_id)

    def admit(self, endpoint_id):
        running = self.running[endpoint_id]
        queued = self.queued[endpoint_id]
        while queued and len(running) < SLOTS:
            run = queued.pop(0)
            running.append(run)
            run.started_at = self.now
            run.first_at = (
                self.now + self.random.uniform(*READ_SECONDS) + run.interval
            )
            left = run.events - run.begun - 1
            end = run.first_at + max(0, left) * run.interval
            self.at(end - self.now, self.end, run)
            if run.key is None:
                waited = self.now - run.sent_at
                self.outcome.waited += waited > 2 * MESSAGE_SECONDS
                self.outcome.late += (
                    run.first_at - run.sent_at > OBJECTIVE_SECONDS
                )

    def cut(self, run):
        if run.ended:
            return
        if run in self.queued[run.endpoint_id]:
            self.queued[run.endpoint_id].remove(run)
        self.open[run.key][0] = run.count_events(self.now)
        self.finish(run)

    def end(self, run):
        if run.ended:
            return
        if run.key is None:
            run.host.own[run.endpoint_id] -= 1
        else:
            _, due = self.open.pop(run.key)
            self.outcome.in_time += self.now <= due <= self.load.seconds
            made = run.events - run.begun
            self.estimator.add_item(
                run.events, made, self.now - run.started_at
            )
            self.policy.add_item(run.events)
        self.finish(run)

    def finish(self, run):
        run.ended = True
        if run in self.running[run.endpoint_id]:
            self.running[run.endpoint_id].remove(run)
        if run.key is not None:
            del self.runs[run.key]
        self.admit(run.endpoint_id)


def replay(load, policy):
    """Return the `Outcome` of a load under a policy."""
    random.seed(load.seed)
    return Replay(load, policy).play()
