"""Link faults that the bench injects over HTTP, if settings allow it."""

import msgspec
from werkzeug import wrappers

from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals
from rhubarbreach.entry import status

__all__ = ['FaultHandlers']

MAX_BYTES = 64 * 1024
BODY_SECONDS = 2.0


class LinkFaults(msgspec.Struct, frozen=True):
    """Injected faults: delays in seconds by peer, and unreachable peers.

    `delays` apply in one direction, from this host to the peer. `cut` lists
    the peers to which all messages are dropped.
    """

    delays: dict[str, float] = {}
    cut: tuple[str, ...] = ()


class FaultHandlers:
    """Handler of /debug/faults for callers on a loopback address.

    Parameters
    ----------
    application : entry.app.Application
        Application to which the route is added.
    link : protocol.link.Link
        Link whose messages are delayed or dropped.
    """

    def __init__(self, application, link):
        self.link = link
        self.faults = LinkFaults()
        application.add_route('POST', '/debug/faults', self.set_faults)

    def set_faults(self, request):
        """Replace all link faults by those of the request body."""
        if not status.is_loopback(request.remote_addr):
            return wrappers.Response(
                'faults can only be set from a loopback address\n', 403
            )
        body = bodies.read_body(request, MAX_BYTES, BODY_SECONDS)
        self.faults = msgspec.json.decode(body, type=LinkFaults)
        self.link.set_fault(self.get_delays)
        return refusals.make_json({'cut': self.faults.cut})

    def get_delays(self, sender_id, receiver_id, message):
        """Return the delay of each copy of a message; empty drops it."""
        if receiver_id in self.faults.cut:
            return ()
        return (self.faults.delays.get(receiver_id, 0.0),)
