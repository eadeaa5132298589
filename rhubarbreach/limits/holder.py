"""Rate shares and granted tokens held by one host."""

import dataclasses
import math
import time

from rhubarbreach import clock
from rhubarbreach.limits import buckets
from rhubarbreach.limits import owner
from rhubarbreach.protocol import limitmessages

__all__ = [
    'HeldGrant',
    'Holder',
    'LEASE_DURATION_SECONDS',
    'LEASE_PERIOD_SECONDS',
    'OutgoingLease',
    'OwnerState',
]

# Seconds between two lease messages to an owner.
LEASE_PERIOD_SECONDS = 1.0
# Seconds of a lease, counted from the owner's last reply. It spans several
# periods, so that one lost message does not end the lease.
LEASE_DURATION_SECONDS = 3.0
# Upper bounds, in seconds by the clock of the host that leases its share, of a
# lease and of a grant that the owner makes under it.
LEASE_BOUND_SECONDS = LEASE_DURATION_SECONDS * (1 + clock.MAX_DRIFT)
GRANT_BOUND_SECONDS = owner.GRANT_TTL_SECONDS * (1 + clock.MAX_DRIFT)
MESSAGE_NUMBERS_PER_SECOND = 1000
NEVER = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingLease:
    """Lease message to be sent to an owner."""

    owner_id: str
    message: limitmessages.ShareLease


@dataclasses.dataclass(slots=True)
class OwnerState:
    """State that this host keeps about one owner.

    Times are of this host's clock unless stated otherwise.

    Parameters
    ----------
    echo : float
        Latest known time of the owner's clock.
    echo_at : float
        When `echo` was received.
    held_until : float
        When the owner's lease and all grants made under it have ended.
    moved_until : float
        The same for accounts that have moved to another owner.
    last_number : int
        Number of the last message sent to the owner.
    """

    echo: float = 0.0
    echo_at: float = NEVER
    held_until: float = NEVER
    moved_until: float = NEVER
    last_number: int = 0


@dataclasses.dataclass(slots=True)
class HeldGrant:
    """Grant whose tokens this host may spend until a deadline."""

    owner_id: str
    grant_id: int
    tokens: float
    deadline: float


