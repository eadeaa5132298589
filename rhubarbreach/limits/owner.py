"""Rate shares leased to an owner, and the tokens it grants under them."""

import dataclasses
import functools
import itertools
import math
import time

from rhubarbreach import clock
from rhubarbreach.limits import buckets
from rhubarbreach.protocol import limitmessages
from rhubarbreach import rendezvous
from rhubarbreach.state import model

__all__ = [
    'GRANT_TTL_SECONDS',
    'Grant',
    'Lease',
    'OwnedAccount',
    'Owner',
    'find_owner',
]

# Seconds for which granted tokens may be spent.
GRANT_TTL_SECONDS = 0.5
# Fraction of the capacity that the owner keeps when it grants tokens ahead of
# demand, so that such grants never cause a refusal on another host.
EXTRA_RESERVE = 0.5
# Seconds after which a refused request may be retried: the least value, and
# the value while the owner has no shares, is not reachable or lacks a valid
# configuration.
MIN_RETRY_AFTER_SECONDS = 0.01
NO_SHARES_RETRY_AFTER_SECONDS = 1.0
# Grant ids per second of wall clock time. The first id is derived from the
# wall clock, so that a restarted owner does not reuse ids.
GRANT_IDS_PER_SECOND = 1_000_000


@functools.lru_cache(maxsize=65536)
def find_owner(account_id, owners):
    """Return the owner of an account among the owners of a region.

    Parameters
    ----------
    account_id : str
        Client account.
    owners : tuple of str
        Host ids of the owners.

    Returns
    -------
    str
        Host id of the owner, empty if there are no owners.
    """
    ranked = rendezvous.rank_hosts(account_id, owners, 1)
    return ranked[0] if ranked else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Rate shares leased by one host; times are of the owner's clock.

    Parameters
    ----------
    message : ShareLease
        Last message received.
    since : float
        Start of the time in which the lease has been in force unchanged. No
        tokens are earned for the time before it.
    deadline : float
        End of the lease.
    """

    message: limitmessages.ShareLease
    since: float
    deadline: float

    def covers(self, account_id, host_id):
        """Return whether the lease applies to an account at an owner."""
        if find_owner(account_id, self.message.owners) != host_id:
            return False
        previous_owner = find_owner(account_id, self.message.previous)
        return (
            previous_owner == host_id
            or previous_owner not in self.message.held
        )

    def is_renewal(self, message):
        """Return whether a message changes only the deadline."""
        return get_terms(self.message) == get_terms(message)


def get_terms(message):
    """Return a lease message without the fields that each renewal changes."""
    return dataclasses.replace(message, number=0, echo=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens granted to a host until a deadline of the owner's clock."""

    tokens: float
    deadline: float


@dataclasses.dataclass(slots=True)
class OwnedAccount:
    """Token bucket and outstanding grants of one client account.

    Parameters
    ----------
    account : Account
        Rate and burst at the last update.
    bucket : TokenBucket
        Tokens that have not been granted yet.
    grants : dict of int to Grant
        Grants whose tokens may still be unspent.
    """

    account: model.Account
    bucket: buckets.TokenBucket
    grants: dict = dataclasses.field(default_factory=dict)

    def count_outstanding(self):
        """Return the number of granted tokens that may still be unspent."""
        return sum(grant.tokens for grant in self.grants.values())

    def list_expiries(self, now):
        """Return the sorted deadlines of the grants that have expired."""
        return sorted(
            grant.deadline
            for grant in self.grants.values()
            if grant.deadline <= now
        )

    def drop_expired(self, now):
        """Drop the grants that have expired."""
        self.grants = {
            grant_id: grant
            for grant_id, grant in self.grants.items()
            if grant.deadline > now
        }


