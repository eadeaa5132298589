"""Look-up of routes, accounts and models in the configuration."""

import bisect
import operator

from rhubarbreach.state import model

__all__ = ['find_account', 'find_route', 'has_model']

# Used when the configuration has no route for the path.
DEFAULT_ROUTES = {
    path: model.Route(route_id=name, path=path)
    for name, path in (
        ('chat', '/v1/chat/completions'),
        ('completions', '/v1/completions'),
    )
}
SERVICE = 'service'


def find_route(config, path):
    """Return the route of a path, None without one.

    Parameters
    ----------
    config : state.model.Config
        Configuration in effect.
    path : str
        Decoded path of the request.

    Returns
    -------
    state.model.Route or None
        Route with the longest matching path; the path of a service route
        is a prefix that ends at a `/` or at the end.
    """
    best = None
    for route in config.routes:
        if matches(route, path) and (
            best is None or len(route.path) > len(best.path)
        ):
            best = route
    return best or DEFAULT_ROUTES.get(path)


def matches(route, path):
    """Return whether a route covers a path."""
    if route.path == path:
        return True
    if route.kind != SERVICE:
        return False
    return path.startswith(route.path.rstrip('/') + '/')


def find_account(config, account_id):
    """Return an account, None if it is not known."""
    return find_sorted(config.accounts, 'account_id', account_id)


def has_model(config, model_id):
    """Return whether callers may ask for a model."""
    return find_sorted(config.models, 'model_id', model_id) is not None


def find_sorted(members, name, value):
    """Return the member with an id in a tuple sorted by that id."""
    get_id = operator.attrgetter(name)
    position = bisect.bisect_left(members, value, key=get_id)
    if position < len(members) and get_id(members[position]) == value:
        return members[position]
    return None
