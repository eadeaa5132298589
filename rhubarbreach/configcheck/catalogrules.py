"""Warnings about a catalog that the store hosts accept.

They concern entries that no request uses and limits that contradict each
other. Places are those of `catalog.model`; the adapter that decoded the
catalog translates them.
"""

from rhubarbreach.catalog import index as indexes
from rhubarbreach.catalog import model
from rhubarbreach.configcheck import findings
from rhubarbreach.fleet import cold_permits

__all__ = ['find_warnings']

BATCH_OPTIONS = ('completion', 'retention', 'waiting_tokens')
ROUTE_NUMBERS = ('objective', 'longest_pause', *BATCH_OPTIONS)
ACCOUNT_NUMBERS = ('rate', 'burst')
CALLER_LIMITS = (
    'max_header_bytes',
    'max_body_bytes',
    'header_timeout',
    'idle_timeout',
)


def find_warnings(catalog, fleet, read_host, job_paths):
    """Yield the warnings about a catalog.

    Parameters
    ----------
    catalog : Catalog
        Configuration without faults.
    fleet : Fleet
        What the configuration does not say.
    read_host : callable
        `read_host(text)` returns the host of a request by the text of its
        header.
    job_paths : tuple of str
        Beginnings of the paths of calls for batch jobs.

    Yields
    ------
    Finding
    """
    yield from find_unreachable_routes(catalog, read_host)
    yield from find_routes_of_job_calls(catalog, job_paths)
    for position, route in enumerate(catalog.routes):
        place = ('routes', position)
        yield from find_negative(route, ROUTE_NUMBERS, place)
        yield from find_time_conflicts(route, place)
        yield from find_useless_options(route, place)
        yield from find_attempt_conflicts(route, fleet, place)
        yield from find_idle_targets(route, place)
    yield from find_unused_services(catalog)
    for position, service in enumerate(catalog.services):
        yield from find_service_conflicts(
            service, fleet, ('services', position)
        )
    yield from find_access_conflicts(catalog)
    yield from find_rate_conflicts(catalog, fleet)
    for name in CALLER_LIMITS:
        value = getattr(catalog.limits, name)
        if value <= 0:
            yield findings.Finding(
                'limit_allows_nothing',
                ('limits', name),
                f'{value} is not greater than 0',
            )


def find_unreachable_routes(catalog, read_host):
    """Yield routes that no request takes, and repeated names.

    A route is reachable exactly if a request for its own host and prefix
    takes it: prefixes are compared up to each slash of a path, and a path
    ends before a question mark.
    """
    index = indexes.Index(catalog)
    names = {}
    for position, route in enumerate(catalog.routes):
        place = ('routes', position)
        if not may_be_named(route.host, read_host):
            yield findings.Finding(
                'route_never_chosen',
                (*place, 'host'),
                f'no request has the host {route.host!r}',
            )
        elif index.find_route(route.host, route.path_prefix) is not route:
            reason = 'does not end with a slash'
            if '?' in route.path_prefix:
                reason = 'holds a question mark, at which a path ends'
            yield findings.Finding(
                'route_never_chosen',
                (*place, 'path_prefix'),
                f'the prefix {route.path_prefix!r} {reason}',
            )
        first = names.setdefault(route.name, position)
        if first != position:
            yield findings.Finding(
                'route_name_repeated',
                (*place, 'name'),
                f'routes[{first}] has the name {route.name!r} as well',
            )


def find_routes_of_job_calls(catalog, job_paths):
    """Yield routes that calls for batch jobs would take as requests."""
    batch_hosts = {
        route.host
        for route in catalog.routes
        if route.kind is model.RouteKind.BATCH
    }
    for position, route in enumerate(catalog.routes):
        if route.kind is model.RouteKind.BATCH:
            continue
        prefix = route.path_prefix
        if prefix.startswith(job_paths) or (
            route.host in batch_hosts
            and any(path.startswith(prefix) for path in job_paths)
        ):
            yield findings.Finding(
                'job_calls_first',
                ('routes', position, 'path_prefix'),
                f'the prefix {prefix!r} covers calls for batch jobs, which do '
                'not take the route if there is such a job',
            )


def may_be_named(host, read_host):
    """Return whether the header of a request may name a host."""
    try:
        return read_host(host.encode('latin-1').decode('latin-1')) == host
    except UnicodeEncodeError:
        return False


def find_negative(entry, names, place):
    """Yield a warning for each negative number of an entry."""
    for name in names:
        value = getattr(entry, name)
        if value < 0:
            yield findings.Finding(
                'number_negative', (*place, name), f'{value} is negative'
            )


def find_time_conflicts(route, place):
    """Yield the times of a route that contradict each other."""
    if route.timeout < route.objective:
        yield findings.Finding(
            'timeout_below_objective',
            (*place, 'timeout'),
            f'requests end after {route.timeout:g} s, the objective is '
            f'{route.objective:g} s',
        )
    is_stream = route.kind is model.RouteKind.STREAM
    if is_stream and route.timeout < route.longest_pause:
        yield findings.Finding(
            'timeout_below_pause',
            (*place, 'timeout'),
            f'requests end after {route.timeout:g} s, the longest pause is '
            f'{route.longest_pause:g} s',
        )
    if route.kind is not model.RouteKind.BATCH:
        return
    if route.completion <= 0:
        yield findings.Finding(
            'job_due_at_once',
            (*place, 'completion'),
            'batch jobs are due when they are submitted',
        )
    if route.retention < route.completion:
        yield findings.Finding(
            'retention_below_completion',
            (*place, 'retention'),
            f'items may be abandoned after {route.retention:g} s and are due '
            f'after {route.completion:g} s',
        )


