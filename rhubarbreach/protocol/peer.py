"""Connection to one peer and the task that sends on it."""

import collections
import threading

import pynng

from rhubarbreach.protocol import framing
from rhubarbreach.protocol import tls

__all__ = ['Peer']

# A peer that does not read loses messages beyond this queue, so that it
# cannot exhaust the memory of its sender.
QUEUE_MESSAGES = 4096
# The same in bytes: a slow store had 152 MB queued for it. A snapshot is sent
# in chunks of 256 KB, and a window of entries has 1.5 MB at most.
QUEUE_BYTES = 8 * 1024 * 1024
SEND_TIMEOUT_MS = 500
SEND_BUFFER_FRAMES = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500


class Peer:
    """Sender task of one peer.

    Parameters
    ----------
    peer_id : str
        Host id of the peer.
    address : str
        `IP:port` of the peer's link.
    tls_files : TlsFiles or None
        Certificates, None for plain TCP.
    """

    def __init__(self, peer_id, address, tls_files):
        self.peer_id = peer_id
        self.address = address
        self.dropped = 0
        self.sent_bytes = 0
        self.queue = collections.deque()
        self.queued_bytes = 0
        self.ready = threading.Condition()
        self.closed = False
        self.tls_files = tls_files
        self.probe_due = 0.0
        self.probe_sent = None
        self.used = False
        self.silent_since = None
        self.socket = self.dial()
        self.thread = threading.Thread(
            target=self.run, name=f'link-{peer_id}', daemon=True
        )
        self.thread.start()

    def dial(self):
        """Return a socket that connects in the background."""
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            send_buffer_size=SEND_BUFFER_FRAMES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        scheme = 'tcp'
        if self.tls_files is not None:
            scheme = 'tls+tcp'
            socket.tls_config = tls.make_client(self.tls_files, self.peer_id)
        socket.dial(f'{scheme}://{self.address}', block=False)
        return socket

    def redial(self):
        """Replace a connection on which the peer no longer answers.

        A connection may go silent without a reset while new ones work.
        """
        with self.ready:
            if self.closed:
                return
            self.clear_queue()
            former, self.socket = self.socket, self.dial()
        former.close()

    def put(self, data):
        """Queue a message; return False when the queue is full."""
        with self.ready:
            if (
                self.closed
                or len(self.queue) >= QUEUE_MESSAGES
                or self.queued_bytes >= QUEUE_BYTES
            ):
                self.dropped += 1
                return False
            self.queue.append(data)
            self.queued_bytes += len(data)
            self.ready.notify()
        return True

    def run(self):
        """Send queued messages until the peer is closed."""
        while True:
            with self.ready:
                while not self.queue and not self.closed:
                    self.ready.wait()
                if self.closed:
                    return
                data = self.queue.popleft()
                self.queued_bytes -= len(data)
            try:
                for frame in framing.split_message(data):
                    self.socket.send(frame)
                self.sent_bytes += len(data)
            except pynng.Timeout:
                self.drop_backlog()
            except pynng.NNGException:
                # The socket was closed: by `close`, or by `redial`, which
                # has put another one in its place.
                if self.closed:
                    return

    def drop_backlog(self):
        """Drop what is queued for a peer that cannot be reached.

        Messages between hosts are only useful while they are fresh; every
        sender repeats what still matters.
        """
        with self.ready:
            self.dropped += 1 + len(self.queue)
            self.clear_queue()

    def clear_queue(self):
        """Forget what is queued; the caller holds the lock."""
        self.queue.clear()
        self.queued_bytes = 0

    def close(self):
        """Stop the sender task."""
        with self.ready:
            self.closed = True
            self.ready.notify()
        self.socket.close()
