"""Errors and warnings of a configuration of `state.model`.

The entries of a document are applied as the changes of the operator commands,
to an empty configuration and by the code of the store hosts: accounts, models,
keys, routes.
"""

import dataclasses
import types

import msgspec

from rhubarbreach import codes
from rhubarbreach.configcheck import differences
from rhubarbreach.configcheck import documents
from rhubarbreach.configcheck import findings
from rhubarbreach.entry import routes as entry_routes
from rhubarbreach import exceptions
from rhubarbreach import serialization
from rhubarbreach.state import changes as state_changes
from rhubarbreach.state import index
from rhubarbreach.state import model

__all__ = ['Format', 'make_contents']

# Kind of the entries of each field, and the attribute with their id.
ENTRIES = {
    'accounts': ('account', 'account_id'),
    'models': ('model', 'model_id'),
    'keys': ('key', 'key_id'),
    'routes': ('route', 'route_id'),
}
SERVICE = 'service'


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """The entries of a `state.model.Config` that operators change."""

    accounts: tuple[model.Account, ...] = ()
    models: tuple[model.Model, ...] = ()
    keys: tuple[model.Key, ...] = ()
    routes: tuple[model.Route, ...] = ()


DECODER = msgspec.json.Decoder(Document)


class Format:
    """Format of the documents that hold a `Document`."""

    # One of 13,000 accounts with a key each has 4 MB.
    max_bytes = 16 * 1024 * 1024

    def check(self, data, found, fleet, in_force):
        """Return the findings of a document.

        Parameters
        ----------
        data : bytes
            The document.
        found : Scan
            Scan of the document.
        fleet : Fleet
            What the configuration does not say.
        in_force : Contents or None
            Version in force, not used.
        """
        try:
            document = decode(data)
        except exceptions.MessageError as error:
            return [documents.make_decode_finding(str(error), found)]
        warnings = list(documents.find_field_warnings(found, Document))
        refusals, config, places = apply_entries(document)
        return refusals + warnings + find_warnings(config, places, fleet)

    def read_contents(self, data):
        """Return the `Contents` of a document.

        Raises
        ------
        MessageError
            If the document cannot be decoded.
        """
        return make_contents(decode(data))


def decode(data):
    """Decode a document.

    Raises
    ------
    MessageError
        If it is malformed.
    """
    try:
        data.decode()
    except UnicodeDecodeError as error:
        raise exceptions.MessageError(str(error)) from error
    return serialization.decode_json(DECODER, data)


def make_contents(document):
    """Return the `Contents` of a `Document` or `state.model.Config`."""
    entries = {}
    for field, (kind, name) in ENTRIES.items():
        for entry in getattr(document, field):
            values = msgspec.to_builtins(entry, builtin_types=(bytes,))
            if kind == 'key':
                # The stores number the keys.
                del values['revision']
                values['digest'] = differences.hide_secret(
                    values['digest'].hex()
                )
            entries[kind, values.pop(name)] = values
    return differences.Contents(entries)


def make_changes(field, entry):
    """Return the changes that make an entry."""
    match field:
        case 'accounts':
            return (model.PutAccount(entry),)
        case 'models':
            return (model.PutModel(entry),)
        case 'routes':
            return (model.PutRoute(entry),)
    put = model.PutKey(dataclasses.replace(entry, revoked=False))
    return (put, model.RevokeKey(entry.key_id)) if entry.revoked else (put,)


def apply_entries(document):
    """Apply the entries of a document as the stores do.

    Returns
    -------
    findings : list of Finding
        Refused entries, and entries that later ones replace.
    config : state.index.Config
        Configuration of the accepted entries.
    places : dict of tuple to tuple
        Place of each accepted entry by its field and id.
    """
    refusals = []
    config = index.Config()
    places = {}
    for field, (_, name) in ENTRIES.items():
        for position, entry in sort_entries(getattr(document, field)):
            place = (field, position)
            changed = apply_changes(config, make_changes(field, entry))
            if isinstance(changed, codes.Refusal):
                refusals.append(
                    findings.Finding('change_refused', place, changed.reason)
                )
                continue
            config = changed
            entry_id = (field, getattr(entry, name))
            if entry_id in places:
                refusals.append(
                    findings.Finding(
                        'entry_replaced',
                        places[entry_id],
                        f'{documents.format_place(place)} has the same id',
                    )
                )
            places[entry_id] = place
    return refusals, config, places


