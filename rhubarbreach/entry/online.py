"""Handling of online requests, from authentication to the response."""

import dataclasses
import hashlib
import math
import time

from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import call as call_module
from rhubarbreach.dispatch import errors
from rhubarbreach.entry import access
from rhubarbreach.entry import bodies
from rhubarbreach.entry import completions
from rhubarbreach.entry import records as records_module
from rhubarbreach.entry import refusals
from rhubarbreach.entry import routes
from rhubarbreach.entry import streams
from rhubarbreach.scheduling import work

__all__ = ['OnlineHandlers']

COMPLETION_PATHS = ('/v1/chat/completions', '/v1/completions')
JSON_HEADERS = (('Content-Type', 'application/json'),)
FORWARDED_HEADERS = ('Content-Type', 'Accept')
DEADLINE_HEADER = 'X-Deadline-Ms'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
MAX_KEY_CHARACTERS = 255
MILLISECONDS_PER_SECOND = 1000
DIGEST_BYTES = 16

# A request with less time left is refused before it is queued.
MIN_REMAINING_SECONDS = 0.005
RECORD_POLL_INTERVAL_SECONDS = 0.05
MAX_RECORD_POLL_INTERVAL_SECONDS = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that has passed admission control.

    Parameters
    ----------
    call : dispatch.call.Call
        Call to run.
    key : str
        Key of the request record, empty if the request is not recorded.
    """

    call: call_module.Call
    key: str


class OnlineHandlers:
    """Handlers of completions, models, services and recorded results.

    Parameters
    ----------
    application : app.Application
        Application to which the routes are added.
    view : distribution.view.ConfigView
        Configuration and keys.
    limiter : limits.shares.RateLimiter
        Rate limits of the client accounts.
    executor : dispatch.executor.Executor
        Runs calls.
    records : object
        Request records, see `entry.records`.
    settings : settings.model.RequestSettings
        Limits of requests.
    """

    def __init__(
        self, application, view, limiter, executor, records, settings
    ):
        self.application = application
        self.view = view
        self.limiter = limiter
        self.executor = executor
        self.records = records
        self.settings = settings
        for path in COMPLETION_PATHS:
            application.add_route('POST', path, self.handle)
        application.add_route('GET', '/v1/models', self.list_models)
        application.add_route(
            'GET', '/v1/requests/<path:key>', self.get_record
        )
        application.fallback = self.handle

    def handle(self, request):
        """Handle a completion request or a call of a service."""
        admitted = self.admit(request)
        if isinstance(admitted, codes.Refusal):
            return self.application.refuse(request, admitted)
        if not admitted.key:
            return self.run(request, admitted.call, recorded=False)[1]
        return self.run_recorded(request, admitted)

    def admit(self, request):
        """Check a request; return an `AdmittedRequest` or a refusal."""
        config = self.view.snapshot
        route = routes.find_route(config, request.path)
        if route is None:
            return errors.make_refusal('ROUTE_UNKNOWN', 'no such path')
        account_id = self.authorize_caller(request, route)
        if isinstance(account_id, codes.Refusal):
            return account_id
        body = bodies.read_body(
            request, self.settings.max_body, self.settings.body_timeout
        )
        if isinstance(body, codes.Refusal):
            return body
        deadline = get_deadline(request, route)
        if isinstance(deadline, codes.Refusal):
            return deadline
        key = get_record_key(request, route)
        if isinstance(key, codes.Refusal):
            return key
        call = self.make_call(request, route, config, body, deadline)
        if isinstance(call, codes.Refusal):
            return call
        refusal = self.check_rate(account_id)
        if refusal is not None:
            return refusal
        account = routes.find_account(config, account_id)
        weight = account.weight if account is not None else 1.0
        call = dataclasses.replace(call, account_id=account_id, weight=weight)
        return AdmittedRequest(call, key)

    def authorize_caller(self, request, route):
        """Authorize a caller; return its account id, or a refusal."""
        if route.open:
            return ''
        identity = access.authenticate(self.view, request, time.monotonic())
        if isinstance(identity, codes.Refusal):
            return identity
        refusal = access.check_route(route, identity)
        return identity.account_id if refusal is None else refusal

    def check_rate(self, account_id):
        """Return a refusal if an account exceeds its rate limit, else None."""
        if not account_id:
            return None
        return self.limiter.acquire(account_id, 1.0, time.monotonic())

    def make_call(self, request, route, config, body, deadline):
        """Create the call of a request; return it or a refusal."""
        call = call_module.Call(
            request_id=request.request_id,
            account_id='',
            lane=work.Lane.ONLINE,
            model_id=route.target,
            method=request.method,
            path=request.environ['REQUEST_URI'],
            body=body,
            stream=False,
            idempotent=route.idempotent,
            deadline=deadline,
            headers=select_headers(request),
        )
        if route.kind == 'service':
            return call
        if request.method != 'POST':
            return errors.make_refusal(
                'METHOD_NOT_ALLOWED', 'the path supports only POST'
            )
        fields = completions.decode_completion(body)
        if isinstance(fields, codes.Refusal):
            return fields
        if not routes.has_model(config, fields.model):
            return errors.make_refusal('MODEL_UNKNOWN', 'no such model')
        return dataclasses.replace(
            call,
            model_id=fields.model,
            path=request.path,
            headers=JSON_HEADERS,
            stream=bool(fields.stream),
            cost=completions.estimate_cost(fields, body),
        )

    def run(self, request, call, recorded):
        """Run a call; return its result and the response to send, if any."""
        result, sent = streams.run_watched(
            self.executor, call, request, recorded
        )
        elapsed = time.monotonic() - request.received_at
        self.application.metrics.observe('entry_request_seconds', elapsed)
        if sent:
            return result, None
        if isinstance(result, codes.Refusal):
            return result, self.application.refuse(request, result)
        return result, make_response(result)

    def run_recorded(self, request, admitted):
        """Run a call at most once, or return its recorded response."""
        call = admitted.call
        fingerprint = make_fingerprint(call)
        record = self.records.reserve(
            call.account_id, admitted.key, fingerprint, call.deadline
        )
        if isinstance(record, records_module.Running):
            record = self.wait_for_record(call, admitted.key)
        if isinstance(record, codes.Refusal):
            return self.application.refuse(request, record)
        if isinstance(record, records_module.Completed):
            return make_response(record)
        token = record.token
        try:
            result, response = self.run(request, call, recorded=True)
        except BaseException:
            self.records.mark_unknown(call.account_id, admitted.key, token)
            raise
        refusal = self.store_outcome(call, admitted.key, token, result)
        if refusal is not None and response is not None:
            self.application.metrics.count('entry_records_lost_total')
        return response

    def store_outcome(self, call, key, token, result):
        """Record the outcome of a reserved call."""
        refusal = result
        if isinstance(result, call_module.CallResult):
            refusal = result.refusal
        if refusal is None:
            completed = records_module.Completed(
                result.status, result.content_type, result.body
            )
            return self.records.complete(
                call.account_id, key, token, completed, call.deadline
            )
        if refusal.ran is codes.Ran.NO:
            return self.records.abandon(call.account_id, key, token)
        return self.records.mark_unknown(call.account_id, key, token)

    def wait_for_record(self, call, key):
        """Wait until an identical request has ended; return its record."""
        delay = RECORD_POLL_INTERVAL_SECONDS
        while True:
            record = self.records.get(call.account_id, key)
            if not isinstance(record, records_module.Running):
                return record
            if time.monotonic() + delay >= call.deadline:
                return errors.make_refusal(
                    'DEADLINE_EXCEEDED',
                    'an identical request is still running',
                    codes.Ran.UNKNOWN,
                )
            time.sleep(delay)
            delay = min(MAX_RECORD_POLL_INTERVAL_SECONDS, delay * 2)

    def get_record(self, request):
        """Return the recorded response to an earlier request."""
        identity = access.authenticate(self.view, request, time.monotonic())
        key = request.path_values['key']
        if not isinstance(identity, codes.Refusal):
            record = self.records.get(identity.account_id, key)
        elif access.get_key(request) is None:
            # Requests on open routes have no account.
            record = self.records.get('', key)
            if is_missing(record):
                record = identity
        else:
            record = identity
        if isinstance(record, codes.Refusal):
            return self.application.refuse(request, record)
        if isinstance(record, records_module.Running):
            response = refusals.make_json({'state': 'running'}, 202)
            response.headers['Retry-After'] = '1'
            return response
        return make_response(record)

    def list_models(self, request):
        """Return the models of the configuration."""
        identity = access.authenticate(self.view, request, time.monotonic())
        if isinstance(identity, codes.Refusal):
            return self.application.refuse(request, identity)
        models = [
            {'id': model.model_id, 'object': 'model', 'owned_by': ''}
            for model in self.view.snapshot.models
        ]
        return refusals.make_json({'object': 'list', 'data': models})


def is_missing(record):
    """Return whether the look-up of a record found none."""
    missing = codes.ResultCode.NOT_FOUND
    return isinstance(record, codes.Refusal) and record.code is missing


def get_deadline(request, route):
    """Return the monotonic deadline of a request, or a refusal."""
    seconds = route.timeout
    text = request.headers.get(DEADLINE_HEADER)
    if text is not None:
        try:
            requested = float(text) / MILLISECONDS_PER_SECOND
        except ValueError:
            requested = math.nan
        if not math.isfinite(requested):
            return errors.make_refusal(
                'MALFORMED_BODY', f'{DEADLINE_HEADER} is not a finite number'
            )
        seconds = min(seconds, requested)
    deadline = request.received_at + seconds
    if deadline - time.monotonic() < MIN_REMAINING_SECONDS:
        return errors.make_refusal(
            'DEADLINE_TOO_SHORT',
            f'less than {MIN_REMAINING_SECONDS} s is left before the deadline',
            retry_after=1.0,
        )
    return deadline


def get_record_key(request, route):
    """Return the record key of a request ('' for none), or a refusal."""
    key = request.headers.get(IDEMPOTENCY_HEADER, '')
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        return errors.make_refusal(
            'MALFORMED_BODY',
            f'{IDEMPOTENCY_HEADER} is not printable or has more than '
            f'{MAX_KEY_CHARACTERS} characters',
        )
    if key:
        return key
    if route.record == 'all' or not route.idempotent:
        return request.request_id
    return ''


def select_headers(request):
    """Return the headers that are forwarded to endpoints."""
    return tuple(
        (name, request.headers[name])
        for name in FORWARDED_HEADERS
        if request.headers.get(name, '').isprintable()
        and request.headers.get(name)
    )


def make_fingerprint(call):
    """Return a digest of the method, path and body of a call."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    digest.update(f'{call.method} {call.path}\n'.encode())
    digest.update(call.body)
    return digest.digest()


def make_response(result):
    """Return the unchanged result of an endpoint or record as a response."""
    response = wrappers.Response(result.body, result.status)
    response.headers['Content-Type'] = result.content_type or 'text/plain'
    return response