class Holder:
    """Rate shares of one host, which it leases to owners or uses itself.

    Parameters
    ----------
    host_id : str
        This host.
    now : float
        Monotonic time in seconds at the start. A former process on this
        host may have leased the shares, so they are not used before such a
        lease has ended.
    """

    def __init__(self, host_id, now):
        self.host_id = host_id
        self.epoch = 0
        self.hosts = ()
        self.ready_at = now + LEASE_BOUND_SECONDS
        self.owners = ()
        self.previous_owners = ()
        self.owners_changed_at_number = 0
        self.owner_states = {}
        self.local_buckets = {}
        self.grants = {}
        self.finished_grants = {}
        self.message_number = int(time.time() * MESSAGE_NUMBERS_PER_SECOND)

    def set_share_set(self, epoch, hosts, propagation_bound, now):
        """Apply a committed share set.

        Parameters
        ----------
        epoch : int
            Number of the share set; the first one is 1.
        hosts : tuple of str
            Hosts with a share.
        propagation_bound : float
            Seconds after which every other host has applied this set or no
            longer serves requests that carry a key.
        now : float
            Monotonic time in seconds.
        """
        if epoch <= self.epoch:
            return
        # After a gap in the epochs, an intermediate set may have excluded
        # this host, and its members had larger shares.
        was_member = self.host_id in self.hosts and epoch == self.epoch + 1
        if not was_member and epoch > 1:
            wait = (
                propagation_bound * (1 + clock.MAX_DRIFT) + LEASE_BOUND_SECONDS
            )
            self.ready_at = max(self.ready_at, now + wait)
        self.epoch = epoch
        self.hosts = tuple(hosts)
        self.local_buckets.clear()

    def confirm_share_set(self, epoch, now):
        """Shorten the wait once all hosts have applied a share set."""
        if epoch == self.epoch:
            self.ready_at = min(self.ready_at, now + LEASE_BOUND_SECONDS)

    def has_share(self, now):
        """Return whether this host may use or lease its share."""
        return self.host_id in self.hosts and now >= self.ready_at

    def get_state(self, owner_id):
        """Return the state of an owner."""
        return self.owner_states.setdefault(owner_id, OwnerState())

    def plan_leases(self, owners, now):
        """Return the messages to be sent to the owners now.

        Parameters
        ----------
        owners : tuple of str
            Owners of the region according to the live hosts that this host
            sees.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        list of OutgoingLease
            Leases, releases, and requests for an owner's clock.
        """
        owners = tuple(sorted(owners))
        if owners != self.owners and not self.list_unreleased_owners(now):
            self.change_owners(owners)
        former = [
            name
            for name in self.list_unreleased_owners(now)
            if name not in owners
        ]
        return [
            self.make_lease(owner_id, now)
            for owner_id in (*self.owners, *former)
        ]

    def change_owners(self, owners):
        """Start to move accounts to a changed set of owners."""
        self.previous_owners, self.owners = self.owners, owners
        self.owners_changed_at_number = self.message_number + 1
        for owner_id in self.previous_owners:
            state = self.get_state(owner_id)
            state.moved_until = state.held_until

    def list_unreleased_owners(self, now):
        """Return former owners whose leases may still cover moved accounts."""
        return tuple(
            owner_id
            for owner_id in self.previous_owners
            if self.get_state(owner_id).moved_until > now
        )

    def make_lease(self, owner_id, now):
        """Return a lease or release; the owner replies with its clock."""
        self.message_number += 1
        state = self.get_state(owner_id)
        state.last_number = self.message_number
        end = state.echo_at + LEASE_BOUND_SECONDS
        duration = 0.0
        if owner_id in self.owners and self.has_share(now) and end > now:
            duration = LEASE_DURATION_SECONDS
            state.held_until = max(state.held_until, end)
        message = limitmessages.ShareLease(
            self.epoch,
            max(1, len(self.hosts)),
            duration,
            self.message_number,
            state.echo,
            self.owners,
            self.previous_owners,
            self.list_unreleased_owners(now),
        )
        return OutgoingLease(owner_id, message)

    def accept_lease_reply(self, outgoing, reply, now):
        """Process an owner's reply to a lease.

        Parameters
        ----------
        outgoing : OutgoingLease
            Message that was sent.
        reply : ShareLeaseReply
            Reply of the owner.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether a lease should be sent immediately, because the owner's
            clock was not known before.
        """
        state = self.get_state(outgoing.owner_id)
        message = outgoing.message
        was_unknown = state.echo_at + LEASE_BOUND_SECONDS <= now
        if reply.stamp > state.echo or was_unknown:
            state.echo, state.echo_at = reply.stamp, now
        if reply.accepted and message.number >= self.owners_changed_at_number:
            state.moved_until = min(
                state.moved_until, now + GRANT_BOUND_SECONDS
            )
        if (
            reply.accepted
            and message.duration == 0
            and message.number == state.last_number
        ):
            state.held_until = min(state.held_until, now + GRANT_BOUND_SECONDS)
        return was_unknown and outgoing.owner_id in self.owners

    def find_owner(self, account_id):
        """Return the owner that grants tokens of an account."""
        return owner.find_owner(account_id, self.owners)

    def get_available_since(self, account_id):
        """Return the time from which this host may use its share itself."""
        current_owner = owner.find_owner(account_id, self.owners)
        previous_owner = owner.find_owner(account_id, self.previous_owners)
        since = max(self.ready_at, self.get_state(current_owner).held_until)
        if previous_owner != current_owner:
            since = max(since, self.get_state(previous_owner).moved_until)
        return since

    def spend(self, account, cost, now):
        """Spend tokens of grants or of the share of this host.

        Parameters
        ----------
        account : Account
            Client account with the rate and burst in force.
        cost : float
            Tokens to spend.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            Whether there were enough tokens.
        """
        return self.spend_grants(account.account_id, cost, now) or (
            self.spend_share(account, cost, now)
        )

    def count_granted(self, account_id, now):
        """Return the number of granted tokens that have not expired."""
        grants = self.grants.get(account_id, [])
        unexpired = [grant for grant in grants if now < grant.deadline]
        self.grants[account_id] = unexpired
        return sum(grant.tokens for grant in unexpired)

    def spend_grants(self, account_id, cost, now):
        """Spend granted tokens, starting with those that expire first."""
        granted = self.count_granted(account_id, now)
        if cost > granted + buckets.TOLERANCE:
            return False
        unspent = []
        for grant in self.grants[account_id]:
            used = min(cost, grant.tokens)
            grant.tokens -= used
            cost -= used
            if grant.tokens > buckets.TOLERANCE:
                unspent.append(grant)
                continue
            key = (account_id, grant.owner_id)
            self.finished_grants.setdefault(key, []).append(grant.grant_id)
        self.grants[account_id] = unspent
        return True

    def spend_share(self, account, cost, now):
        """Spend from the share of this host unless an owner may hold it."""
        since = self.get_available_since(account.account_id)
        if self.host_id not in self.hosts or now < since:
            return False
        bucket = self.local_buckets.get(account.account_id)
        if bucket is None:
            bucket = buckets.TokenBucket(now)
            self.local_buckets[account.account_id] = bucket
        if bucket.updated_at < since:
            bucket.empty(since)
        share = 1.0 / len(self.hosts)
        earned = account.rate * share * (now - bucket.updated_at)
        bucket.refill(earned, account.burst * share, now)
        return bucket.take(cost)

    def make_request(self, account_id, wanted, unit, extra):
        """Return the request to the owner of an account."""
        key = (account_id, self.find_owner(account_id))
        finished = tuple(self.finished_grants.pop(key, ()))
        return limitmessages.GrantRequest(
            account_id, wanted, 0.0, unit, extra, finished
        )

    def accept_grant(self, account_id, owner_id, reply, sent_at):
        """Store granted tokens, whose lifetime counts from `sent_at`.

        Parameters
        ----------
        account_id : str
            Client account.
        owner_id : str
            Owner that made the grant.
        reply : GrantReply
            Reply of the owner.
        sent_at : float
            Monotonic time in seconds when the request was sent.
        """
        if reply.granted <= 0:
            return
        deadline = sent_at + reply.duration * (1 - clock.MAX_DRIFT)
        self.grants.setdefault(account_id, []).append(
            HeldGrant(owner_id, reply.grant_id, reply.granted, deadline)
        )
