"""Link faults that the bench sets over HTTP, where settings allow it."""

import msgspec
from werkzeug import wrappers

from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals
from rhubarbreach.entry import status

__all__ = ['FaultHandlers']

MAX_BYTES = 64 * 1024
BODY_SECONDS = 2.0


class LinkFaults(msgspec.Struct, frozen=True):
    """One-way delays in seconds and peers that cannot be reached."""

    delays: dict[str, float] = {}
    cut: tuple[str, ...] = ()


class FaultHandlers:
    """Handler of /debug/faults, for callers on the loopback address.

    Parameters
    ----------
    application : entry.app.Application
        Gets the route.
    link : protocol.link.Link
        Link whose messages are delayed or dropped.
    """

    def __init__(self, application, link):
        self.link = link
        self.faults = LinkFaults()
        application.add_route('POST', '/debug/faults', self.set_faults)

    def set_faults(self, request):
        """Replace the link faults."""
        if not status.is_loopback(request.remote_addr):
            return wrappers.Response('loopback only\n', 403)
        body = bodies.read_body(request, MAX_BYTES, BODY_SECONDS)
        self.faults = msgspec.json.decode(body, type=LinkFaults)
        self.link.set_fault(self.get_delays)
        return refusals.make_json({'cut': self.faults.cut})

    def get_delays(self, sender_id, receiver_id, message):
        """Return the delays of the copies of a message."""
        if receiver_id in self.faults.cut:
            return ()
        return (self.faults.delays.get(receiver_id, 0.0),)
