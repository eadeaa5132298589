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
# What a host holds beyond its own demand by this much it gives back. With 23
# hosts that each kept two requests of an account, its whole burst lay idle.
EXCESS_REQUESTS = 0.5
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

    def get_depth(self, account):
        """Return the most requests of an account that may be granted at once.

        Requests of small accounts come in groups by chance alone. The part
        of the slack that is kept for what hosts hold ahead is not needed
        for them, as hosts hold no more ahead than the burst.
        """
        spare = self.tolerance.slack * (1.0 - LEADER_SLACK_FRACTION)
        return max(account.burst, spare)

    def get_first_level(self, account):
        """Return what a new leader may grant at once.

        It does not know what its predecessor has granted; what both grant in
        one window has to stay within the tolerance.
        """
        tolerance = self.tolerance
        allowed = account.rate * tolerance.window + account.burst
        spare = allowed * tolerance.overage
        spare += tolerance.slack * LEADER_SLACK_FRACTION
        return min(self.get_depth(account), spare)

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
        depth = self.get_depth(account)
        is_lowered = account.burst < bucket.burst
        bucket.rate, bucket.burst = account.rate, account.burst
        elapsed = max(0.0, now - bucket.time)
        bucket.time = now
        bucket.level = min(depth, bucket.level + elapsed * bucket.rate)
        if is_lowered:
            # A lowered limit binds at once.
            bucket.level = min(bucket.level, account.burst)
        if wanted < 0:
            bucket.level = min(depth, bucket.level - wanted)
            return 0.0
        granted = min(wanted, max(0.0, bucket.level))
        if granted < 1:
            # A part of a request serves nobody, but is missing elsewhere.
            return 0.0
        bucket.level -= granted
        return granted

    def forget(self):
        """Start anew, when leadership begins."""
        self.buckets.clear()


@dataclasses.dataclass
class Held:
    """Requests of one account that a host may send, and that wait for it."""

    tokens: float = 0.0
    arrived: float = 0.0
    demand: float = 0.0
    waiting: int = 0
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
        return self.spend(account)

    def spend(self, account):
        """Spend one request if one is held; return whether it was."""
        held = self.accounts[account.name]
        if held.tokens < 1:
            return False
        held.tokens -= 1
        return True

    def begin_wait(self, account):
        """Ask for one more at each exchange, until `end_wait`."""
        self.accounts[account.name].waiting += 1

    def end_wait(self, account):
        """Note that a request waits no more."""
        self.accounts[account.name].waiting -= 1

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
            if target < 1:
                # A part of a request held ahead serves nobody.
                target = 0.0
            missing = target + held.waiting - held.tokens
            if held.waiting and missing > 0:
                # A held part of a request must not keep a host from asking.
                wanted[name] = max(1.0, missing)
            elif missing >= 1:
                wanted[name] = missing
            elif -missing >= EXCESS_REQUESTS:
                excess = -missing
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
