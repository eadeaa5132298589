"""Simulated load peaks on several hosts with outdated loads of each other."""

import dataclasses
import random

import pytest

from rhubarbreach.fleet import choice
from rhubarbreach.fleet import loads
from rhubarbreach.fleet import view
from rhubarbreach.protocol import fleetmessages

SLOTS = 8
EXCHANGE_INTERVAL_SECONDS = 0.15
# Time from the wake-up of a host to the reply of the leader.
EXCHANGE_DELAY_SECONDS = 0.02
RUN_SECONDS = 0.7
PEAK_SECONDS = 2.4


@dataclasses.dataclass(frozen=True)
class Fleet:
    """A fleet and its load peak.

    `peak` is in requests a second and `step` in seconds.
    """

    hosts: int
    endpoints: int
    peak: float
    step: float


# Peaks that need two thirds of the slots.
SMALL = Fleet(5, 6, 48.0, 0.005)
LARGE = Fleet(23, 45, 330.0, 0.001)


def make_host(endpoints):
    host = view.View('elsewhere')
    rows = tuple(
        fleetmessages.EndpointNotice(
            f'e{n}', 's', f'e{n}:1', 'z', SLOTS, 'ready', 1, 1
        )
        for n in range(endpoints)
    )
    host.update_endpoints(rows, True)
    return host


def sum_others(reports, number, now):
    """Return the loads that a host derives from the reply of the leader."""
    _, own = reports.reports.get(number, (now, {}))
    return loads.subtract_own(reports.get_totals(now), own)


def simulate_peak(fleet, seed, refreshes):
    """Return the requests that had to queue, and all requests."""
    rng = random.Random(seed)
    hosts = [make_host(fleet.endpoints) for _ in range(fleet.hosts)]
    due = [rng.random() * EXCHANGE_INTERVAL_SECONDS for _ in hosts]
    reports = loads.Loads()
    running = []
    queued = total = 0
    now = 0.0

    def advance_exchange(number):
        due[number] = min(due[number], now + EXCHANGE_DELAY_SECONDS)

    for number, host in enumerate(hosts):
        host.on_high_utilization = lambda number=number: advance_exchange(
            number
        )
    while now < PEAK_SECONDS:
        now += fleet.step
        for request in [request for request in running if request[0] <= now]:
            running.remove(request)
            hosts[request[1]].release(request[2])
        for number, host in enumerate(hosts):
            if due[number] <= now:
                due[number] = now + EXCHANGE_INTERVAL_SECONDS
                reports.report(number, host.counts.copy_running(), now)
                host.update_loads(sum_others(reports, number, now), {})
        if rng.random() < fleet.peak * fleet.step:
            number = rng.randrange(fleet.hosts)
            if refreshes and hosts[number].has_high_utilization('s'):
                others = sum_others(reports, number, now)
                hosts[number].update_loads(others, {})
            chosen = hosts[number].acquire('s', (), now)
            total += 1
            in_use = sum(
                request[2] == chosen.endpoint_id for request in running
            )
            queued += in_use >= SLOTS
            running.append((now + RUN_SECONDS, number, chosen.endpoint_id))
    return queued, total


def get_queued_fraction(fleet, seeds, refreshes=True):
    """Return the fraction of the requests that queued."""
    random.seed(1)
    results = [simulate_peak(fleet, seed, refreshes) for seed in range(seeds)]
    return sum(result[0] for result in results) / sum(
        result[1] for result in results
    )


def test_small_fleet_does_not_queue_while_slots_are_free():
    # Hosts that choose by the loads of the last regular exchange all select
    # the endpoint that had the fewest requests then, while others are free.
    assert get_queued_fraction(SMALL, 20) <= 0.01
    assert get_queued_fraction(SMALL, 20, refreshes=False) > 0.02


@pytest.mark.parametrize('fraction, max_queued', [(0.0, 1.0), (None, 0.03)])
def test_large_fleet_does_not_overload_idle_endpoints(
    monkeypatch, fraction, max_queued
):
    # All hosts sent the requests of one interval to the few endpoints that
    # were idle at the last exchange, 13 of them within 0.2 s to a single one.
    if fraction is not None:
        monkeypatch.setattr(choice, 'LOW_UTILIZATION_FRACTION', fraction)
    queued = get_queued_fraction(LARGE, 2)
    assert queued <= max_queued
    assert fraction is None or queued > 0.08
