"""Choice of an endpoint for a request, by what one entry host knows.

See `choice` for the choice by counts of requests, and `balancing.selection`
for the one by the cost of requests and the speed of endpoints.
"""

import random
import typing

from rhubarbreach.balancing import costs
from rhubarbreach.balancing import selection
from rhubarbreach import codes
from rhubarbreach.fleet import choice
from rhubarbreach.fleet import directory as directories

__all__ = ['Criteria', 'EndpointChoice']


class Criteria(typing.NamedTuple):
    """What a request requires of its endpoint.

    The attributes are the parameters of `View.acquire`, except that `choices`
    leaves out cold endpoints without a permit. `is_restricted` is whether the
    caller has named the endpoints to choose from.

    One is made for each request. A frozen data class takes 2.1 us instead of
    0.5 us, which is 5 % of a choice.
    """

    service: str
    excluded: object
    queue_limit: int
    can_retry: bool
    software_version: str | None
    choices: object
    cost: costs.Cost | None
    is_restricted: bool


class EndpointChoice:
    """Choice of the endpoint of a request among those of a service.

    All methods have to be called with the lock of the view, which protects
    what they read.

    Parameters
    ----------
    chooser : balancing.selection.Chooser
        Chooser by cost, which the directory tells the endpoints.
    directory : Directory
        Endpoints by service.
    counts : RequestCounts
        Requests on endpoints.
    health : EndpointHealth
        Endpoints that have failed.
    performance : Performance
        Run times and speeds.
    """

    def __init__(self, chooser, directory, counts, health, performance):
        self.chooser = chooser
        self.directory = directory
        self.counts = counts
        self.health = health
        self.performance = performance

    def choose(self, criteria, now):
        """Return the endpoint for a request.

        Parameters
        ----------
        criteria : Criteria
            What the request requires.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        Endpoint or Refusal
            NO_ENDPOINT if no endpoint is left, QUEUE_FULL if all are full.
        """
        cost = criteria.cost
        if (
            cost is not None and cost.is_stated
        ) or self.performance.table.slowness.has_figures(criteria.service):
            return self.choose_by_cost(criteria, now)
        return self.choose_by_count(criteria, now)

    def choose_by_cost(self, criteria, now):
        """Return the endpoint where a request probably begins soonest.

        The parameters are those of `choose`.
        """
        service = criteria.service
        excluded = criteria.excluded
        queue_limit = criteria.queue_limit
        software_version = criteria.software_version
        choices = criteria.choices
        cost = criteria.cost
        counts = self.counts
        health = self.health
        suspects = health.suspects

        def is_healthy(endpoint):
            return is_available(endpoint) and (
                endpoint.endpoint_id not in suspects
            )

        def is_available(endpoint):
            return not health.table.is_ejected(
                endpoint.endpoint_id, now
            ) and is_candidate(endpoint)

        def is_candidate(endpoint):
            return (
                software_version is None
                or endpoint.software_version == software_version
            ) and (choices is None or endpoint.endpoint_id in choices)

        situation = self.describe_situation(service, cost, now)

        def list_open(rows):
            return counts.list_open(rows, queue_limit, barred)

        def choose(is_usable, is_last=False):
            return self.chooser.choose(
                service,
                cost,
                situation,
                lambda endpoint: (
                    endpoint.endpoint_id not in excluded
                    and is_usable(endpoint)
                ),
                list_open if is_last else None,
            )

        is_usable = is_healthy
        has_limits = software_version is not None or choices is not None
        if has_limits or excluded or suspects or health.table.entries:
            chosen = choose(is_usable)
        else:
            # All may be chosen, which most often is the case.
            chosen = self.chooser.choose(service, cost, situation, None)
        if chosen is not None and counts.has_free_slot(chosen):
            return chosen
        known = self.directory.services.get(service, ())
        if chosen is None and not any(map(is_healthy, known)):
            # If all endpoints have failed, any of them may have recovered.
            is_usable = is_candidate
            if any(map(is_available, known)):
                is_usable = is_available
            chosen = choose(is_usable)
        barred = set(excluded)
        if chosen is not None and counts.is_queue_full(chosen, queue_limit):
            if is_usable is is_healthy:
                barred |= suspects
            if is_usable is not is_candidate:
                barred |= health.table.list_ejected(now)
            chosen = choose(is_usable, True) or chosen
        if (
            criteria.can_retry
            and suspects
            and (chosen is None or not counts.has_free_slot(chosen))
        ):
            chosen = choose(is_available) or chosen
        if (
            not criteria.is_restricted
            and (chosen is None or counts.is_queue_full(chosen, queue_limit))
            and counts.is_half_idle(known)
        ):
            # Endpoints that have failed for others are better than a refusal
            # while most slots are free.
            barred = set(excluded)
            chosen = choose(is_candidate, True) or chosen
        if chosen is None:
            return codes.Refusal(
                codes.ResultCode.NO_ENDPOINT, 'no endpoint accepts requests'
            )
        if counts.is_queue_full(chosen, queue_limit):
            online = counts.count_online(chosen.endpoint_id)
            return codes.Refusal(
                codes.ResultCode.QUEUE_FULL,
                f'all endpoints are full: {chosen.endpoint_id} has {online} '
                f'online requests for {chosen.slots} slots',
            )
        return chosen

    def describe_situation(self, service, cost, now):
        """Return the `Situation` of a choice by cost."""
        counts = self.counts
        run_seconds = self.performance.run_seconds.get(service)
        return selection.Situation(
            counts.count_online,
            lambda endpoint_id: counts.batch.get(endpoint_id, 0),
            lambda endpoint_id: counts.running.get(endpoint_id, 0),
            run_seconds or selection.INITIAL_RUN_SECONDS,
            counts.load_age,
            costs.DEFAULT_OBJECTIVE_SECONDS
            if cost is None
            else cost.objective,
            now,
            random.random,
            random.shuffle,
        )

    def choose_by_count(self, criteria, now):
        """Return the endpoint with the fewest requests for its slots.

        The parameters are those of `choose`; the cost is not used.
        """
        service = criteria.service
        choices = criteria.choices
        counts = self.counts
        health = self.health
        endpoints = self.directory.services.get(service, ())
        available = [
            endpoint
            for endpoint in endpoints
            if not health.table.is_ejected(endpoint.endpoint_id, now)
        ]
        online = {
            endpoint.endpoint_id: counts.count_online(endpoint.endpoint_id)
            for endpoint in endpoints
        }
        zone_penalty = choice.compute_zone_penalty(
            max((e.slots for e in endpoints), default=1),
            self.performance.run_seconds.get(service),
            counts.load_age,
        )
        candidates = directories.filter_version(
            endpoints, criteria.software_version
        )
        available = directories.filter_version(
            available, criteria.software_version
        )
        if choices is not None:
            candidates = [e for e in candidates if e.endpoint_id in choices]
            available = [e for e in available if e.endpoint_id in choices]
        healthy = [
            endpoint
            for endpoint in available
            if endpoint.endpoint_id not in health.suspects
        ]

        def choose(endpoints):
            return choice.choose_endpoint(
                endpoints,
                online,
                counts.batch,
                self.chooser.zone,
                criteria.excluded,
                criteria.queue_limit,
                zone_penalty,
            )

        # If all endpoints have failed, any of them may have recovered.
        chosen = choose(healthy or available or candidates)
        if criteria.can_retry and len(healthy) < len(available):
            must_wait = isinstance(chosen, codes.Refusal) or (
                online[chosen.endpoint_id] >= chosen.slots
            )
            if must_wait:
                chosen = choose(available)
        if (
            isinstance(chosen, codes.Refusal)
            and not criteria.is_restricted
            and counts.is_half_idle(endpoints)
        ):
            # Endpoints that have failed for others are better than a refusal
            # while most slots are free.
            chosen = choose(candidates)
        return chosen
