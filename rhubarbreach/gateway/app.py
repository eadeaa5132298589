"""What an entry host does with a request."""

import dataclasses

from rhubarbreach.backlog import commands
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.gateway import forward
from rhubarbreach.gateway import model

__all__ = ['App']

LOG = eventlog.Logger('gateway')

# A host without a valid configuration is back in touch after an election.
RETRY_AFTER_SECONDS = 0.5
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502


class App:
    """Handler of an entry host's callers.

    Parameters
    ----------
    member : Member
        Configuration and rates.
    view : View
        Endpoints.
    jobs : Jobs
        Calls on the ledger.
    dialect : object
        Translates headers and bodies.
    metrics : Metrics
        Counters and latencies.
    """

    def __init__(self, member, view, jobs, dialect, metrics):
        self.member = member
        self.view = view
        self.jobs = jobs
        self.dialect = dialect
        self.metrics = metrics
        self.draining = False

    def get_limits(self):
        """Return the limits of callers in force."""
        index = self.member.index
        return (
            catalogs.DEFAULT_LIMITS if index is None else index.catalog.limits
        )

    def is_ready(self):
        """Return whether callers should come to this host."""
        now = clock.monotonic()
        return (
            not self.draining
            and self.member.index is not None
            and self.member.is_fresh(now)
        )

    def is_closing(self, connection):
        """Return whether an answer is the last one of a connection.

        A host that has lost its leader sends its callers elsewhere.
        """
        return (
            self.draining
            or not connection.keep_alive
            or not self.member.is_fresh(clock.monotonic())
        )

    def handle(self, connection, request):
        """Answer a request."""
        began = clock.monotonic()
        info = self.dialect.decode_call(request)
        try:
            result = self.serve(connection, request, info)
        except exceptions.MessageError as error:
            result = codes.Refusal(codes.ResultCode.MALFORMED_BODY, str(error))
        self.metrics.count('requests_total')
        self.metrics.observe('request_seconds', clock.monotonic() - began)
        if isinstance(result, codes.Refusal):
            self.refuse(connection, info, result, began)

    def refuse(self, connection, info, refusal, began):
        """Tell a caller why its request was not carried out."""
        status = get_status(refusal)
        self.metrics.count('refusals_total', code=int(refusal.code))
        LOG.info(
            'event=refused request={} code={} status={} ran={} seconds={:.3f} '
            'version={} age={:.3f} reason={!r}',
            info.request_id,
            int(refusal.code),
            status,
            refusal.ran,
            clock.monotonic() - began,
            0 if self.member.index is None else self.member.index.version,
            clock.monotonic() - self.member.confirmed,
            refusal.reason,
        )
        headers = []
        if status in (429, NOT_RUN_STATUS):
            seconds = refusal.retry_after or RETRY_AFTER_SECONDS
            headers.append((b'Retry-After', b'%.2f' % seconds))
        if self.is_closing(connection):
            connection.keep_alive = False
        connection.answer(status, headers)

    def serve(self, connection, request, info):
        """Answer a request, or return the refusal."""
        now = clock.monotonic()
        index = self.member.index
        if index is None:
            began = now
            index = self.member.wait_index(began)
            now = clock.monotonic()
            if info.allowed is not None:
                allowed = max(0.0, info.allowed - (now - began))
                info = dataclasses.replace(info, allowed=allowed)
        if index is None:
            return codes.Refusal(
                codes.ResultCode.CONFIG_STALE, 'no configuration is known'
            )
        route = index.find_route(info.host, request.path)
        call = None
        if route is None:
            call = self.dialect.decode_job_call(request)
            if call is None:
                return self.deny(codes.ResultCode.ROUTE_UNKNOWN, 'no route')
        account = None
        public = route is not None and route.public
        if index.catalog.has_accounts and not public:
            if now > self.member.valid_until:
                return codes.Refusal(
                    codes.ResultCode.CONFIG_STALE,
                    'the configuration is too old to trust a key',
                )
            account = index.find_account(info.key)
            if account is None:
                return self.deny(codes.ResultCode.KEY_UNKNOWN, 'unknown key')
        name = '' if account is None else account.name
        if call is not None:
            return self.serve_job_call(connection, name, call)
        if route.kind is catalogs.RouteKind.BATCH:
            return self.serve_submission(
                connection, request, info, route, name
            )
        if account is not None and not self.member.take_request(account):
            return codes.Refusal(
                codes.ResultCode.RATE_EXCEEDED,
                f'rate of {account.name} is spent',
            )
        forwarding = forward.Forwarding(
            self, connection, request, info, route, account
        )
        return forwarding.run()

    def deny(self, code, reason):
        """Refuse for good only by a configuration that is up to date."""
        if self.member.is_fresh(clock.monotonic()):
            return codes.Refusal(code, reason)
        return codes.Refusal(
            codes.ResultCode.CONFIG_STALE, f'{reason}, but it may be newer'
        )

    def serve_submission(self, connection, request, info, route, account):
        """Accept a batch job."""
        items = self.dialect.decode_items(request)
        reply = self.jobs.submit(info, account, route, items, request.path)
        match reply:
            case commands.Done():
                connection.answer(202)
                return None
            case commands.WaitingFull(waiting=waiting):
                return codes.Refusal(
                    codes.ResultCode.RATE_EXCEEDED,
                    f'{waiting} tokens of {account} wait already',
                    retry_after=1.0,
                )
            case commands.JobNotFound():
                return codes.Refusal(
                    codes.ResultCode.JOB_CONFLICT, 'the id is taken'
                )
        return reply

    def serve_job_call(self, connection, account, call):
        """Answer a call on a batch job."""
        match call:
            case model.JobResultsCall(job_id=job_id, after=after):
                reply = self.jobs.read_results(account, job_id, after)
            case model.JobBodyCall(job_id=job_id, item_id=item_id):
                reply = self.jobs.read_body(account, job_id, item_id)
            case model.JobEndCall(job_id=job_id):
                reply = self.jobs.end(account, job_id)
        match reply:
            case commands.Results():
                body = self.dialect.encode_results(reply, call.after)
                headers = ((b'Content-Type', b'application/json'),)
                connection.answer(200, headers, body)
            case commands.Body(body=body):
                connection.answer(200, (), body)
            case commands.Done():
                connection.answer(200)
            case commands.JobNotFound():
                return codes.Refusal(
                    codes.ResultCode.NOT_FOUND, 'no such job or item'
                )
            case codes.Refusal():
                return reply
        return None


def get_status(refusal):
    """Return the status of a refusal.

    Only statuses that promise it may say that a request has not run.
    """
    status = codes.HTTP_STATUS[refusal.code]
    if refusal.ran != codes.Ran.NO and status in (429, NOT_RUN_STATUS):
        return UNKNOWN_STATUS
    return status
