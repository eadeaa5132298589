"""Request handler of an entry host."""

import dataclasses

from rhubarbreach.backlog import commands
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.fleet import connector as connectors
from rhubarbreach.fleet import request_parts
from rhubarbreach.gateway import crash_checks
from rhubarbreach.gateway import forward
from rhubarbreach.gateway import hedges
from rhubarbreach.gateway import model
from rhubarbreach.gateway import waiting
from rhubarbreach import serialization
from rhubarbreach.web import memory
from rhubarbreach.web import transport

__all__ = ['App']

LOG = eventlog.Logger('gateway')

# Default retry time, about the duration of an election, after which a host
# without a valid configuration has a leader again.
RETRY_AFTER_SECONDS = 0.5
# Other hosts take the request at once.
STOP_RETRY_AFTER_SECONDS = 0.05
# Copies of a batch job while it is submitted: its command and the message to
# the leader.
JOB_COPIES = 2
NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
# Refusals that are answered with `NOT_RUN_STATUS` in place of a status 4xx.
TEMPORARY_CODES = (
    codes.ResultCode.QUARANTINED,
    codes.ResultCode.NOT_RESUMABLE,
)


class App:
    """Handler of the requests of callers.

    Parameters
    ----------
    leader_client : LeaderClient
        Configuration and rates received from the leader.
    view : View
        Endpoints and their loads.
    origins : OriginRecorder
        Origins of streams.
    jobs : Jobs
        Client of the batch job ledger.
    dialect : object
        Codec of headers and bodies.
    metrics : Metrics
        Counters and latencies.
    response_memory : MemoryPool
        Bounds the responses of endpoints that this host holds.
    judges_requests : bool
        Whether whole requests may be held back, as parts of their prompts.
    hedge_fraction : float
        Part of the requests that may be hedged, 0 for none.
    relay_port : int
        Port of the relays of all entry hosts, 0 if there are none.
    """

    def __init__(
        self,
        leader_client,
        view,
        origins,
        jobs,
        dialect,
        metrics,
        response_memory=memory.UNBOUNDED,
        judges_requests=True,
        hedge_fraction=0.0,
        relay_port=0,
    ):
        self.judges_requests = judges_requests
        self.leader_client = leader_client
        self.view = view
        self.origins = origins
        self.jobs = jobs
        self.dialect = dialect
        self.metrics = metrics
        self.response_memory = response_memory
        self.admission = waiting.AdmissionControl(view, leader_client, metrics)
        self.hedges = hedges.HedgeControl(view, metrics, hedge_fraction)
        self.connector = connectors.Connector(
            view.paths,
            leader_client.relays,
            relay_port,
            lambda: leader_client.has_leader,
        )
        self.crash_checks = crash_checks.CrashChecks(
            self.connector, leader_client, view.directory
        )
        self.draining = False
        # Monotonic times during a planned stop: from the first on, requests
        # that may last beyond the second are refused.
        self.refuse_from = float('inf')
        self.stop_at = float('inf')

    def begin_drain(self, refuse_from, stop_at):
        """Begin a planned stop.

        Parameters
        ----------
        refuse_from : float
            Time at which the balancer sends no more connections, in seconds of
            the monotonic clock. Until then requests are served, as nearly all
            of them end in time.
        stop_at : float
            Time at which the requests in progress are cut.
        """
        self.refuse_from = refuse_from
        self.stop_at = stop_at
        self.draining = True

    def find_stop_refusal(self, route, info, now):
        """Return a refusal if a request may outlast this host, else None."""
        if now < self.refuse_from:
            return None
        timeouts = [info.timeout, None if route is None else route.timeout]
        timeout = min((t for t in timeouts if t is not None), default=0.0)
        if now + timeout <= self.stop_at:
            return None
        return codes.Refusal(
            codes.ResultCode.DRAINING,
            'this host stops before the request has to be done',
            retry_after=STOP_RETRY_AFTER_SECONDS,
        )

    def get_limits(self):
        """Return the limits that apply to requests of callers."""
        index = self.leader_client.index
        return (
            catalogs.DEFAULT_LIMITS if index is None else index.catalog.limits
        )

    def connect_for_other(self, endpoint_id, deadline, buffer_size):
        """Return a socket to an endpoint, for another entry host.

        The parameters and errors are those of `connect` in `web.relay.Relay`.
        """
        endpoint = self.view.directory.find_in_service(endpoint_id)
        if (
            endpoint is None
            or self.draining
            or not self.leader_client.may_send_to(endpoint)
        ):
            raise transport.RelayUnavailableError('nothing is sent there')
        return self.connector.connect_for_other(
            endpoint, deadline, buffer_size
        )

    def is_ready(self):
        """Return whether callers should be routed to this host."""
        now = clock.monotonic()
        return (
            not self.draining
            and self.leader_client.index is not None
            and self.leader_client.is_fresh(now)
        )

    def is_closing(self, connection):
        """Return whether to close a connection after its response.

        A host without a leader closes connections, so that callers use other
        hosts.
        """
        return (
            self.draining
            or not connection.keep_alive
            or not self.leader_client.is_fresh(clock.monotonic())
        )

    def handle(self, connection, request):
        """Handle a request and count it."""
        started_at = clock.monotonic()
        info = self.dialect.decode_call(request)
        try:
            result = self.serve(connection, request, info)
        except exceptions.MessageError as error:
            result = codes.Refusal(codes.ResultCode.MALFORMED_BODY, str(error))
        self.metrics.count('requests_total')
        self.metrics.observe('request_seconds', clock.monotonic() - started_at)
        if isinstance(result, codes.Refusal):
            self.refuse(connection, info, result, started_at)
        elif connection.is_answer_due:
            # The caller has left, or it has ended its sending half alone.
            LOG.info('event=cancelled request={}', info.request_id)
            connection.refuse(UNKNOWN_STATUS)

    def refuse(self, connection, info, refusal, started_at):
        """Answer a request with a refusal."""
        status = get_status(refusal)
        self.metrics.count('refusals_total', code=int(refusal.code))
        LOG.info(
            'event=refused request={} code={} status={} ran={} seconds={:.3f} '
            'version={} age={:.3f} reason={!r}',
            info.request_id,
            int(refusal.code),
            status,
            refusal.ran,
            clock.monotonic() - started_at,
            0
            if self.leader_client.index is None
            else self.leader_client.index.version,
            clock.monotonic() - self.leader_client.confirmed_at,
            refusal.reason,
        )
        headers = []
        if status in (429, NOT_RUN_STATUS):
            seconds = refusal.retry_after or RETRY_AFTER_SECONDS
            headers.append((b'Retry-After', b'%.2f' % seconds))
        if self.is_closing(connection):
            connection.keep_alive = False
        connection.send_response(status, headers)

    def serve(self, connection, request, info):
        """Answer a request, or return its refusal."""
        now = received_at = clock.monotonic()
        index = self.leader_client.index
        if index is None:
            started_at = now
            index = self.leader_client.wait_for_index(started_at)
            now = clock.monotonic()
            info = shorten_timeout(info, now - started_at)
        if index is None:
            return codes.Refusal(
                codes.ResultCode.CONFIG_STALE,
                'this host has no configuration yet',
            )
        route = index.find_route(info.host, request.path)
        # Accepted jobs stay reachable whatever a later configuration says, so
        # calls for them go before routes.
        call = self.dialect.decode_job_call(request)
        if call is not None:
            result = self.serve_job_call(connection, info, index, call, now)
            takes_route = route is not None and is_no_job(result)
            self.metrics.count(
                'job_calls_total',
                outcome='route' if takes_route else get_outcome(result),
            )
            if not takes_route:
                if isinstance(result, commands.JobNotFound):
                    return codes.Refusal(
                        codes.ResultCode.NOT_FOUND, 'job or item not found'
                    )
                return result
            LOG.info(
                'event=not_a_job_call request={} path={} route={}',
                info.request_id,
                request.path,
                route.name,
            )
            info = shorten_timeout(info, clock.monotonic() - now)
            now = clock.monotonic()
        if route is None:
            return self.refuse_unknown(
                codes.ResultCode.ROUTE_UNKNOWN, 'no route matches the request'
            )
        refusal = self.find_stop_refusal(route, info, now)
        if refusal is not None:
            return refusal
        if route.kind is catalogs.RouteKind.BATCH:
            name = self.find_job_account(index, info.key, now)
            if isinstance(name, codes.Refusal):
                if not route.public:
                    return name
                name = ''
            return self.serve_submission(
                connection, request, info, route, name
            )
        account = None
        if index.catalog.has_accounts and not route.public:
            account = self.authenticate(index, info.key, now)
            if isinstance(account, codes.Refusal):
                return account
        name = '' if account is None else account.name
        if self.judges_requests:
            prompt = request_parts.add_request_part(
                info.prompt, request.path, name, request.body
            )
            info = dataclasses.replace(info, prompt=prompt)
        refusal = self.leader_client.quarantine.find_refusal(info.prompt, now)
        if refusal is not None:
            return refusal
        if account is not None and not self.leader_client.tokens.acquire(
            account
        ):
            return self.refuse_rate(account)
        forwarder = forward.RequestForwarder(
            self, connection, request, info, route, account, received_at
        )
        return forwarder.run()

    def authenticate(self, index, key, now):
        """Return the client account of a key, or a refusal."""
        if now > self.leader_client.valid_until:
            age = now - self.leader_client.confirmed_at
            return codes.Refusal(
                codes.ResultCode.CONFIG_STALE,
                'the configuration is too old to authenticate a key: '
                f'confirmed {age:.1f} s ago, valid for '
                f'{self.leader_client.validity:g} s',
            )
        account = index.find_account(key)
        if account is None:
            return self.refuse_unknown(
                codes.ResultCode.KEY_UNKNOWN, 'the key is unknown'
            )
        return account

    def find_job_account(self, index, key, now):
        """Return the account of a caller of batch jobs.

        Returns
        -------
        str, None or Refusal
            Name of the client account; None if the configuration has no
            client accounts, so that none restricts the use of jobs.
        """
        if not index.catalog.has_accounts:
            return None
        account = self.authenticate(index, key, now)
        return account if isinstance(account, codes.Refusal) else account.name

    def refuse_rate(self, account):
        """Return the refusal of a request without a token."""
        reason = (
            f'client account {account.name} exceeded its rate of '
            f'{account.rate:g} requests/s'
        )
        if self.leader_client.tokens.is_leader_lost(clock.monotonic()):
            reason = (
                f'no leader grants tokens of client account {account.name}, '
                'and its reserve in this zone is spent'
            )
        return codes.Refusal(codes.ResultCode.RATE_EXCEEDED, reason)

    def refuse_unknown(self, code, reason):
        """Return the refusal of an unknown route or key.

        The refusal is permanent only if the configuration is up to date.
        """
        if self.leader_client.is_catalog_current(clock.monotonic()):
            return codes.Refusal(code, reason)
        return codes.Refusal(
            codes.ResultCode.CONFIG_STALE,
            f'{reason}, but the configuration may be outdated',
        )

    def serve_submission(self, connection, request, info, route, account):
        """Submit a batch job and answer the request."""
        size = serialization.estimate_decoded_bytes(request.body)
        size += JOB_COPIES * len(request.body)
        with connection.reserve(size):
            items = self.dialect.decode_items(request)
            reply = self.jobs.submit(info, account, route, items, request.path)
        match reply:
            case commands.Done():
                connection.send_response(202)
                return None
            case commands.WaitingFull(waiting=waiting):
                return codes.Refusal(
                    codes.ResultCode.RATE_EXCEEDED,
                    f'the client account has {waiting} waiting tokens, '
                    'the job would exceed the limit of '
                    f'{route.waiting_tokens}',
                    retry_after=1.0,
                )
            case commands.JobNotFound():
                return codes.Refusal(
                    codes.ResultCode.JOB_CONFLICT,
                    'the job id belongs to another client account',
                )
        return reply

    def serve_job_call(self, connection, info, index, call, now):
        """Answer a call for a batch job.

        Returns
        -------
        Refusal, JobNotFound or None
            None if the call was answered.
        """
        refusal = self.find_stop_refusal(None, info, now)
        if refusal is not None:
            return refusal
        account = self.find_job_account(index, info.key, now)
        if isinstance(account, codes.Refusal):
            if not (
                info.host in index.public_job_hosts
                and account.code is codes.ResultCode.KEY_UNKNOWN
            ):
                return account
            account = ''
        match call:
            case model.JobResultsCall(job_id=job_id, after=after):
                reply = self.jobs.read_results(info, account, job_id, after)
            case model.JobBodyCall(job_id=job_id, item_id=item_id):
                reply = self.jobs.read_body(info, account, job_id, item_id)
            case model.JobEndCall(job_id=job_id):
                reply = self.jobs.end(info, account, job_id)
        match reply:
            case commands.Results():
                body = self.dialect.encode_results(reply, call.after)
                headers = ((b'Content-Type', b'application/json'),)
                connection.send_response(200, headers, body)
            case commands.Body(body=body):
                connection.send_response(200, (), body)
            case commands.Done():
                connection.send_response(200)
            case commands.JobNotFound() | codes.Refusal():
                return reply
        return None


