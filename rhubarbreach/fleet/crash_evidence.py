"""Search for prompt parts that crash the endpoints that answer them.

Requests may share parts of their prompts. If one of these parts crashes each
endpoint that begins to answer it, requests that have nothing else in common
take down one endpoint after the other. Endpoints also crash for other
reasons, and each crash breaks sound requests, so that a part is judged by
several crashes of different endpoints and by the requests of all hosts. A
request that begins to be answered clears all of its parts, but for crashes
during a response, which `late_crashes` judges: of these only a whole response
clears them.
"""

import collections
import dataclasses

from rhubarbreach.fleet import late_crashes
from rhubarbreach.fleet import request_parts

__all__ = ['CrashEvidence', 'Incident', 'compute_settle_seconds']

# Breaks of requests at an endpoint within this time belong to one crash.
INCIDENT_SECONDS = 1.0
# Crashes of different endpoints, and different prompts, after which a part
# that is common to them is a culprit.
MIN_INCIDENTS = 3
MIN_ENDPOINTS = 2
MIN_PROMPTS = 2
# Each retry of a request has the same prompt.
MIN_PROMPTS_OF_REQUEST = 1
# Crashes of other endpoints at the same time, without a request, up to which
# its own count. Otherwise sound requests that are retried while a zone fails
# break at one endpoint after the other.
MAX_OTHER_CRASHES = 2
# The same for a part that endpoints have answered before the crashes.
MIN_INCIDENTS_OF_ANSWERED = 5
# Time from a crash to an answer that shows that its service works again.
RECOVERY_SECONDS = 0.5
# Crashes that are remembered, and for how long.
RETENTION_SECONDS = 600.0
MAX_INCIDENTS = 256
# Parts whose answers the hosts report, those of the newest crashes. Each
# exchange carries them.
MAX_SUSPECTS = 64
# Shortest time between two crashes, of which a rate is estimated.
MIN_INTERVAL_SECONDS = 0.05
# Time for which an endpoint is away after a crash.
AWAY_SECONDS = 3.0
# Time over which the usual crashes of endpoints are counted.
RATE_SECONDS = 60.0
# Time in which the reports of a crash arrive, besides two exchanges: one that
# tells the hosts the suspects, and one in which they report their answers.
SETTLE_SECONDS = 0.3


def compute_settle_seconds(exchange_interval):
    """Return the time after a report when all hosts have reported as well.

    Parameters
    ----------
    exchange_interval : float
        Longest time in seconds between two reports of a host.
    """
    return SETTLE_SECONDS + 2 * exchange_interval


@dataclasses.dataclass
class Incident:
    """Crash of an endpoint, and the prompts that it had not answered yet.

    `begun` holds the prompts for which the head of a response had arrived,
    `waiting` the others. `service` is that of the endpoint. `time` is the time
    of the crash, and `reported_at` the one at which the last of the prompts
    became known, in seconds of the monotonic clock. `candidates` holds the
    shared parts by position; None until they are needed. `late` holds the
    prompts of the responses that had events, with whether another endpoint had
    begun them and the time since the first event, and `late_parts` their
    shared parts.
    """

    endpoint_id: str
    service: str
    time: float
    reported_at: float
    begun: set = dataclasses.field(default_factory=set)
    waiting: set = dataclasses.field(default_factory=set)
    candidates: dict | None = None
    late: dict = dataclasses.field(default_factory=dict)
    late_parts: set = dataclasses.field(default_factory=set)

    @property
    def prompts(self):
        """Prompts that may have caused the crash.

        A request that waits for a slot causes none, but not all endpoints
        send the head before the first event.
        """
        return self.begun or self.waiting

    def list_candidates(self):
        """Return the shared parts by their largest position in a prompt.

        The last part of a prompt is not shared with other requests.
        """
        if self.candidates is None:
            positions = self.candidates = {}
            for prompt in self.prompts:
                for position, part in enumerate(prompt[:-1]):
                    positions[part] = max(position, positions.get(part, 0))
        return self.candidates

    def add_late(self, prompt, run_seconds, is_resumed):
        """Add a response that had events; return whether it is new."""
        if prompt in self.late:
            return False
        self.late[prompt] = (is_resumed, run_seconds)
        self.late_parts.update(prompt[:-1])
        return True

    def has_part(self, part):
        """Return whether a request with a part broke in the crash."""
        return part in self.late_parts or part in self.list_candidates()

    def is_explained(self, quarantined):
        """Return whether a known culprit was in progress."""
        return not (
            self.late_parts.isdisjoint(quarantined)
            and self.list_candidates().keys().isdisjoint(quarantined)
        )

    def make_late_crash(self, part):
        """Return the crash as one during the latest run of a part."""
        prompts = [prompt for prompt in self.late if part in prompt[:-1]]
        is_resumed, run_seconds = min(self.late[prompt] for prompt in prompts)
        return late_crashes.LateCrash(
            self.time,
            self.endpoint_id,
            run_seconds,
            frozenset(prompts),
            is_resumed,
        )


