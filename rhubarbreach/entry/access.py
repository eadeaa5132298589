"""Authentication of callers and authorization for routes."""

from rhubarbreach import codes
from rhubarbreach.dispatch import errors

__all__ = ['authenticate', 'check_route', 'get_key']

BEARER_PREFIX = 'bearer '


def get_key(request):
    """Return the bearer key of a request, or None if it has none.

    Parameters
    ----------
    request : werkzeug.wrappers.Request
        Request with the header `Authorization: Bearer KEY`.
    """
    header = request.headers.get('Authorization', '')
    if header[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return header[len(BEARER_PREFIX) :].strip() or None


def authenticate(view, request, now):
    """Authenticate the caller of a request.

    Parameters
    ----------
    view : distribution.view.ConfigView
        Configuration with the keys.
    request : app.EntryRequest
        Request of the caller; its `account_id` is set on success.
    now : float
        Monotonic seconds.

    Returns
    -------
    object or codes.Refusal
        Identity with `account_id`, or the reason why the key is refused.
    """
    key = get_key(request)
    if key is None:
        return errors.make_refusal(
            'KEY_MISSING', 'the request has no Authorization: Bearer key'
        )
    identity = view.authenticate(key, now)
    if not isinstance(identity, codes.Refusal):
        request.account_id = identity.account_id
    return identity


def check_route(route, identity):
    """Return a refusal if an account may not use a route, else None.

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
