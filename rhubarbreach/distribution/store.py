"""Adapter between the configuration group of a store host and its view."""

import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import view as view_module

__all__ = ['LocalStore']

READ_TIMEOUT_SECONDS = 0.5
NEVER = float('-inf')
# A new leader must assume for this time that hosts still use the grants of the
# former leader.
FORMER_GRANT_SECONDS = view_module.CONFIG_VALIDITY_SECONDS * (
    1 + clock.MAX_DRIFT
)


class LocalStore:
    """Replica of the configuration group on this host.

    Parameters
    ----------
    group : rhubarbreach.consensus.group.Group
        Replica of the configuration group.
    machine : rhubarbreach.state.config.ConfigMachine
        State machine of that replica.
    view : ConfigView
        View of this host, which receives the committed changes.

    Attributes
    ----------
    confirmed_at : float
        Latest monotonic time at which a quorum confirmed that this host
        leads the current term.
    wake : threading.Event
        Event that requests an immediate confirmation of the leadership.
    """

    def __init__(self, group, machine, view):
        self.group = group
        self.machine = machine
        self.view = view
        self.term = -1
        self.leader_since = None
        self.confirmed_at = NEVER
        self.wake = threading.Event()
        machine.subscribe(lambda config: self.refresh_view())
        self.refresh_view()

    def refresh_view(self):
        """Update the view to the state that the machine has applied."""
        with self.view.lock:
            config, changes = self.machine.get_changes_after(
                self.view.revision
            )
            self.view.replace_snapshot(config, changes)

    def get_leader_since(self, now):
        """Return since when this host is known to lead the current term.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        float or None
            Monotonic seconds, None if this host does not lead.
        """
        if not self.group.is_leader:
            self.leader_since = None
            return None
        term = self.group.term
        if self.leader_since is None or term != self.term:
            self.term = term
            self.leader_since = now
        return self.leader_since

    def get_upstreams(self):
        """Return the leader as the only upstream of a follower."""
        leader_id = self.group.leader_id
        return (leader_id,) if leader_id else ()

    def renew(self, now):
        """Renew the view by a read that a quorum confirms.

        Parameters
        ----------
        now : float
            Monotonic seconds before the read begins.

        Returns
        -------
        bool
            Whether a quorum confirmed the read.
        """
        term = self.term
        result = self.group.read(now + READ_TIMEOUT_SECONDS).result()
        if isinstance(result, codes.Refusal):
            return False
        if self.group.is_leader and self.group.term == term:
            self.confirmed_at = now
        self.refresh_view()
        valid_until = now + view_module.CONFIG_VALIDITY_SECONDS
        self.view.renew(self.view.revision, valid_until)
        return True
