"""Handlers for load balancers, metrics scrapers and announcements."""

import ipaddress

import msgspec
from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import errors
from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals
from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['StatusHandlers', 'is_loopback']

MAX_ANNOUNCEMENT_BYTES = 64 * 1024
ANNOUNCEMENT_TIMEOUT_SECONDS = 2.0
TEXT = 'text/plain; charset=utf-8'
DECODER = msgspec.json.Decoder(dict)


def is_loopback(address):
    """Return whether an address is on the loopback interface."""
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False


class StatusHandlers:
    """Handlers of routes that require no key.

    Parameters
    ----------
    application : app.Application
        Application to which the routes are added.
    metrics : observe.metrics.Metrics
        Metrics returned at `/metrics`.
    announce : callable
        `announce(announcement, address)` takes the decoded announcement, a
        dict, and the address of the sender; returns the reply as a dict or
        a `codes.Refusal`.
    is_trusted : callable
        `is_trusted(address)` returns whether announcements from an address
        are accepted.
    """

    def __init__(self, application, metrics, announce, is_trusted=is_loopback):
        self.application = application
        self.metrics = metrics
        self.announce = announce
        self.is_trusted = is_trusted
        application.add_route('GET', '/livez', self.get_live)
        application.add_route('GET', '/readyz', self.get_ready)
        application.add_route('GET', '/metrics', self.get_metrics)
        application.add_route(
            'POST', '/internal/announce', self.receive_announcement
        )

    def get_live(self, request):
        """Report that the process is alive."""
        return wrappers.Response('ok\n', content_type=TEXT)

    def get_ready(self, request):
        """Report whether load balancers may send requests to this host."""
        reason = self.application.get_unready_reason()
        if reason:
            return wrappers.Response(reason + '\n', 503, content_type=TEXT)
        return wrappers.Response('ok\n', content_type=TEXT)

    def get_metrics(self, request):
        """Return all metrics as text."""
        return wrappers.Response(self.metrics.render(), content_type=TEXT)

    def receive_announcement(self, request):
        """Process the announcement of an endpoint."""
        if not self.is_trusted(request.remote_addr):
            refusal = errors.make_refusal(
                'NOT_PERMITTED',
                f'announcements are not accepted from {request.remote_addr}',
            )
            return self.application.refuse(request, refusal)
        body = bodies.read_body(
            request, MAX_ANNOUNCEMENT_BYTES, ANNOUNCEMENT_TIMEOUT_SECONDS
        )
        if isinstance(body, codes.Refusal):
            return self.application.refuse(request, body)
        try:
            announcement = serialization.decode_json(DECODER, body)
        except exceptions.MessageError:
            refusal = errors.make_refusal(
                'MALFORMED_BODY', 'the announcement is not a JSON object'
            )
            return self.application.refuse(request, refusal)
        reply = self.announce(announcement, request.remote_addr)
        if isinstance(reply, codes.Refusal):
            return self.application.refuse(request, reply)
        return refusals.make_json(reply)
