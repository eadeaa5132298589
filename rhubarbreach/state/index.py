"""Configuration with lookup tables by id, key digest and path."""

import dataclasses

from rhubarbreach.state import model
from rhubarbreach.state import shards

__all__ = ['Config', 'from_document', 'to_document']

EMPTY_MAP = shards.ShardedMap()


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Immutable configuration at one revision.

    Revisions share the parts of the maps that did not change. The properties
    `accounts`, `keys`, `models`, `routes` and `order_leases` sort all members
    at the first use after a change. With 13,000 accounts that takes 10 ms, so
    code on the path of a request uses `get_account` and similar lookups.

    Parameters
    ----------
    revision : int
        Number of accepted changes.
    account_map, key_map, model_map, route_map, lease_map : ShardedMap
        Members by id.
    digest_map : ShardedMap
        Key id by key digest.
    account_keys : ShardedMap
        Key ids by account id, oldest key first.
    path_map : ShardedMap
        Route id by path.
    bound_map : ShardedMap
        Longest `stale_key_bound` that an account has had, in seconds, by
        account id, for accounts that have had more than the default. A
        partitioned host may still use the longest one.
    share_epoch : int
        Number of changes of the share set, which is the set of hosts that
        hold rate shares.
    share_hosts : tuple of str
        Hosts that hold rate shares.
    evacuated_zones : tuple of str
        Availability zones to whose endpoints nothing is sent, sorted.
    """

    revision: int = 0
    account_map: shards.ShardedMap = EMPTY_MAP
    key_map: shards.ShardedMap = EMPTY_MAP
    digest_map: shards.ShardedMap = EMPTY_MAP
    account_keys: shards.ShardedMap = EMPTY_MAP
    model_map: shards.ShardedMap = EMPTY_MAP
    route_map: shards.ShardedMap = EMPTY_MAP
    path_map: shards.ShardedMap = EMPTY_MAP
    lease_map: shards.ShardedMap = EMPTY_MAP
    bound_map: shards.ShardedMap = EMPTY_MAP
    share_epoch: int = 0
    share_hosts: tuple[str, ...] = ()
    evacuated_zones: tuple[str, ...] = ()

    @property
    def accounts(self):
        """All accounts, sorted by id."""
        return self.account_map.values()

    @property
    def keys(self):
        """All keys, sorted by id."""
        return self.key_map.values()

    @property
    def models(self):
        """All models, sorted by id."""
        return self.model_map.values()

    @property
    def routes(self):
        """All routes, sorted by id."""
        return self.route_map.values()

    @property
    def order_leases(self):
        """All order leases, sorted by endpoint id."""
        return self.lease_map.values()

    def get_account(self, account_id):
        """Return an account, None when unknown."""
        return self.account_map.get(account_id)

    def get_key(self, key_id):
        """Return a key by its id, None when unknown."""
        return self.key_map.get(key_id)

    def find_key(self, digest):
        """Return the key with a SHA-256 digest, None when unknown."""
        return self.key_map.get(self.digest_map.get(digest))

    def get_account_keys(self, account_id):
        """Return the keys of an account, oldest first."""
        key_ids = self.account_keys.get(account_id, ())
        return tuple(self.key_map.get(key_id) for key_id in key_ids)

    def get_model(self, model_id):
        """Return a model, None when unknown."""
        return self.model_map.get(model_id)

    def get_route(self, route_id):
        """Return a route by its id, None when unknown."""
        return self.route_map.get(route_id)

    def find_route(self, path):
        """Return the route with exactly this path, None when unknown."""
        return self.route_map.get(self.path_map.get(path))

    def get_order_lease(self, endpoint_id):
        """Return the order lease of an endpoint, None if never taken."""
        return self.lease_map.get(endpoint_id)

    def get_longest_bound(self, account_id):
        """Return the longest `stale_key_bound` of an account, in seconds."""
        return self.bound_map.get(
            account_id, model.DEFAULT_STALE_KEY_BOUND_SECONDS
        )


def from_document(document):
    """Return the configuration with lookup tables from a document.

    Parameters
    ----------
    document : rhubarbreach.state.model.Config
        Configuration as stored and sent, with all members in tuples.

    Returns
    -------
    Config
        The same configuration with lookup tables.
    """
    keys_by_account = {}
    for key in document.keys:
        keys_by_account.setdefault(key.account_id, []).append(key)
    account_keys = (
        (account_id, tuple(key.key_id for key in sort_by_age(keys)))
        for account_id, keys in keys_by_account.items()
    )
    make_map = shards.ShardedMap
    bounds = {
        account.account_id: account.stale_key_bound
        for account in document.accounts
        if account.stale_key_bound > model.DEFAULT_STALE_KEY_BOUND_SECONDS
    }
    for bound in document.longest_bounds:
        bounds[bound.account_id] = bound.seconds
    return Config(
        revision=document.revision,
        account_map=make_map(
            (account.account_id, account) for account in document.accounts
        ),
        key_map=make_map((key.key_id, key) for key in document.keys),
        digest_map=make_map((key.digest, key.key_id) for key in document.keys),
        account_keys=make_map(account_keys),
        model_map=make_map(
            (served_model.model_id, served_model)
            for served_model in document.models
        ),
        route_map=make_map(
            (route.route_id, route) for route in document.routes
        ),
        path_map=make_map(
            (route.path, route.route_id) for route in document.routes
        ),
        lease_map=make_map(
            (lease.endpoint_id, lease) for lease in document.order_leases
        ),
        bound_map=make_map(bounds.items()),
        share_epoch=document.share_epoch,
        share_hosts=document.share_hosts,
        evacuated_zones=document.evacuated_zones,
    )


def sort_by_age(keys):
    """Return keys in the order in which they were added."""
    return sorted(keys, key=lambda key: (key.revision, key.key_id))


def to_document(config):
    """Return the configuration as a document, equal on all hosts."""
    return model.Config(
        revision=config.revision,
        accounts=config.accounts,
        keys=config.keys,
        models=config.models,
        routes=config.routes,
        share_epoch=config.share_epoch,
        share_hosts=config.share_hosts,
        order_leases=config.order_leases,
        longest_bounds=tuple(
            model.LongestBound(account_id, seconds)
            for account_id, seconds in config.bound_map.items()
        ),
        evacuated_zones=config.evacuated_zones,
    )
