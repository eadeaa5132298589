"""HTTP responses for refusals."""

import math

import msgspec
from werkzeug import wrappers

from rhubarbreach import codes
from rhubarbreach.dispatch import errors

__all__ = ['make_json', 'make_response']


def make_json(content, status=200):
    """Return a JSON response.

    Parameters
    ----------
    content : object
        Object that msgspec can encode.
    status : int
        HTTP status.
    """
    return wrappers.Response(
        msgspec.json.encode(content), status, content_type='application/json'
    )


def make_response(refusal, request_id):
    """Return the response for a refusal.

    Parameters
    ----------
    refusal : codes.Refusal
        Reason why the request failed or was refused.
    request_id : str
        Id of the request.

    Returns
    -------
    werkzeug.wrappers.Response
        Response with the body `{"error": {...}}`, and with Retry-After if
        the refusal has a delay.
    """
    status = codes.HTTP_STATUS[refusal.code]
    error = errors.make_error(refusal, request_id)
    response = make_json({'error': error}, status)
    if refusal.retry_after is not None:
        seconds = max(1, math.ceil(refusal.retry_after))
        response.headers['Retry-After'] = str(seconds)
    return response
