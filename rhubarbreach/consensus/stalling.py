"""A leader whose disk does not answer hands its leadership over.

The load this answers: a disk that stalls for seconds. The task of the group
waits for it, with the group's lock when it writes and without when it syncs.
Nothing is committed meanwhile, so that another replica should lead.
"""

import threading

from rhubarbreach import clock
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach.protocol import logmessages

__all__ = ['StallWatch', 'choose_successor']

LOG = eventlog.Logger('consensus')

# A step of the group's task that takes longer than this, in seconds, counts
# as stalled. A slow disk takes up to 0.3 s; hosts send their callers elsewhere
# when they have had no news for 1 s, and an election and the way to the new
# leader take half of that.
STALL_SECONDS = 0.4
POLL_SECONDS = 0.1
# A leader does not hand over before it has led for this long, in seconds.
# Where all disks are as slow, leadership would else move all the time.
MIN_LEAD_SECONDS = 3.0


class StallWatch:
    """Notices steps that take too long, on a task of its own.

    It takes no lock, as the step may hold it. `handed_over` tells that the
    present step of a leader has stalled and another replica was asked to lead.

    Parameters
    ----------
    group : Group
        Group whose steps are watched.
    """

    def __init__(self, group):
        self.group = group
        self.began = None
        self.handed_over = False
        self.closing = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f'watch-{group.group_id}', daemon=True
        )
        self.thread.start()

    def begin_step(self, now):
        """Note that a step begins."""
        self.handed_over = False
        self.began = now

    def end_step(self):
        """Note that the step has ended."""
        self.began = None
        self.handed_over = False

    def run(self):
        """Watch until closed."""
        while not self.closing.wait(POLL_SECONDS):
            try:
                self.look(clock.monotonic())
            except Exception:
                LOG.exception('event=watch_failed')

    def look(self, now):
        """Hand leadership over when the present step has stalled."""
        began, state = self.began, self.group.state
        if began is None or now - began < STALL_SECONDS or self.handed_over:
            return
        if not state.is_leader or now - state.leader_since < MIN_LEAD_SECONDS:
            return
        successor = choose_successor(state)
        if successor is None:
            return
        self.handed_over = True
        LOG.warning(
            'event=disk_stalled group={} seconds={:.3f} successor={}',
            self.group.group_id,
            now - began,
            successor,
        )
        message = logmessages.TransferLeadership(
            self.group.group_id, state.store.term
        )
        self.group.link.send(successor, message)

    def close(self):
        """Stop watching."""
        self.closing.set()


def choose_successor(state):
    """Return the voter that has answered last, None without another.

    One that lacks committed entries is not elected; the others then elect
    one themselves, as they hear of no leader.

    Parameters
    ----------
    state : State
        State of a leader whose task does not go on.
    """
    voters = {one.host_id for one in model.get_voters(state.store.members)}
    best = max(
        (one for one in list(state.peers.values()) if one.peer_id in voters),
        key=lambda one: (one.contact, one.match_index),
        default=None,
    )
    return None if best is None else best.peer_id
