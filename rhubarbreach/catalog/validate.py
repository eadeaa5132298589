"""Validation of a configuration before it is accepted."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach import serialization

__all__ = ['Fault', 'find_fault', 'find_faults', 'refuse_invalid']


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Reason for which a configuration is refused.

    Parameters
    ----------
    code : str
        Code of the finding, as in `configcheck.findings`.
    place : tuple of str and int
        Attributes and positions that lead from the catalog to the fault.
    text : str
        Description.
    """

    code: str
    place: tuple
    text: str


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
    fault = next(find_faults(catalog), None)
    return None if fault is None else fault.text


def find_faults(catalog):
    """Yield each `Fault` of a configuration; one without any is valid."""
    yield from find_number_faults(catalog)
    yield from find_repeated_names(
        'services',
        catalog.services,
        'service_repeated',
        'two services have the same name',
    )
    services = {service.name for service in catalog.services}
    prefixes = set()
    for position, route in enumerate(catalog.routes):
        place = ('routes', position)
        for fault in find_route_faults(route, services):
            yield Fault(
                fault.code,
                place + fault.place,
                f'route {route.name}: {fault.text}',
            )
        prefix = (route.host, route.path_prefix)
        if prefix in prefixes:
            yield Fault(
                'route_repeated',
                place,
                f'route {route.name}: another route has its host and prefix',
            )
        prefixes.add(prefix)
    yield from find_repeated_keys(catalog.accounts)
    yield from find_repeated_names(
        'accounts',
        catalog.accounts,
        'account_repeated',
        'two client accounts have the same name',
    )


def find_number_faults(catalog):
    """Yield a fault for each integer that no message can carry."""
    integers = [(('version',), catalog.version)]
    for position, service in enumerate(catalog.services):
        place = ('services', position)
        integers.append(((*place, 'slots'), service.slots))
        integers.append(((*place, 'max_connections'), service.max_connections))
    for position, route in enumerate(catalog.routes):
        place = ('routes', position)
        integers.append(((*place, 'max_attempts'), route.max_attempts))
        integers.append(((*place, 'waiting_tokens'), route.waiting_tokens))
    for place, value in integers:
        if not serialization.MIN_INTEGER <= value <= serialization.MAX_INTEGER:
            yield Fault(
                'number_out_of_range', place, 'a number is out of range'
            )


def find_repeated_names(field, entries, code, text):
    """Yield a fault for each entry with the name of an earlier one."""
    names = set()
    for position, entry in enumerate(entries):
        if entry.name in names:
            yield Fault(code, (field, position, 'name'), text)
        names.add(entry.name)


def find_repeated_keys(accounts):
    """Yield a fault for each key that an earlier account has as well."""
    owners = {}
    for position, account in enumerate(accounts):
        for number, key in enumerate(account.keys):
            if owners.setdefault(key, position) != position:
                yield Fault(
                    'key_repeated',
                    ('accounts', position, 'keys', number),
                    'two client accounts have the same key',
                )


def find_route_faults(route, services):
    """Yield the faults of one route, with their place in it."""
    if route.timeout <= 0:
        yield Fault(
            'timeout_not_positive',
            ('timeout',),
            f'the timeout of {route.timeout:g} s is not greater than 0 s',
        )
    for position, target in enumerate(route.targets):
        if target.weight < 0:
            yield Fault(
                'weight_negative',
                ('targets', position, 'weight'),
                'the weight of a target is negative',
            )
    if sum(target.weight for target in route.targets) <= 0:
        yield Fault(
            'weights_all_zero',
            ('targets',),
            'the sum of the weights of the targets is 0',
        )
    for position, target in enumerate(route.targets):
        if target.service not in services:
            yield Fault(
                'service_undefined',
                ('targets', position, 'service'),
                f'service {target.service} is not defined',
            )


def refuse_invalid(fault):
    """Return the refusal of an invalid configuration."""
    return codes.Refusal(codes.ResultCode.INVALID_CHANGE, fault)
