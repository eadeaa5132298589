"""Tracking of the revisions that hosts use, at the host they poll."""

import dataclasses
import threading

from rhubarbreach.distribution import view
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import model

__all__ = ['ANY_ACCOUNT', 'Tracker', 'get_extra', 'get_longest_extra']

# In place of an account id: the account with the longest bound.
ANY_ACCOUNT = '*'

# Hosts listed by name in one message; the others are sent as one row. At
# the target size a relay has 36 hosts.
MAX_LAGS = 256
# A host polls at least this often. What a relay lists is up to date until
# then; later it may have granted more, up to its own validity.
SILENT = 1.0
NEVER = float('-inf')
LATER_THAN_ALL = 2**63


@dataclasses.dataclass(frozen=True, slots=True)
class Lag:
    """Process of a host, its revision and the deadline it was granted."""

    host_id: str
    incarnation: int
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
    below : tuple of Lag
        These hosts, as listed in the last poll.
    polled_at : float
        When the last poll was received.
    """

    revision: int
    granted_until: float
    downstream: int
    below: tuple[Lag, ...] = ()
    polled_at: float = NEVER


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
        below = tuple(
            Lag(lag.host_id, lag.incarnation, lag.revision, now + lag.seconds)
            for lag in watch.below
        )
        with self.lock:
            known = self.entries.get(key)
            if known is None:
                self.forget_restarted(watch, now)
            granted = known.granted_until if known else NEVER
            self.entries[key] = Entry(
                watch.revision, granted, watch.downstream, below, now
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
                key, Entry(watch.revision, NEVER, watch.downstream)
            )
            self.entries[key] = dataclasses.replace(
                entry,
                revision=entry.revision or revision,
                granted_until=max(entry.granted_until, granted_until),
            )

    def get_revisions(self):
        """Return the revisions in use here and below, by host id.

        Hosts that were never granted anything here are left out, such as
        one that polled once and then turned to another upstream.
        """
        found = {}
        for row in self.list_processes():
            if row.host_id and row.deadline > NEVER:
                known = found.get(row.host_id, 0)
                found[row.host_id] = max(row.revision, known)
        return found

    def get_granted_until(self, host_id, now):
        """Return until when a host was granted to use its configuration.

        Parameters
        ----------
        host_id : str
            Host that polls this one or a relay below it.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        float
            Deadline on the monotonic clock; minus infinity when neither
            this host nor a relay has heard of it. A relay that has fallen
            silent may have granted any host as much as it had itself.
        """
        latest = NEVER
        with self.lock:
            entries = list(self.entries.items())
        for (name, _), entry in entries:
            silent = entry.downstream and now > entry.polled_at + SILENT
            if name == host_id or silent:
                latest = max(latest, entry.granted_until)
            for lag in entry.below:
                if lag.host_id in (host_id, ''):
                    latest = max(latest, lag.deadline)
        return latest

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
        return [
            lag
            for lag in self.list_processes()
            if lag.revision < revision and lag.deadline + extra > now
        ]

    def list_processes(self):
        """Return all processes here and below, one row for each.

        A process that turned to another upstream is known from several; its
        revision never goes back, so the highest one holds.
        """
        with self.lock:
            entries = list(self.entries.items())
        rows = []
        for (host_id, incarnation), entry in entries:
            rows.append(
                Lag(host_id, incarnation, entry.revision, entry.granted_until)
            )
            rows.extend(entry.below)
        found = [row for row in rows if not row.host_id]
        merged = {}
        for row in rows:
            key = (row.host_id, row.incarnation)
            known = merged.get(key)
            if known is None:
                merged[key] = row
                continue
            merged[key] = dataclasses.replace(
                row,
                revision=max(row.revision, known.revision),
                deadline=max(row.deadline, known.deadline),
            )
        found.extend(row for key, row in merged.items() if key[0])
        return found

    def report_below(self, extra, now):
        """Return the rows for this host's own poll, a bounded number.

        Parameters
        ----------
        extra : float
            Seconds beyond the validity for which a host still matters.
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        tuple of HostLag
            Hosts that may serve keys, those that relays list included.
        """
        rows = [
            configmessages.HostLag(
                lag.host_id,
                lag.incarnation,
                lag.revision,
                lag.deadline - now,
            )
            for lag in self.find_behind(LATER_THAN_ALL, extra, now)
        ]
        if len(rows) <= MAX_LAGS:
            return tuple(rows)
        rest = rows[MAX_LAGS - 1 :]
        least = min(row.revision for row in rest)
        longest = max(row.seconds for row in rest)
        return (
            *rows[: MAX_LAGS - 1],
            configmessages.HostLag('', 0, least, longest),
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
            configmessages.PendingHost(host_id, seconds)
            for host_id, seconds in sorted(longest.items())
        )
