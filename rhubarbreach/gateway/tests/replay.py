"""Replay of load on entry hosts and engines in virtual time, without sockets.

Engines run `slots` requests in one batch, admit in order of arrival, and take
longer for each token the more requests run. Callers return once after a
refusal that comes within a quarter of the objective.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.fleet import fair_share
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import view
from rhubarbreach.fleet import zone_loads
from rhubarbreach.gateway import admission
from rhubarbreach.gateway.tests import baseline
from rhubarbreach.protocol import fleetmessages

__all__ = ['Deployment', 'Replay', 'compute_worth']

LINK_SECONDS = 0.005
# Worth of a response by what the caller saw; refused requests have none.
WORTH = {'in time': 1.0, 'second attempt': 0.5, 'late': 0.15}


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A fleet and its requests; the defaults are those of the first sheet."""

    hosts: int = 26
    zones: int = 3
    endpoints: int = 45
    slots: int = 8
    objective: float = 0.303
    patience: float = 3.0
    first_seconds: float = 0.045
    step_seconds: float = 0.00227
    step_seconds_per_request: float = 0.00009
    tokens: int = 14
    events: int = 18


@dataclasses.dataclass
class Request:
    """Request of a caller; `started_at` is the start of its last attempt."""

    account: str
    zone: str
    sent_at: float
    started_at: float = 0.0
    is_returned: bool = False
    host: object = None
    endpoint_id: str = ''
    has_event: bool = False


class Engine:
    """Engine that admits in order of arrival."""

    def __init__(self, replay):
        self.replay = replay
        self.pace = 1.0
        self.running = 0
        self.queue = collections.deque()

    def submit(self, request):
        self.queue.append(request)
        self.admit()

    def admit(self):
        deployment = self.replay.deployment
        while self.queue and self.running < deployment.slots:
            request = self.queue.popleft()
            self.running += 1
            step = deployment.step_seconds
            step += deployment.step_seconds_per_request * self.running
            event = step * deployment.tokens * self.pace
            first = deployment.first_seconds * self.pace + event
            rng = self.replay.rng
            rest = event * (deployment.events - 1) * rng.uniform(0.5, 1.5)
            self.replay.after(first, self.replay.record_event, request)
            self.replay.after(first + rest, self.end, request)

    def end(self, request):
        self.running -= 1
        request.host.end(request)
        self.admit()


