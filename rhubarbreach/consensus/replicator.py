"""The task of a leader that sends to one peer."""

import threading

from rhubarbreach import clock
from rhubarbreach.consensus import leading

__all__ = ['Replicator', 'update_replicators']


class Replicator:
    """Sends entries, snapshot chunks and heartbeats to one peer.

    Parameters
    ----------
    group : Group
        Group whose state says what to send.
    peer : Progress
        Progress of the peer; the task ends when it is replaced.
    """

    def __init__(self, group, peer):
        self.group = group
        self.peer = peer
        self.closed = False
        self.thread = threading.Thread(
            target=self.run,
            name=f'replicate-{group.group_id}-{peer.peer_id}',
            daemon=True,
        )
        self.thread.start()

    def run(self):
        """Send until the group closes or the peer is replaced."""
        while True:
            message = self.wait_message()
            if message is None:
                return
            self.group.link.send(self.peer.peer_id, message)

    def wait_message(self):
        """Return the next message, None at the end."""
        group = self.group
        with group.lock:
            while not self.is_over():
                now = clock.monotonic()
                if group.watch.handed_over:
                    # Heartbeats would keep the others from an election.
                    group.changed.wait(group.settings.heartbeat)
                    continue
                if leading.has_work(group.state, self.peer, now):
                    return leading.build_message(group.state, self.peer, now)
                delay = clock.remaining(self.peer.heartbeat_due, now)
                group.changed.wait(delay)
        return None

    def is_over(self):
        """Return whether the task has nothing more to do."""
        return self.closed or self.group.closed or self.group.failure


def update_replicators(group, now):
    """Run one replication task for each peer of a leader."""
    state = group.state
    wanted = state.peers if state.is_leader else {}
    for peer_id in list(group.replicators):
        task = group.replicators[peer_id]
        if wanted.get(peer_id) is not task.peer:
            task.closed = True
            del group.replicators[peer_id]
            group.changed.notify_all()
    for peer_id, peer in wanted.items():
        if peer_id not in group.replicators:
            group.replicators[peer_id] = Replicator(group, peer)
        elif leading.has_work(state, peer, now):
            group.changed.notify_all()
