"""Replays of load peaks on many hosts that report their loads in a zone."""

import dataclasses
import heapq
import itertools
import random

import msgspec
import pytest

from rhubarbreach import clock
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.fleet import view
from rhubarbreach.fleet import zone_loads
from rhubarbreach.protocol import fleetmessages

NEWS_DELAY_SECONDS = 0.005
EXCHANGE_DELAY_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A fleet, and load peaks that all of its hosts receive at once.

    `peak` is the part of the slots that requests need in a peak, and
    `objective` the time in seconds in which a request has to start.
    """

    hosts: int
    zones: int
    endpoints: int
    slots: int
    run_seconds: float
    objective: float
    peak_seconds: float
    peak: float


PATTERNS = {
    'hundreds of hosts': Pattern(66, 5, 39, 8, 0.76, 0.3, 2.4, 0.92),
    'dozens of hosts': Pattern(22, 3, 30, 8, 0.7, 0.3, 1.0, 0.9),
    'short requests': Pattern(40, 4, 24, 4, 0.2, 0.15, 3.0, 0.8),
    'many slots': Pattern(30, 3, 9, 64, 3.0, 0.3, 10.0, 0.9),
}


class Replay:
    """Replay of one load peak in virtual time.

    Endpoints admit requests in order of arrival. `late` counts the requests
    that did not start within the objective, `total` all of them.
    """

    def __init__(self, pattern, seed, has_news, monkeypatch):
        self.pattern = pattern
        self.has_news = has_news
        self.rng = random.Random(seed)
        self.now = 0.0
        monkeypatch.setattr(clock, 'monotonic', lambda: self.now)
        self.events = []
        self.numbers = itertools.count()
        self.late = self.total = 0
        zones = [f'z{n}' for n in range(pattern.zones)]
        rows = tuple(
            fleetmessages.EndpointNotice(
                f'e{n}',
                's',
                f'e{n}:1',
                zones[n % pattern.zones],
                pattern.slots,
                'ready',
                1,
                1,
            )
            for n in range(pattern.endpoints)
        )
        self.running = {row.endpoint_id: 0 for row in rows}
        self.queues = {row.endpoint_id: [] for row in rows}
        self.hosts = []
        for number in range(pattern.hosts):
            host = view.View(zones[number % pattern.zones])
            host.update_endpoints(rows, True)
            host.performance.record_run('s', pattern.run_seconds)
            self.hosts.append(host)
        self.reports = [{} for _ in self.hosts]
        for number, host in enumerate(self.hosts):
            if has_news:
                host.counts.update_peers(map(str, self.list_peers(number)))

    def list_peers(self, number):
        step = self.pattern.zones
        peers = range(number % step, self.pattern.hosts, step)
        return [peer for peer in peers if peer != number]

    def schedule(self, delay, function, *arguments):
        event = (self.now + delay, next(self.numbers), function, arguments)
        heapq.heappush(self.events, event)

    def run(self):
        pattern = self.pattern
        self.interval = max(
            exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS,
            pattern.hosts / exchange_schedule.MAX_EXCHANGES_PER_SECOND,
        )
        for number in range(pattern.hosts):
            self.schedule(
                self.rng.random() * self.interval, self.exchange, number
            )
            self.schedule(0.0, self.send_news, number)
        slots = pattern.endpoints * pattern.slots
        self.rate = pattern.peak * slots / pattern.run_seconds
        self.schedule(self.interval, self.arrive)
        while self.events:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        return self.late / self.total

    def arrive(self):
        if self.now > self.pattern.peak_seconds:
            return
        self.schedule(self.rng.expovariate(self.rate), self.arrive)
        number = self.rng.randrange(self.pattern.hosts)
        chosen = self.hosts[number].acquire('s', (), self.now, 1000)
        self.total += 1
        self.queues[chosen.endpoint_id].append((self.now, number))
        self.start_next(chosen.endpoint_id)
        self.schedule(NEWS_DELAY_SECONDS, self.send_news, number)

    def start_next(self, endpoint_id):
        queue = self.queues[endpoint_id]
        if not queue or self.running[endpoint_id] >= self.pattern.slots:
            return
        arrived, number = queue.pop(0)
        self.running[endpoint_id] += 1
        self.late += self.now - arrived > self.pattern.objective
        seconds = self.pattern.run_seconds * self.rng.uniform(0.7, 1.3)
        self.schedule(seconds, self.complete, endpoint_id, number)

    def complete(self, endpoint_id, number):
        self.running[endpoint_id] -= 1
        self.hosts[number].release(endpoint_id)
        self.start_next(endpoint_id)
        self.schedule(NEWS_DELAY_SECONDS, self.send_news, number)

    def send_news(self, number):
        if not self.has_news:
            return
        running = self.hosts[number].counts.copy_running()
        for peer in self.list_peers(number):
            self.hosts[peer].report_peer(str(number), running, self.now)

    def exchange(self, number):
        """Give a host the loads as the leader knows them."""
        if self.now > self.pattern.peak_seconds:
            return
        self.reports[number] = self.hosts[number].counts.copy_running()
        peers = self.list_peers(number)
        nearby, elsewhere = {}, {}
        for other, report in enumerate(self.reports):
            if other != number:
                table = nearby if other in peers else elsewhere
                for endpoint_id, count in report.items():
                    table[endpoint_id] = table.get(endpoint_id, 0) + count
        self.schedule(
            EXCHANGE_DELAY_SECONDS,
            self.hosts[number].update_loads,
            elsewhere,
            {},
            (),
            nearby,
            self.interval,
        )
        self.schedule(self.interval, self.exchange, number)


@pytest.mark.parametrize('name', PATTERNS)
def test_reports_in_a_zone_keep_requests_out_of_queues(name, monkeypatch):
    # With the loads of the leader alone, a sixth of the requests of a peak on
    # hundreds of hosts were late while slots were free on other endpoints.
    random.seed(5)
    late = [
        Replay(PATTERNS[name], 11, has_news, monkeypatch).run()
        for has_news in (False, True)
    ]
    assert late[1] <= 0.5 * late[0]
    assert late[1] <= 0.05


def test_peer_reports_replace_the_loads_of_the_leader():
    host = view.View('z1')
    host.counts.update_peers(('h2', 'h3'))
    host.report_peer('h2', {'e1': 2}, clock.monotonic())
    # Until all peers have reported, the loads of the leader are complete.
    host.update_loads({'e1': 1}, {}, (), {'e1': 4})
    assert host.counts.count_online('e1') == 5
    host.report_peer('h3', {'e1': 3}, clock.monotonic())
    assert host.counts.count_online('e1') == 6
    host.report_peer('stranger', {'e1': 9}, clock.monotonic())
    assert host.counts.count_online('e1') == 6
    host.counts.update_peers(('h2',))
    host.update_loads({}, {}, (), {})
    assert host.counts.count_online('e1') == 2


def test_silent_peer_makes_the_loads_of_the_leader_count_again():
    zone = zone_loads.ZoneLoads()
    zone.set_peers(('h2', 'h3'))
    zone.report('h2', {'e1': 2}, 0.0)
    zone.report('h3', {'e1': 1}, 1.5)
    assert zone.get_totals(1.5) == {'e1': 3}
    assert zone.get_totals(3.0) is None


def test_news_of_a_large_zone_are_bounded():
    for peers in (1, 12, 67, 400):
        per_second = peers / zone_loads.compute_news_interval(peers)
        assert per_second <= zone_loads.MAX_NEWS_PER_SECOND


def test_queue_limit_follows_run_time_slots_and_objective():
    # A limit made for eight streams of 0.7 s lets requests wait for seconds
    # behind long streams, and refuses short ones while they would be in time.
    assert choice.compute_queue_limit(8, 0.7, 0.225) == 2
    assert choice.compute_queue_limit(64, 0.2, 0.225) == 72
    assert choice.compute_queue_limit(4, 5.0, 0.225) == 1
    # Requests that take no time must not make the queue endless.
    assert choice.compute_queue_limit(8, 1e-6, 0.225) == 32


def test_zone_penalty_grows_with_the_age_of_the_loads():
    assert choice.compute_zone_penalty(8, None, 0.1) == choice.MIN_ZONE_PENALTY
    young, old, oldest = (
        choice.compute_zone_penalty(8, 0.7, age) for age in (0.02, 0.06, 1.0)
    )
    assert choice.MIN_ZONE_PENALTY < young < old < oldest
    assert oldest == 8 * choice.MAX_ZONE_PENALTY_FRACTION


def test_change_after_a_pause_is_reported_at_once_within_the_rate():
    """Guards against counts that are 36 ms old in a zone of 15 hosts."""
    budget = zone_loads.NewsBudget()
    peers, now, sent = 14, 10.0, []
    while now < 12.0:
        sent.append(now)
        now += budget.spend(peers, now)
    burst = [at for at in sent if at < 10.0 + 0.0201]
    assert len(burst) >= zone_loads.MAX_BURST_REPORTS
    allowed = 2.0 / zone_loads.compute_news_interval(peers)
    assert len(sent) <= allowed + zone_loads.MAX_BURST_REPORTS
    assert budget.spend(peers, 20.0) == zone_loads.MIN_NEWS_INTERVAL_SECONDS


def test_report_of_an_earlier_version_says_nothing_of_speeds():
    """Guards against hosts of two versions that do not understand each other.

    The field was added at the end, with a default.
    """
    earlier = dataclasses.make_dataclass('LoadNews', [('running', dict)])
    old = msgspec.msgpack.encode(earlier({'e1': 2}))
    message = msgspec.msgpack.decode(old, type=fleetmessages.LoadNews)
    assert message == fleetmessages.LoadNews({'e1': 2}, {})
    new = msgspec.msgpack.encode(fleetmessages.LoadNews({'e1': 2}, {'e1': 9}))
    assert msgspec.msgpack.decode(new, type=earlier) == earlier({'e1': 2})
    # A field that most reports do not need costs no bytes.
    assert b'overdue' not in new
    late = fleetmessages.LoadNews({'e1': 2}, {}, {}, {'e1': 40})
    new = msgspec.msgpack.encode(late)
    assert msgspec.msgpack.decode(new, type=earlier) == earlier({'e1': 2})
    assert msgspec.msgpack.decode(new, type=fleetmessages.LoadNews) == late


def test_speeds_count_only_from_hosts_of_the_zone():
    """Guards against figures of hosts that are no peers."""
    host = view.View('z1')
    host.update_endpoints((), True)
    host.counts.update_peers(('h2',))
    host.report_peer('h2', {'e1': 2}, 1.0)
    host.report_peer('stranger', {}, 1.0, {'e1': 300})
    assert host.performance.table.slowness.figures == {}
    host.report_peer('h2', {'e1': 2}, 1.0, {'e1': 300})
    assert host.performance.list_slow(1.0) == ['e1']
