"""Checks whether endpoints whose responses broke off have crashed."""

import collections
import dataclasses
import threading

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import connector as connectors

__all__ = ['CrashChecks', 'has_crashed']

LOG = eventlog.Logger('crash_checks')

CONNECT_TIMEOUT_SECONDS = 0.15
# Broken responses that wait for a check; further ones are no evidence.
MAX_PENDING = 256


def has_crashed(connector, leader_client, directory, endpoint):
    """Return whether an endpoint in service is gone.

    Parameters
    ----------
    connector : Connector
        Looks at the port of the endpoint.
    leader_client : LeaderClient
        Contact with the leader, which may know that the endpoint has left.
    directory : Directory
        Endpoints known to this host.
    endpoint : Endpoint
        Endpoint whose response has ended.
    """
    if not directory.is_endpoint_in_service(endpoint):
        return False
    state = connector.check_port(
        endpoint, clock.monotonic() + CONNECT_TIMEOUT_SECONDS
    )
    return is_crash(state, leader_client, directory, endpoint)


def is_crash(state, leader_client, directory, endpoint):
    """Return whether a closed port shows a crash; see `has_crashed`."""
    if state is not connectors.PortState.CLOSED:
        return False
    # Only the leader may know yet that the endpoint has left in order.
    leader_client.waits.refresh_loads()
    return not directory.has_left(endpoint)


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenResponse:
    """Response that broke off, or did not begin.

    `time` is that of the break in seconds of the monotonic clock, and
    `run_seconds` the time since the first event, None if there was none.
    `prompt` holds the parts of the prompt, `has_head` is whether the head of a
    response had arrived, and `is_resumed` whether another endpoint had begun
    the response.
    """

    endpoint: object
    prompt: tuple[str, ...]
    time: float
    run_seconds: float | None
    has_head: bool
    is_resumed: bool


class CrashChecks:
    """Reports crashes of endpoints on requests.

    A response may also break off at an endpoint that goes on, so that a crash
    after the first event counts once the port is closed. What this host does
    not reach, and others do, has not crashed. A thread of its own connects, as
    the request goes on at another endpoint meanwhile.

    Parameters
    ----------
    connector : Connector
        Looks at the ports of endpoints.
    leader_client : LeaderClient
        Contact with the leader, and the quarantine that gets the crashes.
    directory : Directory
        Endpoints known to this host.
    """

    def __init__(self, connector, leader_client, directory):
        self.connector = connector
        self.leader_client = leader_client
        self.directory = directory
        self.lock = threading.Lock()
        # Broken responses by endpoint and start of its process.
        self.pending = collections.OrderedDict()
        self.pending_count = 0
        self.thread = None

    def add(self, endpoint, prompt, time, run_seconds, has_head, is_resumed):
        """Have a crash reported if the endpoint turns out to be gone.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint whose response broke off.
        prompt : tuple of str
            Parts of the prompt of the request.
        time : float
            Time of the break in seconds of the monotonic clock.
        run_seconds : float or None
            Time from the first event to the break, None if there was none.
        has_head : bool
            Whether the head of a response had arrived.
        is_resumed : bool
            Whether another endpoint had begun the response.
        """
        response = BrokenResponse(
            endpoint, prompt, time, run_seconds, has_head, is_resumed
        )
        if run_seconds is None and not self.connector.relay_port:
            # Nobody else could tell more.
            self.report(response)
            return
        with self.lock:
            if self.pending_count >= MAX_PENDING:
                return
            self.pending_count += 1
            key = (endpoint.endpoint_id, endpoint.born)
            self.pending.setdefault(key, []).append(response)
            if self.thread is not None:
                return
            self.thread = threading.Thread(
                target=self.run, name='crash-checks', daemon=True
            )
            self.thread.start()

    def take(self):
        """Return the broken responses of an endpoint; none end the thread."""
        with self.lock:
            if not self.pending:
                self.thread = None
                return []
            _, responses = self.pending.popitem(last=False)
            self.pending_count -= len(responses)
            return responses

    def run(self):
        """Check one endpoint after the other until none is left."""
        while responses := self.take():
            endpoint = responses[0].endpoint
            state = self.connector.check_port(
                endpoint, clock.monotonic() + CONNECT_TIMEOUT_SECONDS
            )
            late = [r for r in responses if r.run_seconds is not None]
            has_crashed_late = (
                bool(late)
                and self.directory.is_endpoint_in_service(endpoint)
                and is_crash(
                    state, self.leader_client, self.directory, endpoint
                )
            )
            LOG.info(
                'event=responses_broken endpoint={} port={} crashed={} '
                'responses={} begun={} shortest={}',
                endpoint.endpoint_id,
                state.value,
                has_crashed_late,
                len(responses),
                len(late),
                format_shortest(late),
            )
            if state is connectors.PortState.OPEN_ELSEWHERE:
                continue
            for response in responses:
                if response.run_seconds is None or has_crashed_late:
                    self.report(response)

    def report(self, response):
        """Report a crash of an endpoint on a request."""
        self.leader_client.quarantine.record_crash(
            response.endpoint.endpoint_id,
            response.prompt,
            response.has_head,
            response.time,
            response.endpoint.service,
            response.run_seconds,
            response.is_resumed,
        )


def format_shortest(responses):
    """Return the shortest time from the first event to a break, or None."""
    if not responses:
        return None
    return round(min(response.run_seconds for response in responses), 3)
