"""Replay of a zone that comes back with cold endpoints under full load.

It drives the views of entry hosts and the leader's manager of cold endpoints
with given times, and without a network.
"""

import collections
import heapq
import itertools
import random
import types

from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import exchange_schedule
from rhubarbreach.fleet import registry
from rhubarbreach.fleet import view
from rhubarbreach.hosts import cold_manager
from rhubarbreach.protocol import fleetmessages

__all__ = ['COLD_COUNT', 'LIMIT', 'Replay']

COLD_COUNT = 37
WARM_COUNT = 8
SLOTS = 8
COLD_RATE, OVERAGE, SLACK = 9.2, 1.5, 5.0
LIMIT = COLD_RATE * OVERAGE + SLACK
COLD_SECONDS = 3.0
# Run time of a request at a warm and at a cold endpoint.
RUN_SECONDS = 0.7
COLD_RUN_SECONDS = 0.8
# A load peak of the first deployment with the new work of other zones.
REQUESTS_PER_SECOND = 400.0
# Longest time until a request begins to run with which it is in time.
OBJECTIVE_SECONDS = 0.3
ANNOUNCE_SECONDS = 1.2
# The endpoints return one after the other.
DOWN_AT, BACK_AT, END = 0.5, 2.0, 7.0
RETURN_SECONDS = 0.1
CHANGE_AT = 3.2
MAX_ATTEMPTS = 3
WAIT_SECONDS = 0.05
# Time after which a refused caller tries once more.
RETRY_SECONDS = 0.25


class Endpoint:
    """Endpoint that notes the requests that reach it while it is cold."""

    def __init__(self, number):
        self.endpoint_id = f'endpoint-{number:03}'
        self.is_returning = number < COLD_COUNT
        self.zone = 'z1' if self.is_returning else 'z2'
        self.back_at = self.cold_until = 0.0
        self.born = self.sequence = 1
        self.arrivals = []
        # Times at which the slots are free.
        self.slots = [0.0] * SLOTS

    def start(self, now):
        """Return when a request that arrives now begins and ends to run."""
        begins_at = max(now, heapq.heappop(self.slots))
        is_cold = begins_at < self.cold_until
        ends_at = begins_at + (COLD_RUN_SECONDS if is_cold else RUN_SECONDS)
        heapq.heappush(self.slots, ends_at)
        return begins_at, ends_at

    def is_down(self, now):
        return self.is_returning and DOWN_AT <= now < self.back_at

    def make_notice(self, now):
        self.sequence += 1
        return fleetmessages.EndpointNotice(
            self.endpoint_id,
            's',
            f'{self.endpoint_id}:1',
            self.zone,
            SLOTS,
            'ready',
            self.born,
            self.sequence,
            cold_seconds=max(0.0, self.cold_until - now),
        )

    def count_busiest_second(self):
        """Return the most requests that arrived within one second."""
        times = sorted(self.arrivals)
        return max(
            (
                sum(start <= at < start + 1.0 for at in times[first:])
                for first, start in enumerate(times)
            ),
            default=0,
        )


class Leader:
    """Manager of cold endpoints and the registry of its store."""

    def __init__(self, name, now):
        self.registry = registry.Registry(ANNOUNCE_SECONDS)
        self.record_failures = self.registry.record_failures
        self.list_cold = self.registry.list_cold
        service = types.SimpleNamespace(
            name='s', cold_rate=COLD_RATE, cold_start=COLD_SECONDS
        )
        index = types.SimpleNamespace(
            catalog=types.SimpleNamespace(services=(service,))
        )
        self.manager = cold_manager.ColdManager(
            name, self, lambda: index, OVERAGE, SLACK
        )
        self.manager.reset(now)
        # Time at which a majority has confirmed it last.
        self.confirmed_until = float('inf')


class Host:
    """Entry host; `number` of them are cut off from the stores."""

    def __init__(self, number, is_cut_off):
        self.zone = f'z{1 + number % 2}'
        self.is_cut_off = is_cut_off
        self.view = view.View(self.zone)
        self.is_exchanging = False
        self.next_exchange = self.due = 0.0
        self.seen = None
        self.waiting = []


