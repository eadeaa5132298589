"""Tokens of client accounts on an entry host: grants, waits and reserves."""

import concurrent.futures
import threading

from rhubarbreach import clock
from rhubarbreach.fleet import quota
from rhubarbreach.fleet import zone_quota
from rhubarbreach.protocol import fleetmessages
from rhubarbreach import rendezvous

__all__ = ['TokenSource']

# Time that a request may wait for a grant of its account's rate. It covers two
# immediate exchanges, and leaves a refused caller time to be served elsewhere.
GRANT_TIMEOUT_SECONDS = 0.07
# Time that a request may wait for a token of the reserve of its zone.
RESERVE_TIMEOUT_SECONDS = 0.04


class TokenSource:
    """Tokens that the leader grants, and those of the zone without one.

    Parameters
    ----------
    link : Link
        Link to the other hosts.
    list_peers : callable
        Returns the other entry hosts of the zone.
    find_account : callable
        Returns the `Account` of a name, or None if it is unknown or the
        configuration must not be used any more.
    request_exchange : callable
        Called if a request waits for a token.
    tolerance : Tolerance, optional
        Bound on how far a limit may be exceeded.
    """

    def __init__(
        self, link, list_peers, find_account, request_exchange, tolerance=None
    ):
        self.link = link
        self.list_peers = list_peers
        self.find_account = find_account
        self.request_exchange = request_exchange
        self.local_quota = quota.LocalQuota()
        self.reserve = zone_quota.ZoneReserve(tolerance)
        self.entry_host_count = 1
        # Monotonic time from which on a silent leader counts as lost.
        self.lost_at = float('-inf')
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)

    def acquire(self, account):
        """Consume a token of an account; return False if its rate is exceeded.

        A host without a token waits for a grant, or without a leader asks for
        a token of the zone's reserve.
        """
        with self.lock:
            if self.local_quota.acquire(account):
                return True
        was_lost = self.is_leader_lost(clock.monotonic())
        if was_lost and self.acquire_reserve(account):
            return True
        if self.wait_for_grant(account):
            return True
        # The leader may have been lost during the wait.
        is_lost = self.is_leader_lost(clock.monotonic())
        return is_lost and not was_lost and self.acquire_reserve(account)

    def is_leader_lost(self, now):
        """Return whether the leader has been silent for some exchanges."""
        return now > self.lost_at

    def wait_for_grant(self, account):
        """Wait for a grant; return whether a token was consumed."""
        deadline = clock.monotonic() + GRANT_TIMEOUT_SECONDS
        with self.lock:
            self.local_quota.begin_wait(account)
            try:
                self.request_exchange()
                while not self.local_quota.consume(account):
                    remaining = clock.remaining(deadline, clock.monotonic())
                    if not remaining or not self.changed.wait(remaining):
                        return False
            finally:
                self.local_quota.end_wait(account)
        return True

    def acquire_reserve(self, account):
        """Consume a token of the zone's reserve; return whether one is left.

        The reserve of an account is kept by one host of the zone.
        """
        host_ids = (self.link.host_id, *self.list_peers())
        (keeper_id,) = rendezvous.rank_hosts(account.name, host_ids, 1)
        message = fleetmessages.ZoneTokenCall(account.name)
        if keeper_id == self.link.host_id:
            return self.answer_call(keeper_id, message).granted
        deadline = clock.monotonic() + RESERVE_TIMEOUT_SECONDS
        call = self.link.call(keeper_id, message, deadline)
        try:
            # The link completes it only at its next periodic check.
            reply = call.result(RESERVE_TIMEOUT_SECONDS)
        except concurrent.futures.TimeoutError:
            return False
        return isinstance(reply, fleetmessages.ZoneTokenReply) and (
            reply.granted
        )

    def answer_call(self, sender_id, message):
        """Return the reply to a host without a leader that needs a token."""
        account = self.find_account(message.account)
        if account is None:
            return fleetmessages.ZoneTokenReply(False)
        now = clock.monotonic()
        zone_hosts = 1 + len(self.list_peers())
        with self.lock:
            granted = self.local_quota.take(account.name) or (
                self.is_leader_lost(now)
                and self.reserve.acquire(
                    account,
                    zone_hosts,
                    self.entry_host_count,
                    self.lost_at,
                    now,
                )
            )
        return fleetmessages.ZoneTokenReply(granted)

    def compute_wanted(self, now):
        """Return the tokens to request from the leader by account."""
        with self.lock:
            return self.local_quota.compute_wanted(now)

    def apply_grants(self, granted, entry_host_count, lost_at):
        """Add the tokens that the leader has granted.

        Parameters
        ----------
        granted : dict of str to float
            Tokens by account.
        entry_host_count : int
            Entry hosts that share the rates.
        lost_at : float
            Time from which on the leader counts as lost if it does not reply
            again, in seconds of the monotonic clock.
        """
        with self.lock:
            self.lost_at = lost_at
            self.entry_host_count = entry_host_count
            self.local_quota.stop_local_refill()
            self.local_quota.hosts = max(1, entry_host_count)
            self.local_quota.add(granted)
            self.changed.notify_all()

    def refill_alone(self, accounts, now):
        """Refill tokens at this host's part of each rate without a leader.

        The hosts of a zone with several hosts pool their parts instead.
        """
        if self.list_peers():
            return
        with self.lock:
            self.local_quota.refill_locally(
                accounts, self.entry_host_count, now
            )
            self.changed.notify_all()
