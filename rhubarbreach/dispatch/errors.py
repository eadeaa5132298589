"""The error object that callers get for a refusal."""

from rhubarbreach import codes

__all__ = ['make_error', 'make_refusal']

NOT_RUN = {
    codes.Ran.NO: True,
    codes.Ran.YES: False,
    codes.Ran.UNKNOWN: 'unknown',
}


def make_error(refusal, request_id):
    """Return the error object of a refusal.

    Parameters
    ----------
    refusal : codes.Refusal
        What happened.
    request_id : str
        Id of the request.

    Returns
    -------
    dict
        Members code, name, reason, not_run and request_id.
    """
    return {
        'code': int(refusal.code),
        'name': refusal.code.name,
        'reason': refusal.reason,
        'not_run': NOT_RUN[refusal.ran],
        'request_id': request_id,
    }


def make_refusal(name, reason, ran=codes.Ran.NO, retry_after=None):
    """Return a refusal by the name of its code."""
    return codes.Refusal(codes.ResultCode[name], reason, ran, retry_after)
