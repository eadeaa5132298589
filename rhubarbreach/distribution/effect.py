"""Tracking of the configuration revisions that polling hosts use."""

import dataclasses
import threading

from rhubarbreach.distribution import view
from rhubarbreach.protocol import configmessages
from rhubarbreach.state import model

__all__ = [
    'ANY_ACCOUNT',
    'RevisionTracker',
    'get_key_grace',
    'get_longest_key_grace',
]

# Account id that stands for the account with the longest stale key bound.
ANY_ACCOUNT = '*'

# Maximum number of rows in one report. Further hosts are merged into the last
# row. At the target size of the fleet a relay has 36 hosts.
MAX_REPORT_ROWS = 256
# Maximum interval between the polls of a host. The report of a relay is
# current for this time. A relay that is silent for longer may have granted its
# hosts as much as it was granted itself.
MAX_POLL_INTERVAL_SECONDS = 1.0
NEVER = float('-inf')
MAX_REVISION = 2**63


@dataclasses.dataclass(frozen=True, slots=True)
class HostRevision:
    """Revision that a process of a host uses, and its granted deadline."""

    host_id: str
    incarnation: int
    revision: int
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class PollerState:
    """State of a process that polls this host.

    Parameters
    ----------
    revision : int
        Revision stated in the last poll. The process uses no older one.
    granted_until : float
        Latest monotonic deadline granted to the process.
    downstream : int
        Number of hosts that poll the process and may use its grants.
    below : tuple of HostRevision
        State of these hosts as listed in the last poll.
    polled_at : float
        Monotonic time at which the last poll was received.
    """

    revision: int
    granted_until: float
    downstream: int
    below: tuple[HostRevision, ...] = ()
    polled_at: float = NEVER


def get_key_grace(config, account_id):
    """Return the time for which an account's keys may outlive the validity.

    Parameters
    ----------
    config : Config
        Configuration in effect.
    account_id : str
        Client account, empty for none, `ANY_ACCOUNT` if unknown.

    Returns
    -------
    float
        Seconds beyond the validity of the configuration, according to the
        longest bound ever set, since a partitioned host may still use it.
    """
    if account_id == ANY_ACCOUNT:
        return get_longest_key_grace(config)
    bound = config.get_longest_bound(account_id)
    return max(0.0, bound - view.CONFIG_VALIDITY_SECONDS)


def get_longest_key_grace(config):
    """Return the seconds for which any key may outlive the validity."""
    longest = max(config.bound_map.values(), default=0.0)
    return max(0.0, longest - view.CONFIG_VALIDITY_SECONDS)


