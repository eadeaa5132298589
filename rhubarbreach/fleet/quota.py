"""Rates of client accounts over all hosts.

The leader owns one bucket an account and grants requests out of it; a host
holds a few granted ones ahead. The load this answers: a steady rate with
bursts on any host, and one account that sends several times its rate.
"""

import dataclasses

__all__ = ['Holder', 'Owner', 'Tolerance']

# Part of the slack of a limit that a new leader may spend; the rest covers
# what hosts hold ahead.
LEADER_SLACK_FRACTION = 0.5
# Seconds of an account's own demand that a host holds ahead, about the time
# without a leader when one is lost.
AHEAD_SECONDS = 1.2
# Requests held ahead beside that.
AHEAD_REQUESTS = 1.0
# Weight of the newest interval in the measured demand; exchanges come several
# times a second, and single requests must not look like a demand.
DEMAND_WEIGHT = 0.15
# Without its leader a host spends its part of the rate, but keeps no more
# than this many seconds of it.
ALONE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a limit may be exceeded in a sliding window.

    In `window` seconds an account may send what its rate and burst allow,
    more by the part `overage`, and `slack` requests.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclasses.dataclass
class Bucket:
    """Requests that may be granted; `time` is when it was filled."""

    level: float
    time: float
    rate: float
    burst: float


class Owner:
    """Grants requests of accounts to hosts.

    Parameters
    ----------
    tolerance : Tolerance, optional
        How far a limit may be exceeded.
    """

    def __init__(self, tolerance=None):
        self.tolerance = tolerance or Tolerance()
        self.buckets = {}

    def get_first_level(self, account):
        """Return what a new leader may grant at once.

        It does not know what its predecessor has granted; what both grant in
        one window has to stay within the tolerance.
        """
        tolerance = self.tolerance
        allowed = account.rate * tolerance.window + account.burst
        spare = allowed * tolerance.overage
        spare += tolerance.slack * LEADER_SLACK_FRACTION
        return min(account.burst, spare)

    def grant(self, account, wanted, now):
        """Return how many requests a host may send.

        Parameters
        ----------
        account : Account
            Client account with its rate and burst.
        wanted : float
            Requests that the host asks for, below 0 what it gives back.
        now : float
            Seconds of the monotonic clock.
        """
        if account.rate <= 0:
            return wanted
        bucket = self.buckets.get(account.name)
        if bucket is None:
            level = self.get_first_level(account)
            bucket = Bucket(level, now, account.rate, account.burst)
            self.buckets[account.name] = bucket
        bucket.rate, bucket.burst = account.rate, account.burst
        elapsed = max(0.0, now - bucket.time)
        bucket.time = now
        bucket.level = min(bucket.burst, bucket.level + elapsed * bucket.rate)
        if wanted < 0:
            bucket.level = min(bucket.burst, bucket.level - wanted)
            return 0.0
        granted = min(wanted, max(0.0, bucket.level))
        bucket.level -= granted
        return granted

    def forget(self):
        """Start anew, when leadership begins."""
        self.buckets.clear()


@dataclasses.dataclass
class Held:
    """Requests of one account that a host may send."""

    tokens: float = 0.0
    arrived: float = 0.0
    demand: float = 0.0
    refused: float = 0.0
    burst: float = 0.0


class Holder:
    """What a host holds of all accounts."""

    def __init__(self):
        self.accounts = {}
        self.hosts = 1
        self.measured = None
        self.refilled = None

    def take(self, account):
        """Spend one request of an account; return whether there was one."""
        if account.rate <= 0:
            return True
        held = self.accounts.setdefault(account.name, Held())
        held.burst = account.burst
        held.arrived += 1
        if held.tokens >= 1:
            held.tokens -= 1
            return True
        held.refused += 1
        return False

    def measure(self, now):
        """Return what to ask for by account, and start a new interval.

        A negative number gives requests back.
        """
        seconds = 0.0 if self.measured is None else now - self.measured
        self.measured = now
        wanted = {}
        for name, held in self.accounts.items():
            if seconds > 0:
                rate = held.arrived / seconds
                held.demand += (rate - held.demand) * DEMAND_WEIGHT
                held.arrived = 0.0
            # All hosts together hold no more ahead than the burst; what lies
            # on a host that needs none would be missing on the others.
            target = min(
                held.demand * AHEAD_SECONDS + AHEAD_REQUESTS,
                held.burst / self.hosts,
            )
            missing = target + held.refused - held.tokens
            held.refused = 0.0
            excess = held.tokens - target - AHEAD_REQUESTS
            if missing >= 1:
                wanted[name] = missing
            elif excess >= 1:
                # What is held beyond the demand can serve another host.
                wanted[name] = -excess
                held.tokens -= excess
        return wanted

    def add(self, granted):
        """Add what was granted."""
        for name, tokens in granted.items():
            self.accounts.setdefault(name, Held()).tokens += tokens

    def refill_alone(self, accounts, hosts, now):
        """Spend a part of each rate while no leader answers.

        Parameters
        ----------
        accounts : iterable of Account
            Client accounts.
        hosts : int
            Entry hosts that share the rate.
        now : float
            Seconds of the monotonic clock.
        """
        seconds = 0.0 if self.refilled is None else now - self.refilled
        self.refilled = now
        for account in accounts:
            held = self.accounts.get(account.name)
            if held is None or account.rate <= 0:
                continue
            rate = account.rate / max(1, hosts)
            limit = max(held.tokens, rate * ALONE_SECONDS, 1.0)
            held.tokens = min(limit, held.tokens + rate * seconds)

    def end_alone(self):
        """Note that a leader answers."""
        self.refilled = None
