"""Rate limiter of one host, which requests tokens from account owners."""

import concurrent.futures
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import demand as demands
from rhubarbreach.limits import holder
from rhubarbreach.limits import owner
from rhubarbreach.protocol import limitmessages

__all__ = ['RateLimiter', 'is_short_wait']

LOG = logbook.Logger('limits')

# Seconds for which the configuration is valid after a poll.
CONFIG_VALIDITY_SECONDS = 2.0
OWNER_COUNT = 3
# Seconds to wait for an owner's reply before the call is repeated, and seconds
# that a request waits in total when no owner replies.
REPLY_TIMEOUT_SECONDS = 0.25
MAX_WAIT_SECONDS = 1.0
# Longest retry delay in seconds for which a request waits instead of being
# refused. A caller does not notice such a delay.
TOKEN_WAIT_SECONDS = 0.05
# Seconds of expected demand for which tokens are requested in advance, a
# fraction of the lifetime of a grant.
PREFETCH_WINDOW_SECONDS = owner.GRANT_TTL_SECONDS * 0.6


class RateLimiter:
    """Admission control by the rate and burst of client accounts.

    Parameters
    ----------
    host_id, region : str
        This host and its region.
    view : ConfigView
        Configuration in force; `snapshot` and `valid_until` are read.
    membership : Membership
        Lists the owners of a region.
    link : Link
        Link to the owners.
    static : bool
        Whether to use the baseline policy, in which each host spends only
        its own share.
    monotonic : callable, optional
        Clock; a virtual one in simulations.
    """

    def __init__(
        self,
        host_id,
        region,
        view,
        membership,
        link,
        static=False,
        monotonic=clock.monotonic,
    ):
        self.monotonic = monotonic
        self.static = static
        now = monotonic()
        self.host_id = host_id
        self.region = region
        self.view = view
        self.membership = membership
        self.link = link
        self.lock = threading.RLock()
        self.holder = holder.Holder(host_id, now)
        self.owner = owner.Owner(host_id, now)
        self.demands = {}
        self.accounts = {}
        self.revision = None
        self.longest_key_bound = 0.0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='rate-shares', daemon=True
        )
        link.register(limitmessages.ShareLease, self.handle_lease)
        link.register(limitmessages.GrantRequest, self.handle_grant_request)

    def start(self):
        """Start leasing shares."""
        self.thread.start()

    def close(self):
        """Stop leasing shares; the current leases expire."""
        self.stopped.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self):
        """Lease the shares once per period."""
        while True:
            try:
                self.send_leases()
            except Exception:
                LOG.exception('event=lease_failed')
            if self.stopped.wait(holder.LEASE_PERIOD_SECONDS):
                return

    def load_config(self, now):
        """Apply the configuration in force."""
        config = self.view.snapshot
        if config.revision == self.revision:
            return
        self.revision = config.revision
        self.accounts = {
            account.account_id: account for account in config.accounts
        }
        bounds = [account.stale_key_bound for account in config.accounts]
        self.longest_key_bound = max(bounds, default=0.0)
        self.holder.set_share_set(
            config.share_epoch, config.share_hosts, self.longest_key_bound, now
        )

    def is_valid(self, account, now):
        """Return whether this host may still serve keys of an account."""
        extra = account.stale_key_bound - CONFIG_VALIDITY_SECONDS
        return now < self.view.valid_until + max(0.0, extra)

    def send_leases(self):
        """Send a lease or release of the shares to all owners."""
        now = self.monotonic()
        owners = self.membership.owners(
            f'rate-{self.region}', OWNER_COUNT, region=self.region
        )
        with self.lock:
            self.load_config(now)
            if self.static or now >= self.view.valid_until:
                return
            planned = self.holder.plan_leases(owners, now)
        for outgoing in planned:
            self.send_lease(outgoing)

    def send_lease(self, outgoing):
        """Send one lease message and process the reply."""
        deadline = self.monotonic() + holder.LEASE_PERIOD_SECONDS
        future = self.link.call(outgoing.owner_id, outgoing.message, deadline)
        future.add_done_callback(
            lambda done: self.accept_lease_reply(outgoing, done.result())
        )

    def accept_lease_reply(self, outgoing, reply):
        """Process a reply; send a lease if the owner's clock was unknown."""
        if isinstance(reply, codes.Refusal):
            return
        now = self.monotonic()
        next_lease = None
        with self.lock:
            is_due = self.holder.accept_lease_reply(outgoing, reply, now)
            if is_due and now < self.view.valid_until:
                next_lease = self.holder.make_lease(outgoing.owner_id, now)
        if next_lease is not None:
            self.send_lease(next_lease)

    def handle_lease(self, sender_id, message):
        """Process a lease as an owner."""
        with self.lock:
            return self.owner.accept_lease(
                sender_id, message, self.monotonic()
            )

    def handle_grant_request(self, _sender_id, request):
        """Grant tokens as an owner."""
        now = self.monotonic()
        with self.lock:
            self.load_config(now)
            account = self.accounts.get(request.account_id)
            if account is None or not self.is_valid(account, now):
                retry = owner.NO_SHARES_RETRY_AFTER_SECONDS
                return limitmessages.GrantReply(0.0, 0.0, retry)
            return self.owner.grant(request, account, now)

    def acquire(self, account_id, cost, now):
        """Admit a request or refuse it.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Cost in tokens; a request costs 1.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        None or Refusal
            None if the request is admitted. Blocks for at most
            `MAX_WAIT_SECONDS` while tokens are requested from the owner.
        """
        deadline = now + MAX_WAIT_SECONDS
        refusal = self.wait_for_decision(account_id, cost, deadline)
        if not is_short_wait(refusal):
            return refusal
        self.stopped.wait(refusal.retry_after)
        return self.wait_for_decision(account_id, cost, deadline)

    def wait_for_decision(self, account_id, cost, deadline):
        """Return the admission decision on a request by a deadline."""
        waiter = self.submit(account_id, cost)
        while True:
            remaining = deadline - self.monotonic()
            if remaining <= 0:
                return self.refuse_on_timeout(account_id, waiter)
            try:
                return waiter.future.result(
                    min(remaining, REPLY_TIMEOUT_SECONDS)
                )
            except concurrent.futures.TimeoutError:
                self.retry_request(account_id)

    def submit(self, account_id, cost):
        """Spend held tokens or request some from the owner without blocking.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Cost in tokens.

        Returns
        -------
        Waiter
            Its future completes with None or a `Refusal`.
        """
        waiter = demands.Waiter(cost, concurrent.futures.Future())
        now = self.monotonic()
        with self.lock:
            self.load_config(now)
            refusal = self.check_account(account_id, now)
            if refusal is not None:
                waiter.future.set_result(refusal)
                return waiter
            account = self.accounts[account_id]
            if self.static:
                waiter.future.set_result(self.spend_static(account, cost, now))
                return waiter
            demand = self.demands.setdefault(account_id, demands.Demand())
            demand.record(cost, now)
            if self.holder.spend(account, cost, now):
                waiter.future.set_result(None)
                request = self.prepare_prefetch(account_id, demand, now)
            else:
                demand.waiting.append(waiter)
                request = self.prepare_request(account_id, demand)
        self.send_request(account_id, request)
        self.send_finished_grants(account_id)
        return waiter

    def check_account(self, account_id, now):
        """Return a refusal if an account cannot be served, else None."""
        account = self.accounts.get(account_id)
        if account is None:
            return codes.Refusal(
                codes.ResultCode.NOT_PERMITTED,
                f'client account {account_id} does not exist',
            )
        if self.is_valid(account, now):
            return None
        return codes.Refusal(
            codes.ResultCode.CONFIG_STALE,
            'the configuration of this host is out of date',
            retry_after=owner.NO_SHARES_RETRY_AFTER_SECONDS,
        )

    def spend_static(self, account, cost, now):
        """Return the admission decision of the baseline policy."""
        if self.holder.spend_share(account, cost, now):
            return None
        count = max(1, len(self.holder.hosts))
        wait = cost * count / account.rate if account.rate else 1.0
        return make_refusal(
            account.account_id, limitmessages.GrantReply(0.0, 0.0, wait)
        )

    def retry_request(self, account_id):
        """Repeat the call to the owner, which may have changed since."""
        with self.lock:
            self.serve_waiting(account_id, self.monotonic())
            request = self.prepare_request(
                account_id, self.demands[account_id]
            )
        self.send_request(account_id, request)

    def serve_waiting(self, account_id, now):
        """Admit waiting requests for which tokens have become available."""
        demand = self.demands[account_id]
        account = self.accounts.get(account_id)
        unserved = []
        for waiter in demand.waiting:
            if account and self.holder.spend(account, waiter.cost, now):
                waiter.future.set_result(None)
            else:
                unserved.append(waiter)
        demand.waiting = unserved

    def refuse_on_timeout(self, account_id, waiter):
        """Refuse a request whose owner did not reply in time."""
        with self.lock:
            demand = self.demands[account_id]
            for waiters in (demand.waiting, demand.requested):
                if waiter in waiters:
                    waiters.remove(waiter)
            if waiter.future.done():
                return waiter.future.result()
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            'the owner of the rate limit did not reply in time',
            retry_after=owner.NO_SHARES_RETRY_AFTER_SECONDS,
        )

    def prepare_prefetch(self, account_id, demand, now):
        """Return a request for tokens ahead of demand, None if not due."""
        expected = demand.rate * PREFETCH_WINDOW_SECONDS
        granted = self.holder.count_granted(account_id, now)
        if demand.request_in_flight or granted >= expected / 2:
            return None
        demand.request_in_flight = True
        return self.holder.make_request(account_id, 0.0, 0.0, expected)

    def prepare_request(self, account_id, demand):
        """Return a token request for all waiters, None if one is in flight."""
        if demand.request_in_flight or not demand.waiting:
            return None
        demand.request_in_flight = True
        demand.requested, demand.waiting = demand.waiting, []
        costs = [waiter.cost for waiter in demand.requested]
        extra = demand.rate * PREFETCH_WINDOW_SECONDS
        return self.holder.make_request(
            account_id, sum(costs), max(costs), extra
        )

    def send_request(self, account_id, request):
        """Send a token request to the owner of an account."""
        if request is None:
            return
        sent_at = self.monotonic()
        owner_id = self.holder.find_owner(account_id)
        future = self.link.call(
            owner_id, request, sent_at + REPLY_TIMEOUT_SECONDS
        )
        future.add_done_callback(
            lambda done: self.accept_grant(
                account_id, owner_id, done.result(), sent_at
            )
        )

    def accept_grant(self, account_id, owner_id, reply, sent_at):
        """Serve waiting requests from a reply and send the next request."""
        now = self.monotonic()
        with self.lock:
            demand = self.demands[account_id]
            demand.request_in_flight = False
            requested, demand.requested = demand.requested, []
            queued, demand.waiting = demand.waiting, requested
            answered = not isinstance(reply, codes.Refusal)
            if answered:
                self.holder.accept_grant(account_id, owner_id, reply, sent_at)
            self.serve_waiting(account_id, now)
            if answered:
                refusal = make_refusal(account_id, reply)
                for waiter in demand.waiting:
                    waiter.future.set_result(refusal)
                demand.waiting = queued
                request = self.prepare_request(account_id, demand)
            else:
                # `wait_for_decision` repeats the call after
                # `REPLY_TIMEOUT_SECONDS`.
                demand.waiting += queued
                request = None
        self.send_request(account_id, request)
        self.send_finished_grants(account_id)

    def send_finished_grants(self, account_id):
        """Notify the owner immediately of the grants that were spent."""
        owner_id = self.holder.find_owner(account_id)
        with self.lock:
            key = (account_id, owner_id)
            finished = tuple(self.holder.finished_grants.pop(key, ()))
        if finished:
            message = limitmessages.GrantRequest(
                account_id, 0.0, 0.0, finished=finished
            )
            self.link.send(owner_id, message)


def is_short_wait(refusal):
    """Return whether a refused request should wait for tokens and retry."""
    return (
        refusal is not None
        and refusal.code == codes.ResultCode.RATE_EXCEEDED
        and refusal.retry_after <= TOKEN_WAIT_SECONDS
    )


def make_refusal(account_id, reply):
    """Return the refusal of a request that exceeds the rate limit."""
    return codes.Refusal(
        codes.ResultCode.RATE_EXCEEDED,
        f'client account {account_id} exceeded its rate limit',
        retry_after=reply.retry_after or owner.MIN_RETRY_AFTER_SECONDS,
    )