class RevisionTracker:
    """Revisions in use by the hosts that poll this one."""

    def __init__(self):
        self.pollers = {}
        self.lock = threading.Lock()

    def record_poll(self, watch, now):
        """Record the state that a polling host reports.

        A restarted process replaces its predecessor, unless that was a relay,
        since downstream hosts may still use its grants.
        """
        key = (watch.host_id, watch.incarnation)
        below = tuple(
            HostRevision(
                row.host_id, row.incarnation, row.revision, now + row.seconds
            )
            for row in watch.below
        )
        with self.lock:
            poller = self.pollers.get(key)
            if poller is None:
                self.evict_replaced(watch, now)
            granted = poller.granted_until if poller else NEVER
            self.pollers[key] = PollerState(
                watch.revision, granted, watch.downstream, below, now
            )

    def evict_replaced(self, watch, now):
        """Remove former processes of a host and expired states."""
        oldest = now - model.MAX_STALE_KEY_BOUND_SECONDS
        for key, poller in list(self.pollers.items()):
            restarted = key[0] == watch.host_id and not poller.downstream
            if restarted or NEVER < poller.granted_until < oldest:
                del self.pollers[key]

    def record_grant(self, watch, revision, granted_until):
        """Record the deadline that the reply to a poll grants.

        A host that polled without a configuration uses the revision of the
        reply or none.
        """
        key = (watch.host_id, watch.incarnation)
        with self.lock:
            # The state may have been removed for a restarted process while
            # the poll waited.
            poller = self.pollers.get(
                key, PollerState(watch.revision, NEVER, watch.downstream)
            )
            self.pollers[key] = dataclasses.replace(
                poller,
                revision=poller.revision or revision,
                granted_until=max(poller.granted_until, granted_until),
            )

    def get_revisions(self):
        """Return the revisions in use by downstream hosts, by host id.

        Hosts without a grant are left out, such as one that polled once and
        then switched to another upstream.
        """
        revisions = {}
        for row in self.list_processes():
            if row.host_id and row.deadline > NEVER:
                revision = revisions.get(row.host_id, 0)
                revisions[row.host_id] = max(row.revision, revision)
        return revisions

    def get_granted_until(self, host_id, now):
        """Return until when a host may use its configuration.

        Parameters
        ----------
        host_id : str
            Host that polls this one or a downstream relay.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Monotonic deadline, minus infinity if neither this host nor a
            downstream relay has granted one. A silent relay may have granted
            any host as much as it was granted itself.
        """
        latest = NEVER
        with self.lock:
            pollers = list(self.pollers.items())
        for (name, _), poller in pollers:
            silent = (
                poller.downstream
                and now > poller.polled_at + MAX_POLL_INTERVAL_SECONDS
            )
            if name == host_id or silent:
                latest = max(latest, poller.granted_until)
            for row in poller.below:
                if row.host_id in (host_id, ''):
                    latest = max(latest, row.deadline)
        return latest

    def count_downstream(self, grace, now):
        """Return how many polling processes may still accept keys."""
        with self.lock:
            return sum(
                poller.granted_until + grace > now
                for poller in self.pollers.values()
            )

    def find_outdated(self, revision, grace, now):
        """Return the processes that may use a revision older than this.

        Parameters
        ----------
        revision : int
            Lowest revision that is not outdated.
        grace : float
            Seconds for which keys may outlive the validity.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of HostRevision
            Their deadlines do not include `grace`.
        """
        return [
            row
            for row in self.list_processes()
            if row.revision < revision and row.deadline + grace > now
        ]

    def list_processes(self):
        """Return all downstream processes, one row for each.

        A process that switched to another upstream is reported by several of
        them. Its revision never decreases, so the highest one is valid.
        """
        with self.lock:
            pollers = list(self.pollers.items())
        rows = []
        for (host_id, incarnation), poller in pollers:
            rows.append(
                HostRevision(
                    host_id, incarnation, poller.revision, poller.granted_until
                )
            )
            rows.extend(poller.below)
        processes = [row for row in rows if not row.host_id]
        merged = {}
        for row in rows:
            key = (row.host_id, row.incarnation)
            previous = merged.get(key)
            if previous is None:
                merged[key] = row
                continue
            merged[key] = dataclasses.replace(
                row,
                revision=max(row.revision, previous.revision),
                deadline=max(row.deadline, previous.deadline),
            )
        processes.extend(row for key, row in merged.items() if key[0])
        return processes

    def report_downstream(self, grace, now):
        """Return the rows that this host reports in its own polls.

        Parameters
        ----------
        grace : float
            Seconds for which keys may outlive the validity.
        now : float
            Monotonic seconds.

        Returns
        -------
        tuple of HostLag
            Downstream hosts that may accept keys, at most `MAX_REPORT_ROWS`
            rows. The last row may stand for several hosts.
        """
        rows = [
            configmessages.HostLag(
                process.host_id,
                process.incarnation,
                process.revision,
                process.deadline - now,
            )
            for process in self.find_outdated(MAX_REVISION, grace, now)
        ]
        if len(rows) <= MAX_REPORT_ROWS:
            return tuple(rows)
        rest = rows[MAX_REPORT_ROWS - 1 :]
        lowest = min(row.revision for row in rest)
        longest = max(row.seconds for row in rest)
        return (
            *rows[: MAX_REPORT_ROWS - 1],
            configmessages.HostLag('', 0, lowest, longest),
        )

    def find_pending(self, revision, grace, now):
        """Return the hosts on which a revision is not in effect.

        Returns
        -------
        tuple of PendingHost
            One row for each host, sorted by id. Its seconds are the time
            after which no older revision is used.
        """
        longest = {}
        for row in self.find_outdated(revision, grace, now):
            seconds = row.deadline + grace - now
            longest[row.host_id] = max(seconds, longest.get(row.host_id, 0))
        return tuple(
            configmessages.PendingHost(host_id, seconds)
            for host_id, seconds in sorted(longest.items())
        )