class Host:
    """Entry host with the policy of b218eb7."""

    def __init__(self, replay, number):
        self.replay = replay
        self.zone = f'z{number % replay.deployment.zones}'
        self.number = number
        self.view = view.View(self.zone)
        self.view.update_endpoints(replay.rows, True)
        self.view.on_high_utilization = self.hurry
        self.view.on_change = lambda _: self.schedule_news()
        self.peers = ()
        self.saturation = baseline.Saturation()
        self.demands = collections.Counter()
        self.completed = self.refused = 0
        self.is_news_due = False
        self.exchanged_at = 0.0
        self.exchange_number = 0
        self.queue_state = fleetmessages.QueueState()
        self.first_loads_at = None
        self.is_starting = False
        self.entries = 1

    def submit(self, request):
        now = self.replay.now
        request.started_at = now
        request.host = self
        if not request.is_returned:
            self.demands[request.account] += 1
        objective = self.replay.deployment.objective
        online = self.view.counts.count_online
        is_full = all(
            online(row.endpoint_id) >= row.slots for row in self.replay.rows
        )
        self.saturation.update(is_full, now)
        is_late = request.is_returned and not self.saturation.is_sustained()
        limit = self.view.choose_queue_limit('s', objective, is_late, False)
        chosen = self.view.acquire('s', (), now, limit)
        if isinstance(chosen, codes.Refusal):
            seconds = self.saturation.draw_retry_after(
                now, self.replay.rng.uniform
            )
            self.refuse(request, seconds)
        else:
            self.send(request, chosen)

    def refuse(self, request, seconds):
        self.refused += 1
        self.replay.refuse(request, seconds)

    def send(self, request, endpoint):
        request.endpoint_id = endpoint.endpoint_id
        request.run_at = self.replay.now
        self.replay.engines[endpoint.endpoint_id].submit(request)

    def end(self, request):
        self.completed += 1
        self.view.performance.record_run(
            's', self.replay.now - request.event_at
        )
        self.view.release(request.endpoint_id)
        self.handle_change(request.endpoint_id)

    def handle_change(self, released=None):
        """Use a slot that may have become free."""

    def count_waiting(self):
        """Return the requests within shares that wait, and all unmet ones."""
        refused, self.refused = self.refused, 0
        return 0, refused

    def start(self):
        """Exchange messages with the leader until the replay ends."""
        self.exchange(self.exchange_number)

    def hurry(self):
        """Start the next exchange as soon as the leader has time for it."""
        hosts = self.replay.deployment.hosts
        interval = max(
            0.02, hosts / exchange_schedule.MAX_EXCHANGES_PER_SECOND
        )
        self.exchange_number += 1
        due = max(self.replay.now, self.exchanged_at + interval)
        self.replay.after(
            due - self.replay.now, self.exchange, self.exchange_number
        )

    def exchange(self, number):
        if number != self.exchange_number:
            return
        self.exchange_number += 1
        replay, now = self.replay, self.replay.now
        self.exchanged_at = now
        own = self.view.counts.copy_running()
        replay.loads.report(self.number, self.zone, own, now)
        waiting, unmet = self.count_waiting()
        report = fleetmessages.QueueReport(
            dict(self.demands), self.completed, *self.count_waiting()
        )
        replay.queues.report(self.number, {'s': report}, now)
        replay.queues.update(replay.rows, replay.loads.fleet.totals, now)
        self.demands.clear()
        self.completed = 0
        fleet = dict(replay.loads.fleet.totals)
        near = dict(replay.loads.get_zone_totals(self.zone))
        reply = (
            {e: c - near.get(e, 0) for e, c in fleet.items()},
            loads.subtract_own(near, own),
            replay.queues.list_states().get('s', fleetmessages.QueueState()),
            len(replay.loads.zone_by_host),
        )
        replay.after(LINK_SECONDS, self.apply, *reply)
        hosts = replay.deployment.hosts
        interval = exchange_schedule.compute_interval(hosts)
        replay.after(interval, self.exchange, self.exchange_number)

    def apply(self, elsewhere, nearby, queue_state, entries):
        hosts = self.replay.deployment.hosts
        age = max(0.02, hosts / exchange_schedule.MAX_EXCHANGES_PER_SECOND)
        self.view.update_loads(elsewhere, {}, (), nearby, age)
        self.queue_state = queue_state
        self.entries = entries
        if self.first_loads_at is None:
            self.first_loads_at = self.replay.now
        self.handle_change()

    def schedule_news(self):
        if not self.is_news_due:
            self.is_news_due = True
            interval = zone_loads.compute_news_interval(len(self.peers))
            self.replay.after(interval, self.send_news)

    def send_news(self):
        self.is_news_due = False
        own = self.view.counts.copy_running()
        for peer in self.peers:
            peer.view.report_peer(self.number, own, self.replay.now)


class QueueHost(Host):
    """Entry host with the queue of `gateway.admission`."""

    def __init__(self, replay, number):
        super().__init__(replay, number)
        self.queue = admission.AdmissionQueue()
        self.requests = {}
        self.ranks = admission.Ranks()

    def submit(self, request):
        now = self.replay.now
        request.started_at = now
        request.host = self
        if not request.is_returned:
            self.demands[request.account] += 1
        self.queue.record_arrival(now)
        limits = admission.compute_limits(
            now,
            self.replay.deployment.objective,
            request.sent_at + self.replay.deployment.patience,
            request.is_returned,
        )
        waiter = admission.Waiter(
            next(self.replay.numbers),
            request.account,
            limits,
            request.is_returned,
            self.ranks.draw(request.account),
        )
        self.requests[waiter.number] = request
        self.queue.add(waiter, now)
        self.handle_change()

    def describe(self):
        queue = self.queue_state
        return admission.Service(
            *self.view.describe_service('s'),
            self.entries,
            queue.waiting,
            queue.exceeding,
        )

    def acquire(self, waiter, released):
        now = self.replay.now
        if self.is_starting and self.first_loads_at is not None:
            seconds = now - self.first_loads_at
            slots = self.replay.deployment.slots * len(self.replay.rows)
            share = admission.compute_slot_share(slots, self.entries, seconds)
            hosts = self.replay.deployment.hosts
            interval = exchange_schedule.compute_interval(hosts)
            if seconds < admission.START_EXCHANGES * interval and (
                sum(self.view.counts.running.values()) >= share
            ):
                return codes.Refusal(codes.ResultCode.QUEUE_FULL, 'share')
        choices = None if released is None else {released}
        return self.view.acquire('s', (), now, 0, choices=choices)

    def handle_change(self, released=None):
        if self.queue.waiters:
            arguments = self.replay.now, self.replay.rng.uniform, released
            self.finish(
                self.queue.step(self.describe(), self.acquire, *arguments)
            )

    def check(self):
        arguments = self.replay.now, self.replay.rng.uniform
        self.finish(self.queue.refuse(self.describe(), *arguments))

    def finish(self, results):
        for waiter, result in results:
            request = self.requests.pop(waiter.number)
            if isinstance(result, codes.Refusal):
                self.refuse(request, result.retry_after)
            else:
                self.send(request, result)
        if self.queue.waiters:
            waiters = self.queue.waiters.values()
            delay = min(map(self.queue.get_limit, waiters)) - self.replay.now
            self.replay.after(max(0.001, delay), self.check)

    def count_waiting(self):
        _, refused = super().count_waiting()
        waiting = self.queue.count_within_share()
        return waiting, refused + len(self.queue.waiters)


