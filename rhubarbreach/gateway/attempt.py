"""One attempt of a request: a call to an endpoint and its response."""

import functools

from rhubarbreach.balancing import progress
from rhubarbreach import clock
from rhubarbreach.web import answers
from rhubarbreach.web import client
from rhubarbreach.web import errors

__all__ = ['Attempt']


class Attempt:
    """Call to an endpoint, and what has been received of its response.

    Parameters
    ----------
    endpoint : Endpoint
        Endpoint that was acquired for the attempt.
    load : str
        Load of the endpoint, for the log.
    tried_part : str or None
        Quarantined part of the prompt that the attempt tries.
    cost : Cost, optional
        Predicted cost that was passed when the endpoint was acquired.
    """

    def __init__(self, endpoint, load, tried_part, cost=None):
        self.endpoint = endpoint
        self.load = load
        self.tried_part = tried_part
        self.cost = cost
        self.progress = progress.Progress()
        self.call = None
        self.holding = None
        self.body = None
        # Events of the response; None unless it is relayed event by event.
        self.stream = None
        # Whether the request may have reached the endpoint, when it was sent
        # and when its endpoint was chosen.
        self.is_sent = False
        self.sent_at = float('inf')
        self.chosen_at = clock.monotonic()
        # Whether it is a hedge, and whether a slot was free when it was sent.
        self.is_hedge = False
        self.found_slot = False
        self.is_head_checked = False
        self.has_event = False
        # Time from which its silence lets another endpoint be sought, and
        # whether that has happened.
        self.silent_at = float('inf')
        self.is_stalled = False
        self.run_started_at = clock.monotonic()
        # When its first event arrived, None before, and whether the stream had
        # events before that.
        self.first_event_at = None
        self.is_resuming = False
        # When its response was complete; None while its endpoint is occupied.
        self.ended_at = None

    def open(
        self,
        data,
        connect_deadline,
        send_deadline,
        response_memory,
        may_send=None,
        connector=None,
    ):
        """Send the request.

        Parameters
        ----------
        data : bytes
            Encoded request.
        connect_deadline, send_deadline : float
            Seconds of the monotonic clock.
        response_memory : MemoryPool
            Bounds the responses that this host holds.
        may_send : callable, optional
            See `web.client.Call`.
        connector : Connector, optional
            Connects to the endpoint; directly if not given.

        Raises
        ------
        ConnectError
            If no connection was made or may be used; nothing was sent.
        DeadlineError
            If only a part of the request was sent; it may have run.
        """
        connect = None
        if connector is not None:
            connect = functools.partial(connector.connect, self.endpoint)
        try:
            self.call = client.Call(
                self.endpoint.address,
                data,
                connect_deadline,
                send_deadline,
                may_send,
                response_memory.buffers,
                connect,
            )
        except errors.DeadlineError:
            self.is_sent = True
            raise
        self.is_sent = True
        self.holding = response_memory.open(self.call.interrupt)
        self.body = answers.Body(self.holding)
        self.run_started_at = self.sent_at = clock.monotonic()

    @property
    def send_seconds(self):
        """Seconds from the choice of the endpoint until the request was sent.

        None if it was not sent, or only in part.
        """
        if self.call is None:
            return None
        return round(self.sent_at - self.chosen_at, 3)

    @property
    def head(self):
        """Head of the response, None until it is received."""
        return self.call.head

    @property
    def is_over(self):
        """Whether no more bytes of the response are expected."""
        return self.call.is_complete or (
            self.stream is not None and self.stream.is_over
        )

    def feed_events(self, parts):
        """Return the complete events in the next parts of a stream."""
        blocks = self.stream.feed(parts)
        self.holding.resize(self.body.head_bytes + self.stream.held_bytes)
        return blocks

    def read(self, deadline):
        """Return the next parts of the body, and count the head.

        The errors are those of `Call.read`.
        """
        parts = self.call.read(deadline)
        head_bytes = self.call.parser.head_cost
        if head_bytes != self.body.head_bytes:
            self.body.head_bytes = head_bytes
            self.holding.resize(head_bytes)
        return parts

    def close(self):
        """Close the call; the endpoint stops if it is still running."""
        if self.call is not None:
            self.holding.close()
            self.call.close()
