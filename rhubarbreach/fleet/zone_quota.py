"""Tokens of client accounts for the hosts of a zone without a leader.

Many hosts share the rate of a small account, so none of them keeps a token of
it, and none earns one within seconds from its own part of the rate. While a
leader is lost, each request would be refused, although its account is far
below its rate. The hosts of a zone therefore pool their parts of the rate, and
begin with a small reserve. Each account has one keeper among the hosts. The
reserve is the zone's part of the slack of a limit, in proportion to its hosts,
so that all zones together and the first grants of the next leader stay within
the tolerance.
"""

import dataclasses

from rhubarbreach.fleet import quota

__all__ = ['ZoneReserve']

# Windows of the limit after which a spent reserve has come back.
RESERVE_WINDOWS = 2


@dataclasses.dataclass
class Bucket:
    """Tokens of an account; `time` is when they were last refilled."""

    level: float
    time: float


class ZoneReserve:
    """Tokens of the accounts that this host keeps for its zone.

    Callers have to hold a lock.

    Parameters
    ----------
    tolerance : Tolerance, optional
        Bound on how far a limit may be exceeded.
    """

    def __init__(self, tolerance=None):
        self.tolerance = tolerance or quota.Tolerance()
        self.buckets = {}

    def count_tokens(self, zone_hosts, hosts):
        """Return the reserve of each account for a zone.

        Parameters
        ----------
        zone_hosts, hosts : int
            Entry hosts of the zone and of the fleet.
        """
        reserve = self.tolerance.slack * quota.RESERVE_SLACK_FRACTION
        return int(reserve * zone_hosts / max(hosts, zone_hosts, 1))

    def acquire(self, account, zone_hosts, hosts, lost_at, now):
        """Consume a token of an account; return whether there was one.

        Parameters
        ----------
        account : Account
            Client account with its rate.
        zone_hosts, hosts : int
            Entry hosts of the zone and of the fleet.
        lost_at, now : float
            Time at which the leader was lost, and the present, in seconds of
            the monotonic clock.
        """
        reserve = self.count_tokens(zone_hosts, hosts)
        bucket = self.buckets.get(account.name)
        if bucket is None:
            full_at = max(lost_at, now - self.tolerance.window)
            bucket = Bucket(reserve, min(full_at, now))
            self.buckets[account.name] = bucket
        led_seconds = max(0.0, lost_at - bucket.time)
        lost_seconds = max(0.0, now - max(lost_at, bucket.time))
        bucket.time = now
        return_rate = reserve / (RESERVE_WINDOWS * self.tolerance.window)
        rate = 0.0
        if zone_hosts > 1:
            # A host without others in its zone refills its own tokens.
            rate = account.rate * zone_hosts / max(hosts, zone_hosts)
        bucket.level = min(
            max(bucket.level, reserve),
            bucket.level + led_seconds * return_rate,
        )
        # A part below one token a second must be able to earn a whole one.
        most_earned = max(
            rate * quota.LOCAL_REFILL_SECONDS,
            min(1.0, rate * self.tolerance.window / 2),
        )
        bucket.level = min(
            reserve + most_earned, bucket.level + lost_seconds * rate
        )
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True
