"""Index of a configuration."""

import random

from rhubarbreach.catalog import model

__all__ = ['Index', 'choose_target']


class Index:
    """Index of a configuration by name, key, host and path.

    Parameters
    ----------
    catalog : Catalog
        Configuration to index.
    """

    def __init__(self, catalog):
        self.catalog = catalog
        self.version = catalog.version
        self.services = {service.name: service for service in catalog.services}
        self.accounts = {account.name: account for account in catalog.accounts}
        self.keys = {
            key: account
            for account in catalog.accounts
            for key in account.keys
        }
        self.hosts = {}
        for route in catalog.routes:
            routes = self.hosts.setdefault(route.host, {})
            routes[route.path_prefix] = route
        # Hosts at which callers without an account may submit batch jobs.
        self.public_job_hosts = {
            route.host
            for route in catalog.routes
            if route.public and route.kind is model.RouteKind.BATCH
        }

    def find_route(self, host, path):
        """Return the route with the longest matching path prefix, or None.

        Every path prefix ends with a slash. The number of look-ups is
        therefore at most the number of slashes in the path, whatever the
        number of routes.
        """
        routes = self.hosts.get(host)
        if routes is None:
            return None
        path = path.split('?', 1)[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = routes.get(path[:end]) if end else None
            if route is not None:
                return route
            end -= 1
        return None

    def find_account(self, key):
        """Return the client account that a key belongs to, or None."""
        return self.keys.get(key)


def choose_target(route, draw=random.random):
    """Return the name of a random service of a route, drawn by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    point = draw() * sum(target.weight for target in route.targets)
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    # Rounding may leave a remainder after the last target.
    return next(
        target.service
        for target in reversed(route.targets)
        if target.weight > 0
    )
