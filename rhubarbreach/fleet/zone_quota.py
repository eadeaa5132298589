"""Reserve of tokens for the hosts of an availability zone without a leader.

Many hosts share the burst of a small account, so none of them keeps a token
of it. While a leader is lost, each request would be refused, although its
account is far below its rate. The hosts of a zone therefore have a small
reserve of each account, kept by one of them. Each zone has a part of the slack
of a limit, in proportion to its hosts, so that all zones together and the
first grants of the next leader stay within the tolerance.
"""

import collections

from rhubarbreach.fleet import quota

__all__ = ['ZoneReserve']

# Tokens of the reserve come back after this many windows of the limit.
RESERVE_WINDOWS = 2


class ZoneReserve:
    """Tokens of all accounts for the hosts of one zone.

    Callers have to hold a lock.

    Parameters
    ----------
    tolerance : Tolerance, optional
        Bound on how far a limit may be exceeded.
    """

    def __init__(self, tolerance=None):
        self.tolerance = tolerance or quota.Tolerance()
        self.grants = {}

    def count_tokens(self, zone_hosts, hosts):
        """Return the tokens of each account for a zone.

        Parameters
        ----------
        zone_hosts, hosts : int
            Entry hosts of the zone and of the fleet.
        """
        reserve = self.tolerance.slack * quota.RESERVE_SLACK_FRACTION
        return int(reserve * zone_hosts / max(hosts, zone_hosts, 1))

    def acquire(self, account_id, zone_hosts, hosts, now):
        """Consume a token of an account; return whether there was one."""
        grants = self.grants.setdefault(account_id, collections.deque())
        oldest = now - RESERVE_WINDOWS * self.tolerance.window
        while grants and grants[0] <= oldest:
            grants.popleft()
        if len(grants) >= self.count_tokens(zone_hosts, hosts):
            return False
        grants.append(now)
        return True
