"""Search for prompt parts that crash the endpoints that answer them.

Requests may share parts of their prompts. If one of these parts crashes each
endpoint that begins to answer it, requests that have nothing else in common
take down one endpoint after the other. Endpoints also crash for other
reasons, and each crash breaks sound requests, so that a part is judged by
several crashes of different endpoints and by the requests of all hosts. A
request that begins to be answered clears all of its parts.
"""

import collections
import dataclasses

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
    shared parts by position; None until they are needed.
    """

    endpoint_id: str
    service: str
    time: float
    reported_at: float
    begun: set = dataclasses.field(default_factory=set)
    waiting: set = dataclasses.field(default_factory=set)
    candidates: dict | None = None

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
        # Time of the last answer to each suspected part.
        self.answered_at = {}
        # Time of the last answer of each service to any request.
        self.service_answered_at = {}

    def add_crash(self, endpoint_id, prompt, has_head, time, now, service=''):
        """Add a request that broke before the endpoint answered it.

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
        """
        incident = self.find_incident(endpoint_id, service, time, now)
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
        services = {incident.service for incident in self.incidents}
        self.service_answered_at = {
            service: time
            for service, time in self.service_answered_at.items()
            if service in services
        }
        if not self.answered_at:
            return
        candidates = set()
        for incident in self.incidents:
            candidates.update(incident.list_candidates())
        self.answered_at = {
            part: time
            for part, time in self.answered_at.items()
            if part in candidates
        }

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
            candidates = incident.list_candidates()
            if not candidates.keys().isdisjoint(quarantined):
                continue
            for part in candidates:
                is_rare = counts.get(part, 0) == 1
                if not (is_rare or self.is_answered_since(part, incident)):
                    suspects[part] = None
            if len(suspects) >= MAX_SUSPECTS:
                break
        return tuple(suspects)[:MAX_SUSPECTS]

    def count_requests(self):
        """Return the number of crashes of each request, by its part."""
        return collections.Counter(
            part
            for incident in self.incidents
            for part in incident.list_candidates()
            if request_parts.is_request_part(part)
        )

    def is_outage(self, incident, part):
        """Return whether many endpoints crash at once, without a request."""
        others = set()
        for other in self.incidents:
            if (
                abs(other.time - incident.time) <= INCIDENT_SECONDS
                and part not in other.list_candidates()
            ):
                others.add(other.endpoint_id)
                if len(others) > MAX_OTHER_CRASHES:
                    return True
        return False

    def is_answered_since(self, part, incident):
        """Return whether an endpoint answered a part after a crash."""
        return self.answered_at.get(part, float('-inf')) >= incident.time

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
        is_explained = not candidates.keys().isdisjoint(quarantined)
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
