"""Detection of stalled disks, on which a leader hands over leadership.

A disk may stall for seconds. The group thread then waits for it, holding the
group lock if it writes but not if it syncs. Nothing is committed meanwhile,
so another replica should lead.
"""

import threading

from rhubarbreach import clock
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach.protocol import logmessages

__all__ = ['StallDetector', 'choose_successor']

LOG = eventlog.Logger('consensus')

# A step of the group thread that takes longer than this counts as stalled. A
# slow disk takes up to 0.3 s. Hosts send their callers elsewhere after 1 s
# without updates, and electing and finding a new leader takes half of that.
STALL_SECONDS = 0.4
POLL_SECONDS = 0.1
# A leader does not hand over before it has led for this long. Otherwise
# leadership would move all the time if all disks are equally slow.
MIN_LEAD_SECONDS = 3.0


class StallDetector:
    """Thread that detects steps of the group that take too long.

    It takes no lock, because the step may hold it. `handed_over` is set when
    the current step of a leader has stalled and another replica has been asked
    to lead.

    Parameters
    ----------
    group : Group
        Group whose steps are watched.
    """

    def __init__(self, group):
        self.group = group
        self.step_started_at = None
        self.handed_over = False
        self.closing = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name=f'watch-{group.group_id}', daemon=True
        )
        self.thread.start()

    def begin_step(self, now):
        """Record that a step begins."""
        self.handed_over = False
        self.step_started_at = now

    def end_step(self):
        """Record that the step has ended."""
        self.step_started_at = None
        self.handed_over = False

    def run(self):
        """Check the current step periodically until closed."""
        while not self.closing.wait(POLL_SECONDS):
            try:
                self.check_step(clock.monotonic())
            except Exception:
                LOG.exception('event=watch_failed')

    def check_step(self, now):
        """Hand over leadership if the current step has stalled."""
        started_at, state = self.step_started_at, self.group.state
        if (
            started_at is None
            or now - started_at < STALL_SECONDS
            or self.handed_over
        ):
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
            now - started_at,
            successor,
        )
        message = logmessages.TransferLeadership(
            self.group.group_id, state.store.term
        )
        self.group.link.send(successor, message)

    def close(self):
        """Stop the thread."""
        self.closing.set()


def choose_successor(state):
    """Return the other voter that answered last, or None.

    A successor that lacks committed entries is not elected. The replicas then
    start an election themselves, as no leader contacts them.

    Parameters
    ----------
    state : State
        State of a leader whose group thread is blocked.
    """
    voters = {
        member.host_id for member in model.get_voters(state.store.members)
    }
    best = max(
        (
            peer
            for peer in list(state.peers.values())
            if peer.peer_id in voters
        ),
        key=lambda peer: (peer.last_contact, peer.match_index),
        default=None,
    )
    return None if best is None else best.peer_id
