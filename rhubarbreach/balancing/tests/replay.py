"""Replay of load on engines and entry hosts in virtual time.

Engines run their slots in one batch and admit in order of arrival. A token
clock for each engine advances with its speed, so that a change of the speed or
of the batch needs one new event. Hosts learn of each other's requests with the
delays of the system: reports within a zone, exchanges with the leader.
"""

import dataclasses
import heapq
import itertools
import math
import random

from rhubarbreach import clock
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.protocol import fleetmessages

__all__ = ['Outcome', 'Pattern', 'Replay']

SERVICE = 's'
ROUTE = 'r'
NEWS_DELAY_SECONDS = 0.01
EXCHANGE_DELAY_SECONDS = 0.02
# Time in which the connection to an endpoint is made and the request is read.
SEND_SECONDS = 0.004
# Batch items, failures and retries are not replayed.


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A fleet, its engines and the load that it receives. Times in seconds.

    `rate` is the mean rate, multiplied by `peak` in the first `peak_seconds`
    of each `period`. `zone_weights` gives the part of the load of each zone,
    `zone_offsets` the start of the peaks of each zone. An engine is slow by
    `slow_factor` with the probability `slow_fraction`, drawn anew about every
    `slow_seconds`; `slow_engines` are slow from the beginning to the end.
    `prompts` holds pairs of prompt tokens and their probability. An engine
    stands still `stall_rate` times a second for one of `stall_seconds`.
    """

    hosts: int = 58
    zones: int = 4
    zone_delay: float = 0.0039
    endpoints: int = 45
    slots: int = 8
    rate: float = 206.0
    peak: float = 1.87
    peak_seconds: float = 2.4
    period: float = 5.8
    seconds: float = 8.2
    zone_weights: tuple = ()
    zone_offsets: tuple = ()
    step: float = 0.00337
    step_per_request: float = 0.000011
    first: float = 0.006
    read_per_second: float = 61000.0
    event_tokens: int = 11
    events: float = 19.0
    spread: float = 0.57
    prompts: tuple = ((450, 1.0),)
    objective: float = 0.308
    slow_fraction: float = 0.0
    slow_factor: float = 2.5
    slow_seconds: float = 0.6
    slow_engines: int = 0
    has_speed: bool = True
    has_tokens: bool = True
    stall_rate: float = 0.0
    stall_seconds: tuple = (0.2, 0.8)


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request and its progress, in tokens of the clock of its engine."""

    host: object
    arrived: float
    prompt: int
    tokens: int
    hint: int
    endpoint_id: str = ''
    ticket: object = None
    first_at: float = 0.0
    next_at: float = 0.0
    end_at: float = 0.0
    has_begun: bool = False
    progress: object = None
    shared: str = ''
    found_slot: bool = True
    plan: object = None
    twin: object = None
    is_cancelled: bool = False
    is_first: bool = True
    sent_at: float = 0.0


@dataclasses.dataclass
class Outcome:
    """Requests in time, late and refused, in peaks and by zone."""

    in_time: int = 0
    late: int = 0
    refused: int = 0
    by_zone: dict = dataclasses.field(default_factory=dict)
    first_seconds: list = dataclasses.field(default_factory=list)
    crossed: int = 0
    hedged: int = 0

    @property
    def total(self):
        return self.in_time + self.late + self.refused

    @property
    def bad(self):
        return self.late + self.refused

    def count_bad(self, zone):
        row = self.by_zone.get(zone, {})
        return row.get('late', 0) + row.get('refused', 0)

    def merge(self, other):
        self.in_time += other.in_time
        self.late += other.late
        self.refused += other.refused
        self.crossed += other.crossed
        self.hedged += other.hedged
        self.first_seconds += other.first_seconds
        for zone, row in other.by_zone.items():
            for kind, count in row.items():
                own = self.by_zone.setdefault(zone, {})
                own[kind] = own.get(kind, 0) + count

    def format(self):
        zones = ' '.join(
            f'{zone}:{self.count_bad(zone)}' for zone in sorted(self.by_zone)
        )
        return (
            f'in_time={self.in_time} late={self.late} '
            f'refused={self.refused} crossed={self.crossed} '
            f'hedged={self.hedged} bad_by_zone: '
            f'{zones}'
        )

    def add(self, zone, kind):
        setattr(self, kind, getattr(self, kind) + 1)
        row = self.by_zone.setdefault(zone, {})
        row[kind] = row.get(kind, 0) + 1


