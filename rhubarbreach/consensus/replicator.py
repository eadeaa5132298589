"""Thread of a leader that sends messages to one peer."""

import threading

from rhubarbreach import clock
from rhubarbreach.consensus import leading
from rhubarbreach import eventlog

__all__ = ['Replicator', 'update_replicators']

LOG = eventlog.Logger('consensus')


class Replicator:
    """Thread that sends entries, chunks and heartbeats to one peer.

    Parameters
    ----------
    group : Group
        Group whose state determines the messages to send.
    peer : Progress
        Progress of the peer; the thread ends when it is replaced.
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
        try:
            while True:
                message = self.wait_for_message()
                if message is None:
                    return
                self.group.link.send(self.peer.peer_id, message)
        except Exception as error:
            LOG.exception('event=replication_failed')
            self.group.end(error)

    def wait_for_message(self):
        """Wait for the next message and return it, None at the end."""
        group = self.group
        with group.lock:
            while not self.is_finished():
                now = clock.monotonic()
                if group.stall_detector.handed_over:
                    # Heartbeats would prevent an election by the others.
                    group.changed.wait(group.settings.heartbeat)
                    continue
                if leading.is_message_due(group.state, self.peer, now):
                    return leading.build_message(group.state, self.peer, now)
                delay = clock.remaining(self.peer.heartbeat_due, now)
                group.changed.wait(delay)
        return None

    def is_finished(self):
        """Return whether the thread has to end."""
        return self.closed or self.group.closed or self.group.failure


def update_replicators(group, now):
    """Run one replication thread for each peer of a leader."""
    state = group.state
    peers = state.peers if state.is_leader else {}
    for peer_id in list(group.replicators):
        replicator = group.replicators[peer_id]
        if peers.get(peer_id) is not replicator.peer:
            replicator.closed = True
            del group.replicators[peer_id]
            group.changed.notify_all()
    for peer_id, peer in peers.items():
        if peer_id not in group.replicators:
            group.replicators[peer_id] = Replicator(group, peer)
        elif leading.is_message_due(state, peer, now):
            group.changed.notify_all()