class Replay:
    """Hosts, engines and callers over virtual time.

    Parameters
    ----------
    deployment : Deployment
        Fleet to replay.
    host_class : type
        `Host` for the policy of b218eb7, or `QueueHost`.
    seed : int
        Seed of all random numbers.
    monkeypatch : MonkeyPatch
        Replaces the clock.
    """

    def __init__(self, deployment, host_class, seed, monkeypatch):
        random.seed(seed)
        self.rng = random.Random(seed)
        self.deployment = deployment
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.rows = tuple(
            fleetmessages.EndpointNotice(
                f'e{n}',
                's',
                f'e{n}:1',
                f'z{n % deployment.zones}',
                deployment.slots,
                'ready',
                1,
                1,
            )
            for n in range(deployment.endpoints)
        )
        self.engines = {row.endpoint_id: Engine(self) for row in self.rows}
        self.loads = loads.LoadsByZone()
        self.queues = fair_share.FleetQueues()
        self.results = collections.Counter()
        monkeypatch.setattr(clock, 'monotonic', lambda: self.now)
        self.hosts = [host_class(self, n) for n in range(deployment.hosts)]
        for host in self.hosts:
            host.peers = [
                h for h in self.hosts if h.zone == host.zone and h is not host
            ]
            host.view.counts.update_peers(h.number for h in host.peers)
            self.after(self.rng.random() * 0.05, host.start)

    def after(self, seconds, function, *arguments):
        """Call a function after some virtual time."""
        entry = (self.now + seconds, next(self.numbers), function, arguments)
        heapq.heappush(self.events, entry)

    def run(self, until):
        """Run all events until a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)

    def arrive(self, account, host=None):
        """Send a request of a new caller, to any host if none is given."""
        host = host or self.rng.choice(self.hosts)
        host.submit(Request(account, host.zone, self.now))

    def add_arrivals(self, rates, begin, end, multiply, host=None):
        """Schedule requests at random times.

        Parameters
        ----------
        rates : dict of str to float
            Requests a second by account.
        begin, end : float
            Time of the first and the last request.
        multiply : callable
            Returns the factor of an account's rate at a time, at most 16.
        host : Host, optional
            Host that gets them all.
        """
        for account, rate in rates.items():
            time = begin
            while (time := time + self.rng.expovariate(rate * 16)) < end:
                if self.rng.random() * 16 < multiply(account, time):
                    self.after(time - self.now, self.arrive, account, host)

    def record_event(self, request):
        """Record the first event of a response."""
        request.event_at = self.now
        request.has_event = True
        seconds = self.now - request.started_at
        outcome = 'late'
        if self.now > request.sent_at + self.deployment.patience:
            outcome = 'refused'
        elif seconds <= self.deployment.objective:
            is_first = request.started_at == request.sent_at
            outcome = 'in time' if is_first else 'second attempt'
        self.results[request.account, request.zone, outcome] += 1

    def refuse(self, request, retry_after):
        """Let a refused caller come back once, or count it as refused."""
        waited = self.now - request.started_at
        left = request.sent_at + self.deployment.patience - self.now
        if request.is_returned or waited > self.deployment.objective / 4:
            self.results[request.account, request.zone, 'refused'] += 1
            return
        request.is_returned = True
        host = self.rng.choice(self.hosts)
        self.after(min(retry_after, left / 3), host.submit, request)

    def count(self, *outcomes, accounts=None):
        """Return the requests with one of some outcomes."""
        return sum(
            count
            for (account, _, outcome), count in self.results.items()
            if outcome in outcomes
            and (accounts is None or account in accounts)
        )

    def report(self, account='a0'):
        """Return the outcomes of an account and of the others, by zone."""
        rows = collections.defaultdict(dict)
        for (name, zone, outcome), count in sorted(self.results.items()):
            row = rows[account if name == account else 'others', zone]
            row[outcome] = row.get(outcome, 0) + count
        return dict(rows)


def compute_worth(replay, accounts=None):
    """Return the mean worth of the requests of accounts, or of all."""
    total = replay.count(*WORTH, 'refused', accounts=accounts)
    return (
        sum(
            replay.count(outcome, accounts=accounts) * worth
            for outcome, worth in WORTH.items()
        )
        / total
    )
