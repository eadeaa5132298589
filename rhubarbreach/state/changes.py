"""Validation and application of changes to the configuration."""

import dataclasses
import math
import re

from rhubarbreach import codes
from rhubarbreach.state import model

__all__ = ['apply_change', 'get_changed_account']

DIGEST_BYTES = 32
MAX_RATE = 1e6
MAX_BURST = 1e7
MAX_WEIGHT = 1e3
MAX_TIMEOUT_SECONDS = 3600.0
MAX_KEYS = 64
MAX_REPLICAS = 100000
# Revoked keys of an account that are kept, so that a caller that still uses
# one is told that it was revoked. Older ones are removed, which bounds the
# size of the configuration under continuous key rotation.
MAX_REVOKED_KEYS = 8
NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}')
PATH = re.compile(r'/[!-~]{0,254}')


def refuse(reason):
    """Return a refusal with the code INVALID_CHANGE."""
    return codes.Refusal(codes.ResultCode.INVALID_CHANGE, reason)


def apply_change(config, change):
    """Apply a change to a configuration.

    Parameters
    ----------
    config : rhubarbreach.state.config.Config
        Configuration before the change.
    change : object
        One of `rhubarbreach.state.model.CHANGES`.

    Returns
    -------
    Config or Refusal
        Configuration with the next revision, or INVALID_CHANGE.

    Notes
    -----
    The result depends only on the arguments, so that all hosts that apply
    the same changes hold the same configuration.
    """
    reason = check_change(config, change)
    if reason:
        return refuse(reason)
    changed = CHANGE_HANDLERS[type(change)](config, change)
    return dataclasses.replace(changed, revision=config.revision + 1)


def check_change(config, change):
    """Return why a change is invalid, or an empty string."""
    match change:
        case model.PutAccount(account):
            return check_account(account)
        case model.RemoveAccount(account_id):
            return check_account_removal(config, account_id)
        case model.PutKey(key):
            return check_key(config, key)
        case model.RevokeKey(key_id):
            return require(key_id in config.key_map, 'unknown key', key_id)
        case model.PutModel(new_model):
            return check_model(new_model)
        case model.RemoveModel(model_id):
            return check_model_removal(config, model_id)
        case model.PutRoute(route):
            return check_route(config, route)
        case model.RemoveRoute(route_id):
            return require(
                route_id in config.route_map, 'unknown route', route_id
            )
        case model.SetShareSet():
            return check_share_set(config, change)
        case model.TakeOrderLease():
            return check_lease(config, change)
        case model.StartEvacuation(zone):
            return check_name('zone', zone)
        case model.EndEvacuation(zone):
            return require(
                zone in config.evacuated_zones, 'zone is not evacuated', zone
            )
    return f'unknown change {type(change).__name__}'


def require(condition, message, value):
    """Return the message with the value unless the condition holds.

    The result is an empty string if the condition holds.
    """
    return '' if condition else f'{message}: {value!r}'


def check_name(field, name):
    """Return why a name is invalid, or an empty string."""
    return require(NAME.fullmatch(name), f'invalid {field}', name)


def check_number(field, value, minimum, maximum):
    """Return why a number is out of range, or an empty string."""
    in_range = math.isfinite(value) and minimum <= value <= maximum
    return require(
        in_range, f'{field} outside {minimum:g} to {maximum:g}', value
    )


def check_account(account):
    """Return why an account is invalid, or an empty string."""
    return (
        check_name('account id', account.account_id)
        or check_number('rate', account.rate, 0, MAX_RATE)
        or check_number('burst', account.burst, 1, MAX_BURST)
        or check_number('weight', account.weight, 1e-3, MAX_WEIGHT)
        or check_number(
            'stale_key_bound',
            account.stale_key_bound,
            model.DEFAULT_STALE_KEY_BOUND_SECONDS,
            model.MAX_STALE_KEY_BOUND_SECONDS,
        )
    )


def check_account_removal(config, account_id):
    """Return why an account cannot be removed, or an empty string.

    An account that a route lists cannot be removed: if the list became
    empty, the route would admit all accounts.
    """
    if account_id not in config.account_map:
        return f'unknown account: {account_id!r}'
    for route in config.routes:
        if account_id in route.accounts:
            return f'route {route.route_id!r} lists account {account_id!r}'
    return ''