class Replay:
    """One run of the replay.

    Parameters
    ----------
    host_count : int
        Number of entry hosts; a fifth of them is cut off from the stores
        shortly before the endpoints return.
    seed : int
        Seed of the run.
    is_limited : bool
        Whether cold endpoints need permits.
    asks : bool
        Whether hosts ask for permits; they wait until endpoints are warm
        otherwise.
    link_seconds : float
        Longest delay of a message.
    """

    def __init__(
        self, host_count, seed, is_limited=True, asks=True, link_seconds=0.002
    ):
        random.seed(seed)
        self.is_limited, self.asks = is_limited, asks
        self.link_seconds = link_seconds
        self.min_interval = max(
            exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS,
            host_count / exchange_schedule.MAX_EXCHANGES_PER_SECOND,
        )
        self.interval = exchange_schedule.compute_interval(host_count)
        self.events = []
        self.numbers = itertools.count()
        self.endpoints = {}
        for number in range(COLD_COUNT + WARM_COUNT):
            endpoint = Endpoint(number)
            endpoint.back_at = BACK_AT + number * RETURN_SECONDS
            self.endpoints[endpoint.endpoint_id] = endpoint
        self.leaders = [Leader('old', -10.0), Leader('new', CHANGE_AT + 0.1)]
        self.leaders[0].confirmed_until = CHANGE_AT
        self.hosts = [
            Host(n, n % 5 == 0 and host_count > 2) for n in range(host_count)
        ]
        # Requests of all hosts by endpoint.
        self.running = collections.Counter()
        self.served = self.refused = 0

    def run(self):
        """Run the replay; return the share of requests that ran in time.

        Only requests after the return of the endpoints count.
        """
        for endpoint in self.endpoints.values():
            for leader in self.leaders:
                leader.registry.record_announcement(
                    endpoint.make_notice(0.0), 0.0
                )
            self.at(random.uniform(0.0, 0.4), self.announce, endpoint)
            if endpoint.is_returning:
                self.at(endpoint.back_at, self.restart, endpoint)
        for host in self.hosts:
            host.view.cold.limit_services('s' if self.is_limited else ())
            self.exchange(host, 0.0)
        self.at(0.1, self.arrive)
        while self.events:
            now, _, function, args = heapq.heappop(self.events)
            if now > END:
                break
            function(*args, now)
        return self.served / (self.served + self.refused)

    def at(self, when, function, *args):
        heapq.heappush(self.events, (when, next(self.numbers), function, args))

    def delay(self):
        return random.uniform(0.0005, self.link_seconds)

    # Endpoints.

    def restart(self, endpoint, now):
        endpoint.born = round(now * 1000)
        endpoint.cold_until = now + COLD_SECONDS
        endpoint.slots = [now] * SLOTS
        self.announce(endpoint, now)

    def announce(self, endpoint, now):
        if not endpoint.is_down(now):
            notice = endpoint.make_notice(now)
            for leader in self.leaders:
                self.at(now + self.delay(), self.receive, leader, notice)
        self.at(now + ANNOUNCE_SECONDS, self.announce, endpoint)

    def receive(self, leader, notice, now):
        leader.registry.record_announcement(notice, now)

    # Exchanges.

    def exchange(self, host, now):
        """Begin an exchange unless one is under way."""
        if host.is_exchanging or now < host.next_exchange:
            return
        host.is_exchanging = True
        report = host.view.cold.make_report(now)
        message = fleetmessages.Exchange(
            0,
            '',
            {},
            {},
            cold_wanted=report[0],
            cold_failures=report[1],
            cold_stamp=report[2],
        )
        waiting, host.waiting = host.waiting, []
        self.at(now + self.delay(), self.answer, host, message, waiting, now)

    def exchange_when_due(self, host, now):
        if now >= host.due:
            self.exchange(host, now)

    def answer(self, host, message, waiting, sent, now):
        is_new = now > CHANGE_AT + 0.1 and random.random() < 0.8
        leader = self.leaders[is_new or now > CHANGE_AT + 0.6]
        reply = None
        if not (host.is_cut_off and now > BACK_AT - 0.2):
            reply = leader.manager.answer(
                message,
                len(self.hosts),
                min(now, leader.confirmed_until),
                now,
            )
        rows = None
        if host.seen != (leader, leader.registry.revision):
            host.seen = (leader, leader.registry.revision)
            rows = leader.registry.list_rows(now)
        self.at(
            now + self.delay(), self.apply, host, rows, reply, waiting, sent
        )

    def apply(self, host, rows, reply, waiting, sent, now):
        host.is_exchanging = False
        host.next_exchange = (
            now + exchange_schedule.MIN_EXCHANGE_INTERVAL_SECONDS
        )
        if reply is not None:
            if rows is not None:
                host.view.update_endpoints(rows, True)
            others = self.running - collections.Counter(
                host.view.counts.running
            )
            host.view.update_loads(others, {}, age=self.min_interval)
            granted, cold, stamp = reply
            host.view.apply_cold(
                fleetmessages.ExchangeReply(
                    True,
                    None,
                    cold_granted=granted,
                    cold=cold,
                    cold_stamp=stamp,
                ),
                self.endpoints,
                sent,
                now,
            )
        for request, deadline in waiting:
            self.place(host, request, deadline, now)
        host.due = now + self.interval
        self.at(host.due, self.exchange_when_due, host)
        if host.waiting:
            self.at(host.next_exchange, self.exchange, host)

    # Requests.

    def arrive(self, now):
        """Start a request at a random host."""
        self.at(now + random.expovariate(REQUESTS_PER_SECOND), self.arrive)
        host = random.choice(self.hosts)
        request = types.SimpleNamespace(
            started_at=now, excluded=set(), is_retried=False
        )
        self.place(host, request, None, now)

    def retry(self, request, now):
        """Start a refused request at another host."""
        request.started_at = now
        request.is_retried = True
        self.place(random.choice(self.hosts), request, None, now)

    def place(self, host, request, deadline, now):
        """Wait for a permit if one is needed, and choose an endpoint."""
        needs = host.view.cold.needs_permit('s', request.excluded, None, now)
        if self.asks and needs and not host.is_cut_off:
            is_first = deadline is None
            deadline = now + WAIT_SECONDS if is_first else deadline
            if is_first or (
                now < deadline and host.view.cold.are_warm_full('s', now)
            ):
                host.view.cold.want_permit('s')
                host.waiting.append((request, deadline))
                self.at(max(now, host.next_exchange), self.exchange, host)
                return
        limit = choice.MAX_QUEUED
        if request.excluded or request.is_retried:
            limit = choice.MAX_QUEUED_RETRIES
        chosen = host.view.acquire('s', request.excluded, now, limit)
        if isinstance(chosen, codes.Refusal):
            if request.is_retried or request.excluded:
                self.count(request, False)
                return
            self.at(now + RETRY_SECONDS, self.retry, request)
            return
        self.running[chosen.endpoint_id] += 1
        # A permit may be used at the last moment, over a slow link.
        delay = self.delay()
        if chosen.start_before < float('inf') and random.random() < 0.2:
            delay += random.uniform(0.0, 0.15)
        self.at(now + delay, self.reach, host, request, chosen.endpoint_id)

    def reach(self, host, request, endpoint_id, now):
        endpoint = self.endpoints[endpoint_id]
        if endpoint.is_down(now):
            self.fail(host, request, endpoint_id, now)
            return
        if now < endpoint.cold_until:
            endpoint.arrivals.append(now)
        begins_at, ends_at = endpoint.start(now)
        is_late = begins_at > request.started_at + OBJECTIVE_SECONDS
        self.at(
            ends_at, self.end, host, request, endpoint, endpoint.born, is_late
        )

    def end(self, host, request, endpoint, born, is_late, now):
        if endpoint.is_down(now) or endpoint.born != born:
            self.fail(host, request, endpoint.endpoint_id, now)
            return
        self.release(host, endpoint.endpoint_id)
        host.view.health.record_success(endpoint.endpoint_id)
        self.count(request, not is_late)

    def fail(self, host, request, endpoint_id, now):
        """Try another endpoint, and tell the hosts of the zone."""
        self.release(host, endpoint_id)
        host.view.record_failure(endpoint_id, now)
        self.at(now + 0.01, self.tell_zone, host)
        self.at(max(now, host.next_exchange), self.exchange, host)
        request.excluded.add(endpoint_id)
        if len(request.excluded) < MAX_ATTEMPTS:
            self.place(host, request, None, now)
        else:
            self.count(request, False)

    def release(self, host, endpoint_id):
        host.view.release(endpoint_id)
        self.running[endpoint_id] -= 1

    def tell_zone(self, host, now):
        ages = host.view.cold.list_news(now)
        for other in self.hosts:
            if other is not host and other.zone == host.zone:
                other.view.cold.record_news(ages, now)

    def count(self, request, is_served):
        if request.started_at >= BACK_AT:
            self.served += is_served
            self.refused += not is_served

    def count_busiest_second(self):
        """Return the most requests that a cold endpoint got in a second."""
        return max(
            endpoint.count_busiest_second()
            for endpoint in self.endpoints.values()
        )