@dataclasses.dataclass
class Case:
    """Crashes that a part may have caused.

    `incidents` holds these crashes, and `unexplained` those among them that
    are not due to a known culprit. `crashed_at` is the time of the last one by
    service, in seconds of the monotonic clock. `position` is the largest one
    of the part in a prompt, and `was_answered` is whether an endpoint answered
    it before the crashes.
    """

    part: str
    position: int = 0
    incidents: list = dataclasses.field(default_factory=list)
    unexplained: list = dataclasses.field(default_factory=list)
    crashed_at: dict = dataclasses.field(default_factory=dict)
    was_answered: bool = False

    def is_proven(self, service_answered_at):
        """Return whether to hold requests with the part back.

        While many endpoints are away, a part of sound requests is not
        answered either. Unless responses with the part had begun at each
        crash, a service has to answer other requests before its crashes count.
        A service that goes on elsewhere proves nothing.

        Parameters
        ----------
        service_answered_at : dict of str to float
            Time of the last answer of each service to any request, in seconds
            of the monotonic clock.
        """
        if self.was_answered:
            min_incidents = MIN_INCIDENTS_OF_ANSWERED
        else:
            min_incidents = MIN_INCIDENTS
            begun = [i for i in self.incidents if i.begun]
            if len(begun) >= min_incidents and self.is_sufficient(
                self.incidents, min_incidents
            ):
                return True
        recovered = {
            service
            for service, crashed_at in self.crashed_at.items()
            if service_answered_at.get(service, float('-inf'))
            >= crashed_at + RECOVERY_SECONDS
        }
        counted = [i for i in self.incidents if i.service in recovered]
        return self.is_sufficient(counted, min_incidents)

    @property
    def min_prompts(self):
        """Different prompts that have to crash endpoints."""
        if request_parts.is_request_part(self.part):
            return MIN_PROMPTS_OF_REQUEST
        return MIN_PROMPTS

    def is_sufficient(self, incidents, min_incidents):
        """Return whether crashes are enough to judge the part by."""
        prompts = {
            prompt
            for incident in incidents
            for prompt in incident.prompts
            if self.part in prompt
        }
        return (
            bool(self.unexplained)
            and len(incidents) >= min_incidents
            and len({i.endpoint_id for i in incidents}) >= MIN_ENDPOINTS
            and len(prompts) >= self.min_prompts
        )


