"""Tracking of the revisions that hosts use, at the host they poll."""

import dataclasses
import threading

from rhubarbreach.distribution import view
from rhubarbreach.protocol import messages
from rhubarbreach.state import model

__all__ = ['ANY_ACCOUNT', 'Tracker', 'get_extra', 'get_longest_extra']

# In place of an account id: the account with the longest bound.
ANY_ACCOUNT = '*'

# Hosts listed by name in one message; the others are sent as one row.
MAX_LAGS = 64
NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class Lag:
    """Host below a relay that used an older revision until a deadline."""

    host_id: str
    revision: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """What one polling process uses.

    Parameters
    ----------
    revision : int
        Revision that it stated last; it does not use an older one.
    granted_until : float
        Latest deadline on the monotonic clock that it was granted.
    downstream : int
        Hosts that it vouches for.
    behind : tuple of Lag
        Those of them that may use an older revision.
    """

    revision: int
    granted_until: float
    downstream: int
    behind: tuple[Lag, ...]


def get_extra(config, account_id):
    """Return for how much longer than others an account's keys may work.

    Parameters
    ----------
    config : Config
        Configuration in effect.
    account_id : str
        Client account, empty for none, `ANY_ACCOUNT` when not known.

    Returns
    -------
    float
        Seconds beyond the validity of the configuration. The longest bound
        ever set counts, since a partitioned host may still use that one.
    """
    if account_id == ANY_ACCOUNT:
        return get_longest_extra(config)
    bound = config.get_longest_bound(account_id)
    return max(0.0, bound - view.CONFIG_VALIDITY)


def get_longest_extra(config):
    """Return for how much longer any account's keys may work, in seconds."""
    longest = max(config.bound_map.values(), default=0.0)
    return max(0.0, longest - view.CONFIG_VALIDITY)


class Tracker:
    """Revisions in use at the hosts that poll this one."""

    def __init__(self):
        self.entries = {}
        self.lock = threading.Lock()

    def record_poll(self, watch, now):
        """Take the state of the polling host into account.

        A restarted process replaces the former one, unless that was a relay:
        the hosts below it may still use what it granted.
        """
        key = (watch.host_id, watch.incarnation)
        behind = tuple(
            Lag(lag.host_id, lag.revision, now + lag.seconds)
            for lag in watch.behind
        )
        with self.lock:
            known = self.entries.get(key)
            if known is None:
                self.forget_restarted(watch, now)
            granted = known.granted_until if known else NEVER
            self.entries[key] = Entry(
                watch.revision, granted, watch.downstream, behind
            )

    def forget_restarted(self, watch, now):
        """Drop former processes of a host and what has long expired."""
        oldest = now - model.MAX_STALE_KEY_BOUND
        for key, entry in list(self.entries.items()):
            restarted = key[0] == watch.host_id and not entry.downstream
            if restarted or NEVER < entry.granted_until < oldest:
                del self.entries[key]

    def record_grant(self, watch, revision, granted_until):
        """Note the deadline that the reply to a poll grants.

        A host that polled without a configuration uses either the revision
        of the reply or none.
        """
        key = (watch.host_id, watch.incarnation)
        with self.lock:
            # The process may have been replaced while its poll waited.
            entry = self.entries.get(
                key, Entry(watch.revision, NEVER, watch.downstream, ())
            )
            self.entries[key] = dataclasses.replace(
                entry,
                revision=entry.revision or revision,
                granted_until=max(entry.granted_until, granted_until),
            )

    def get_revisions(self):
        """Return the revisions of the hosts that have polled, by host id."""
        found = {}
        with self.lock:
            for (host_id, _), entry in self.entries.items():
                found[host_id] = max(entry.revision, found.get(host_id, 0))
        return found

    def get_granted(self):
        """Return until when each host that has polled was granted.

        Returns
        -------
        dict of str to float
            Monotonic seconds by host id.
        """
        found = {}
        with self.lock:
            for (host_id, _), entry in self.entries.items():
                known = found.get(host_id, NEVER)
                found[host_id] = max(entry.granted_until, known)
        return found

    def count_downstream(self, extra, now):
        """Return how many polling processes may still serve keys."""
        with self.lock:
            return sum(
                entry.granted_until + extra > now
                for entry in self.entries.values()
            )

    def find_behind(self, revision, extra, now):
        """Return the hosts that may use a revision older than this.

        Parameters
        ----------
        revision : int
            Revision asked for.
        extra : float
            Seconds beyond the validity that matter.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        list of Lag
            Deadlines are those of the validity, without `extra`.
        """
        found = []
        with self.lock:
            entries = list(self.entries.items())
        for (host_id, _), entry in entries:
            if entry.revision < revision:
                found.append(Lag(host_id, entry.revision, entry.granted_until))
            found.extend(
                lag for lag in entry.behind if lag.revision < revision
            )
        return [lag for lag in found if lag.deadline + extra > now]

    def report_behind(self, revision, extra, now):
        """Return the rows for this host's own poll, a bounded number."""
        lags = self.find_behind(revision, extra, now)
        rows = [
            messages.HostLag(lag.host_id, lag.revision, lag.deadline - now)
            for lag in lags
        ]
        if len(rows) <= MAX_LAGS:
            return tuple(rows)
        rest = rows[MAX_LAGS - 1 :]
        least = min(row.revision for row in rest)
        longest = max(row.seconds for row in rest)
        return (
            *rows[: MAX_LAGS - 1],
            messages.HostLag('', least, longest),
        )

    def find_pending(self, revision, extra, now):
        """Return where a revision is not in effect, one row for a host.

        Returns
        -------
        tuple of PendingHost
            Sorted by host id; seconds after which it is surely in effect.
        """
        longest = {}
        for lag in self.find_behind(revision, extra, now):
            seconds = lag.deadline + extra - now
            longest[lag.host_id] = max(seconds, longest.get(lag.host_id, 0))
        return tuple(
            messages.PendingHost(host_id, seconds)
            for host_id, seconds in sorted(longest.items())
        )
