"""Leadership of a store, and the start and stop of a leader's duties."""

from rhubarbreach import eventlog

__all__ = ['Leadership']

LOG = eventlog.Logger('store')

# A leader that no quorum has answered for this long stops answering as the
# leader: its disk may have stalled, and the others elect a new leader after
# one to two election timeouts. Entry hosts send callers elsewhere after 1 s
# without an update.
QUORUM_TIMEOUT_SECONDS = 0.6


class Leadership:
    """Whether a store acts as the leader.

    There is no lock: only the thread of the duties changes `is_leading` and
    `leading_term`. `may_answer` compares the term as well, so that no thread
    answers as the leader of an earlier term.

    Parameters
    ----------
    host_id : str
        Id of this store.
    group : Group
        Replica of the group on this store.
    reset : callable
        Forgets what an earlier time as the leader has left. It is called
        before the first exchange is answered.
    set_leading : callable
        Starts or stops the planner of batch items.
    """

    def __init__(self, host_id, group, reset, set_leading):
        self.host_id = host_id
        self.group = group
        self.reset = reset
        self.set_leading = set_leading
        self.is_leading = False
        self.leading_term = 0
        self.draining = False

    @property
    def is_changing(self):
        """Whether the group has a new leader that has not taken over yet."""
        return self.group.is_leader != self.is_leading

    def is_confirmed_leader(self, now):
        """Return whether this store leads and has all committed entries.

        The result is False when no quorum has answered recently or the disk
        stalls, because another store may be the leader by then.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        group = self.group
        return (
            group.is_leader
            and now - group.quorum_contact <= QUORUM_TIMEOUT_SECONDS
            and group.applied_index >= group.state.term_start_index
            and not group.stall_detector.handed_over
        )

    def may_answer(self, now):
        """Return whether this store may answer as the leader."""
        return (
            self.is_leading
            and self.group.term == self.leading_term
            and self.is_confirmed_leader(now)
        )

    def find_other_leader(self):
        """Return the store that leads if it is known and not this one."""
        leader_id = self.group.leader_id
        return None if leader_id == self.host_id else leader_id

    def update_leadership(self, now):
        """Start or stop the duties of the leader after a change."""
        term = self.group.term
        is_leading = not self.draining and self.is_confirmed_leader(now)
        if is_leading == self.is_leading and (
            not is_leading or term == self.leading_term
        ):
            return
        if is_leading and self.is_leading:
            # Another store may have been the leader between these terms.
            self.set_leading(False)
        if is_leading:
            # Before the first exchange is answered.
            self.reset()
        self.leading_term = term
        self.is_leading = is_leading
        LOG.info(
            'event=leadership leading={} term={} applied={}',
            is_leading,
            self.group.term,
            self.group.applied_index,
        )
        self.set_leading(is_leading)
