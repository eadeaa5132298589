"""Checks of the heads of endpoints' responses before they are relayed."""

from rhubarbreach.gateway import model

__all__ = [
    'CONNECTION_HEADERS',
    'SUCCESS',
    'check_identity',
    'filter_headers',
    'is_event_stream',
    'is_own',
]

SUCCESS = range(200, 300)
EVENT_STREAM = b'text/event-stream'
MISDIRECTED_REQUEST = 421
# Statuses that tell callers that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_REQUEST, 429, 503))
# Hop-by-hop headers and the content length, which are not forwarded.
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


def is_event_stream(head):
    """Return whether a response is a success that consists of events."""
    content_type = head.get(b'content-type', EVENT_STREAM)
    return head.status in SUCCESS and content_type.lower().startswith(
        EVENT_STREAM
    )


def check_identity(head, request_id, dialect):
    """Return the outcome of a response that is not relayed, else None.

    A statement that a request has not run counts only if the response is
    certain to belong to the request.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.
    request_id : str
        Id of the request.
    dialect : object
        Reads the headers of the endpoint.

    Returns
    -------
    NotRun, Broken or None
    """
    echoed = dialect.get_echoed_id(head)
    if echoed is not None and echoed != request_id:
        return model.Broken('response to another request')
    if dialect.is_not_run(head):
        is_own = (echoed or '') == request_id
        if not is_own or head.status in SUCCESS:
            return model.Broken(f'uncertain refusal, {head.status}')
        return model.NotRun(
            f'status {head.status}', head.status == MISDIRECTED_REQUEST
        )
    if head.status in NOT_RUN_STATUSES:
        return model.Broken(f'status {head.status} without a statement')
    return None


def is_own(head, outcome):
    """Return whether a response is from the endpoint that was asked.

    Parameters
    ----------
    head : ResponseHead
        Head of the response.
    outcome : NotRun, Broken or None
        Outcome of `check_identity`.
    """
    return head.status != MISDIRECTED_REQUEST and not isinstance(
        outcome, model.Broken
    )


def filter_headers(head):
    """Return the headers of a response that are sent to the caller."""
    return [pair for pair in head.headers if pair[0] not in CONNECTION_HEADERS]