class Engine:
    """Engine with a token clock that all running requests share."""

    def __init__(self, replay, endpoint_id):
        self.replay = replay
        self.endpoint_id = endpoint_id
        self.slow = 1.0
        self.clock = 0.0
        self.updated_at = 0.0
        self.waiting = []
        self.milestones = []
        self.running = 0
        self.received = 0
        self.epoch = 0
        self.is_stalled = False

    @property
    def token_seconds(self):
        pattern = self.replay.pattern
        step = pattern.step + pattern.step_per_request * self.running
        return step * self.slow

    def advance(self):
        now = self.replay.now
        if not self.is_stalled:
            self.clock += (now - self.updated_at) / self.token_seconds
        self.updated_at = now

    def reschedule(self):
        self.epoch += 1
        if self.milestones and not self.is_stalled:
            delay = self.milestones[0][0] - self.clock
            self.replay.schedule(
                max(0.0, delay) * self.token_seconds, self.reach, self.epoch
            )

    def set_slow(self, factor):
        self.advance()
        self.slow = factor
        self.reschedule()

    def set_stalled(self, is_stalled):
        self.advance()
        self.is_stalled = is_stalled
        self.reschedule()

    def cancel(self, request):
        self.advance()
        entries = [entry for entry in self.milestones if entry[2] != request]
        if request in self.waiting:
            self.waiting.remove(request)
        elif len(entries) < len(self.milestones):
            self.milestones = entries
            heapq.heapify(self.milestones)
            self.running -= 1
        self.admit()
        self.reschedule()

    def receive(self, request):
        self.received += 1
        self.advance()
        self.waiting.append(request)
        self.admit()
        self.reschedule()

    def admit(self):
        pattern = self.replay.pattern
        while self.waiting and self.running < pattern.slots:
            request = self.waiting.pop(0)
            self.running += 1
            step = pattern.step + pattern.step_per_request * self.running
            before = pattern.first + request.prompt / pattern.read_per_second
            begin = self.clock + before / step
            request.end_at = begin + request.tokens
            self.push(
                request, begin + min(pattern.event_tokens, request.tokens)
            )

    def push(self, request, at):
        entry = (at, next(self.replay.numbers), request)
        heapq.heappush(self.milestones, entry)

    def reach(self, epoch):
        if epoch != self.epoch:
            return
        self.advance()
        at, _, request = heapq.heappop(self.milestones)
        self.clock = max(self.clock, at)
        if at >= request.end_at:
            self.running -= 1
            self.replay.notify(request, self, True)
            self.admit()
        else:
            step = self.replay.pattern.event_tokens
            self.push(request, min(at + step, request.end_at))
            self.replay.notify(request, self, False)
        self.reschedule()


