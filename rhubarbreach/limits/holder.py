"""Rate shares and grants as held by one host."""

import dataclasses
import math
import time

from rhubarbreach import clock
from rhubarbreach.limits import buckets
from rhubarbreach.limits import owner
from rhubarbreach.protocol import limitmessages

__all__ = [
    'Held',
    'Holder',
    'LEASE_DURATION',
    'LEASE_PERIOD',
    'Outgoing',
    'OwnerState',
]

# Seconds between two leases to an owner.
LEASE_PERIOD = 1.0
# Seconds of a lease, counted from the owner's last reply: one lost message
# does not end it.
LEASE_DURATION = 3.0
# Upper bound of a lease by the clock of the host that gave it.
LEASE_BOUND = LEASE_DURATION * (1 + clock.MAX_DRIFT)
GRANT_BOUND = owner.GRANT_TTL * (1 + clock.MAX_DRIFT)
NUMBERS_PER_SECOND = 1000
NEVER = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A lease to be sent to an owner."""

    owner_id: str
    message: limitmessages.ShareLease


@dataclasses.dataclass(slots=True)
class OwnerState:
    """What this host knows of one owner; times of this host's clock.

    Parameters
    ----------
    echo : float
        Last time of the owner's clock.
    echo_at : float
        When it came.
    held_until : float
        When the owner's lease and all grants from it have ended.
    moved_until : float
        The same for accounts that have since moved to another owner.
    last_number : int
        Number of the last message to it.
    """

    echo: float = 0.0
    echo_at: float = NEVER
    held_until: float = NEVER
    moved_until: float = NEVER
    last_number: int = 0


@dataclasses.dataclass(slots=True)
class Held:
    """Granted tokens that this host may spend until a deadline."""

    owner_id: str
    grant_id: int
    tokens: float
    deadline: float


class Holder:
    """Shares of one host: leased to owners or used by itself.

    Parameters
    ----------
    host_id : str
        This host.
    now : float
        Monotonic seconds at the start. A former process on this host may
        have leased its shares; they are used again once that has ended.
    """

    def __init__(self, host_id, now):
        self.host_id = host_id
        self.epoch = 0
        self.hosts = ()
        self.ready_at = now + LEASE_BOUND
        self.owners = ()
        self.previous = ()
        self.changed_at_number = 0
        self.states = {}
        self.own = {}
        self.grants = {}
        self.finished = {}
        self.number = int(time.time() * NUMBERS_PER_SECOND)

    def set_share_set(self, epoch, hosts, bound, now):
        """Take a committed share set.

        Parameters
        ----------
        epoch : int
            Number of the share set; the first one is 1.
        hosts : tuple of str
            Hosts with a share.
        bound : float
            Seconds after which every other host has this set or no longer
            serves requests with keys.
        now : float
            Monotonic seconds.
        """
        if epoch <= self.epoch:
            return
        # After a gap in the epochs this host may have been left out of a
        # set in between, whose members had larger shares.
        stays = self.host_id in self.hosts and epoch == self.epoch + 1
        if not stays and epoch > 1:
            wait = bound * (1 + clock.MAX_DRIFT) + LEASE_BOUND
            self.ready_at = max(self.ready_at, now + wait)
        self.epoch = epoch
        self.hosts = tuple(hosts)
        self.own.clear()

    def confirm_share_set(self, epoch, now):
        """Note that all hosts have a share set, which shortens the wait."""
        if epoch == self.epoch:
            self.ready_at = min(self.ready_at, now + LEASE_BOUND)

    def has_share(self, now):
        """Return whether this host may use or lease its share."""
        return self.host_id in self.hosts and now >= self.ready_at

    def get_state(self, owner_id):
        """Return the state of an owner."""
        return self.states.setdefault(owner_id, OwnerState())

    def plan_leases(self, owners, now):
        """Return the messages to be sent to the owners now.

        Parameters
        ----------
        owners : tuple of str
            Owners of the region by this host's view of the live hosts.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of Outgoing
            Leases, releases, and questions for an owner's clock.
        """
        owners = tuple(sorted(owners))
        if owners != self.owners and not self.list_held(now):
            self.change_owners(owners)
        former = [name for name in self.list_held(now) if name not in owners]
        return [
            self.make_lease(owner_id, now)
            for owner_id in (*self.owners, *former)
        ]

    def change_owners(self, owners):
        """Start to move accounts to other owners."""
        self.previous, self.owners = self.owners, owners
        self.changed_at_number = self.number + 1
        for owner_id in self.previous:
            state = self.get_state(owner_id)
            state.moved_until = state.held_until

    def list_held(self, now):
        """Return former owners that may still hold moved accounts."""
        return tuple(
            owner_id
            for owner_id in self.previous
            if self.get_state(owner_id).moved_until > now
        )

    def make_lease(self, owner_id, now):
        """Return a lease, or a release that asks for the owner's clock."""
        self.number += 1
        state = self.get_state(owner_id)
        state.last_number = self.number
        end = state.echo_at + LEASE_BOUND
        duration = 0.0
        if owner_id in self.owners and self.has_share(now) and end > now:
            duration = LEASE_DURATION
            state.held_until = max(state.held_until, end)
        message = limitmessages.ShareLease(
            self.epoch,
            max(1, len(self.hosts)),
            duration,
            self.number,
            state.echo,
            self.owners,
            self.previous,
            self.list_held(now),
        )
        return Outgoing(owner_id, message)

    def accept_lease_reply(self, outgoing, reply, now):
        """Take the reply of an owner.

        Parameters
        ----------
        outgoing : Outgoing
            What was sent.
        reply : ShareLeaseReply
            What came back.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether a lease should be sent at once, because only now the
            owner's clock is known.
        """
        state = self.get_state(outgoing.owner_id)
        message = outgoing.message
        is_new = state.echo_at + LEASE_BOUND <= now
        if reply.stamp > state.echo or is_new:
            state.echo, state.echo_at = reply.stamp, now
        if reply.accepted and message.number >= self.changed_at_number:
            state.moved_until = min(state.moved_until, now + GRANT_BOUND)
        if (
            reply.accepted
            and message.duration == 0
            and message.number == state.last_number
        ):
            state.held_until = min(state.held_until, now + GRANT_BOUND)
        return is_new and outgoing.owner_id in self.owners

    def find_owner(self, account_id):
        """Return the owner to be asked for an account."""
        return owner.find_owner(account_id, self.owners)

    def get_free_since(self, account_id):
        """Return since when this host may use its share of an account."""
        current = owner.find_owner(account_id, self.owners)
        before = owner.find_owner(account_id, self.previous)
        since = max(self.ready_at, self.get_state(current).held_until)
        if before != current:
            since = max(since, self.get_state(before).moved_until)
        return since

    def spend(self, account, cost, now):
        """Spend tokens that this host holds.

        Parameters
        ----------
        account : Account
            Rate and burst in force.
        cost : float
            Tokens.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether there were enough.
        """
        return self.spend_grants(account.account_id, cost, now) or (
            self.spend_share(account, cost, now)
        )

    def count_granted(self, account_id, now):
        """Return the granted tokens that may still be spent."""
        grants = self.grants.get(account_id, [])
        live = [grant for grant in grants if now < grant.deadline]
        self.grants[account_id] = live
        return sum(grant.tokens for grant in live)

    def spend_grants(self, account_id, cost, now):
        """Spend granted tokens, those that expire first."""
        held = self.count_granted(account_id, now)
        if cost > held + buckets.TOLERANCE:
            return False
        left = []
        for grant in self.grants[account_id]:
            used = min(cost, grant.tokens)
            grant.tokens -= used
            cost -= used
            if grant.tokens > buckets.TOLERANCE:
                left.append(grant)
                continue
            key = (account_id, grant.owner_id)
            self.finished.setdefault(key, []).append(grant.grant_id)
        self.grants[account_id] = left
        return True

    def spend_share(self, account, cost, now):
        """Spend from the own share, if no owner may hold it."""
        since = self.get_free_since(account.account_id)
        if self.host_id not in self.hosts or now < since:
            return False
        bucket = self.own.get(account.account_id)
        if bucket is None:
            bucket = buckets.TokenBucket(now)
            self.own[account.account_id] = bucket
        if bucket.updated_at < since:
            bucket.empty(since)
        share = 1.0 / len(self.hosts)
        earned = account.rate * share * (now - bucket.updated_at)
        bucket.refill(earned, account.burst * share, now)
        return bucket.take(cost)

    def make_request(self, account_id, wanted, unit, extra):
        """Return the request to the owner of an account."""
        key = (account_id, self.find_owner(account_id))
        finished = tuple(self.finished.pop(key, ()))
        return limitmessages.GrantRequest(
            account_id, wanted, 0.0, unit, extra, finished
        )

    def accept_grant(self, account_id, owner_id, reply, sent_at):
        """Keep granted tokens; they expire from when they were asked for.

        Parameters
        ----------
        account_id : str
            Client account.
        owner_id : str
            Owner that granted.
        reply : GrantReply
            Its answer.
        sent_at : float
            Monotonic seconds when the request was sent.
        """
        if reply.granted <= 0:
            return
        deadline = sent_at + reply.duration * (1 - clock.MAX_DRIFT)
        self.grants.setdefault(account_id, []).append(
            Held(owner_id, reply.grant_id, reply.granted, deadline)
        )
