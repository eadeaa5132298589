"""Connection to one peer and the thread that sends on it."""

import collections
import threading

import pynng

from rhubarbreach.protocol import framing
from rhubarbreach.protocol import tls

__all__ = ['Peer']

# Messages beyond these limits are dropped, so that a peer that does not read
# cannot exhaust the memory of the sender.
MAX_QUEUE_MESSAGES = 4096
# With a limit on the number of messages only, 152 MB were queued for one slow
# store. A snapshot is sent in chunks of 256 KB, and a window of log entries
# has at most 1.5 MB.
MAX_QUEUE_BYTES = 8 * 1024 * 1024
SEND_TIMEOUT_MS = 500
SEND_BUFFER_FRAMES = 32
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500


class Peer:
    """Queue, connection and sender thread of one peer.

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
        """Replace the connection to a peer that no longer answers.

        A connection may stop delivering data without a reset, while new
        connections work.
        """
        with self.ready:
            if self.closed:
                return
            self.clear_queue()
            previous, self.socket = self.socket, self.dial()
        previous.close()

    def put(self, data):
        """Queue a message; return False if it is dropped."""
        with self.ready:
            if (
                self.closed
                or len(self.queue) >= MAX_QUEUE_MESSAGES
                or self.queued_bytes >= MAX_QUEUE_BYTES
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
                self.drop_queue()
            except pynng.NNGException:
                # The socket was closed either by `close`, or by `redial`,
                # which has replaced it.
                if self.closed:
                    return

    def drop_queue(self):
        """Drop the message in flight and the queue of an unreachable peer.

        Messages between hosts become obsolete soon; every sender repeats those
        that are still needed.
        """
        with self.ready:
            self.dropped += 1 + len(self.queue)
            self.clear_queue()

    def clear_queue(self):
        """Empty the queue; the caller holds the lock."""
        self.queue.clear()
        self.queued_bytes = 0

    def close(self):
        """Stop the sender thread and close the connection."""
        with self.ready:
            self.closed = True
            self.ready.notify()
        self.socket.close()
