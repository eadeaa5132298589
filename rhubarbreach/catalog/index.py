"""Look-ups in a configuration."""

import random

__all__ = ['Index', 'choose_target']


class Index:
    """A configuration arranged for look-ups.

    Parameters
    ----------
    catalog : Catalog
        Configuration.
    """

    def __init__(self, catalog):
        self.catalog = catalog
        self.version = catalog.version
        self.services = {one.name: one for one in catalog.services}
        self.accounts = {one.name: one for one in catalog.accounts}
        self.keys = {
            key: account
            for account in catalog.accounts
            for key in account.keys
        }
        self.hosts = {}
        for route in catalog.routes:
            places = self.hosts.setdefault(route.host, {})
            places[route.path_prefix] = route

    def find_route(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Every prefix ends with a slash, so that only the prefixes of the path
        that do have to be looked up, however many routes there are.
        """
        places = self.hosts.get(host)
        if places is None:
            return None
        path = path.split('?', 1)[0]
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = places.get(path[:end]) if end else None
            if route is not None:
                return route
            end -= 1
        return None

    def find_account(self, key):
        """Return the client account of a key, or None."""
        return self.keys.get(key)


def choose_target(route, draw=random.random):
    """Return a service of a route, drawn by weight."""
    if len(route.targets) == 1:
        return route.targets[0].service
    point = draw() * sum(target.weight for target in route.targets)
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service
    return next(t.service for t in reversed(route.targets) if t.weight > 0)
