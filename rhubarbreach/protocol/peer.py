"""Connection to one peer and the thread that sends on it."""

import collections
import threading
import time

import pynng

from rhubarbreach import clock
from rhubarbreach import eventlog
from rhubarbreach.protocol import framing
from rhubarbreach.protocol import tls

__all__ = ['Peer']

LOG = eventlog.Logger('link')

# Messages beyond these limits are dropped, so that a peer that does not read
# cannot exhaust the memory of the sender.
MAX_QUEUE_MESSAGES = 4096
# With a limit on the number of messages only, 152 MB were queued for one slow
# store. A snapshot is sent in chunks of 256 KB, and a window of log entries
# has at most 1.5 MB.
MAX_QUEUE_BYTES = 8 * 1024 * 1024
# Interval at which a sender that is blocked looks for a new connection.
SEND_TIMEOUT_MS = 200
# A message that was not sent within this time is dropped. A sound peer may
# stand still for up to 2 s. Messages between hosts become obsolete soon, and
# every sender repeats those that are still needed.
MESSAGE_EXPIRY_SECONDS = 3.0
# A connection that was replaced may still deliver what it holds.
LINGER_SECONDS = 3.0
FAILURE_PAUSE_SECONDS = 0.05
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
        # When a message of the peer last arrived.
        self.heard_at = float('-inf')
        # Latest time for the first connection.
        self.connect_deadline = clock.monotonic() + MESSAGE_EXPIRY_SECONDS
        self.socket = self.dial()
        # Connection that replaces `socket` once it is made, and the one that
        # was replaced last with the time until which it is kept.
        self.candidate = None
        self.replaced = None
        self.keep_until = 0.0
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

    @property
    def is_connected(self):
        """Whether the peer has accepted a connection that is still open."""
        return bool(self.socket.pipes)

    def redial(self):
        """Dial a peer that does not answer once more.

        A connection may stop delivering data without a reset, while new
        connections work. A peer that stands still accepts none, and the one in
        use then remains.
        """
        with self.ready:
            if self.closed:
                return
            previous, self.candidate = self.candidate, self.dial()
        if previous is not None:
            previous.close()

    def adopt(self, now):
        """Use the new connection if it is made; end a replaced one in time."""
        ended = []
        with self.ready:
            if self.replaced is not None and now >= self.keep_until:
                ended.append(self.replaced)
                self.replaced = None
            if self.candidate is not None and self.candidate.pipes:
                if self.replaced is not None:
                    ended.append(self.replaced)
                self.replaced, self.socket = self.socket, self.candidate
                self.candidate = None
                self.keep_until = now + LINGER_SECONDS
        for socket in ended:
            socket.close()

    def keep(self):
        """Give up dialling; the peer answers."""
        with self.ready:
            candidate, self.candidate = self.candidate, None
        if candidate is not None:
            candidate.close()

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
            expires_at = clock.monotonic() + MESSAGE_EXPIRY_SECONDS
            self.queue.append((data, expires_at))
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
                data, expires_at = self.queue.popleft()
                self.queued_bytes -= len(data)
            try:
                self.send_message(data, expires_at)
            except Exception:
                # If this thread ended, the peer would get no message any more.
                LOG.exception('event=send_failed peer={}', self.peer_id)
                time.sleep(FAILURE_PAUSE_SECONDS)

    def send_message(self, data, expires_at):
        """Send a message, or drop it when it expires.

        It is sent anew, from its first frame, if another connection replaces
        the one in use.
        """
        frames = framing.split_message(data)
        socket = None
        while not self.closed and clock.monotonic() < expires_at:
            if socket is not self.socket:
                socket = self.socket
                rest = collections.deque(frames)
            try:
                while rest:
                    socket.send(rest[0])
                    rest.popleft()
            except pynng.Timeout:
                continue
            except pynng.NNGException as error:
                if self.closed:
                    return
                if socket is self.socket:
                    LOG.warning('event=send_failed error={!r}', str(error))
                    time.sleep(FAILURE_PAUSE_SECONDS)
                continue
            self.sent_bytes += len(data)
            return
        self.dropped += 1

    def close(self):
        """Stop the sender thread and close the connection."""
        with self.ready:
            self.closed = True
            self.ready.notify()
            sockets = (self.socket, self.candidate, self.replaced)
        for socket in sockets:
            if socket is not None:
                socket.close()
