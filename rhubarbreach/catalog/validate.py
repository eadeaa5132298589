"""Checks of a whole configuration before it is accepted."""

import collections

from rhubarbreach import codes

__all__ = ['find_fault', 'refuse_invalid']


def find_fault(catalog):
    """Return why a configuration is invalid, or None.

    Parameters
    ----------
    catalog : Catalog
        Configuration.

    Returns
    -------
    str or None
        The first fault found.
    """
    services = {service.name for service in catalog.services}
    if len(services) < len(catalog.services):
        return 'two services share a name'
    places = set()
    for route in catalog.routes:
        fault = find_route_fault(route, services)
        if fault is not None:
            return f'route {route.name}: {fault}'
        place = (route.host, route.path_prefix)
        if place in places:
            return f'route {route.name}: shares its host and prefix'
        places.add(place)
    keys = collections.Counter(
        key for account in catalog.accounts for key in set(account.keys)
    )
    if any(count > 1 for count in keys.values()):
        return 'two client accounts share a key'
    names = {account.name for account in catalog.accounts}
    if len(names) < len(catalog.accounts):
        return 'two client accounts share a name'
    return None


def find_route_fault(route, services):
    """Return why a route is invalid, or None."""
    if route.timeout <= 0:
        return 'timeout is not positive'
    if any(target.weight < 0 for target in route.targets):
        return 'weight is negative'
    if sum(target.weight for target in route.targets) <= 0:
        return 'weights add up to 0'
    for target in route.targets:
        if target.service not in services:
            return f'service {target.service} is not known'
    return None


def refuse_invalid(fault):
    """Return the refusal of an invalid configuration."""
    return codes.Refusal(codes.ResultCode.INVALID_CHANGE, fault)