def check_key(config, key):
    """Return why a key cannot be added, or an empty string."""
    active_count = sum(
        not account_key.revoked
        for account_key in config.get_account_keys(key.account_id)
    )
    return (
        check_name('key id', key.key_id)
        or require(
            key.account_id in config.account_map,
            'unknown account',
            key.account_id,
        )
        or require(
            len(key.digest) == DIGEST_BYTES,
            f'digest is not {DIGEST_BYTES} bytes',
            len(key.digest),
        )
        or require(key.key_id not in config.key_map, 'key exists', key.key_id)
        or require(
            key.digest not in config.digest_map,
            'digest belongs to another key',
            key.key_id,
        )
        or require(not key.revoked, 'key is added as revoked', key.key_id)
        or require(
            active_count < MAX_KEYS,
            f'account has {MAX_KEYS} keys',
            key.account_id,
        )
    )


def check_model(new_model):
    """Return why a model is invalid, or an empty string."""
    return (
        check_name('model id', new_model.model_id)
        or require(
            new_model.weight_bytes >= 0,
            'negative size',
            new_model.weight_bytes,
        )
        or check_number(
            'min_replicas', new_model.min_replicas, 0, MAX_REPLICAS
        )
        or check_number(
            'max_replicas',
            new_model.max_replicas,
            new_model.min_replicas,
            MAX_REPLICAS,
        )
    )


def check_model_removal(config, model_id):
    """Return why a model cannot be removed, or an empty string."""
    if model_id not in config.model_map:
        return f'unknown model: {model_id!r}'
    for route in config.routes:
        if route.target == model_id:
            return f'route {route.route_id!r} targets model {model_id!r}'
    return ''


def check_route(config, route):
    """Return why a route is invalid, or an empty string."""
    path_owner = config.path_map.get(route.path, route.route_id)
    unknown_accounts = [
        account_id
        for account_id in route.accounts
        if account_id not in config.account_map
    ]
    return (
        check_name('route id', route.route_id)
        or require(PATH.fullmatch(route.path), 'invalid path', route.path)
        or require(
            path_owner == route.route_id,
            f'path of route {path_owner!r}',
            route.path,
        )
        or require(route.kind in model.ROUTE_KINDS, 'unknown kind', route.kind)
        or require(
            route.record in model.RECORD_MODES, 'unknown record', route.record
        )
        or require(
            (route.kind == 'service') == bool(route.target),
            'a service has a target and an engine has none; found',
            route.target,
        )
        or require(
            not (route.open and route.accounts),
            'an open route cannot list accounts',
            route.route_id,
        )
        or require(not unknown_accounts, 'unknown accounts', unknown_accounts)
        or check_number('timeout', route.timeout, 0.1, MAX_TIMEOUT_SECONDS)
    )


def check_share_set(config, change):
    """Return why a share set is invalid, or an empty string."""
    hosts = change.hosts
    return require(
        change.expected_epoch == config.share_epoch,
        f'share epoch is {config.share_epoch}, expected',
        change.expected_epoch,
    ) or require(len(set(hosts)) == len(hosts), 'repeated host', hosts)


def check_lease(config, change):
    """Return why an order lease cannot be taken, or an empty string."""
    lease = config.get_order_lease(change.endpoint_id)
    epoch = lease.epoch if lease else 0
    return check_name('endpoint id', change.endpoint_id) or require(
        change.expected_epoch == epoch,
        f'lease epoch is {epoch}, expected',
        change.expected_epoch,
    )


def put_account(config, change):
    """Apply `PutAccount`."""
    account = change.account
    account_id = account.account_id
    bounds = config.bound_map
    longest_bound = config.get_longest_bound(account_id)
    if account.stale_key_bound > longest_bound:
        bounds = bounds.put(account_id, account.stale_key_bound)
    return dataclasses.replace(
        config,
        account_map=config.account_map.put(account_id, account),
        bound_map=bounds,
    )


def remove_account(config, change):
    """Apply `RemoveAccount`."""
    changed = config
    for key in config.get_account_keys(change.account_id):
        changed = remove_key(changed, key)
    return dataclasses.replace(
        changed,
        account_map=changed.account_map.remove(change.account_id),
        account_keys=changed.account_keys.remove(change.account_id),
    )