def find_useless_options(route, place):
    """Yield the options that have no effect on routes of this kind."""
    if route.kind is not model.RouteKind.BATCH:
        for name in BATCH_OPTIONS:
            if getattr(route, name) > 0:
                yield findings.Finding(
                    'batch_option_unused',
                    (*place, name),
                    'only batch routes have this option',
                )
    if route.kind is not model.RouteKind.STREAM:
        for name in ('resumable', 'longest_pause'):
            if getattr(route, name) > 0:
                yield findings.Finding(
                    'stream_option_unused',
                    (*place, name),
                    'only stream routes have this option',
                )


def find_attempt_conflicts(route, fleet, place):
    """Yield the conflicts of the number of attempts of a route."""
    place = (*place, 'max_attempts')
    attempts = route.max_attempts
    may_repeat = route.is_repeatable or route.kind is model.RouteKind.BATCH
    if attempts < 1:
        yield findings.Finding(
            'attempts_below_one', place, f'{attempts} counts as one attempt'
        )
    elif attempts > 1 and not may_repeat:
        yield findings.Finding(
            'attempts_unused',
            place,
            f'{attempts} attempts, but the requests may not run twice',
        )
    # A batch item may run several times at one endpoint.
    if not route.is_repeatable:
        return
    counts = [
        fleet.endpoints.get(target.service)
        for target in route.targets
        if target.weight > 0
    ]
    if counts and None not in counts:
        most = max(known.count for known in counts)
        if attempts > max(1, most):
            yield findings.Finding(
                'attempts_above_endpoints',
                place,
                f'{attempts} attempts, but {most} endpoints',
            )


def find_idle_targets(route, place):
    """Yield the targets that get no requests."""
    for position, target in enumerate(route.targets):
        if target.weight == 0:
            yield findings.Finding(
                'target_without_weight',
                (*place, 'targets', position),
                f'service {target.service} gets no requests of this route',
            )


def find_unused_services(catalog):
    """Yield the services that no route names."""
    used = {
        target.service for route in catalog.routes for target in route.targets
    }
    for position, service in enumerate(catalog.services):
        if service.name not in used:
            yield findings.Finding(
                'service_unused',
                ('services', position),
                f'no route names service {service.name}',
            )


def find_service_conflicts(service, fleet, place):
    """Yield the limits of a service that contradict each other."""
    if service.slots < 1:
        yield findings.Finding(
            'service_without_slots',
            (*place, 'slots'),
            f'endpoints have {service.slots} slots',
        )
    if 0 < service.max_connections < service.slots:
        yield findings.Finding(
            'slots_above_connections',
            (*place, 'max_connections'),
            f'{service.max_connections} connections for {service.slots} slots',
        )
    if service.cold_start > 0 and service.cold_rate <= 0:
        yield findings.Finding(
            'cold_start_without_rate',
            (*place, 'cold_start'),
            'requests to cold endpoints are not limited',
        )
    if service.cold_rate <= 0:
        return
    limit = cold_permits.compute_limit(
        service.cold_rate, fleet.cold_overage, fleet.cold_slack
    )
    # Only whole permits are granted.
    if limit.capacity < 1:
        yield findings.Finding(
            'cold_limit_allows_nothing',
            (*place, 'cold_rate'),
            f'{service.cold_rate:g} requests/s allow '
            f'{limit.capacity:g} permits at once',
        )


def find_access_conflicts(catalog):
    """Yield accounts that no request can name, and routes without callers."""
    closed = [
        position
        for position, route in enumerate(catalog.routes)
        if not route.public
    ]
    if catalog.accounts and catalog.routes and not closed:
        yield findings.Finding(
            'accounts_unused', ('accounts',), 'no route needs a key'
        )
    has_keys = False
    for position, account in enumerate(catalog.accounts):
        place = ('accounts', position)
        for number, key in enumerate(account.keys):
            if not key:
                yield findings.Finding(
                    'key_empty',
                    (*place, 'keys', number),
                    f'account {account.name} has an empty key',
                )
        if any(account.keys):
            has_keys = True
            continue
        yield findings.Finding(
            'account_without_keys',
            place,
            f'account {account.name} has no key',
        )
    if not catalog.has_accounts or has_keys:
        return
    for position in closed:
        yield findings.Finding(
            'route_admits_nobody',
            ('routes', position),
            'the route needs a key, and no account has one',
        )


def find_rate_conflicts(catalog, fleet):
    """Yield the contradictory limits of accounts."""
    stated = {service.name: service.slots for service in catalog.services}
    # Batch jobs are not counted by the rate.
    used = {
        target.service: stated[target.service]
        for route in catalog.routes
        if not route.public and route.kind is not model.RouteKind.BATCH
        for target in route.targets
        if target.weight > 0
    }
    capacity = fleet.compute_capacity(used)
    for position, account in enumerate(catalog.accounts):
        place = ('accounts', position)
        yield from find_negative(account, ACCOUNT_NUMBERS, place)
        if account.rate <= 0 < account.burst:
            yield findings.Finding(
                'burst_without_rate',
                (*place, 'burst'),
                f'a burst of {account.burst:g}, but no limited rate',
            )
        if account.rate > 0 and 0 <= account.burst < 1:
            yield findings.Finding(
                'burst_below_one',
                (*place, 'burst'),
                f'a burst of {account.burst:g} holds no whole request; only '
                'the tolerance of the hosts admits any',
            )
        if used and capacity is not None and account.rate > capacity:
            yield findings.Finding(
                'rate_above_capacity',
                (*place, 'rate'),
                f'{account.rate:g} requests/s, but the slots of '
                f'{", ".join(sorted(used))} do {capacity:g}',
            )
