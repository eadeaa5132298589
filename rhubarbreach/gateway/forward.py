"""The way of one request to endpoints and of the answer to its caller."""

from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model as catalogs
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.fleet import view as views
from rhubarbreach.gateway import decide
from rhubarbreach.gateway import model
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import sockets

__all__ = ['Forwarding']

LOG = eventlog.Logger('forward')

# A connection within a region takes 3 ms; a machine without power never
# answers. The objective is 300 ms.
CONNECT_SECONDS = 0.15
# A caller that does not read holds its endpoint's slot for this long at most.
CALLER_STALL_SECONDS = 2.0
# A stream that may go on elsewhere does so after this long without an event.
# Engines make one each 25 ms; a place in a queue takes 0.3 s at most.
SILENCE_SECONDS = 1.2
SUCCESS = range(200, 300)
FIRST_FAILURE = 500
MISDIRECTED = 421
# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
# A request whose caller has less than this part of the route's time left
# has been tried before.
RETURNING_FRACTION = 0.95
LAST_CHUNK = b'0\r\n\r\n'


class Forwarding:
    """One request of a caller on its way.

    Parameters
    ----------
    app : App
        Host's view of endpoints, and the dialect.
    connection : Connection
        The caller's connection.
    request : Request
        Request as received.
    info : CallInfo
        What its headers say.
    route : Route
        Its route.
    account : Account or None
        Its client account.
    """

    def __init__(self, app, connection, request, info, route, account):
        self.app = app
        self.connection = connection
        self.request = request
        self.info = info
        self.route = route
        self.account = account
        self.began = clock.monotonic()
        allowed = route.timeout
        if info.allowed is not None:
            allowed = min(allowed, info.allowed)
        self.deadline = self.began + allowed
        self.started = False
        self.last_id = info.last_event_id
        self.endpoint = None
        self.sent = 0
        self.declined = 0
        self.first_event = None
        self.load = None

    def run(self):
        """Try endpoints until the request has an end; return the refusal.

        Returns
        -------
        Refusal or None
            What the caller is to be told, None when all is said.
        """
        service = indexes.choose_target(self.route)
        excluded = set()
        if self.app.view.is_pressed(service):
            self.app.member.refresh()
        while True:
            now = clock.monotonic()
            endpoint = self.app.view.take(
                service,
                excluded,
                now,
                self.get_queue(service),
                self.may_fail(),
            )
            if isinstance(endpoint, codes.Refusal):
                return self.refuse_untried(endpoint)
            self.endpoint = endpoint
            self.load = self.app.view.get_load(endpoint.endpoint_id)
            try:
                outcome = self.attempt(endpoint)
            finally:
                self.app.view.release(endpoint.endpoint_id)
            self.note(endpoint, outcome)
            excluded.add(endpoint.endpoint_id)
            remaining = self.deadline - clock.monotonic()
            step = decide.decide_next(
                outcome,
                self.route,
                self.sent,
                self.declined,
                self.started,
                remaining,
            )
            match step:
                case decide.Stop():
                    return None
                case decide.Refuse(refusal=refusal):
                    return refusal
                case decide.Cut(reason=reason):
                    self.connection.keep_alive = False
                    self.log('cut', reason)
                    return None

    def get_queue(self, service):
        """Return how many requests may wait where this one is sent.

        A caller that was turned away comes back with less time than its
        route allows.
        """
        allowed = self.info.allowed
        returns = (
            allowed is not None
            and allowed < self.route.timeout * RETURNING_FRACTION
        )
        if self.sent or self.started:
            return views.QUEUE_RETURNING
        if returns:
            return self.app.view.choose_queue(service)
        return views.QUEUE_ALLOWED

    def refuse_untried(self, refusal):
        """Return the end of a request for which no endpoint is left."""
        if self.started:
            self.connection.keep_alive = False
            self.log('cut', refusal.reason)
            return None
        if self.sent:
            return codes.Refusal(
                codes.ResultCode.ENDPOINT_FAILED,
                refusal.reason,
                codes.Ran.UNKNOWN,
            )
        return refusal

    def note(self, endpoint, outcome):
        """Count an attempt and what it says of its endpoint."""
        now = clock.monotonic()
        match outcome:
            case model.NotRun(reason=reason, endpoint_failed=failed):
                self.declined += 1
                if failed:
                    self.app.view.note_failure(endpoint.endpoint_id, now)
                self.log('declined', reason)
            case model.Broken(reason=reason):
                self.sent += 1
                self.app.view.note_failure(endpoint.endpoint_id, now)
                self.log('broken', reason)
            case model.Delivered(status=status):
                self.app.view.note_success(endpoint.endpoint_id)
                self.log('delivered', f'status {status}', 'answered')
            case model.TimedOut():
                self.sent += 1
                self.log('timed_out', '')
            case model.CallerGone():
                self.log('caller_gone', '')

    def log(self, outcome, reason, event='attempt'):
        """Record a decision on the request.

        Answers have an event of their own, so that many of them do not
        displace the lines of failures.
        """
        LOG.info(
            'event={} request={} route={} endpoint={} load={} outcome={} '
            'sent={} declined={} last_event={} first_event={} '
            'seconds={:.3f} reason={!r}',
            event,
            self.info.request_id,
            self.route.name,
            self.endpoint.endpoint_id if self.endpoint else None,
            self.load,
            outcome,
            self.sent,
            self.declined,
            self.last_id,
            self.first_event,
            clock.monotonic() - self.began,
            reason,
        )

    def attempt(self, endpoint):
        """Send the request to an endpoint and pass its answer on."""
        now = clock.monotonic()
        remaining = self.deadline - now
        headers = self.app.dialect.encode_call(
            self.request,
            self.info,
            self.account,
            endpoint.endpoint_id,
            remaining,
            self.last_id,
        )
        data = client.encode_request(
            self.request.method,
            self.request.target,
            headers,
            self.request.body,
        )
        try:
            call = client.Call(
                endpoint.address,
                data,
                min(self.deadline, now + CONNECT_SECONDS),
                self.deadline,
            )
        except errors.ConnectError as error:
            return model.NotRun(str(error))
        except errors.DeadlineError:
            return model.TimedOut()
        try:
            return self.relay(call)
        except errors.ConnectionEndedError as error:
            return model.Broken(str(error))
        except errors.BadMessageError as error:
            return model.Broken(f'not an answer: {error}')
        except errors.DeadlineError:
            return model.TimedOut()
        finally:
            call.close()

    def relay(self, call):
        """Pass an answer on as it comes."""
        splitter = events.Splitter()
        body = []
        checked = False
        watched = [call.socket, self.connection.socket]
        while not call.is_whole:
            patience = self.get_patience()
            ready = sockets.wait_readable(watched, patience)
            if not ready and patience < self.deadline:
                return model.Broken('no event in time')
            if not ready:
                return model.TimedOut()
            if self.connection.socket in ready:
                if self.has_caller_left():
                    return model.CallerGone()
                # The next request of the caller waits for its turn.
                watched = [call.socket]
            if call.socket not in ready:
                continue
            parts = call.read(self.deadline)
            if call.head is None:
                continue
            if not checked:
                checked = True
                outcome = self.check_head(call.head)
                if outcome is not None:
                    return outcome
            if not self.is_stream(call.head):
                body.extend(parts)
                continue
            blocks = splitter.feed(b''.join(parts))
            if not self.send_events(call.head, blocks):
                return model.CallerGone()
        return self.finish(call.head, splitter, body)

    def may_fail(self):
        """Return whether another attempt may follow the next one."""
        return (
            self.route.is_repeatable
            and self.sent + 1 < self.route.max_attempts
        )

    def get_patience(self):
        """Return the deadline of the endpoint's next bytes."""
        is_stream = self.route.kind is catalogs.RouteKind.STREAM
        if not (is_stream and self.may_fail()):
            return self.deadline
        return min(self.deadline, clock.monotonic() + SILENCE_SECONDS)

    def has_caller_left(self):
        """Return whether the caller has closed its connection."""
        try:
            return not self.connection.socket.recv(1, sockets.socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def is_stream(self, head):
        """Return whether an answer is passed on event by event."""
        return (
            self.route.kind is catalogs.RouteKind.STREAM
            and head.status in SUCCESS
        )

    def check_head(self, head):
        """Return the outcome if an answer must not be passed on."""
        dialect = self.app.dialect
        echoed = dialect.get_echoed_id(head)
        if echoed is not None and echoed != self.info.request_id:
            return model.Broken('answer to another request')
        if dialect.is_not_run(head):
            return model.NotRun(
                f'status {head.status}', head.status == MISDIRECTED
            )
        if self.started and head.status not in SUCCESS:
            return model.Broken(f'status {head.status} while resuming')
        if head.status >= FIRST_FAILURE and self.may_fail():
            return model.Broken(f'status {head.status}')
        if head.status in SUCCESS and not dialect.is_signed(head):
            return model.Broken('answer is not signed')
        return None

    def send_events(self, head, blocks):
        """Send whole events; return False when the caller has left."""
        data = []
        for block in blocks:
            number = events.get_id(block)
            if number is not None:
                if self.last_id is not None and number <= self.last_id:
                    continue
                self.last_id = number
            data.append(b'%x\r\n%s\r\n' % (len(block), block))
        if not data:
            return True
        if not self.started:
            self.first_event = round(clock.monotonic() - self.began, 3)
            data.insert(0, self.encode_head(head))
        return self.send(b''.join(data))

    def encode_head(self, head):
        """Return the head of a chunked answer."""
        self.started = True
        lines = [b'HTTP/1.1 %d %s' % (head.status, head.reason)]
        lines.extend(b'%s: %s' % pair for pair in filter_headers(head))
        lines.append(b'Transfer-Encoding: chunked')
        if self.app.is_closing(self.connection):
            self.connection.keep_alive = False
            lines.append(b'Connection: close')
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def send(self, data):
        """Send bytes to the caller; return False when it has left."""
        stall = clock.monotonic() + CALLER_STALL_SECONDS
        try:
            self.connection.send(data, min(stall, self.deadline))
        except (errors.ConnectionEndedError, errors.DeadlineError):
            self.connection.keep_alive = False
            return False
        return True

    def finish(self, head, splitter, body):
        """Send the end of a whole answer."""
        if not self.is_stream(head):
            if self.app.is_closing(self.connection):
                self.connection.keep_alive = False
            try:
                self.connection.answer(
                    head.status,
                    filter_headers(head),
                    b''.join(body),
                    head.reason,
                )
            except (errors.ConnectionEndedError, errors.DeadlineError):
                self.connection.keep_alive = False
                return model.CallerGone()
            return model.Delivered(head.status)
        data = b''
        if not self.started:
            data = self.encode_head(head)
        if splitter.rest:
            data += b'%x\r\n%s\r\n' % (len(splitter.rest), splitter.rest)
        if not self.send(data + LAST_CHUNK):
            return model.CallerGone()
        return model.Delivered(head.status)


def filter_headers(head):
    """Return the headers of an answer that its caller gets."""
    return [pair for pair in head.headers if pair[0] not in CONNECTION_HEADERS]
