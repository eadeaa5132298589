"""Validation of a configuration before it is accepted."""

import collections

from rhubarbreach import codes
from rhubarbreach import serialization

__all__ = ['find_fault', 'refuse_invalid']


def find_fault(catalog):
    """Return why a configuration is invalid, or None.

    Parameters
    ----------
    catalog : Catalog
        Configuration to check.

    Returns
    -------
    str or None
        Description of the first fault.
    """
    integers = [
        catalog.version,
        *(service.slots for service in catalog.services),
        *(service.max_connections for service in catalog.services),
        *(route.max_attempts for route in catalog.routes),
        *(route.waiting_tokens for route in catalog.routes),
    ]
    if (
        min(integers) < serialization.MIN_INTEGER
        or max(integers) > serialization.MAX_INTEGER
    ):
        return 'a number is out of range'
    services = {service.name for service in catalog.services}
    if len(services) < len(catalog.services):
        return 'two services have the same name'
    prefixes = set()
    for route in catalog.routes:
        fault = find_route_fault(route, services)
        if fault is not None:
            return f'route {route.name}: {fault}'
        prefix = (route.host, route.path_prefix)
        if prefix in prefixes:
            return f'route {route.name}: another route has its host and prefix'
        prefixes.add(prefix)
    keys = collections.Counter(
        key for account in catalog.accounts for key in set(account.keys)
    )
    if any(count > 1 for count in keys.values()):
        return 'two client accounts have the same key'
    names = {account.name for account in catalog.accounts}
    if len(names) < len(catalog.accounts):
        return 'two client accounts have the same name'
    return None


def find_route_fault(route, services):
    """Return why a route is invalid, or None."""
    if route.timeout <= 0:
        return f'the timeout of {route.timeout:g} s is not greater than 0 s'
    if any(target.weight < 0 for target in route.targets):
        return 'the weight of a target is negative'
    if sum(target.weight for target in route.targets) <= 0:
        return 'the sum of the weights of the targets is 0'
    for target in route.targets:
        if target.service not in services:
            return f'service {target.service} is not defined'
    return None


def refuse_invalid(fault):
    """Return the refusal of an invalid configuration."""
    return codes.Refusal(codes.ResultCode.INVALID_CHANGE, fault)
