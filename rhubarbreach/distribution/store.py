"""Link between the configuration group of a store host and its view."""

import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import view as view_module

__all__ = ['LocalStore']

READ_TIMEOUT = 0.5
NEVER = float('-inf')
# A new leader must assume that hosts use what the former leader granted.
FORMER_GRANTS = view_module.CONFIG_VALIDITY * (1 + clock.MAX_DRIFT)


class LocalStore:
    """Configuration group of this host.

    Parameters
    ----------
    group : rhubarbreach.consensus.group.Group
        Replica of the configuration group.
    machine : rhubarbreach.state.config.ConfigMachine
        Machine of that replica.
    view : ConfigView
        View of this host, which gets the committed changes.

    Attributes
    ----------
    confirmed_at : float
        Latest time at which a quorum confirmed that this host leads the
        current term.
    wake : threading.Event
        Set to have the leadership confirmed at once.
    """

    def __init__(self, group, machine, view):
        self.group = group
        self.machine = machine
        self.view = view
        self.term = -1
        self.since = None
        self.confirmed_at = NEVER
        self.wake = threading.Event()
        machine.subscribe(lambda config: self.pull())
        self.pull()

    def pull(self):
        """Take over what the machine has applied."""
        with self.view.lock:
            config, changes = self.machine.get_changes_after(
                self.view.revision
            )
            self.view.adopt(config, changes)

    def find_leadership(self, now):
        """Return when this host was first seen to lead the current term.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock.

        Returns
        -------
        float or None
            None when it does not lead.
        """
        if not self.group.is_leader:
            self.since = None
            return None
        term = self.group.term
        if self.since is None or term != self.term:
            self.term = term
            self.since = now
        return self.since

    def get_upstreams(self):
        """Return the leader as the only upstream of a follower."""
        leader_id = self.group.leader_id
        return (leader_id,) if leader_id else ()

    def renew(self, now):
        """Confirm the view by a read that a quorum has confirmed.

        Parameters
        ----------
        now : float
            Seconds of the monotonic clock, taken before the read began.

        Returns
        -------
        bool
            Whether a quorum confirmed that this host leads.
        """
        term = self.term
        result = self.group.read(now + READ_TIMEOUT).result()
        if isinstance(result, codes.Refusal):
            return False
        if self.group.is_leader and self.group.term == term:
            self.confirmed_at = now
        self.pull()
        until = now + view_module.CONFIG_VALIDITY
        self.view.renew(self.view.revision, until)
        return True