def is_no_job(result):
    """Return whether a call is for no batch job of its caller.

    Parameters
    ----------
    result : Refusal, JobNotFound or None
        Result of the call.
    """
    match result:
        case commands.JobNotFound(is_item_missing=is_item_missing):
            return not is_item_missing
        case codes.Refusal(code=code):
            return code is codes.ResultCode.KEY_UNKNOWN
    return False


def get_outcome(result):
    """Return the outcome of a call for a batch job, for the metrics."""
    match result:
        case None:
            return 'answered'
        case commands.JobNotFound():
            return 'not_found'
    return 'refused'


def shorten_timeout(info, seconds):
    """Return the properties of a request that has waited for some seconds."""
    if info.timeout is None:
        return info
    return dataclasses.replace(info, timeout=max(0.0, info.timeout - seconds))


def get_status(refusal):
    """Return the HTTP status of a refusal.

    Statuses 429 and 503 assert that the request has not run. If that is not
    certain, 502 is returned instead. A request with a quarantined part of a
    prompt may be valid, and its quarantine ends, so it gets no status 4xx.
    Neither does a stream that cannot be resumed, which may begin anew.
    """
    status = codes.HTTP_STATUS[refusal.code]
    if refusal.code in TEMPORARY_CODES:
        status = NOT_RUN_STATUS
    if refusal.ran != codes.Ran.NO and status in (429, NOT_RUN_STATUS):
        return UNKNOWN_STATUS
    return status
