"""Findings in a configuration and their stable codes."""

import dataclasses
import re

from rhubarbreach import exceptions
from rhubarbreach.settings import role

__all__ = [
    'CODES',
    'ERROR',
    'Endpoints',
    'Finding',
    'Fleet',
    'WARNING',
    'get_severity',
    'parse_fleet',
]

ERROR = 'error'
WARNING = 'warning'
# Severity and meaning by code. Scripts rely on the codes: they are added, but
# neither renamed nor given another meaning.
CODES = {
    'document_unreadable': (
        ERROR,
        'not JSON in UTF-8, nested too deeply, or a value of another type',
    ),
    'document_too_large': (
        ERROR,
        'more bytes than a store host takes or the command reads',
    ),
    'number_out_of_range': (ERROR, 'a whole number that no message carries'),
    'timeout_not_positive': (ERROR, 'the timeout of a route is not above 0'),
    'weight_negative': (ERROR, 'the weight of a target is negative'),
    'weights_all_zero': (
        ERROR,
        'a route without a target of a weight above 0',
    ),
    'service_undefined': (ERROR, 'a target that is not among the services'),
    'service_repeated': (ERROR, 'two services with the same name'),
    'route_repeated': (ERROR, 'two routes with the same host and prefix'),
    'account_repeated': (ERROR, 'two client accounts with the same name'),
    'key_repeated': (ERROR, 'two client accounts with the same key'),
    'change_refused': (
        ERROR,
        'an entry that the store hosts refuse; the text is their reason',
    ),
    'field_repeated': (WARNING, 'a name twice in an object; the last counts'),
    'field_unknown': (WARNING, 'a field that no host reads'),
    'entry_replaced': (WARNING, 'a later entry with the same id replaces it'),
    'version_not_newer': (
        WARNING,
        'the version is not above the one in force, so it has no effect',
    ),
    'route_never_chosen': (
        WARNING,
        'no request takes the route: another one covers it, or its host or '
        'path occurs in no request',
    ),
    'job_calls_first': (
        WARNING,
        'calls for batch jobs do not take the route if there is such a job',
    ),
    'batch_route_removed': (
        WARNING,
        'open items of accepted jobs are given up with their route',
    ),
    'route_name_repeated': (WARNING, 'two routes have the same name'),
    'route_admits_nobody': (
        WARNING,
        'the route needs a key, and no account that may use it has one',
    ),
    'service_unused': (WARNING, 'no route names the service'),
    'target_without_weight': (WARNING, 'a target that gets no requests'),
    'account_without_keys': (WARNING, 'no request can name the account'),
    'accounts_unused': (WARNING, 'accounts, but no route needs a key'),
    'key_empty': (WARNING, 'an empty key, which no request can carry'),
    'timeout_below_objective': (
        WARNING,
        'requests end before the latency objective is missed',
    ),
    'timeout_below_pause': (
        WARNING,
        'requests end before the longest pause of their stream',
    ),
    'attempts_unused': (
        WARNING,
        'several attempts for requests that may not run twice',
    ),
    'attempts_below_one': (WARNING, 'fewer than one attempt'),
    'attempts_above_endpoints': (
        WARNING,
        'more attempts than any service of the route has endpoints; needs '
        '`--endpoints`',
    ),
    'rate_above_capacity': (
        WARNING,
        'the rate of an account is above what all slots that it may use can '
        'do; needs `--endpoints` and `--request-seconds`',
    ),
    'rate_zero': (WARNING, 'nothing is admitted once the burst is used'),
    'burst_without_rate': (WARNING, 'a burst, but no limit on the rate'),
    'burst_below_one': (
        WARNING,
        'a limited rate with a burst of less than one request',
    ),
    'number_negative': (WARNING, 'a limit or time that is negative'),
    'batch_option_unused': (
        WARNING,
        'an option of batch jobs on another route',
    ),
    'stream_option_unused': (WARNING, 'an option of streams on another route'),
    'job_due_at_once': (WARNING, 'batch jobs without time to complete'),
    'retention_below_completion': (
        WARNING,
        'items may be abandoned before their batch job is due',
    ),
    'service_without_slots': (WARNING, 'endpoints without a slot'),
    'slots_above_connections': (
        WARNING,
        'more slots of an endpoint than connections of its service',
    ),
    'cold_start_without_rate': (
        WARNING,
        'a cold start, but no limit on requests to cold endpoints',
    ),
    'cold_limit_allows_nothing': (
        WARNING,
        'cold endpoints get no permit; depends on `--cold-overage` and '
        '`--cold-slack`',
    ),
    'limit_allows_nothing': (
        WARNING,
        'a limit on callers that no request, or none with a body, can keep',
    ),
}
ROLE_DEFAULTS = {
    field.name: field.default
    for field in dataclasses.fields(role.RoleSettings)
}
ENDPOINTS = re.compile(r'([^=,]+)=([0-9]{1,9})(?:x([0-9]{1,9}))?')


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A finding; `place` leads from the document to it.

    `code` is one of `CODES`.
    """

    code: str
    place: tuple
    text: str


def get_severity(finding):
    """Return `ERROR` or `WARNING`."""
    return CODES[finding.code][0]


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoints:
    """Endpoints of a service; `slots` of each is None if not known."""

    count: int
    slots: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Fleet:
    """What a configuration does not say about the fleet.

    Parameters
    ----------
    endpoints : dict of str to Endpoints
        Known endpoints by service.
    request_seconds : float
        Mean time for which a request holds a slot, 0 if unknown.
    cold_overage, cold_slack : float
        Settings of the hosts, as in `settings.role.RoleSettings`.
    """

    endpoints: dict = dataclasses.field(default_factory=dict)
    request_seconds: float = 0.0
    cold_overage: float = ROLE_DEFAULTS['cold_overage']
    cold_slack: float = ROLE_DEFAULTS['cold_slack']

    def compute_capacity(self, slots_by_service):
        """Return the requests per second of services, None if unknown.

        Parameters
        ----------
        slots_by_service : dict of str to int or None
            Slots of an endpoint that the configuration states, by service.
        """
        if not self.request_seconds:
            return None
        slots = 0
        for service, stated in slots_by_service.items():
            known = self.endpoints.get(service)
            each = (
                stated if known is None or known.slots is None else known.slots
            )
            if known is None or each is None:
                return None
            slots += known.count * max(0, each)
        return slots / self.request_seconds


def parse_fleet(endpoints, **numbers):
    """Return the `Fleet` of the options of a command.

    Parameters
    ----------
    endpoints : str
        `SERVICE=COUNT` or `SERVICE=COUNTxSLOTS`, separated by commas.
    **numbers : float or str
        Other fields of `Fleet`; None for the default.

    Raises
    ------
    SettingsError
        If an option is not valid.
    """
    known = {}
    for part in endpoints.split(',') if endpoints else ():
        match = ENDPOINTS.fullmatch(part.strip())
        if match is None:
            raise exceptions.SettingsError(
                [f'endpoints: {part!r} is not SERVICE=COUNT[xSLOTS]']
            )
        slots = None if match[3] is None else int(match[3])
        known[match[1]] = Endpoints(int(match[2]), slots)
    values = {}
    for name, value in numbers.items():
        if value is None:
            continue
        try:
            values[name] = float(value)
        except (TypeError, ValueError):
            values[name] = -1.0
        if not 0 <= values[name] < float('inf'):
            raise exceptions.SettingsError(
                [f'{name}: {value!r} is not a number from 0 on']
            )
    return Fleet(known, **values)
