"""Rate limiter of one host: asks the owner of an account for tokens."""

import concurrent.futures
import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.limits import demand as demands
from rhubarbreach.limits import holder
from rhubarbreach.limits import owner
from rhubarbreach.protocol import limitmessages

__all__ = ['RateLimiter', 'is_short']

LOG = logbook.Logger('limits')

# Seconds of validity that a poll of the configuration gives.
CONFIG_VALIDITY = 2.0
OWNER_COUNT = 3
# Seconds for which the reply of an owner is awaited before it is asked
# again, and for which a request waits in all when no owner answers.
REPLY_TIMEOUT = 0.25
MAX_WAIT = 1.0
# Seconds that a request waits for tokens that are about to come, rather
# than being refused for a delay that its caller would not notice.
TOKEN_WAIT = 0.05
# Part of a grant's lifetime for which tokens are asked for in advance.
ADVANCE = owner.GRANT_TTL * 0.6


class RateLimiter:
    """Admission by the rate and burst of client accounts.

    Parameters
    ----------
    host_id, region : str
        This host.
    view : ConfigView
        Configuration in force; `snapshot` and `valid_until` are read.
    membership : Membership
        Names the owners.
    link : Link
        Link to them.
    static : bool
        Baseline policy: every host spends its own share and asks nobody.
    monotonic : callable, optional
        Clock, virtual in measurements.
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
        self.bound = 0.0
        self.stopped = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='rate-shares', daemon=True
        )
        link.register(limitmessages.ShareLease, self.answer_lease)
        link.register(limitmessages.GrantRequest, self.answer_grant)

    def start(self):
        """Start leasing shares."""
        self.thread.start()

    def close(self):
        """Release the shares and stop."""
        self.stopped.set()
        if self.thread.is_alive():
            self.thread.join()

    def run(self):
        """Lease the shares once a period."""
        while True:
            try:
                self.send_leases()
            except Exception:
                LOG.exception('event=lease_failed')
            if self.stopped.wait(holder.LEASE_PERIOD):
                return

    def load_config(self, now):
        """Take over the configuration in force."""
        config = self.view.snapshot
        if config.revision == self.revision:
            return
        self.revision = config.revision
        self.accounts = {item.account_id: item for item in config.accounts}
        bounds = [item.stale_key_bound for item in config.accounts]
        self.bound = max(bounds, default=0.0)
        self.holder.set_share_set(
            config.share_epoch, config.share_hosts, self.bound, now
        )

    def is_valid(self, account, now):
        """Return whether this host may still serve keys of an account."""
        extra = account.stale_key_bound - CONFIG_VALIDITY
        return now < self.view.valid_until + max(0.0, extra)

    def send_leases(self):
        """Lease or release the shares at all owners."""
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
        """Send one lease and take the reply."""
        deadline = self.monotonic() + holder.LEASE_PERIOD
        future = self.link.call(outgoing.owner_id, outgoing.message, deadline)
        future.add_done_callback(
            lambda done: self.accept_lease_reply(outgoing, done.result())
        )

    def accept_lease_reply(self, outgoing, reply):
        """Take the reply of an owner; lease at once if it is new."""
        if isinstance(reply, codes.Refusal):
            return
        now = self.monotonic()
        again = None
        with self.lock:
            fresh = self.holder.accept_lease_reply(outgoing, reply, now)
            if fresh and now < self.view.valid_until:
                again = self.holder.make_lease(outgoing.owner_id, now)
        if again is not None:
            self.send_lease(again)

    def answer_lease(self, sender_id, message):
        """Take a lease as an owner."""
        with self.lock:
            return self.owner.lease(sender_id, message, self.monotonic())

    def answer_grant(self, _sender_id, request):
        """Grant tokens as an owner."""
        now = self.monotonic()
        with self.lock:
            self.load_config(now)
            account = self.accounts.get(request.account_id)
            if account is None or not self.is_valid(account, now):
                retry = owner.NO_SHARES_RETRY_AFTER
                return limitmessages.GrantReply(0.0, 0.0, retry)
            return self.owner.grant(request, account, now)

    def acquire(self, account_id, cost, now):
        """Admit a request or refuse it.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Tokens, 1 for a request.
        now : float
            Monotonic seconds.

        Returns
        -------
        None or Refusal
            None when the request is admitted. Blocks while the owner is
            asked, at most `MAX_WAIT` seconds.
        """
        deadline = now + MAX_WAIT
        refusal = self.wait_for(account_id, cost, deadline)
        if not is_short(refusal):
            return refusal
        self.stopped.wait(refusal.retry_after)
        return self.wait_for(account_id, cost, deadline)

    def wait_for(self, account_id, cost, deadline):
        """Return the decision about a request, by a deadline."""
        waiter = self.submit(account_id, cost)
        while True:
            left = deadline - self.monotonic()
            if left <= 0:
                return self.give_up(account_id, waiter)
            try:
                return waiter.future.result(min(left, REPLY_TIMEOUT))
            except concurrent.futures.TimeoutError:
                self.ask_again(account_id)

    def submit(self, account_id, cost):
        """Spend held tokens or ask the owner, without blocking.

        Parameters
        ----------
        account_id : str
            Client account.
        cost : float
            Tokens.

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
                ask = self.prepare_advance(account_id, demand, now)
            else:
                demand.waiting.append(waiter)
                ask = self.prepare_ask(account_id, demand)
        self.send_ask(account_id, ask)
        self.send_finished(account_id)
        return waiter

    def check_account(self, account_id, now):
        """Return the refusal of an account that cannot be served."""
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
            retry_after=owner.NO_SHARES_RETRY_AFTER,
        )

    def spend_static(self, account, cost, now):
        """Return the decision of the baseline policy."""
        if self.holder.spend_share(account, cost, now):
            return None
        count = max(1, len(self.holder.hosts))
        wait = cost * count / account.rate if account.rate else 1.0
        return make_refusal(
            account.account_id, limitmessages.GrantReply(0.0, 0.0, wait)
        )

    def ask_again(self, account_id):
        """Ask the owner, which may be another one by now, once more."""
        with self.lock:
            self.serve_waiting(account_id, self.monotonic())
            request = self.prepare_ask(account_id, self.demands[account_id])
        self.send_ask(account_id, request)

    def serve_waiting(self, account_id, now):
        """Serve what waits from tokens that have become free."""
        demand = self.demands[account_id]
        account = self.accounts.get(account_id)
        left = []
        for waiter in demand.waiting:
            if account and self.holder.spend(account, waiter.cost, now):
                waiter.future.set_result(None)
            else:
                left.append(waiter)
        demand.waiting = left

    def give_up(self, account_id, waiter):
        """Refuse a request whose owner did not answer."""
        with self.lock:
            demand = self.demands[account_id]
            for waiting in (demand.waiting, demand.asked):
                if waiter in waiting:
                    waiting.remove(waiter)
            if waiter.future.done():
                return waiter.future.result()
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            'the owner of the rate did not answer',
            retry_after=owner.NO_SHARES_RETRY_AFTER,
        )

    def prepare_advance(self, account_id, demand, now):
        """Return a request for tokens that will be needed soon, or None."""
        expected = demand.rate * ADVANCE
        held = self.holder.count_granted(account_id, now)
        if demand.asking or held >= expected / 2:
            return None
        demand.asking = True
        return self.holder.make_request(account_id, 0.0, 0.0, expected)

    def prepare_ask(self, account_id, demand):
        """Return the request for all that wait, None if one is on its way."""
        if demand.asking or not demand.waiting:
            return None
        demand.asking = True
        demand.asked, demand.waiting = demand.waiting, []
        costs = [waiter.cost for waiter in demand.asked]
        extra = demand.rate * ADVANCE
        return self.holder.make_request(
            account_id, sum(costs), max(costs), extra
        )

    def send_ask(self, account_id, request):
        """Send a request to the owner of an account."""
        if request is None:
            return
        sent_at = self.monotonic()
        owner_id = self.holder.find_owner(account_id)
        future = self.link.call(owner_id, request, sent_at + REPLY_TIMEOUT)
        future.add_done_callback(
            lambda done: self.accept_grant(
                account_id, owner_id, done.result(), sent_at
            )
        )

    def accept_grant(self, account_id, owner_id, reply, sent_at):
        """Serve the waiting requests from a reply, and ask again."""
        now = self.monotonic()
        with self.lock:
            demand = self.demands[account_id]
            demand.asking = False
            asked, demand.asked = demand.asked, []
            later, demand.waiting = demand.waiting, asked
            answered = not isinstance(reply, codes.Refusal)
            if answered:
                self.holder.accept_grant(account_id, owner_id, reply, sent_at)
            self.serve_waiting(account_id, now)
            if answered:
                refusal = make_refusal(account_id, reply)
                for waiter in demand.waiting:
                    waiter.future.set_result(refusal)
                demand.waiting = later
                request = self.prepare_ask(account_id, demand)
            else:
                # `wait_for` asks again after a while.
                demand.waiting += later
                request = None
        self.send_ask(account_id, request)
        self.send_finished(account_id)

    def send_finished(self, account_id):
        """Tell the owner at once which grants no longer count."""
        owner_id = self.holder.find_owner(account_id)
        with self.lock:
            key = (account_id, owner_id)
            finished = tuple(self.holder.finished.pop(key, ()))
        if finished:
            message = limitmessages.GrantRequest(
                account_id, 0.0, 0.0, finished=finished
            )
            self.link.send(owner_id, message)


def is_short(refusal):
    """Return whether tokens come so soon that a request should wait."""
    return (
        refusal is not None
        and refusal.code == codes.ResultCode.RATE_EXCEEDED
        and refusal.retry_after <= TOKEN_WAIT
    )


def make_refusal(account_id, reply):
    """Return the refusal of a request for which there were no tokens."""
    return codes.Refusal(
        codes.ResultCode.RATE_EXCEEDED,
        f'the rate of client account {account_id} is used up',
        retry_after=reply.retry_after or owner.MIN_RETRY_AFTER,
    )