def sort_entries(entries):
    """Return entries with their positions, revoked keys first.

    A key is added before it is revoked, and the number of an account's valid
    keys is limited.
    """
    return sorted(
        enumerate(entries),
        key=lambda pair: not getattr(pair[1], 'revoked', False),
    )


def apply_changes(config, changes):
    """Return the configuration after changes, or the first refusal."""
    for change in changes:
        try:
            change = model.CHANGES.decode(model.CHANGES.encode(change))
        except exceptions.MessageError as error:
            return state_changes.refuse(f'malformed change: {error}')
        config = state_changes.apply_change(config, change)
        if isinstance(config, codes.Refusal):
            return config
    return config


def find_warnings(config, places, fleet):
    """Return the warnings about an accepted configuration."""
    warnings = [
        findings.Finding(
            'route_never_chosen',
            (*places['routes', route.route_id], 'path'),
            f'route {other.route_id} covers all its paths',
        )
        for route, other in find_covered_routes(config.routes)
    ]
    names = {
        account.account_id
        for account in config.accounts
        if any(
            not key.revoked
            for key in config.get_account_keys(account.account_id)
        )
    }
    for route in config.routes:
        allowed = names.intersection(route.accounts or names)
        if not route.open and not allowed:
            warnings.append(
                findings.Finding(
                    'route_admits_nobody',
                    places['routes', route.route_id],
                    'the route needs a key, and no account that may use it '
                    'has one',
                )
            )
    for account in config.accounts:
        place = places['accounts', account.account_id]
        if account.account_id not in names:
            warnings.append(
                findings.Finding(
                    'account_without_keys',
                    place,
                    f'account {account.account_id} has no valid key',
                )
            )
        warnings.extend(find_rate_conflicts(account, config, fleet, place))
    return warnings


def find_rate_conflicts(account, config, fleet, place):
    """Yield the contradictions of the rate of an account."""
    if account.rate == 0:
        yield findings.Finding(
            'rate_zero',
            (*place, 'rate'),
            f'nothing is admitted after a burst of {account.burst:g}',
        )
    # Engine routes lead to any model, and so do the built-in ones.
    used = dict.fromkeys(model.model_id for model in config.models)
    used.update(
        dict.fromkeys(
            route.target
            for route in config.routes
            if route.kind == SERVICE
            and not route.open
            and (not route.accounts or account.account_id in route.accounts)
        )
    )
    capacity = fleet.compute_capacity(used)
    if used and capacity is not None and account.rate > capacity:
        yield findings.Finding(
            'rate_above_capacity',
            (*place, 'rate'),
            f'{account.rate:g} requests/s, but the slots of '
            f'{", ".join(sorted(used))} do {capacity:g}',
        )


def find_covered_routes(routes):
    """Yield each route that no request takes, and the one that covers it.

    The longest matching path counts, and the path of a service route matches
    as a prefix without the slashes at its end. So only a service route with
    several of them covers another route, and exactly if it takes the
    requests for the path of the other one.

    Parameters
    ----------
    routes : tuple of state.model.Route
        Routes sorted by id.
    """
    covers = {}
    for route in routes:
        prefix = route.path.rstrip('/') + '/'
        if route.kind == SERVICE and len(route.path) > len(prefix):
            covers.setdefault(prefix, []).append(route)
    for route in routes:
        candidates = [route]
        for end, character in enumerate(route.path, 1):
            if character == '/':
                candidates += covers.get(route.path[:end], ())
        if len(candidates) == 1:
            continue
        candidates.sort(key=lambda candidate: candidate.route_id)
        chosen = entry_routes.find_route(
            types.SimpleNamespace(routes=candidates), route.path
        )
        if chosen is not route:
            yield route, chosen
