"""HTTP answers that carry a refusal."""

import math

import msgspec
from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import errors

__all__ = ['make_json', 'make_response']


def make_json(content, status=200):
    """Return a JSON answer.

    Parameters
    ----------
    content : object
        What msgspec can encode.
    status : int
        HTTP status.
    """
    return wrappers.Response(
        msgspec.json.encode(content), status, content_type='application/json'
    )


def make_response(refusal, request_id):
    """Return the answer for a refusal.

    Parameters
    ----------
    refusal : codes.Refusal
        Why the request got no answer of its own.
    request_id : str
        Id of the request.

    Returns
    -------
    werkzeug.wrappers.Response
        Body `{"error": {...}}`, with Retry-After where it helps.
    """
    status = codes.HTTP_STATUS[refusal.code]
    error = errors.make_error(refusal, request_id)
    response = make_json({'error': error}, status)
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        response.headers['Retry-After'] = str(seconds)
    return response
