"""HTTP application: routing, request ids and drain."""

import functools
import time
import uuid

import logbook
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import errors
from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals

__all__ = ['Application', 'EntryRequest']

LOG = logbook.Logger('entry')
REQUEST_ID = 'X-Request-Id'
DRAIN_RETRY_AFTER_SECONDS = 1.0
MAX_BODY_BYTES = 256 << 20
BODY_TIMEOUT_SECONDS = 30.0

# Paths that are served while the host drains.
DRAIN_EXEMPT_PATHS = ('/livez', '/readyz', '/metrics')
DRAIN_EXEMPT_PREFIX = '/internal/'
SPACE = 0x20
DELETE = 0x7F


class EntryRequest(wrappers.Request):
    """A request of a caller.

    Attributes
    ----------
    request_id : str
        Id returned in the response header `X-Request-Id`.
    connection : connection.ConnectionHandler
        Connection of the caller.
    received_at : float
        Time of receipt, in monotonic seconds.
    account_id : str
        Client account, empty until the caller is authenticated.
    path_values : dict
        Values of the variable parts of the matched path.
    body_read : bool
        Whether the whole body was read.
    body_failed : bool
        Whether the body ended early or arrived too slowly.
    sink : dispatch.sink.CallerSink or None
        Relays the response of a call, once the call is started.
    """

    def __init__(self, connection, received_at, max_body, body_timeout):
        super().__init__(connection.environ, populate_request=False)
        self.max_body = max_body
        self.body_timeout = body_timeout
        self.body = None
        self.connection = connection
        self.request_id = uuid.uuid4().hex
        self.received_at = received_at
        self.path_values = {}
        self.account_id = ''
        self.body_read = False
        self.body_failed = False
        self.sink = None

    def get_data(self, *arguments, **options):
        """Return the body, within the limits of the application.

        Raises
        ------
        BodyRefused
            If the body is not accepted. The application responds with the
            refusal.
        """
        if self.body is None:
            body = bodies.read_body(self, self.max_body, self.body_timeout)
            if isinstance(body, codes.Refusal):
                raise BodyRefused(body)
            self.body = body
        return self.body

    @functools.cached_property
    def stream(self):
        """Body as a stream, for handlers that read it incrementally."""
        return bodies.open_stream(self)


class BodyRefused(Exception):
    """Error raised when the body of a request is not accepted.

    Parameters
    ----------
    refusal : codes.Refusal
        Refusal to send to the caller.
    """

    def __init__(self, refusal):
        super().__init__(refusal.reason)
        self.refusal = refusal