class Replay:
    """Replay of a pattern. `make_host(zone, rows)` returns a host.

    A host has `acquire(request, now)`, `release(request, now)`,
    `read_event(request, load, now)`, `plan_hedge(request, now)`,
    `hedge(request, now)`, `copy_report()`,
    `apply_report(number, report, now)`, `copy_running()` and
    `apply_exchange(elsewhere, age)`.
    """

    def __init__(self, pattern, make_host, seed, monkeypatch):
        self.pattern = pattern
        monkeypatch.setattr(clock, 'monotonic', lambda: self.now)
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.outcome = Outcome()
        self.zones = [f'z{n}' for n in range(pattern.zones)]
        rows = tuple(
            fleetmessages.EndpointNotice(
                f'e{n}',
                SERVICE,
                f'e{n}:1',
                self.zones[n % pattern.zones],
                pattern.slots,
                'ready',
                1,
                1,
            )
            for n in range(pattern.endpoints)
        )
        self.zone_by_endpoint = {
            row.endpoint_id: row.availability_zone for row in rows
        }
        self.engines = {
            row.endpoint_id: Engine(self, row.endpoint_id) for row in rows
        }
        self.hosts = [
            make_host(self.zones[n % pattern.zones], rows, pattern)
            for n in range(pattern.hosts)
        ]
        for number, host in enumerate(self.hosts):
            host.number = number
            host.peers = range(
                number % pattern.zones, pattern.hosts, pattern.zones
            )
            host.news_due = False
            host.next_news = 0.0
            host.set_peers([str(p) for p in host.peers if p != number])
        self.zone_members = [
            [h for h in self.hosts if h.zone == zone] for zone in self.zones
        ]
        self.reports = [{} for _ in self.hosts]
        self.totals = {}
        self.zone_totals = [{} for _ in self.zones]

    def schedule(self, delay, function, *arguments):
        event = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def run(self):
        pattern = self.pattern
        self.interval = max(
            exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS,
            pattern.hosts / exchange_schedule.MAX_EXCHANGES_PER_SECOND,
        )
        for host in self.hosts:
            self.schedule(
                self.rng.random() * self.interval, self.exchange, host
            )
            self.send_news(host)
        for number in range(pattern.zones):
            self.schedule(0.0, self.arrive, number)
        for number, engine in enumerate(self.engines.values()):
            if number < pattern.slow_engines:
                engine.set_slow(pattern.slow_factor)
            elif pattern.slow_fraction:
                self.schedule(
                    self.rng.random() * pattern.slow_seconds,
                    self.change_speed,
                    engine,
                )
            if pattern.stall_rate:
                self.plan_stall(engine)
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.outcome

    def change_speed(self, engine):
        if self.now > self.pattern.seconds:
            engine.set_slow(1.0)
            return
        is_slow = self.rng.random() < self.pattern.slow_fraction
        engine.set_slow(self.pattern.slow_factor if is_slow else 1.0)
        self.schedule(
            self.pattern.slow_seconds * self.rng.uniform(0.7, 1.3),
            self.change_speed,
            engine,
        )

    def plan_stall(self, engine):
        delay = self.rng.expovariate(self.pattern.stall_rate)
        if self.now + delay < self.pattern.seconds:
            self.schedule(delay, self.stall, engine)

    def stall(self, engine):
        engine.set_stalled(True)
        seconds = self.rng.uniform(*self.pattern.stall_seconds)
        self.schedule(seconds, engine.set_stalled, False)
        self.schedule(seconds, self.plan_stall, engine)

    def get_rate(self, zone):
        pattern = self.pattern
        weights = pattern.zone_weights or (1,) * pattern.zones
        offsets = pattern.zone_offsets or (0.0,) * pattern.zones
        phase = (self.now - offsets[zone]) % pattern.period
        # The rate outside of the peaks keeps the mean.
        quiet = (1 - pattern.peak * pattern.peak_seconds / pattern.period) / (
            1 - pattern.peak_seconds / pattern.period
        )
        factor = pattern.peak if phase < pattern.peak_seconds else quiet
        return pattern.rate * factor * weights[zone] / sum(weights)

    def arrive(self, zone):
        if self.now > self.pattern.seconds:
            return
        peak_rate = self.pattern.rate * self.pattern.peak
        weights = self.pattern.zone_weights or (1,) * self.pattern.zones
        limit = peak_rate * weights[zone] / sum(weights)
        self.schedule(self.rng.expovariate(limit), self.arrive, zone)
        if self.rng.random() * limit > self.get_rate(zone):
            return
        pattern = self.pattern
        host = self.rng.choice(self.zone_members[zone])
        sigma = math.sqrt(math.log(1 + pattern.spread**2))
        events = self.rng.lognormvariate(
            math.log(pattern.events) - sigma**2 / 2, sigma
        )
        tokens = max(1, round(events * pattern.event_tokens))
        prompts, parts = zip(*pattern.prompts, strict=True)
        prompt = self.rng.choices(prompts, parts)[0]
        hint = round(tokens * self.rng.lognormvariate(0, 0.5))
        request = Request(host, self.now, prompt, tokens, hint)
        request.shared = f'p{self.rng.randrange(20)}'
        if not host.acquire(request, self.now):
            self.outcome.add(host.zone, 'refused')
            return
        self.send(request)
        due_at = host.plan_hedge(request, self.now)
        if due_at is not None:
            self.schedule(due_at - self.now, self.hedge, request)

    def send(self, request):
        self.plan_news(request.host)
        delay = SEND_SECONDS + self.get_delay(request)
        engine = self.engines[request.endpoint_id]
        self.schedule(delay, engine.receive, request)

    def hedge(self, request):
        if request.first_at:
            return
        twin = request.host.hedge(request, self.now)
        if twin is not None:
            self.outcome.hedged += 1
            request.twin, twin.twin = twin, request
            self.send(twin)
            self.plan_news(request.host)

    def cancel(self, request):
        request.is_cancelled = True
        request.host.cancel(request, self.now)
        self.plan_news(request.host)
        engine = self.engines[request.endpoint_id]
        self.schedule(self.get_delay(request), engine.cancel, request)

    def get_delay(self, request):
        is_near = self.zone_by_endpoint[request.endpoint_id] == (
            request.host.zone
        )
        return 0.0003 if is_near else self.pattern.zone_delay

    def notify(self, request, engine, is_end):
        load = None
        if not request.has_begun:
            speed = (
                round(100 * engine.slow) if self.pattern.has_speed else None
            )
            load = (engine.running, len(engine.waiting), speed)
        self.schedule(
            self.get_delay(request), self.deliver, request, load, is_end
        )
        request.has_begun = True

    def deliver(self, request, load, is_end):
        host = request.host
        if request.is_cancelled:
            return
        if load is not None:
            if request.twin is not None:
                self.cancel(request.twin)
            seconds = self.now - request.arrived
            kind = 'in_time' if seconds <= self.pattern.objective else 'late'
            self.outcome.add(host.zone, kind)
            self.outcome.first_seconds.append(seconds)
            self.outcome.crossed += (
                self.zone_by_endpoint[request.endpoint_id] != host.zone
            )
            request.first_at = self.now
        host.read_event(request, load, self.now)
        if is_end:
            host.release(request, self.now)
            self.plan_news(host)

    def plan_news(self, host):
        if not host.news_due:
            host.news_due = True
            delay = max(0.0, host.next_news - self.now)
            self.schedule(delay, self.send_news, host)

    def send_news(self, host):
        host.news_due = False
        host.next_news = self.now + host.pause_news(self.now)
        report = host.copy_report()
        members = self.zone_members[host.number % self.pattern.zones]
        self.schedule(
            NEWS_DELAY_SECONDS, self.apply_news, host, members, report
        )

    def apply_news(self, host, members, report):
        for member in members:
            if member is not host:
                member.apply_report(str(host.number), report, self.now)

    def exchange(self, host):
        if self.now > self.pattern.seconds:
            return
        previous, running = self.reports[host.number], host.copy_running()
        self.reports[host.number] = running
        zone = self.zone_totals[host.number % self.pattern.zones]
        for table in (self.totals, zone):
            for key, count in previous.items():
                table[key] = table.get(key, 0) - count
            for key, count in running.items():
                table[key] = table.get(key, 0) + count
        elsewhere = {
            key: count - zone.get(key, 0)
            for key, count in self.totals.items()
            if count - zone.get(key, 0) > 0
        }
        self.schedule(
            EXCHANGE_DELAY_SECONDS,
            host.apply_exchange,
            elsewhere,
            self.interval,
        )
        self.schedule(self.interval, self.exchange, host)
