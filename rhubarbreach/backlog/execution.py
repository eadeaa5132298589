"""Run of a batch item on an endpoint."""

import dataclasses

from rhubarbreach.backlog import results
from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.fleet import cold_permits
from rhubarbreach.web import answers
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events
from rhubarbreach.web import sockets

__all__ = ['Run', 'RunProgress', 'execute_run']

LOG = eventlog.Logger('runner')

CONNECT_TIMEOUT_SECONDS = 0.3
# Seconds without a new event after which a run fails and is retried elsewhere.
# It includes the time that the run waits in the queue of its endpoint.
IDLE_TIMEOUT_SECONDS = 8.0
# Limit on the bytes of one run, including those that are not output.
MAX_RUN_BYTES = 8 * 1024 * 1024
STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_UNPROCESSABLE = 422


@dataclasses.dataclass
class RunProgress:
    """Events of a run; `last_id` is the number of the item's last event.

    `output_bytes` is the size of the item's output so far.
    """

    texts: list = dataclasses.field(default_factory=list)
    last_id: int = 0
    output_bytes: int = 0

    def add(self, text):
        """Add the next event."""
        self.texts.append(text)
        self.last_id += 1
        self.output_bytes += len(text) + 1


class Run:
    """Run of an item on an endpoint.

    Parameters
    ----------
    order : RunOrder
        Item, endpoint, and number of the event after which to resume.
    memory_pool : MemoryPool
        Bounds the outputs of all runs.
    begin_until : float
        Until when the item may be sent, in seconds of the monotonic clock.
    start_before : float
        When the permit for a cold endpoint ends, in seconds of the monotonic
        clock.
    has_left : callable, optional
        Returns whether the endpoint with an id and a start of its process has
        left, as far as this store knows.
    """

    def __init__(
        self,
        order,
        memory_pool,
        begin_until=float('inf'),
        start_before=float('inf'),
        has_left=lambda endpoint_id, born: False,
    ):
        self.order = order
        self.has_left = has_left
        self.begin_until = begin_until
        self.start_before = start_before
        self.holding = memory_pool.open(self.interrupt)
        self.call = None
        self.stream = None
        self.is_port_closed = False
        self.cancelled = False
        self.started_at = clock.monotonic()

    @property
    def key(self):
        """Ids of the job and the item."""
        return (self.order.job_id, self.order.item_id)

    @property
    def ends_within_event(self):
        """Whether the response holds a part of one more event."""
        return self.stream is not None and bool(self.stream.rest.strip())

    def may_begin(self):
        """Return whether the item may still be sent; else cancel the run."""
        if clock.monotonic() > self.begin_until or self.has_left(
            self.order.endpoint_id, self.order.born
        ):
            self.cancelled = True
        return not self.cancelled

    def cancel(self):
        """Cancel the run; the endpoint stops when the connection closes."""
        self.cancelled = True
        self.interrupt()

    def interrupt(self):
        """End the connection to the endpoint."""
        call = self.call
        if call is not None:
            call.interrupt()


def execute_run(run, progress, dialect, record_departure):
    """Send an item to its endpoint and collect the events.

    Parameters
    ----------
    run : Run
        Run to execute.
    progress : RunProgress
        Number of the last event so far; the events of the run are added.
    dialect : object
        Encodes the request and reads the head of the response.
    record_departure : callable
        Called with the id of the endpoint and the start of its process if it
        says that it is leaving.

    Returns
    -------
    tuple of str
        Outcome and detail. The outcome is `completed`, `unproven` if the
        response may have been broken off at its end, `cancelled`, `expired` if
        the permit for a cold endpoint ended before the run, `not_run`,
        `impossible`, `attempted` if the endpoint reported a failure of the
        item, `oversized` if the output exceeds what a result may hold, so that
        none of its events can be used, or `failed` on any other error, after
        which the state of the item is unknown.
    """
    try:
        return attempt_run(run, progress, dialect, record_departure)
    except errors.ConnectRefusedError as error:
        run.is_port_closed = True
        return 'failed', str(error)
    except (
        errors.ConnectError,
        errors.ConnectionEndedError,
        errors.DeadlineError,
        errors.BadMessageError,
    ) as error:
        if run.holding.is_ended:
            return 'failed', 'ended for the memory of this store'
        return 'failed', str(error)
    except Exception as error:
        LOG.exception('event=run_failed item={}', run.order.item_id)
        return 'failed', str(error)
    finally:
        run.holding.close()
        if run.call is not None:
            run.call.close()


