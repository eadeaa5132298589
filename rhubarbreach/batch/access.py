"""Authentication of callers of batch jobs and routing of the items."""

import dataclasses

from rhubarbreach.batch import upload
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.entry import access
from rhubarbreach.entry import routes

__all__ = ['Access', 'Caller']

SAFE_METHODS = ('GET', 'HEAD')


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Client account that sent a request."""

    account_id: str
    weight: float


class Access:
    """Authentication of callers against the configuration of this host.

    Parameters
    ----------
    view : ConfigView
        Configuration in effect.
    limiter : RateLimiter or None
        Rate limits of accounts. GET and HEAD requests are not charged.
    """

    def __init__(self, view, limiter=None):
        self.view = view
        self.limiter = limiter

    def identify(self, request):
        """Return the `Caller` of a request, or a refusal."""
        now = clock.monotonic()
        identity = access.authenticate(self.view, request, now)
        if isinstance(identity, codes.Refusal):
            return identity
        account_id = identity.account_id
        if self.limiter is not None and request.method not in SAFE_METHODS:
            refusal = self.limiter.acquire(account_id, 1.0, now)
            if refusal is not None:
                return refusal
        account = routes.find_account(self.view.snapshot, account_id)
        return Caller(account_id, 1.0 if account is None else account.weight)

    def find_route(self, caller, method, path):
        """Return the `JobRoute` for the items of a job, or a refusal."""
        config = self.view.snapshot
        route = routes.find_route(config, path)
        if route is None:
            reason = f'no route is configured for the path {path}'
            return codes.Refusal(codes.ResultCode.ROUTE_UNKNOWN, reason)
        refusal = access.check_route(route, caller)
        if refusal is not None:
            return refusal
        if route.kind == routes.SERVICE:
            return upload.JobRoute(route.target, route.idempotent)
        if method != 'POST':
            reason = f'the path {path} accepts only the method POST'
            return codes.Refusal(codes.ResultCode.METHOD_NOT_ALLOWED, reason)
        return upload.JobRoute('', route.idempotent)

    def has_model(self, model_id):
        """Return whether a model is configured."""
        return routes.has_model(self.view.snapshot, model_id)
