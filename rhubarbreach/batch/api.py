"""HTTP routes of batch jobs under /v1/batches."""

import hashlib
import itertools
import json
import time
import uuid

import msgspec
from werkzeug import exceptions as http_exceptions

from rhubarbreach.batch import streaming
from rhubarbreach.batch import upload
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.entry import bodies
from rhubarbreach.entry import refusals
from rhubarbreach.state import jobcommands
from rhubarbreach.web import errors as web_errors

__all__ = ['BatchApi', 'make_job_id']

PREFIX = '/v1/batches'
JSON = 'application/json'
JSON_LINES = 'application/jsonl'
# Time limit of one command or query to a job group.
EXCHANGE_TIMEOUT_SECONDS = 10.0
# Time limit for storing all chunks of an upload.
SUBMIT_TIMEOUT_SECONDS = 60.0
# Maximum items and bytes of a page of results.
RESULTS_PAGE = (2000, 400 * 1024)
DEFAULT_LIST_LIMIT = 20
MAX_LIST_LIMIT = 100
MAX_ATTEMPTS = 4
# Delay before the first retry of a failed item. With the backoff factor of
# the job groups, the attempts of an item spread over half a minute.
RETRY_DELAY_MS = 1000
MILLISECONDS_PER_SECOND = 1000

Code = codes.ResultCode
State = jobcommands.ItemState
RESULT_DECODER = msgspec.msgpack.Decoder(jobcommands.StoredResult)


def make_job_id(account_id, client_id):
    """Return the job id for an id that the client chose.

    The digest includes the account, so that two accounts may choose the same
    id.
    """
    text = f'{account_id}\0{client_id}'.encode()
    return 'batch-' + hashlib.blake2b(text, digest_size=16).hexdigest()


class BatchApi:
    """Handlers of the job routes.

    Parameters
    ----------
    store : Store
        Client of the job groups.
    access : object
        `identify(request)` returns a `Caller` or a `Refusal`,
        `find_route(caller, method, path)` a `JobRoute` or a `Refusal`, and
        `has_model(model_id)` a bool. See `batch.access.Access`.
    settings : JobSettings
        Limits of jobs.
    stop_job : callable
        `stop_job(job_id, holders)` notifies the hosts that held claims of a
        cancelled job.
    """

    def __init__(self, store, access, settings, stop_job):
        self.store = store
        self.access = access
        self.settings = settings
        self.stop_job = stop_job

    def add_routes(self, application):
        """Register the routes with the application."""
        job_path = PREFIX + '/<job_id>'
        for method, path, handler in (
            ('POST', PREFIX, self.create),
            ('GET', PREFIX, self.list),
            ('GET', job_path, self.show),
            ('GET', job_path + '/results', self.show_results),
            ('GET', job_path + '/errors', self.show_errors),
            ('POST', job_path + '/cancel', self.cancel),
        ):
            application.add_route(method, path, self.authenticate(handler))

    def authenticate(self, handler):
        """Return a handler that authenticates the caller first."""

        def handle(request):
            caller = self.access.identify(request)
            if isinstance(caller, codes.Refusal):
                return make_error(request, caller)
            return handler(request, caller)

        return handle

    def create(self, request, caller):
        """Store a job, or return the one stored by an equal upload."""
        client_id = request.headers.get(
            'Idempotency-Key', request.args.get('job_id', '')
        )
        parser = upload.UploadParser(
            lambda method, path: self.access.find_route(caller, method, path),
            self.access.has_model,
            self.settings.max_items,
        )
        try:
            parsed = upload.read_upload(
                streaming.open_body(request),
                parser,
                self.settings.max_body,
                streaming.count_bytes(request),
            )
            streaming.keep_bytes(request)
        except web_errors.BadMessageError:
            request.body_failed = True
            parsed = bodies.refuse_held()
        except (OSError, http_exceptions.HTTPException):
            reason = 'the connection ended before the end of the body'
            parsed = codes.Refusal(Code.BODY_INCOMPLETE, reason)
            if streaming.is_ended(request):
                parsed = bodies.refuse_held()
        finally:
            streaming.end_turn(request)
        if isinstance(parsed, codes.Refusal):
            return make_error(request, parsed)
        begin = self.make_begin(caller, client_id or uuid.uuid4().hex, parsed)
        status = self.store.submit(
            begin,
            parsed.custom_ids,
            parsed.bodies,
            clock.monotonic() + SUBMIT_TIMEOUT_SECONDS,
        )
        if isinstance(status, codes.Refusal):
            return make_error(request, status)
        return refusals.make_json(describe_job(status))

    def make_begin(self, caller, client_id, parsed):
        """Return the command that creates a job."""
        return jobcommands.BeginJob(
            make_job_id(caller.account_id, client_id),
            caller.account_id,
            client_id,
            parsed.digest,
            parsed.method,
            parsed.path,
            parsed.target,
            len(parsed.bodies),
            parsed.idempotent,
            caller.weight,
            MAX_ATTEMPTS,
            RETRY_DELAY_MS,
            int(self.settings.retention * MILLISECONDS_PER_SECOND),
            time.time(),
        )

    def list(self, request, caller):
        """Return one page of the jobs of the account."""
        limit = request.args.get('limit', DEFAULT_LIST_LIMIT, type=int)
        limit = max(1, min(limit, MAX_LIST_LIMIT))
        statuses = self.store.list_jobs(
            caller.account_id,
            request.args.get('after', ''),
            limit,
            make_deadline(),
        )
        if isinstance(statuses, codes.Refusal):
            return make_error(request, statuses)
        return refusals.make_json(
            {
                'object': 'list',
                'data': [describe_job(status) for status in statuses],
                'has_more': len(statuses) == limit,
            }
        )

    def show(self, request, caller):
        """Return the status of a job."""
        status = self.store.get_job(
            get_job_id(request), caller.account_id, make_deadline()
        )
        if isinstance(status, codes.Refusal):
            return make_error(request, status)
        return refusals.make_json(describe_job(status))

    def show_results(self, request, caller):
        """Stream the items of a job that have ended."""
        return self.stream_rows(request, caller, False)

    def show_errors(self, request, caller):
        """Stream the items that ended without a successful result."""
        return self.stream_rows(request, caller, True)

    def stream_rows(self, request, caller, failed):
        """Stream items that have ended.

        The first page is read before the response begins, since the HTTP
        status depends on it.
        """
        pages = self.store.read_pages(
            get_job_id(request),
            caller.account_id,
            failed,
            RESULTS_PAGE,
            make_deadline,
        )
        first = next(pages)
        if isinstance(first, codes.Refusal):
            return make_error(request, first)
        lines = encode_pages(itertools.chain((first,), pages))
        return streaming.send_lines(request, JSON_LINES, lines)

    def cancel(self, request, caller):
        """Cancel a job."""
        job_id = get_job_id(request)
        reply = self.store.cancel(job_id, caller.account_id, make_deadline())
        if isinstance(reply, codes.Refusal):
            return make_error(request, reply)
        self.stop_job(job_id, reply.holders)
        return refusals.make_json(describe_job(reply.status))


