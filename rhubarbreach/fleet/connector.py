"""Connections of an entry host to endpoints, directly or through a relay.

A connection is tried on the likelier way first, and on the other one beside it
if the first fails or takes long (RFC 8305 does this for addresses).
"""

import enum
import select

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import paths as ways
from rhubarbreach.web import errors
from rhubarbreach.web import sockets
from rhubarbreach.web import transport

__all__ = ['Connector', 'PortState']

LOG = eventlog.Logger('connector')

# Time after which the other way is tried too. A connection within a region
# takes a few milliseconds.
HEAD_START_SECONDS = 0.05
# Interval at which the answer of the leader is looked for.
POLL_SECONDS = 0.01
# Time in which a relay has to connect, at least and for a check.
MIN_RELAY_SECONDS = 0.05
CHECK_SECONDS = 0.15


class PortState(enum.Enum):
    """What is known of the port of an endpoint.

    It may accept connections of this host, or only of others; it may be
    closed; or nobody is known to reach it.
    """

    OPEN = 'open'
    OPEN_ELSEWHERE = 'open elsewhere'
    CLOSED = 'closed'
    UNKNOWN = 'unknown'


class Connector:
    """Maker of connections to endpoints.

    Parameters
    ----------
    paths : Paths
        What is known of the ways to endpoints.
    relays : RelayList
        Hosts that connect for this one.
    relay_port : int
        Port of the relays, 0 if there are none.
    has_leader : callable
        Returns whether there is a leader.
    """

    def __init__(self, paths, relays, relay_port, has_leader):
        self.paths = paths
        self.relays = relays
        self.relay_port = relay_port
        self.has_leader = has_leader

    def connect(self, endpoint, deadline, buffer_size=None):
        """Return a transport to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint.
        deadline : float
            Seconds of the monotonic clock.
        buffer_size : int, optional
            Size of the buffers of the socket.

        Raises
        ------
        ConnectRefusedError
            If no process listens on the port of the endpoint.
        ConnectError
            If the endpoint is not reached before the deadline.
        """
        route = self.paths.choose(endpoint.endpoint_id, clock.monotonic())
        if not self.relay_port:
            route = ways.Route.DIRECT
        return Search(self, endpoint, deadline, buffer_size).run(route)

    def connect_for_other(self, endpoint, deadline, buffer_size):
        """Return a socket to an endpoint, made directly.

        The parameters are those of `connect`.

        Raises
        ------
        RelayUnavailableError
            If this host may have lost its own links.
        ConnectRefusedError, ConnectError
            See `connect`.
        """
        try:
            found = sockets.connect(endpoint.address, deadline, buffer_size)
        except errors.ConnectError as error:
            self.paths.record_missed(endpoint.endpoint_id)
            if self.paths.is_doubtful:
                raise transport.RelayUnavailableError(str(error)) from error
            raise
        self.record_reached(endpoint)
        return found

    def record_reached(self, endpoint):
        """Record that an endpoint was reached directly."""
        if self.paths.record_reached(endpoint.endpoint_id):
            LOG.info('event=links_restored endpoint={}', endpoint.endpoint_id)

    def check_port(self, endpoint, deadline):
        """Return the `PortState` of an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint.
        deadline : float
            Seconds of the monotonic clock, for each way to the endpoint.
        """
        is_open = sockets.check_port(endpoint.address, deadline)
        if is_open:
            return PortState.OPEN
        if self.relay_port:
            try:
                found = Search(
                    self, endpoint, clock.monotonic() + CHECK_SECONDS, None
                ).run(ways.Route.RELAYED, is_only=True)
            except errors.ConnectRefusedError:
                return PortState.CLOSED
            except errors.ConnectError:
                pass
            else:
                sockets.close_socket(found.socket)
                return PortState.OPEN_ELSEWHERE
        return PortState.UNKNOWN if is_open is None else PortState.CLOSED


