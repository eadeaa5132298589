"""Entry hosts of the replays: with the choice by cost, and without it."""

import dataclasses

from rhubarbreach.balancing import costs
from rhubarbreach.balancing import endpoints
from rhubarbreach.balancing import overdue
from rhubarbreach.balancing import progress
from rhubarbreach.balancing.tests import replay
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.fleet import view
from rhubarbreach.fleet import zone_loads
from rhubarbreach.gateway import hedges
from rhubarbreach.observe import metrics

__all__ = ['CountingHost', 'HedgingHost', 'PlainHost', 'WeighingHost']


class CountingHost:
    """Host with the policy of b218eb7, which counts requests alone."""

    def __init__(self, zone, rows, pattern):
        self.zone = zone
        self.pattern = pattern
        self.view = view.View(zone)
        self.view.update_endpoints(rows, True)
        self.budget = zone_loads.NewsBudget()

    def set_peers(self, peers):
        self.view.counts.update_peers(peers)

    def predict(self, request):
        return None

    def acquire(self, request, now):
        limit = self.view.choose_queue_limit(
            replay.SERVICE, self.pattern.objective, False, False
        )
        request.ticket = self.predict(request)
        chosen = self.view.acquire(
            replay.SERVICE, (), now, limit, cost=request.ticket
        )
        if isinstance(chosen, codes.Refusal):
            return False
        request.endpoint_id = chosen.endpoint_id
        return True

    def release(self, request, now):
        self.view.release(request.endpoint_id, request.ticket, True)
        self.view.performance.record_run(
            replay.SERVICE, now - request.first_at
        )

    def read_event(self, request, load, now):
        pass

    def plan_hedge(self, request, now):
        return None

    def copy_report(self):
        return self.view.counts.copy_running(), {}

    def copy_running(self):
        return self.view.counts.copy_running()

    def apply_report(self, number, report, now):
        self.view.report_peer(number, report[0], now, *report[1:])

    def pause_news(self, now):
        return zone_loads.compute_news_interval(
            len(self.view.counts.list_peers())
        )

    def apply_exchange(self, elsewhere, age):
        self.view.update_loads(elsewhere, {}, (), {}, age)


class WeighingHost(CountingHost):
    """Host that chooses by cost, work and speed."""

    def predict(self, request):
        pattern = self.pattern
        statement = None
        if pattern.has_tokens:
            parts = (
                costs.Part(request.shared, request.prompt // 2),
                costs.Part('', request.prompt - request.prompt // 2),
            )
            statement = costs.Statement(
                request.prompt, 4 * request.hint, parts, request.hint
            )
        return self.view.performance.predict_cost(
            replay.SERVICE,
            replay.ROUTE,
            request.shared,
            statement,
            pattern.objective,
        )

    def release(self, request, now):
        super().release(request, now)
        self.view.performance.record_answer(
            request.ticket, request.progress.events
        )

    def read_event(self, request, load, now):
        endpoint_id = request.endpoint_id
        if load is not None:
            request.progress = progress.Progress()
            running, waiting, percent = load
            slots = self.pattern.slots
            self.view.performance.record_load(
                endpoint_id,
                endpoints.ServerLoad(running, waiting, slots, percent),
                now,
            )
            self.view.performance.note_first_event(
                endpoint_id, request.ticket, now
            )
        gap = request.progress.add(1, now)
        if gap is not None:
            self.view.performance.record_gap(
                self.view.directory.endpoints[endpoint_id], gap, now
            )

    def copy_report(self):
        return (
            self.view.counts.copy_running(),
            self.view.performance.pop_slowness(),
        )

    def pause_news(self, now):
        return self.budget.spend(len(self.view.counts.list_peers()), now)


class PlainHost(WeighingHost):
    """Host with the present code, whose zone reports come as before."""

    def pause_news(self, now):
        return CountingHost.pause_news(self, now)


class HedgingHost(WeighingHost):
    """Host that also hedges, and avoids endpoints that stand still."""

    fraction = 0.1

    def __init__(self, zone, rows, pattern):
        super().__init__(zone, rows, pattern)
        self.hedges = hedges.HedgeControl(
            self.view, metrics.Metrics(), self.fraction
        )

    def plan_hedge(self, request, now):
        endpoint = self.view.directory.endpoints[request.endpoint_id]
        request.sent_at = now
        request.found_slot = self.view.counts.get_utilization(endpoint) <= 1
        request.plan = self.hedges.plan(
            replay.SERVICE, self.pattern.objective, request.arrived, now
        )
        return request.plan.due_at

    def hedge(self, request, now):
        is_busy = self.view.is_busy(replay.SERVICE)
        if overdue.may_be_overdue(request.found_slot, is_busy):
            self.view.mark_overdue(request.endpoint_id, request.arrived, now)
        _, endpoint = self.hedges.acquire(
            request.plan,
            now,
            is_busy,
            lambda: self.view.acquire_spare(
                replay.SERVICE,
                {request.endpoint_id},
                None,
                request.ticket,
                now,
            ),
        )
        if endpoint is None:
            return None
        return dataclasses.replace(
            request,
            endpoint_id=endpoint.endpoint_id,
            found_slot=True,
            is_first=False,
            sent_at=now,
        )

    def cancel(self, request, now):
        self.view.release(request.endpoint_id, request.ticket, False)
        if request.found_slot and request.is_first:
            self.learn(request, now)

    def learn(self, request, now):
        self.hedges.record_first(
            replay.SERVICE, self.pattern.objective, now - request.sent_at
        )

    def read_event(self, request, load, now):
        super().read_event(request, load, now)
        self.view.note_event(request.endpoint_id, now)
        if load is not None and request.found_slot:
            self.learn(request, now)

    def copy_report(self):
        overdue_ages = self.view.health.list_overdue(clock.monotonic())
        return (*super().copy_report(), overdue_ages)