class Owner:
    """Owner of the rate shares that hosts lease to this host.

    The tokens of an account in its bucket and in outstanding grants never
    exceed the burst of the shares whose leases last at least
    `GRANT_TTL_SECONDS` longer.

    Parameters
    ----------
    host_id : str
        This host.
    now : float
        Monotonic time in seconds at the start. No tokens are earned for the
        next `GRANT_TTL_SECONDS`, by the end of which all grants of a former
        process on this host have expired.
    """

    def __init__(self, host_id, now):
        self.host_id = host_id
        self.started_at = now + GRANT_TTL_SECONDS * (1 + clock.MAX_DRIFT)
        self.leases = {}
        self.accounts = {}
        first_id = int(time.time() * GRANT_IDS_PER_SECOND)
        self.grant_ids = itertools.count(first_id)

    def accept_lease(self, lessor_id, message, now):
        """Process a lease of shares or their release.

        Parameters
        ----------
        lessor_id : str
            Host that leases its shares.
        message : ShareLease
            Lease, or release with duration 0.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        ShareLeaseReply
            Reply with this host's clock, for the next lease.
        """
        current = self.leases.get(lessor_id)
        if current is not None and (
            message.number < current.message.number and now < current.deadline
        ):
            return limitmessages.ShareLeaseReply(
                False, message.share_epoch, now
            )
        deadline = message.echo + message.duration
        renewed = (
            current is not None
            and current.is_renewal(message)
            and now + GRANT_TTL_SECONDS < current.deadline
        )
        if renewed:
            since = current.since
        else:
            since = max(now, self.started_at)
            # Refill under the former leases first. Shares may have been
            # missing for a time, in which the capacity was lower.
            self.refill_all(now)
        self.leases[lessor_id] = Lease(message, since, deadline)
        accepted = now < deadline or message.duration == 0
        return limitmessages.ShareLeaseReply(
            accepted, message.share_epoch, now
        )

    def refill_all(self, now):
        """Refill the buckets of all accounts."""
        for owned in self.accounts.values():
            self.refill(owned, now)

    def refill(self, owned, now):
        """Add the tokens earned by the leased shares; return the capacity.

        Granted tokens occupy capacity of the bucket as long as they may be
        spent, so the time until now is split at the expiry of each grant.

        Parameters
        ----------
        owned : OwnedAccount
            Account to refill.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        float
            Maximum number of tokens in the bucket and grants together.
        """
        for expiry in owned.list_expiries(now):
            self.refill_until(owned, max(expiry, owned.bucket.updated_at))
            owned.drop_expired(expiry)
        return self.refill_until(owned, now)

    def refill_until(self, owned, now):
        """Refill for a period without grant expiry; return the capacity."""
        account = owned.account
        shares, earned = 0.0, 0.0
        for lease in self.leases.values():
            if now + GRANT_TTL_SECONDS >= lease.deadline or not lease.covers(
                account.account_id, self.host_id
            ):
                continue
            share = 1.0 / lease.message.share_count
            since = max(owned.bucket.updated_at, lease.since)
            shares += share
            earned += share * account.rate * max(0.0, now - since)
        capacity = account.burst * min(1.0, shares)
        free_capacity = max(0.0, capacity - owned.count_outstanding())
        owned.bucket.refill(earned, free_capacity, now)
        return capacity

    def get_owned_account(self, account, now):
        """Return the state of an account, updated to the rate in force."""
        owned = self.accounts.get(account.account_id)
        if owned is None:
            bucket = buckets.TokenBucket(self.started_at)
            owned = OwnedAccount(account, bucket)
            self.accounts[account.account_id] = owned
        if owned.account != account:
            # The time before the change earns tokens at the lower rate.
            rate = min(owned.account.rate, account.rate)
            owned.account = dataclasses.replace(account, rate=rate)
            self.refill(owned, now)
            owned.account = account
        return owned

    def grant(self, request, account, now):
        """Grant tokens of an account to a host.

        Parameters
        ----------
        request : GrantRequest
            Tokens that the host needs.
        account : Account
            Client account with the rate and burst in force.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        GrantReply
            Granted tokens, a multiple of the request's unit, as far as
            there are tokens. Tokens ahead of demand may be added.
        """
        owned = self.get_owned_account(account, now)
        # Refill before dropping the spent grants, because their tokens were
        # still held during a part of the time since the last refill.
        capacity = self.refill(owned, now)
        for grant_id in request.finished:
            owned.grants.pop(grant_id, None)
        level = owned.bucket.level
        granted = choose_tokens(request, level, capacity)
        if granted <= 0:
            retry_after = estimate_retry(request, level, capacity, account)
            return limitmessages.GrantReply(0.0, 0.0, retry_after)
        owned.bucket.take(granted)
        grant_id = next(self.grant_ids)
        deadline = now + GRANT_TTL_SECONDS * (1 + clock.MAX_DRIFT)
        owned.grants[grant_id] = Grant(granted, deadline)
        return limitmessages.GrantReply(
            granted, GRANT_TTL_SECONDS, 0.0, grant_id
        )


def choose_tokens(request, level, capacity):
    """Return the number of tokens to grant.

    Tokens for waiting requests are granted in whole units. Tokens ahead of
    demand are granted only from the level above the reserve for other hosts.
    """
    unit = request.unit or request.wanted
    if unit <= 0:
        needed = 0.0
    else:
        available = math.floor((level + buckets.TOLERANCE) / unit) * unit
        needed = min(request.wanted, available)
    spare = level - needed - EXTRA_RESERVE * capacity
    if needed < request.wanted or spare <= 0:
        return needed
    return needed + min(request.extra, spare)


def estimate_retry(request, level, capacity, account):
    """Return the seconds after which enough tokens may be available."""
    rate = account.rate * capacity / account.burst if account.burst else 0.0
    if rate <= 0:
        return NO_SHARES_RETRY_AFTER_SECONDS
    missing = (request.unit or request.wanted) - level
    return max(MIN_RETRY_AFTER_SECONDS, missing / rate)
