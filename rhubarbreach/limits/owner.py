"""Rate shares leased to an owner, and the tokens it grants from them."""

import dataclasses
import functools
import itertools
import math
import time

from rhubarbreach import clock
from rhubarbreach.limits import buckets
from rhubarbreach.membership import rendezvous
from rhubarbreach.protocol import limitmessages
from rhubarbreach.state import model

__all__ = [
    'GRANT_TTL',
    'Grant',
    'Lease',
    'OwnedAccount',
    'Owner',
    'find_owner',
]

# Seconds for which granted tokens may be spent.
GRANT_TTL = 0.5
# Part of the capacity that stays at the owner when it grants more than is
# needed at once, so that such tokens never cause a refusal elsewhere.
EXTRA_RESERVE = 0.5
MIN_RETRY_AFTER = 0.01
NO_SHARES_RETRY_AFTER = 1.0
# Grant numbers of one second; they start from the wall clock, so that a
# restarted owner does not repeat them.
GRANT_IDS_PER_SECOND = 1_000_000


@functools.lru_cache(maxsize=65536)
def find_owner(account_id, owners):
    """Return the owner of an account among the owners of a region.

    Parameters
    ----------
    account_id : str
        Client account.
    owners : tuple of str
        Host ids.

    Returns
    -------
    str
        Host id, empty when there are no owners.
    """
    ranked = rendezvous.rank_hosts(account_id, owners, 1)
    return ranked[0] if ranked else ''


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Shares leased by one host; times of the owner's clock.

    Parameters
    ----------
    message : ShareLease
        As received last.
    since : float
        Since when the lease holds without change; the time before it earns
        no tokens.
    deadline : float
        End of the lease.
    """

    message: limitmessages.ShareLease
    since: float
    deadline: float

    def covers(self, account_id, host_id):
        """Return whether the lease holds for an account at an owner."""
        if find_owner(account_id, self.message.owners) != host_id:
            return False
        before = find_owner(account_id, self.message.previous)
        return before == host_id or before not in self.message.held

    def is_renewal(self, message):
        """Return whether a message changes nothing but the deadline."""
        return get_terms(self.message) == get_terms(message)


def get_terms(message):
    """Return the part of a lease that says which shares it is for."""
    return dataclasses.replace(message, number=0, echo=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Tokens given to a host, until a deadline of the owner's clock."""

    tokens: float
    deadline: float


@dataclasses.dataclass(slots=True)
class OwnedAccount:
    """Bucket and grants of one account.

    Parameters
    ----------
    account : Account
        Rate and burst at the last update.
    bucket : TokenBucket
        Tokens not granted yet.
    grants : dict of int to Grant
        Grants that may not be spent yet.
    """

    account: model.Account
    bucket: buckets.TokenBucket
    grants: dict = dataclasses.field(default_factory=dict)

    def count_outstanding(self):
        """Return the tokens that hosts may hold unspent."""
        return sum(grant.tokens for grant in self.grants.values())

    def list_expiries(self, now):
        """Return the times until now at which grants expired, sorted."""
        return sorted(
            grant.deadline
            for grant in self.grants.values()
            if grant.deadline <= now
        )

    def drop_expired(self, now):
        """Drop the grants that can no longer be spent."""
        self.grants = {
            grant_id: grant
            for grant_id, grant in self.grants.items()
            if grant.deadline > now
        }


