"""Authentication of callers and permission of routes."""

from rhubarbreach import codes
from rhubarbreach.dispatch import errors

__all__ = ['authenticate', 'check_route', 'get_key']

SCHEME = 'bearer '


def get_key(request):
    """Return the key that a caller presents, None without one.

    Parameters
    ----------
    request : werkzeug.wrappers.Request
        With the header `Authorization: Bearer KEY`.
    """
    header = request.headers.get('Authorization', '')
    if header[: len(SCHEME)].lower() != SCHEME:
        return None
    return header[len(SCHEME) :].strip() or None


def authenticate(view, request, now):
    """Return who sends a request.

    Parameters
    ----------
    view : distribution.view.ConfigView
        Knows the keys.
    request : app.EntryRequest
        Request of the caller; gets the account.
    now : float
        Monotonic seconds.

    Returns
    -------
    object or codes.Refusal
        Identity with `account_id`.
    """
    key = get_key(request)
    if key is None:
        return errors.make_refusal(
            'KEY_MISSING', 'the request has no Authorization: Bearer key'
        )
    found = view.authenticate(key, now)
    if not isinstance(found, codes.Refusal):
        request.account_id = found.account_id
    return found


def check_route(route, identity):
    """Return a refusal when an account may not use a route, else None.

    Parameters
    ----------
    route : state.model.Route
        Route of the request.
    identity : object
        As returned by `authenticate`.
    """
    if not route.accounts or identity.account_id in route.accounts:
        return None
    return codes.Refusal(
        codes.ResultCode.NOT_PERMITTED,
        'the account may not use this route',
    )
