"""Refusals and the error objects that callers receive for them."""

import pathlib
import traceback

from rhubarbreach import codes

__all__ = ['describe_exception', 'make_error', 'make_refusal']

NOT_RUN = {
    codes.Ran.NO: True,
    codes.Ran.YES: False,
    codes.Ran.UNKNOWN: 'unknown',
}


def describe_exception(error):
    """Return class and source line of an exception for the log.

    The message is omitted, since it may quote a key or a request body.
    """
    frame = traceback.extract_tb(error.__traceback__)[-1]
    file = pathlib.PurePath(frame.filename).name
    return f'type={type(error).__name__} at={file}:{frame.lineno}'


def make_error(refusal, request_id):
    """Return the error object of a refusal.

    Parameters
    ----------
    refusal : codes.Refusal
        Refusal to describe.
    request_id : str
        Id of the request.

    Returns
    -------
    dict
        Object with the members code, name, reason, not_run and request_id.
    """
    return {
        'code': int(refusal.code),
        'name': refusal.code.name,
        'reason': refusal.reason,
        'not_run': NOT_RUN[refusal.ran],
        'request_id': request_id,
    }


def make_refusal(name, reason, ran=codes.Ran.NO, retry_after=None):
    """Return a refusal, given the name of its result code."""
    return codes.Refusal(codes.ResultCode[name], reason, ran, retry_after)
