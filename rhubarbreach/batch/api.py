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
from rhubarbreach.entry import refusals
from rhubarbreach.state import jobcommands

__all__ = ['BatchApi', 'make_job_id']

PREFIX = '/v1/batches'
JSON = 'application/json'
JSON_LINES = 'application/jsonl'
# Seconds for one exchange with the store.
EXCHANGE_TIMEOUT = 10.0
# Seconds for storing all chunks of an upload.
SUBMIT_TIMEOUT = 60.0
PAGE = (2000, 400 * 1024)
LIST_LIMIT = 20
MAX_LIST_LIMIT = 100
MAX_ATTEMPTS = 4
# Milliseconds until a failed item is tried again; with the factor of the
# job groups the attempts of an item spread over half a minute.
RETRY_DELAY = 1000
MILLISECONDS = 1000

Code = codes.ResultCode
State = jobcommands.ItemState
RESULT_DECODER = msgspec.msgpack.Decoder(jobcommands.StoredResult)


def make_job_id(account_id, client_id):
    """Return the id of a job from the id that its client chose.

    The account is part of the digest, so that two accounts may choose the
    same id.
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
        `identify(request)` returns a `Caller` or a `Refusal`;
        `find_route(caller, method, path)` a `JobRoute` or a `Refusal`;
        `has_model(model_id)` a bool. See `batch.access.Access`.
    settings : JobSettings
        Bounds of jobs.
    stop_job : callable
        `stop_job(job_id, holders)` tells the hosts that held claims of a
        cancelled job.
    """

    def __init__(self, store, access, settings, stop_job):
        self.store = store
        self.access = access
        self.settings = settings
        self.stop_job = stop_job

    def add_routes(self, application):
        """Add the routes to the application."""
        one = PREFIX + '/<job_id>'
        for method, path, handler in (
            ('POST', PREFIX, self.create),
            ('GET', PREFIX, self.list),
            ('GET', one, self.show),
            ('GET', one + '/results', self.show_results),
            ('GET', one + '/errors', self.show_errors),
            ('POST', one + '/cancel', self.cancel),
        ):
            application.add_route(method, path, self.guard(handler))

    def guard(self, handler):
        """Return a handler that is called with the caller."""

        def handle(request):
            caller = self.access.identify(request)
            if isinstance(caller, codes.Refusal):
                return make_error(request, caller)
            return handler(request, caller)

        return handle

    def create(self, request, caller):
        """Store a job; the same job sent again is returned."""
        client_id = request.headers.get(
            'Idempotency-Key', request.args.get('job_id', '')
        )
        parser = upload.UploadParser(
            lambda method, path: self.access.find_route(caller, method, path),
            self.access.has_model,
            self.settings.max_items,
        )
        try:
            checked = upload.read_upload(
                streaming.open_body(request), parser, self.settings.max_body
            )
        except (OSError, http_exceptions.HTTPException):
            reason = 'the connection ended within the body'
            checked = codes.Refusal(Code.BODY_INCOMPLETE, reason)
        if isinstance(checked, codes.Refusal):
            return make_error(request, checked)
        begin = self.make_begin(caller, client_id or uuid.uuid4().hex, checked)
        status = self.store.submit(
            begin,
            checked.custom_ids,
            checked.bodies,
            clock.monotonic() + SUBMIT_TIMEOUT,
        )
        if isinstance(status, codes.Refusal):
            return make_error(request, status)
        return refusals.make_json(describe_job(status))

    def make_begin(self, caller, client_id, checked):
        """Return the command that opens a job."""
        return jobcommands.BeginJob(
            make_job_id(caller.account_id, client_id),
            caller.account_id,
            client_id,
            checked.digest,
            checked.method,
            checked.path,
            checked.target,
            len(checked.bodies),
            checked.idempotent,
            caller.weight,
            MAX_ATTEMPTS,
            RETRY_DELAY,
            int(self.settings.retention * MILLISECONDS),
            time.time(),
        )

    def list(self, request, caller):
        """Return jobs of the account, a page at a time."""
        limit = request.args.get('limit', LIST_LIMIT, type=int)
        limit = max(1, min(limit, MAX_LIST_LIMIT))
        found = self.store.list_jobs(
            caller.account_id, request.args.get('after', ''), limit, soon()
        )
        if isinstance(found, codes.Refusal):
            return make_error(request, found)
        return refusals.make_json(
            {
                'object': 'list',
                'data': [describe_job(status) for status in found],
                'has_more': len(found) == limit,
            }
        )

    def show(self, request, caller):
        """Return the status of a job."""
        status = self.store.get_job(
            get_job_id(request), caller.account_id, soon()
        )
        if isinstance(status, codes.Refusal):
            return make_error(request, status)
        return refusals.make_json(describe_job(status))

    def show_results(self, request, caller):
        """Stream the final items of a job."""
        return self.stream_rows(request, caller, False)

    def show_errors(self, request, caller):
        """Stream the final items without a result."""
        return self.stream_rows(request, caller, True)

    def stream_rows(self, request, caller, failed):
        """Stream final items; the first page decides the status."""
        pages = self.store.read_pages(
            get_job_id(request), caller.account_id, failed, PAGE, soon
        )
        first = next(pages)
        if isinstance(first, codes.Refusal):
            return make_error(request, first)
        lines = make_lines(itertools.chain((first,), pages))
        return streaming.send_lines(request, JSON_LINES, lines)

    def cancel(self, request, caller):
        """Cancel a job."""
        job_id = get_job_id(request)
        reply = self.store.cancel(job_id, caller.account_id, soon())
        if isinstance(reply, codes.Refusal):
            return make_error(request, reply)
        self.stop_job(job_id, reply.holders)
        return refusals.make_json(describe_job(reply.status))


def soon():
    """Return the deadline of an exchange that begins now."""
    return clock.monotonic() + EXCHANGE_TIMEOUT


def get_job_id(request):
    """Return the job id in the path of a request."""
    return request.path.split('/')[3]


def describe_job(status):
    """Return the JSON object of a job."""
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


def make_lines(pages):
    """Yield the JSON Lines of result pages.

    Raises
    ------
    ConnectionAbortedError
        If a later page cannot be read, so that the answer ends as
        incomplete.
    """
    for page in pages:
        if isinstance(page, codes.Refusal):
            raise ConnectionAbortedError(page.reason)
        yield b''.join(encode_line(describe_row(row)) for row in page.rows)


def encode_line(value):
    """Return one JSON line."""
    return msgspec.json.encode(value) + b'\n'


def describe_row(row):
    """Return the JSON object of a final item."""
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
    """Return a JSON body as it is, any other body as text."""
    if stored.content_type.startswith(JSON):
        try:
            json.loads(stored.body)
        except ValueError:
            pass
        else:
            return msgspec.Raw(stored.body)
    return stored.body.decode('utf-8', 'replace')


def make_error(request, refusal):
    """Return the response of a refusal."""
    return refusals.make_response(refusal, getattr(request, 'request_id', ''))