def attempt_run(run, progress, dialect, record_departure):
    """Send an item; return the outcome and detail of the run."""
    order = run.order
    headers = dialect.encode_item(
        order,
        order.account,
        order.host,
        order.endpoint_id,
        progress.last_id,
    )
    data = client.encode_request(
        'POST', order.path.encode('latin-1'), headers, order.body
    )
    now = clock.monotonic()
    if now >= run.start_before:
        return 'expired', 'the permit has ended'
    call = client.Call(
        order.address,
        data,
        min(
            now + CONNECT_TIMEOUT_SECONDS,
            run.start_before + cold_permits.CONNECT_SECONDS,
        ),
        now + IDLE_TIMEOUT_SECONDS,
        run.may_begin,
        run.holding.pool.buffers,
    )
    run.call = call
    if run.cancelled:
        return 'cancelled', ''
    run.started_at = clock.monotonic()
    stream = None
    begun_bytes = progress.output_bytes
    run_bytes = 0
    last_id = progress.last_id
    idle_deadline = run.started_at + IDLE_TIMEOUT_SECONDS
    is_checked = False
    while not (call.is_complete or (stream and stream.is_over)):
        # The deadline is also checked here, as an endpoint that keeps sending
        # bytes without a new event never lets `read` time out.
        if clock.monotonic() > idle_deadline:
            return 'failed', f'no event within {IDLE_TIMEOUT_SECONDS} s'
        try:
            parts = call.read(idle_deadline)
        except errors.DeadlineError:
            return 'failed', f'no event within {IDLE_TIMEOUT_SECONDS} s'
        if call.head is not None and not is_checked:
            is_checked = True
            reason = check_head(call.head, order, dialect)
            if reason is not None:
                return 'failed', reason
            if dialect.is_leaving(call.head):
                record_departure(order.endpoint_id, order.born)
            if call.head.status == STATUS_OK:
                stream = run.stream = answers.EventStream(call.head)
        if stream is not None:
            run_bytes += sum(map(len, parts))
            if run_bytes > MAX_RUN_BYTES:
                return 'failed', f'run exceeds {MAX_RUN_BYTES} bytes'
            for block in stream.feed(parts):
                if not add_event(progress, block):
                    return 'failed', 'events are not in sequence'
            run.holding.resize(
                progress.output_bytes - begun_bytes + stream.held_bytes
            )
            if progress.output_bytes > results.MAX_OUTPUT_BYTES:
                return (
                    'oversized',
                    f'output exceeds {results.MAX_OUTPUT_BYTES} bytes',
                )
            if progress.last_id > last_id:
                last_id = progress.last_id
                idle_deadline = clock.monotonic() + IDLE_TIMEOUT_SECONDS
        if run.cancelled and not call.is_complete:
            return 'cancelled', ''
    if stream is not None:
        judgement = stream.judge_end(bool(progress.last_id))
        is_unproven = judgement.end is answers.End.UNPROVEN
        if is_unproven and not dialect.is_leaving(call.head):
            # The kernel closes the port of a process that crashes.
            run.is_port_closed = sockets.is_port_closed(
                order.address, clock.monotonic() + CONNECT_TIMEOUT_SECONDS
            )
        return classify_end(judgement)
    return classify_response(call.head, dialect)


def classify_end(judgement):
    """Return the outcome and detail of a stream that has ended."""
    match judgement.end:
        case answers.End.COMPLETE:
            return 'completed', ''
        case answers.End.UNPROVEN:
            return 'unproven', judgement.reason
        case answers.End.BROKEN:
            return 'failed', judgement.reason


def check_head(head, order, dialect):
    """Return why a response does not count, or None if it does."""
    echoed = dialect.get_echoed_id(head)
    if echoed is not None and echoed != order.item_id:
        return 'response to another request'
    if echoed is None and dialect.is_not_run(head):
        return 'refusal without an id'
    if head.status == STATUS_OK and not dialect.is_signed(head):
        return 'response is not signed'
    return None


def classify_response(head, dialect):
    """Return the outcome and detail of a response that is no stream."""
    detail = f'status {head.status}'
    if dialect.is_not_run(head):
        return 'not_run', detail
    if head.status == STATUS_UNPROCESSABLE:
        return 'impossible', detail
    if head.status == STATUS_SERVER_ERROR:
        return 'attempted', detail
    return 'failed', detail


def add_event(progress, block):
    """Add an event to the progress; return False if one is missing."""
    number = events.get_id(block)
    data = events.get_data(block)
    if number is None:
        return True
    if number != progress.last_id + 1:
        return False
    progress.add(data or b'')
    return True