class CrashEvidence:
    """Crashes of endpoints and answers to suspected parts, of all hosts.

    Callers have to hold a lock.
    """

    def __init__(self):
        self.incidents = collections.deque(maxlen=MAX_INCIDENTS)
        # Time of the last answer to each suspected part, and of the last
        # whole one.
        self.answered_at = {}
        self.completed_at = {}
        # Times, services and numbers of whole responses.
        self.completions = collections.deque()
        # Time of the last answer of each service to any request.
        self.service_answered_at = {}

    def add_crash(
        self,
        endpoint_id,
        prompt,
        has_head,
        time,
        now,
        service='',
        run_seconds=None,
        is_resumed=False,
    ):
        """Add a request that broke when an endpoint crashed.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that crashed.
        prompt : tuple of str
            Parts of the request's prompt.
        has_head : bool
            Whether the head of a response had arrived.
        time, now : float
            Time of the break and the present one, in seconds of the monotonic
            clock. A new leader learns of former crashes.
        service : str, optional
            Service of the endpoint.
        run_seconds : float, optional
            Time since the first event of the response, if it had any.
        is_resumed : bool, optional
            Whether another endpoint had begun the response.
        """
        incident = self.find_incident(endpoint_id, service, time, now)
        if run_seconds is not None:
            if incident.add_late(prompt, run_seconds, is_resumed):
                incident.reported_at = now
            return
        prompts = incident.begun if has_head else incident.waiting
        if prompt not in prompts:
            prompts.add(prompt)
            incident.candidates = None
            incident.reported_at = now

    def find_incident(self, endpoint_id, service, time, now):
        """Return the crash of an endpoint at a time, added if it is new."""
        for incident in reversed(self.incidents):
            if (
                incident.endpoint_id == endpoint_id
                and abs(incident.time - time) <= INCIDENT_SECONDS
            ):
                return incident
        incident = Incident(endpoint_id, service, time, now)
        self.incidents.append(incident)
        return incident

    def add_answer(self, part, time):
        """Record that an endpoint answered a request with a part."""
        self.answered_at[part] = max(time, self.answered_at.get(part, time))

    def add_completion(self, part, time):
        """Record that an endpoint answered a request with a part whole."""
        self.completed_at[part] = max(time, self.completed_at.get(part, time))

    def add_completions(self, service, count, time):
        """Add whole responses to any requests since the last report."""
        self.completions.append((time, service, count))

    def add_service_answer(self, service, time):
        """Record that an endpoint of a service answered any request."""
        self.service_answered_at[service] = max(
            time, self.service_answered_at.get(service, time)
        )

    def expire(self, now):
        """Forget the oldest crashes, and answers that concern none."""
        while self.incidents and (
            now - self.incidents[0].time > RETENTION_SECONDS
        ):
            self.incidents.popleft()
        while self.completions and (
            now - self.completions[0][0] > RATE_SECONDS
        ):
            self.completions.popleft()
        services = {incident.service for incident in self.incidents}
        self.service_answered_at = {
            service: time
            for service, time in self.service_answered_at.items()
            if service in services
        }
        if not (self.answered_at or self.completed_at):
            return
        candidates = set()
        for incident in self.incidents:
            candidates.update(incident.list_candidates())
            candidates.update(incident.late_parts)
        self.answered_at, self.completed_at = (
            {part: time for part, time in times.items() if part in candidates}
            for times in (self.answered_at, self.completed_at)
        )

    def list_suspects(self, quarantined):
        """Return the parts whose answers the hosts have to report.

        Parameters
        ----------
        quarantined : collection of str
            Parts that are known to be culprits.
        """
        suspects = {}
        counts = self.count_requests()
        for incident in reversed(self.incidents):
            if incident.is_explained(quarantined):
                continue
            for parts, is_cleared in (
                (incident.list_candidates(), self.is_answered_since),
                (sorted(incident.late_parts), self.is_completed_since),
            ):
                for part in parts:
                    is_rare = counts.get(part, 0) == 1
                    if not (is_rare or is_cleared(part, incident)):
                        suspects[part] = None
            if len(suspects) >= MAX_SUSPECTS:
                break
        return tuple(suspects)[:MAX_SUSPECTS]

    def count_requests(self):
        """Return the number of crashes of each request, by its part."""
        return collections.Counter(
            part
            for incident in self.incidents
            for part in (
                incident.list_candidates().keys() | incident.late_parts
            )
            if request_parts.is_request_part(part)
        )

    def is_outage(self, incident, part):
        """Return whether many endpoints crash at once, without a request."""
        others = set()
        for other in self.incidents:
            if abs(
                other.time - incident.time
            ) <= INCIDENT_SECONDS and not other.has_part(part):
                others.add(other.endpoint_id)
                if len(others) > MAX_OTHER_CRASHES:
                    return True
        return False

    def is_answered_since(self, part, incident):
        """Return whether an endpoint answered a part after a crash."""
        return self.answered_at.get(part, float('-inf')) >= incident.time

    def is_completed_since(self, part, incident):
        """Return whether a part was answered whole after a crash."""
        return self.completed_at.get(part, float('-inf')) >= incident.time

    def find_late_culprit(self, quarantined, latest, asked, endpoint_counts):
        """Return the part that explains most crashes during responses.

        Parameters
        ----------
        quarantined, latest, asked
            See `find_culprit`.
        endpoint_counts : dict of str to int
            Number of endpoints by service.

        Returns
        -------
        str or None
            None if no part is proven to be a culprit.
        """
        cases = {}
        for incident in self.incidents:
            if (
                not incident.late
                or incident.reported_at > latest
                or incident.is_explained(quarantined)
            ):
                continue
            for part in incident.late_parts:
                if part in asked and not self.is_completed_since(
                    part, incident
                ):
                    cases.setdefault(part, []).append(incident)
        ranks = {}
        for part, incidents in cases.items():
            if len(incidents) < late_crashes.MIN_CRASHES:
                continue
            incidents.sort(key=lambda incident: incident.time)
            crashes = [
                incident.make_late_crash(part) for incident in incidents
            ]
            background = self.find_background(part, incidents, endpoint_counts)
            was_completed = part in self.completed_at
            if late_crashes.is_culprit(
                part, crashes, background, was_completed
            ):
                position = max(
                    prompt.index(part)
                    for crash in crashes
                    for prompt in crash.prompts
                )
                ranks[part] = (len(incidents), position)
        return max(ranks, key=ranks.get, default=None)

    def find_background(self, part, incidents, endpoint_counts):
        """Return what happens to requests during crashes with a part.

        Parameters
        ----------
        part : str
            Part of prompts.
        incidents : list of Incident
            Crashes with a part, in the order of their time.
        endpoint_counts : dict of str to int
            Number of endpoints by service.

        Returns
        -------
        Background
            The rate is that over the time of the crashes or over a longer one,
            whichever is higher, for the time in which endpoints are up.
        """
        first, last = incidents[0].time, incidents[-1].time
        services = {incident.service for incident in incidents}
        known = [
            incident
            for incident in self.incidents
            if incident.service in services and incident.time <= last
        ]
        others = [other for other in known if not other.has_part(part)]
        recent = [other for other in known if other.time >= first]
        endpoints = sum(endpoint_counts.get(name, 1) for name in services)
        interval = (last - first) / max(1, len(recent) - 1)
        span = last - first + max(MIN_INTERVAL_SECONDS, interval)
        broken = [prompt for other in recent for prompt in other.late]
        with_part = sum(part in prompt for prompt in broken)
        completed = sum(
            count
            for time, service, count in self.completions
            if service in services and time >= first
        )
        return late_crashes.Background(
            max(
                compute_crash_rate(known, endpoints, last, seconds)
                for seconds in (span, RATE_SECONDS)
            ),
            max(
                compute_crash_rate(others, endpoints, last, span),
                1 / RATE_SECONDS,
                compute_crash_rate(others, endpoints, last, RATE_SECONDS),
            ),
            len(broken) - with_part,
            completed,
            len(incidents) / len(recent),
            with_part / len(broken),
            endpoints,
        )

    def find_culprit(self, quarantined, latest, asked):
        """Return the part that explains most crashes, None if unproven.

        Among parts that explain the same crashes, the one that comes last in
        the prompts is returned, as it affects the fewest requests.

        Parameters
        ----------
        quarantined : collection of str
            Parts that are known to be culprits. The crashes of endpoints that
            ran requests with them need no other explanation.
        latest : float
            Time of the latest report that counts, in seconds of the monotonic
            clock. Not all hosts may have reported on what became known later.
        asked : collection of str
            Parts whose answers all hosts have had time to report. Another
            part may be answered without being known to be.
        """
        cases = {}
        for incident in self.incidents:
            if incident.reported_at <= latest:
                self.add_incident(cases, incident, quarantined)
        for part, case in cases.items():
            if (
                part in asked
                and request_parts.is_request_part(part)
                and len(case.incidents) >= MIN_INCIDENTS
            ):
                case.incidents = [
                    incident
                    for incident in case.incidents
                    if not self.is_outage(incident, part)
                ]
        return max(
            (
                part
                for part, case in cases.items()
                if part in asked and case.is_proven(self.service_answered_at)
            ),
            key=lambda part: (
                len(cases[part].unexplained),
                cases[part].position,
            ),
            default=None,
        )

    def add_incident(self, cases, incident, quarantined):
        """Add a crash to the cases of the parts that it may be due to."""
        candidates = incident.list_candidates()
        is_explained = incident.is_explained(quarantined)
        for part, position in candidates.items():
            if part in quarantined or self.is_answered_since(part, incident):
                continue
            case = cases.setdefault(part, Case(part))
            case.was_answered = part in self.answered_at
            case.position = max(case.position, position)
            case.incidents.append(incident)
            if not is_explained:
                case.unexplained.append(incident)
            case.crashed_at[incident.service] = max(
                incident.time, case.crashed_at.get(incident.service, 0.0)
            )


def compute_crash_rate(incidents, endpoints, end, seconds):
    """Return how often endpoints crash in a second in which they are up.

    Parameters
    ----------
    incidents : list of Incident
        Crashes.
    endpoints : int
        Number of endpoints.
    end : float
        End of the time to consider, in seconds of the monotonic clock.
    seconds : float
        Length of that time.
    """
    start = end - seconds
    up_seconds = endpoints * seconds
    count = 0
    for incident in incidents:
        away = min(end, incident.time + AWAY_SECONDS) - max(
            start, incident.time
        )
        up_seconds -= max(0.0, away)
        count += incident.time >= start
    return count / max(up_seconds, seconds)