class Application:
    """Application that routes requests to handlers and sends responses.

    A handler takes an `EntryRequest` and returns a werkzeug response, or
    None if it has sent the response itself.

    Parameters
    ----------
    metrics : observe.metrics.Metrics
        Counters.
    max_body : int
        Maximum size in bytes of a body read by `EntryRequest.get_data`.
    body_timeout : float
        Time limit in seconds for receiving such a body.
    recorder : observe.timeline.Recorder or None
        Records each refusal with its reason.

    Attributes
    ----------
    fallback : callable or None
        Handler of paths that match no added route.
    """

    def __init__(
        self,
        metrics,
        max_body=MAX_BODY_BYTES,
        body_timeout=BODY_TIMEOUT_SECONDS,
        recorder=None,
    ):
        self.metrics = metrics
        self.recorder = recorder
        self.max_body = max_body
        self.body_timeout = body_timeout
        self.fallback = None
        self.rules = routing.Map(
            strict_slashes=False, merge_slashes=False, redirect_defaults=False
        )
        self.handlers = {}
        self.draining = False
        self.readiness_checks = []

    def add_route(self, method, path, handler):
        """Add a handler.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path, with variable parts as in werkzeug: `/v1/batches/<job_id>`.
            Their values are in `request.path_values`.
        handler : callable
            `handler(request)` returns a response.
        """
        endpoint = (method, path)
        self.handlers[endpoint] = handler
        self.rules.add(routing.Rule(path, methods=[method], endpoint=endpoint))

    def add_readiness_check(self, check):
        """Add a check that returns why the host is not ready, or ''."""
        self.readiness_checks.append(check)

    def get_unready_reason(self):
        """Return why the host is not ready, or an empty string."""
        if self.draining:
            return 'draining'
        for check in self.readiness_checks:
            reason = check()
            if reason:
                return reason
        return ''

    def drain(self):
        """Report not ready and refuse new requests from now on."""
        self.draining = True

    def serve(self, connection):
        """Serve one request of a connection."""
        request = EntryRequest(
            connection, time.monotonic(), self.max_body, self.body_timeout
        )
        connection.set_read_deadline(self.body_timeout)
        try:
            response = self.get_response(request)
        except BodyRefused as error:
            response = self.refuse(request, error.refusal)
        except Exception as error:
            self.metrics.count('entry_faults_total')
            LOG.error(
                'event=handler_fault request_id={} {}',
                request.request_id,
                errors.describe_exception(error),
            )
            if request.sink is not None and request.sink.started:
                connection.close_connection = True
                return
            response = self.refuse(
                request,
                errors.make_refusal(
                    'INTERNAL', 'internal error', codes.Ran.UNKNOWN
                ),
            )
        if response is None:
            return
        has_unread = not bodies.discard_body(request)
        if has_unread or self.draining:
            connection.close_connection = True
        response.headers[REQUEST_ID] = request.request_id
        connection.write_response(response)
        if has_unread and not request.body_failed:
            connection.linger()

    def send_malformed(self, connection, reason):
        """Respond to a request whose head is malformed."""
        refusal = errors.make_refusal('MALFORMED_BODY', reason)
        self.metrics.count('entry_refusals_total', code='MALFORMED_BODY')
        response = refusals.make_response(refusal, uuid.uuid4().hex)
        connection.close_connection = True
        connection.write_response(response)
        connection.linger()

    def refuse(self, request, refusal):
        """Count a refusal and return its response."""
        name = refusal.code.name
        self.metrics.count('entry_refusals_total', code=name)
        if self.recorder is not None:
            self.recorder.record(
                'request_refused',
                f'{name}: {refusal.reason}',
                request_id=request.request_id,
                account_id=request.account_id,
            )
        return refusals.make_response(refusal, request.request_id)

    def get_response(self, request):
        """Return the response of the handler or for a refusal."""
        path = request.path
        if self.draining and not is_drain_exempt(path):
            refusal = errors.make_refusal(
                'DRAINING',
                'this host is shutting down',
                retry_after=DRAIN_RETRY_AFTER_SECONDS,
            )
            return self.refuse(request, refusal)
        if not is_unambiguous_path(
            request.environ.get('REQUEST_URI', ''), path
        ):
            refusal = errors.make_refusal(
                'ROUTE_UNKNOWN',
                'the path has an empty or dot segment, a backslash, '
                'or a character that is not allowed',
            )
            return self.refuse(request, refusal)
        handler = self.find_handler(request)
        if isinstance(handler, codes.Refusal):
            return self.refuse(request, handler)
        return handler(request)

    def find_handler(self, request):
        """Return the handler of a request or a refusal."""
        adapter = self.rules.bind('entry')
        try:
            endpoint, values = adapter.match(request.path, request.method)
        except exceptions.MethodNotAllowed:
            return errors.make_refusal(
                'METHOD_NOT_ALLOWED', 'the path does not support this method'
            )
        except exceptions.HTTPException:
            if self.fallback is not None:
                return self.fallback
            return errors.make_refusal('ROUTE_UNKNOWN', 'no such path')
        request.path_values = values
        return self.handlers[endpoint]


def is_drain_exempt(path):
    """Return whether a path is served while the host drains."""
    return path in DRAIN_EXEMPT_PATHS or path.startswith(DRAIN_EXEMPT_PREFIX)


def is_unambiguous_path(raw, path):
    """Return whether a path has the same meaning here and at an endpoint."""
    if not path.startswith('/') or '\\' in path or '//' in path:
        return False
    if any(part in ('.', '..') for part in path.split('/')):
        return False
    return all(SPACE < ord(character) < DELETE for character in raw) and all(
        ord(character) >= SPACE for character in path
    )
