"""Look-up of routes, accounts and models in the configuration."""

import bisect
import operator

from rhubarbreach.state import model

__all__ = ['find_account', 'find_route', 'has_model']

# Routes that are used if the configuration has none for the path.
DEFAULT_ROUTES = {
    path: model.Route(route_id=name, path=path)
    for name, path in (
        ('chat', '/v1/chat/completions'),
        ('completions', '/v1/completions'),
    )
}
SERVICE = 'service'


def find_route(config, path):
    """Return the route of a path, or None.

    Parameters
    ----------
    config : state.model.Config
        Configuration in effect.
    path : str
        Decoded path of the request.

    Returns
    -------
    state.model.Route or None
        Route with the longest matching path. The path of a service route is
        a prefix that ends at a `/` or at the end of the request path.
    """
    best = None
    for route in config.routes:
        if matches_path(route, path) and (
            best is None or len(route.path) > len(best.path)
        ):
            best = route
    return best or DEFAULT_ROUTES.get(path)


def matches_path(route, path):
    """Return whether a route covers a path."""
    if route.path == path:
        return True
    if route.kind != SERVICE:
        return False
    return path.startswith(route.path.rstrip('/') + '/')


def find_account(config, account_id):
    """Return an account, or None if it is unknown."""
    return find_by_id(config.accounts, 'account_id', account_id)


def has_model(config, model_id):
    """Return whether callers may request a model."""
    return find_by_id(config.models, 'model_id', model_id) is not None


def find_by_id(entries, name, value):
    """Return the entry with an id in a tuple sorted by id, or None."""
    get_id = operator.attrgetter(name)
    position = bisect.bisect_left(entries, value, key=get_id)
    if position < len(entries) and get_id(entries[position]) == value:
        return entries[position]
    return None
