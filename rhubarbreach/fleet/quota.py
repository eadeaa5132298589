"""Distributed rate limits of client accounts.

The leader keeps one token bucket for each account and grants tokens to hosts,
which prefetch a few of them. A token admits one request. The limits are
designed for a steady rate with bursts on any host, and for a single account
that sends several times its rate.
"""

import dataclasses

__all__ = ['LocalQuota', 'QuotaAllocator', 'Tolerance']

# Fractions of the slack of a limit: tokens that hosts have prefetched, those
# that the zones may spend without a leader, and those that a new leader may
# grant immediately.
PREFETCH_SLACK_FRACTION = 0.5
RESERVE_SLACK_FRACTION = 0.3
LEADER_SLACK_FRACTION = 0.2
# A host prefetches the tokens that its own demand for an account needs in this
# time, which is about the time without a leader during a failover.
PREFETCH_SECONDS = 1.2
# Additional tokens to prefetch.
PREFETCH_REQUESTS = 1.0
# A host returns the tokens above its target from this excess on. When 23 hosts
# each kept two tokens of an account, its whole burst was held unused.
EXCESS_REQUESTS = 0.5
# Weight of the newest interval in the moving average of the demand. Exchanges
# run several times a second, and a single request must not raise the demand
# much.
DEMAND_WEIGHT = 0.15
# Without a leader a host refills tokens at its part of the rate, but keeps at
# most those of this time.
LOCAL_REFILL_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """Bound on how far a limit may be exceeded in a sliding window.

    In `window` seconds an account may send the requests that its rate and
    burst allow, increased by the fraction `overage`, plus `slack` requests.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass
class Bucket:
    """Token bucket of an account; `time` is when it was last refilled."""

    level: float
    time: float
    rate: float
    burst: float


class QuotaAllocator:
    """Token buckets of the leader, from which it grants tokens to hosts.

    Parameters
    ----------
    tolerance : Tolerance, optional
        Bound on how far a limit may be exceeded.
    """

    def __init__(self, tolerance=None):
        self.tolerance = tolerance or Tolerance()
        self.buckets = {}

    def get_capacity(self, account):
        """Return the capacity of an account's bucket.

        Requests of small accounts arrive in clusters by chance, so the
        capacity is at least the slack that is reserved for prefetched tokens.
        Small accounts do not need that reserve, as hosts together prefetch
        at most the burst.
        """
        spare = self.tolerance.slack * PREFETCH_SLACK_FRACTION
        return max(account.burst, spare)

    def get_initial_level(self, account):
        """Return the tokens that a new leader may grant immediately.

        A new leader does not know the grants of its predecessor. The
        grants of both in one window have to stay within the tolerance.
        """
        tolerance = self.tolerance
        allowed = account.rate * tolerance.window + account.burst
        spare = allowed * tolerance.overage
        spare += tolerance.slack * LEADER_SLACK_FRACTION
        return min(self.get_capacity(account), spare)

    def grant(self, account, wanted, now):
        """Return the number of tokens granted to a host.

        Parameters
        ----------
        account : Account
            Client account with its rate and burst.
        wanted : float
            Tokens that the host asks for; a negative number returns tokens.
        now : float
            Seconds of the monotonic clock.
        """
        if account.rate <= 0:
            return wanted
        bucket = self.buckets.get(account.name)
        if bucket is None:
            level = self.get_initial_level(account)
            bucket = Bucket(level, now, account.rate, account.burst)
            self.buckets[account.name] = bucket
        capacity = self.get_capacity(account)
        is_lowered = account.burst < bucket.burst
        bucket.rate, bucket.burst = account.rate, account.burst
        elapsed = max(0.0, now - bucket.time)
        bucket.time = now
        bucket.level = min(capacity, bucket.level + elapsed * bucket.rate)
        if is_lowered:
            # A lowered limit applies immediately.
            bucket.level = min(bucket.level, account.burst)
        if wanted < 0:
            bucket.level = min(capacity, bucket.level - wanted)
            return 0.0
        granted = min(wanted, max(0.0, bucket.level))
        if granted < 1:
            # A fraction of a token admits no request, but would be missing on
            # other hosts.
            return 0.0
        bucket.level -= granted
        return granted

    def reset(self):
        """Remove all buckets, as a new leader starts with none."""
        self.buckets.clear()


@dataclasses.dataclass
class AccountTokens:
    """Tokens, demand and waiting requests of one account on a host.

    `arrivals` counts the requests since the last measurement, and `demand`
    is their moving average in requests a second.
    """

    tokens: float = 0.0
    arrivals: float = 0.0
    demand: float = 0.0
    waiting: int = 0
    burst: float = 0.0


class LocalQuota:
    """Tokens of all accounts on one host."""

    def __init__(self):
        self.accounts = {}
        self.hosts = 1
        self.measured_at = None
        self.refilled_at = None

    def acquire(self, account):
        """Count a request of an account and consume a token.

        Returns
        -------
        bool
            Whether a token was available.
        """
        if account.rate <= 0:
            return True
        state = self.accounts.setdefault(account.name, AccountTokens())
        state.burst = account.burst
        state.arrivals += 1
        return self.consume(account)

    def consume(self, account):
        """Consume a token if available; return whether it was."""
        return self.take(account.name)

    def take(self, account_id):
        """Consume a token for another host; return whether there was one."""
        state = self.accounts.get(account_id)
        if state is None or state.tokens < 1:
            return False
        state.tokens -= 1
        return True

    def begin_wait(self, account):
        """Request an additional token at each exchange until `end_wait`."""
        self.accounts[account.name].waiting += 1

    def end_wait(self, account):
        """Stop requesting a token for a request that waited."""
        self.accounts[account.name].waiting -= 1

    def compute_wanted(self, now):
        """Return the tokens to request by account; start a new interval.

        A negative number returns tokens to the leader.
        """
        seconds = 0.0 if self.measured_at is None else now - self.measured_at
        self.measured_at = now
        wanted = {}
        for name, state in self.accounts.items():
            if seconds > 0:
                rate = state.arrivals / seconds
                state.demand += (rate - state.demand) * DEMAND_WEIGHT
                state.arrivals = 0.0
            # All hosts together prefetch at most the burst, since tokens
            # on a host without demand would be missing on the others.
            target = min(
                state.demand * PREFETCH_SECONDS + PREFETCH_REQUESTS,
                state.burst / self.hosts,
            )
            if target < 1:
                # A prefetched fraction of a token admits no request.
                target = 0.0
            missing = target + state.waiting - state.tokens
            if state.waiting and missing > 0:
                # A fraction of a token must not keep the host from requesting
                # a whole one.
                wanted[name] = max(1.0, missing)
            elif missing >= 1:
                wanted[name] = missing
            elif -missing >= EXCESS_REQUESTS:
                excess = -missing
                # Tokens in excess of the demand can serve another host.
                wanted[name] = -excess
                state.tokens -= excess
        return wanted

    def add(self, granted):
        """Add granted tokens by account."""
        for name, tokens in granted.items():
            self.accounts.setdefault(name, AccountTokens()).tokens += tokens

    def refill_locally(self, accounts, hosts, now):
        """Refill tokens at this host's part of each rate without a leader.

        Parameters
        ----------
        accounts : iterable of Account
            Client accounts.
        hosts : int
            Entry hosts that share the rate.
        now : float
            Seconds of the monotonic clock.
        """
        seconds = 0.0 if self.refilled_at is None else now - self.refilled_at
        self.refilled_at = now
        for account in accounts:
            state = self.accounts.get(account.name)
            if state is None or account.rate <= 0:
                continue
            rate = account.rate / max(1, hosts)
            limit = max(state.tokens, rate * LOCAL_REFILL_SECONDS, 1.0)
            state.tokens = min(limit, state.tokens + rate * seconds)

    def stop_local_refill(self):
        """End the local refill, as a leader answers again."""
        self.refilled_at = None
