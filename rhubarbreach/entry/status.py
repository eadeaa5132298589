"""Handlers for the load balancer, scrapers and announcing endpoints."""

import ipaddress

import msgspec
from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import errors
from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals

__all__ = ['StatusHandlers', 'is_loopback']

ANNOUNCE_BYTES = 64 * 1024
ANNOUNCE_SECONDS = 2.0
TEXT = 'text/plain; charset=utf-8'


def is_loopback(address):
    """Return whether an address is on the loopback interface."""
    try:
        return ipaddress.ip_address(address).is_loopback
    except ValueError:
        return False


class StatusHandlers:
    """Handlers that need no key.

    Parameters
    ----------
    application : app.Application
        Gets the routes.
    metrics : observe.metrics.Metrics
        Shown under `/metrics`.
    announce : callable
        `announce(announcement, address)` with the decoded announcement, a
        dict, and the address of the sender; returns the dict to answer with
        or a `codes.Refusal`.
    is_trusted : callable
        `is_trusted(address)` says whether announcements from an address are
        taken.
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
            'POST', '/internal/announce', self.take_announcement
        )

    def get_live(self, request):
        """Answer that the process serves."""
        return wrappers.Response('ok\n', content_type=TEXT)

    def get_ready(self, request):
        """Answer whether the load balancer may send requests here."""
        reason = self.application.get_unready()
        if reason:
            return wrappers.Response(reason + '\n', 503, content_type=TEXT)
        return wrappers.Response('ok\n', content_type=TEXT)

    def get_metrics(self, request):
        """Return all metrics as text."""
        return wrappers.Response(self.metrics.render(), content_type=TEXT)

    def take_announcement(self, request):
        """Pass an announcement of an endpoint on."""
        if not self.is_trusted(request.remote_addr):
            refusal = errors.make_refusal(
                'NOT_PERMITTED', 'announcements are not taken from here'
            )
            return self.application.refuse(request, refusal)
        body = bodies.read_body(request, ANNOUNCE_BYTES, ANNOUNCE_SECONDS)
        if isinstance(body, codes.Refusal):
            return self.application.refuse(request, body)
        try:
            announcement = msgspec.json.decode(body, type=dict)
        except msgspec.DecodeError:
            refusal = errors.make_refusal(
                'MALFORMED_BODY', 'the announcement is not a JSON object'
            )
            return self.application.refuse(request, refusal)
        reply = self.announce(announcement, request.remote_addr)
        if isinstance(reply, codes.Refusal):
            return self.application.refuse(request, reply)
        return refusals.make_json(reply)