class Search:
    """Connections to one endpoint that are being made.

    Parameters
    ----------
    connector : Connector
        Relays, and what is known of the ways.
    endpoint, deadline, buffer_size
        See `Connector.connect`.
    """

    def __init__(self, connector, endpoint, deadline, buffer_size):
        self.connector = connector
        self.paths = connector.paths
        self.endpoint = endpoint
        self.deadline = deadline
        self.buffer_size = buffer_size
        # Ways that are tried, and that were.
        self.direct = None
        self.relayed = None
        self.seeks_relay = False
        self.started = set()
        self.is_direct_missed = False
        # Relays that were asked, the last one separately.
        self.asked = set()
        self.relay_id = None
        self.error = None

    def run(self, route, is_only=False):
        """Return a transport; the errors are those of `Connector.connect`.

        Parameters
        ----------
        route : Route
            Way to try first.
        is_only : bool
            Whether the other one is not tried.
        """
        other_at = float('inf')
        if not is_only:
            other_at = clock.monotonic() + HEAD_START_SECONDS
        self.start(route)
        try:
            while True:
                now = clock.monotonic()
                found = self.collect(now)
                if found is not None:
                    return found
                if not is_only and (now >= other_at or not self.is_trying):
                    other_at = float('inf')
                    self.start_other(route)
                if not self.is_trying:
                    raise self.error
                if now >= self.deadline:
                    raise self.error or errors.ConnectError(
                        'connect: no response before the deadline'
                    )
                self.wait(now, other_at)
        finally:
            self.end()

    @property
    def is_trying(self):
        """Whether a way is still tried."""
        return self.direct is not None or self.seeks_relay

    def start(self, route):
        """Begin on a way, once."""
        if route in self.started:
            return
        self.started.add(route)
        if route is ways.Route.RELAYED:
            self.seeks_relay = True
        else:
            self.direct = transport.DirectOpening(
                self.endpoint.address, self.buffer_size
            )

    def start_other(self, first):
        """Begin on the other way, unless the links of this host are sound."""
        if first is ways.Route.RELAYED:
            self.start(ways.Route.DIRECT)
            return
        self.miss_direct()
        if self.connector.relay_port and self.paths.is_doubtful:
            self.start(ways.Route.RELAYED)

    def miss_direct(self):
        """Record that the endpoint was not reached directly in time."""
        if not self.is_direct_missed:
            self.is_direct_missed = True
            self.paths.record_missed(self.endpoint.endpoint_id)

    def collect(self, now):
        """Return a transport if there is one, and handle failures.

        Raises
        ------
        ConnectRefusedError
            If a relay found the port of the endpoint closed.
        """
        if self.direct is not None and self.direct.has_ended:
            ended, self.direct = self.direct, None
            if ended.transport is not None:
                self.connector.record_reached(self.endpoint)
                return ended.transport
            self.error = self.error or ended.error
            self.miss_direct()
        if not self.seeks_relay:
            return None
        if self.relayed is not None and self.relayed.has_ended:
            ended, self.relayed = self.relayed, None
            if ended.transport is not None:
                if self.is_direct_missed and self.paths.record_relayed(
                    self.endpoint.endpoint_id, now
                ):
                    LOG.warning('event=links_lost relay={}', self.relay_id)
                return ended.transport
            if isinstance(ended.error, errors.ConnectRefusedError):
                # The port is closed to every host.
                raise ended.error
            if not isinstance(ended.error, transport.RelayUnavailableError):
                # The relay has tried.
                self.error = ended.error
                self.seeks_relay = False
                return None
            self.error = self.error or ended.error
            self.connector.relays.avoid(self.relay_id, now)
        if self.relayed is None:
            self.ask_relay(now)
        return None

    def ask_relay(self, now):
        """Ask the next relay, if one is known."""
        hosts = self.connector.relays.find(now, self.connector.has_leader())
        if hosts is None:
            return
        hosts = [host_id for host_id in hosts if host_id not in self.asked]
        if not hosts:
            self.error = self.error or transport.RelayUnavailableError(
                'no host is known that reaches endpoints'
            )
            self.seeks_relay = False
            return
        self.relay_id = hosts[0]
        self.asked.add(self.relay_id)
        self.relayed = transport.RelayedOpening(
            f'{self.relay_id}:{self.connector.relay_port}',
            self.endpoint.endpoint_id,
            max(MIN_RELAY_SECONDS, self.deadline - now),
            self.buffer_size,
        )

    def wait(self, now, other_at):
        """Wait until a connection goes on, or something else is due."""
        openings = {
            opening.socket.fileno(): opening
            for opening in (self.direct, self.relayed)
            if opening is not None
        }
        if any(opening.has_ended for opening in openings.values()):
            return
        poller = select.poll()
        for descriptor, opening in openings.items():
            poller.register(descriptor, opening.events)
        until = min(self.deadline, other_at)
        if self.seeks_relay and self.relayed is None:
            until = min(until, now + POLL_SECONDS)
        for descriptor, _ in poller.poll(sockets.to_milliseconds(until)):
            openings[descriptor].advance()

    def end(self):
        """Close the connections that are not used."""
        if self.direct is not None:
            # It was not reached in time.
            self.miss_direct()
        for opening in (self.direct, self.relayed):
            if opening is not None:
                opening.close()