def remove_key(config, key):
    """Return the configuration without a key."""
    key_ids = tuple(
        key_id
        for key_id in config.account_keys.get(key.account_id)
        if key_id != key.key_id
    )
    return dataclasses.replace(
        config,
        key_map=config.key_map.remove(key.key_id),
        digest_map=config.digest_map.remove(key.digest),
        account_keys=config.account_keys.put(key.account_id, key_ids),
    )


def put_key(config, change):
    """Apply `PutKey`."""
    key = dataclasses.replace(change.key, revision=config.revision + 1)
    key_ids = config.account_keys.get(key.account_id, ())
    return dataclasses.replace(
        config,
        key_map=config.key_map.put(key.key_id, key),
        digest_map=config.digest_map.put(key.digest, key.key_id),
        account_keys=config.account_keys.put(
            key.account_id, (*key_ids, key.key_id)
        ),
    )


def revoke_key(config, change):
    """Apply `RevokeKey`."""
    key = dataclasses.replace(config.get_key(change.key_id), revoked=True)
    changed = dataclasses.replace(
        config, key_map=config.key_map.put(key.key_id, key)
    )
    revoked_keys = [
        account_key
        for account_key in changed.get_account_keys(key.account_id)
        if account_key.revoked
    ]
    for old_key in revoked_keys[:-MAX_REVOKED_KEYS]:
        changed = remove_key(changed, old_key)
    return changed


def put_model(config, change):
    """Apply `PutModel`."""
    new_model = change.model
    return dataclasses.replace(
        config,
        model_map=config.model_map.put(new_model.model_id, new_model),
    )


def remove_model(config, change):
    """Apply `RemoveModel`."""
    return dataclasses.replace(
        config, model_map=config.model_map.remove(change.model_id)
    )


def put_route(config, change):
    """Apply `PutRoute`."""
    route = change.route
    old_route = config.get_route(route.route_id)
    paths = config.path_map
    if old_route is not None:
        paths = paths.remove(old_route.path)
    return dataclasses.replace(
        config,
        route_map=config.route_map.put(route.route_id, route),
        path_map=paths.put(route.path, route.route_id),
    )


def remove_route(config, change):
    """Apply `RemoveRoute`."""
    route = config.get_route(change.route_id)
    return dataclasses.replace(
        config,
        route_map=config.route_map.remove(route.route_id),
        path_map=config.path_map.remove(route.path),
    )


def set_share_set(config, change):
    """Apply `SetShareSet`."""
    return dataclasses.replace(
        config,
        share_epoch=config.share_epoch + 1,
        share_hosts=tuple(sorted(change.hosts)),
    )


def take_order_lease(config, change):
    """Apply `TakeOrderLease`."""
    lease = model.OrderLease(
        change.endpoint_id, change.holder_id, change.expected_epoch + 1
    )
    return dataclasses.replace(
        config, lease_map=config.lease_map.put(lease.endpoint_id, lease)
    )


def start_evacuation(config, change):
    """Apply `StartEvacuation`."""
    zones = {*config.evacuated_zones, change.zone}
    return dataclasses.replace(config, evacuated_zones=tuple(sorted(zones)))


def end_evacuation(config, change):
    """Apply `EndEvacuation`."""
    zones = tuple(z for z in config.evacuated_zones if z != change.zone)
    return dataclasses.replace(config, evacuated_zones=zones)


CHANGE_HANDLERS = {
    model.PutAccount: put_account,
    model.RemoveAccount: remove_account,
    model.PutKey: put_key,
    model.RevokeKey: revoke_key,
    model.PutModel: put_model,
    model.RemoveModel: remove_model,
    model.PutRoute: put_route,
    model.RemoveRoute: remove_route,
    model.SetShareSet: set_share_set,
    model.TakeOrderLease: take_order_lease,
    model.StartEvacuation: start_evacuation,
    model.EndEvacuation: end_evacuation,
}


def get_changed_account(config, change):
    """Return the id of the account that a change concerns.

    Parameters
    ----------
    config : Config
        Configuration before the change.
    change : object
        One of `rhubarbreach.state.model.CHANGES`.

    Returns
    -------
    str
        Account id, empty if the change concerns no account.
    """
    match change:
        case model.PutAccount(account):
            return account.account_id
        case model.RemoveAccount(account_id):
            return account_id
        case model.PutKey(key):
            return key.account_id
        case model.RevokeKey(key_id):
            key = config.get_key(key_id)
            return key.account_id if key else ''
    return ''
