"""One run of a batch item on an endpoint."""

import dataclasses

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.web import client
from rhubarbreach.web import errors
from rhubarbreach.web import events

__all__ = ['Progress', 'Run', 'carry_out']

LOG = eventlog.Logger('runner')

CONNECT_SECONDS = 0.3
# A run without any event for this long is ended and tried elsewhere, in
# seconds. Engines make an event each 25 ms; a full queue takes about 5 s.
SILENCE_SECONDS = 8.0
OK = 200
FAILED = 500
IMPOSSIBLE = 422


@dataclasses.dataclass
class Progress:
    """Events that an item has made so far."""

    texts: list = dataclasses.field(default_factory=list)
    last_id: int = 0


class Run:
    """A run of an item on an endpoint.

    Parameters
    ----------
    order : RunOrder
        What to run, where, and from which event on.
    """

    def __init__(self, order):
        self.order = order
        self.call = None
        self.cancelled = False
        self.began = clock.monotonic()

    @property
    def key(self):
        """Job and item."""
        return (self.order.job_id, self.order.item_id)

    def cancel(self):
        """End the run; its endpoint stops when the connection closes."""
        self.cancelled = True
        call = self.call
        if call is not None:
            call.interrupt()


def carry_out(run, progress, dialect):
    """Send an item and collect its events.

    Parameters
    ----------
    run : Run
        Run to carry out.
    progress : Progress
        Last event made before; those of this run are added.
    dialect : object
        Encodes the request and reads the head of the answer.

    Returns
    -------
    tuple of str
        Outcome and detail: `completed`, `cancelled`, `not_run`,
        `impossible`, `attempted` for a run that the endpoint has failed, or
        `failed` for one of which nothing is known.
    """
    try:
        return attempt(run, progress, dialect)
    except (
        errors.ConnectError,
        errors.ConnectionEndedError,
        errors.DeadlineError,
        errors.BadMessageError,
    ) as error:
        return 'failed', str(error)
    except Exception as error:
        LOG.exception('event=run_failed item={}', run.order.item_id)
        return 'failed', str(error)
    finally:
        if run.call is not None:
            run.call.close()


def attempt(run, progress, dialect):
    """Return outcome and detail of a run."""
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
    call = client.Call(
        order.address,
        data,
        now + CONNECT_SECONDS,
        now + SILENCE_SECONDS,
    )
    run.call = call
    if run.cancelled:
        return 'cancelled', ''
    run.began = clock.monotonic()
    splitter = events.Splitter()
    while not call.is_whole:
        parts = call.read(clock.monotonic() + SILENCE_SECONDS)
        if call.head is not None and call.head.status == OK:
            for block in splitter.feed(b''.join(parts)):
                if not take_event(progress, block):
                    return 'failed', 'events are not in sequence'
        if run.cancelled and not call.is_whole:
            return 'cancelled', ''
    return judge(call.head, splitter, dialect)


def judge(head, splitter, dialect):
    """Return outcome and detail of a whole answer."""
    detail = f'status {head.status}'
    if head.status == OK:
        if splitter.rest.strip():
            return 'failed', 'answer ends within an event'
        return 'completed', ''
    if dialect.is_not_run(head):
        return 'not_run', detail
    if head.status == IMPOSSIBLE:
        return 'impossible', detail
    if head.status == FAILED:
        return 'attempted', detail
    return 'failed', detail


def take_event(progress, block):
    """Add an event to an item's text; return False if one is missing."""
    number = events.get_id(block)
    data = events.get_data(block)
    if number is None:
        return True
    if number != progress.last_id + 1:
        return False
    progress.last_id = number
    progress.texts.append(data or b'')
    return True
