"""Callers and routes as the job routes need them."""

from rhubarbreach.batch import api
from rhubarbreach.batch import upload
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.entry import access
from rhubarbreach.entry import routes

__all__ = ['JobAccess']


class JobAccess:
    """Authenticates callers of the job routes.

    Parameters
    ----------
    view : distribution.view.ConfigView
        Configuration and keys.
    """

    def __init__(self, view):
        self.view = view

    def identify(self, request):
        """Return the `Caller` of a request or a refusal."""
        identity = access.authenticate(self.view, request, clock.monotonic())
        if isinstance(identity, codes.Refusal):
            return identity
        account = self.view.snapshot.get_account(identity.account_id)
        weight = 1.0 if account is None else account.weight
        return api.Caller(identity.account_id, weight)

    def find_route(self, caller, method, path):
        """Return the `JobRoute` of an item or a refusal."""
        route = routes.find_route(self.view.snapshot, path)
        if route is None:
            return codes.Refusal(
                codes.ResultCode.ROUTE_UNKNOWN, f'no route for {path}'
            )
        refusal = access.check_route(route, caller)
        if refusal is not None:
            return refusal
        return upload.JobRoute(route.target, route.idempotent)