def make_deadline():
    """Return the monotonic deadline of an exchange that begins now."""
    return clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS


def get_job_id(request):
    """Return the job id in the path of a request."""
    return request.path.split('/')[3]


def describe_job(status):
    """Return the JSON object that describes a job."""
    return {
        'id': status.job_id,
        'object': 'batch',
        'client_id': status.client_id,
        'status': status.state.value,
        'method': status.method,
        'url': status.path,
        'created_at': status.created_at,
        'counts': {
            'total': status.total,
            'done': status.done,
            'failed': status.failed,
            'unknown': status.unknown,
            'cancelled': status.cancelled,
        },
    }


def encode_pages(pages):
    """Yield the JSON Lines of result pages.

    Raises
    ------
    ConnectionAbortedError
        If a later page cannot be read. The response is then left incomplete.
    """
    for page in pages:
        if isinstance(page, codes.Refusal):
            raise ConnectionAbortedError(page.reason)
        yield b''.join(encode_line(describe_row(row)) for row in page.rows)


def encode_line(value):
    """Return a value as one JSON line."""
    return msgspec.json.encode(value) + b'\n'


def describe_row(row):
    """Return the JSON object that describes an item that has ended."""
    described = {
        'custom_id': row.custom_id,
        'status': row.state.name.lower(),
        'attempts': row.attempts,
        'response': None,
        'error': None,
    }
    code, reason = Code.CANCELLED, 'the job was cancelled'
    if row.state == State.UNKNOWN:
        code, reason = Code.OUTCOME_UNKNOWN, 'the item may have run'
    if row.result:
        stored = RESULT_DECODER.decode(row.result)
        code, reason = Code(stored.code), stored.reason
        if stored.status:
            described['response'] = {
                'status_code': stored.status,
                'body': parse_body(stored),
            }
    if row.state != State.DONE:
        described['error'] = {
            'code': int(code),
            'name': code.name,
            'message': reason,
        }
    return described


def parse_body(stored):
    """Return a JSON body unchanged and any other body as text."""
    if stored.content_type.startswith(JSON):
        try:
            json.loads(stored.body)
        except (ValueError, RecursionError):
            pass
        else:
            return msgspec.Raw(stored.body)
    return stored.body.decode('utf-8', 'replace')


def make_error(request, refusal):
    """Return the error response for a refusal."""
    return refusals.make_response(refusal, getattr(request, 'request_id', ''))