class Owner:
    """Owner of the shares that hosts leased to this one.

    The tokens of an account in its bucket and in unspent grants never
    exceed the burst of the shares leased for at least `GRANT_TTL` more.

    Parameters
    ----------
    host_id : str
        This host.
    now : float
        Monotonic seconds at the start. Grants of a former process on this
        host have expired `GRANT_TTL` later; nothing is earned until then.
    """

    def __init__(self, host_id, now):
        self.host_id = host_id
        self.started_at = now + GRANT_TTL * (1 + clock.MAX_DRIFT)
        self.leases = {}
        self.accounts = {}
        first = int(time.time() * GRANT_IDS_PER_SECOND)
        self.grant_ids = itertools.count(first)

    def lease(self, lessor_id, message, now):
        """Take a lease of shares, or their release.

        Parameters
        ----------
        lessor_id : str
            Host that holds the shares.
        message : ShareLease
            Its message.
        now : float
            Monotonic seconds.

        Returns
        -------
        ShareLeaseReply
            With this host's clock for the next lease.
        """
        known = self.leases.get(lessor_id)
        if known is not None and (
            message.number < known.message.number and now < known.deadline
        ):
            return limitmessages.ShareLeaseReply(
                False, message.share_epoch, now
            )
        deadline = message.echo + message.duration
        renewed = (
            known is not None
            and known.is_renewal(message)
            and now + GRANT_TTL < known.deadline
        )
        if renewed:
            since = known.since
        else:
            since = max(now, self.started_at)
            # The buckets have to see the state before the change, in
            # which shares may have been missing for a time.
            self.settle(now)
        self.leases[lessor_id] = Lease(message, since, deadline)
        accepted = now < deadline or message.duration == 0
        return limitmessages.ShareLeaseReply(
            accepted, message.share_epoch, now
        )

    def settle(self, now):
        """Bring the buckets of all accounts up to date."""
        for owned in self.accounts.values():
            self.refill(owned, now)

    def refill(self, owned, now):
        """Add what the leased shares earned; return the capacity.

        Tokens held in grants leave no room in the bucket while they may be
        spent, so the time until now is divided where grants expired.

        Parameters
        ----------
        owned : OwnedAccount
            Account to bring up to date.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Tokens that bucket and grants may hold together.
        """
        for expiry in owned.list_expiries(now):
            self.refill_until(owned, max(expiry, owned.bucket.updated_at))
            owned.drop_expired(expiry)
        return self.refill_until(owned, now)

    def refill_until(self, owned, now):
        """Add what was earned while no grant expired."""
        account = owned.account
        shares, earned = 0.0, 0.0
        for lease in self.leases.values():
            if now + GRANT_TTL >= lease.deadline or not lease.covers(
                account.account_id, self.host_id
            ):
                continue
            share = 1.0 / lease.message.share_count
            since = max(owned.bucket.updated_at, lease.since)
            shares += share
            earned += share * account.rate * max(0.0, now - since)
        capacity = account.burst * min(1.0, shares)
        room = max(0.0, capacity - owned.count_outstanding())
        owned.bucket.refill(earned, room, now)
        return capacity

    def get_owned(self, account, now):
        """Return the state of an account under its rate in force."""
        owned = self.accounts.get(account.account_id)
        if owned is None:
            bucket = buckets.TokenBucket(self.started_at)
            owned = OwnedAccount(account, bucket)
            self.accounts[account.account_id] = owned
        if owned.account != account:
            # The time before the change earns the lower of both rates.
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
            What the host needs.
        account : Account
            Rate and burst in force.
        now : float
            Monotonic seconds.

        Returns
        -------
        GrantReply
            A multiple of the request's unit, as far as there are tokens.
        """
        owned = self.get_owned(account, now)
        # Spent tokens leave room only from now on: they were still held
        # during a part of the time since the last update.
        capacity = self.refill(owned, now)
        for grant_id in request.finished:
            owned.grants.pop(grant_id, None)
        level = owned.bucket.level
        granted = choose_tokens(request, level, capacity)
        if granted <= 0:
            after = estimate_retry(request, level, capacity, account)
            return limitmessages.GrantReply(0.0, 0.0, after)
        owned.bucket.take(granted)
        grant_id = next(self.grant_ids)
        deadline = now + GRANT_TTL * (1 + clock.MAX_DRIFT)
        owned.grants[grant_id] = Grant(granted, deadline)
        return limitmessages.GrantReply(granted, GRANT_TTL, 0.0, grant_id)


def choose_tokens(request, level, capacity):
    """Return how many tokens to grant.

    What waits is granted in whole units; what is expected beyond it only
    while a reserve stays for the other hosts.
    """
    unit = request.unit or request.wanted
    if unit <= 0:
        needed = 0.0
    else:
        fitting = math.floor((level + buckets.TOLERANCE) / unit) * unit
        needed = min(request.wanted, fitting)
    spare = level - needed - EXTRA_RESERVE * capacity
    if needed < request.wanted or spare <= 0:
        return needed
    return needed + min(request.extra, spare)


def estimate_retry(request, level, capacity, account):
    """Return the seconds after which the tokens may be there."""
    rate = account.rate * capacity / account.burst if account.burst else 0.0
    if rate <= 0:
        return NO_SHARES_RETRY_AFTER
    missing = (request.unit or request.wanted) - level
    return max(MIN_RETRY_AFTER, missing / rate)
