"""Crowds of callers that send without end, or hold what they have sent."""

import contextlib
import fcntl
import os
import pathlib
import resource
import selectors
import socket
import tempfile
import threading

import pytest

from rhubarbreach import clock
from rhubarbreach.web import sockets

__all__ = [
    'Crowd',
    'MemoryWatch',
    'ReturningCrowd',
    'allow_descriptors',
    'count_descriptors',
    'count_unread_bytes',
    'isolate',
    'mark_cases',
    'read_peak_bytes',
    'reset_peak',
]

LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / 'rhubarbreach-crowds.lock'
BYTES_PER_KILOBYTE = 1024
# Blocks that do not divide the receive buffer end within lines and pieces.
SEND_BYTES = 48 * 1024
CONNECT_SECONDS = 10.0
RESET_PEAK = b'5'
WATCH_SECONDS = 0.1
LISTEN_STATE = '0A'
BY_HAND = pytest.mark.by_hand


def mark_cases(names, ci_names):
    """Return the parameters of a test, of which some run in CI.

    Parameters
    ----------
    names : iterable of str
        Names of all cases.
    ci_names : collection of str
        Cases that run in CI. The others are marked `by_hand`.
    """
    return [
        pytest.param(name, marks=() if name in ci_names else BY_HAND)
        for name in names
    ]


@contextlib.contextmanager
def isolate():
    """Let one test with a crowd run at a time on this machine."""
    with LOCK_PATH.open('w') as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        yield


@contextlib.contextmanager
def allow_descriptors():
    """Let this process and those it starts open as many as they may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def read_peak_bytes(process_id):
    """Return the peak of the resident set since the last reset."""
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    for line in status.splitlines():
        name, _, value = line.partition(':')
        if name == 'VmHWM':
            return int(value.split()[0]) * BYTES_PER_KILOBYTE
    raise ValueError(f'no VmHWM of process {process_id}')


def reset_peak(process_id):
    """Let the peak of the resident set begin anew."""
    pathlib.Path(f'/proc/{process_id}/clear_refs').write_bytes(RESET_PEAK)


def count_descriptors(process_id):
    """Return the number of open descriptors of a process."""
    return len(os.listdir(f'/proc/{process_id}/fd'))


def read_resident_bytes(process_id):
    """Return the resident set of a process."""
    fields = pathlib.Path(f'/proc/{process_id}/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def list_socket_inodes(process_id):
    """Return the inodes of the sockets of a process, as text."""
    inodes = set()
    for path in pathlib.Path(f'/proc/{process_id}/fd').iterdir():
        with contextlib.suppress(OSError):
            kind, _, inode = os.readlink(path).partition(':')
            if kind == 'socket':
                inodes.add(inode.strip('[]'))
    return inodes


def count_unread_bytes(process_id, host):
    """Return the bytes that wait in the socket buffers of a process.

    Connections that wait to be accepted count too if `host` is an IP address
    at which no other process listens.
    """
    inodes = list_socket_inodes(process_id)
    address = 'none'
    if host is not None:
        address = socket.inet_aton(host)[::-1].hex().upper()
    size = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        is_own = fields[9] in inodes or fields[1].startswith(address)
        if is_own and fields[3] != LISTEN_STATE:
            sent, _, received = fields[4].partition(':')
            size += int(sent, 16) + int(received, 16)
    return size


class MemoryWatch:
    """Peaks of the memory that a process needs, and of its descriptors.

    The memory includes the bytes in its socket buffers.

    Parameters
    ----------
    process_id : int
        Process.
    host : str or None
        IP address at which it alone listens, if any.
    """

    def __init__(self, process_id, host):
        self.process_id = process_id
        self.host = host
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0
        self.is_closed = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        reset_peak(self.process_id)
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.is_closed.set()
        self.thread.join()

    def run(self):
        """Sample the memory until the end of the watch or of the process."""
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            while not self.is_closed.wait(WATCH_SECONDS):
                self.peak_descriptors = max(
                    self.peak_descriptors, count_descriptors(self.process_id)
                )
                unread = count_unread_bytes(self.process_id, self.host)
                size = read_resident_bytes(self.process_id) + unread
                self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
                self.peak_bytes = max(
                    self.peak_bytes, size, read_peak_bytes(self.process_id)
                )


class Crowd:
    """Connections that all send the same bytes and stay open.

    Each sends `start` and then `block` again and again, `size` bytes in all,
    and reads nothing.

    Parameters
    ----------
    address : str
        `IP:port` of the process.
    count : int
        Number of connections.
    start, block : bytes
        Bytes to send.
    size : int
        Bytes that each connection sends.
    """

    def __init__(self, address, count, start, block=b'', size=None):
        self.address = address
        self.count = count
        self.start = start
        self.size = len(start) if size is None else size
        repeats = 1 + SEND_BYTES // len(block) if block else 0
        self.block_size = len(block)
        self.blocks = block * repeats
        self.connections = []
        self.positions = {}
        self.is_closed = threading.Event()
        self.selector = selectors.DefaultSelector()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_):
        self.is_closed.set()
        self.thread.join()
        for connection in self.connections:
            sockets.close_socket(connection)
        self.selector.close()

    def run(self):
        """Connect, and send until all is sent or refused."""
        for _ in range(self.count):
            if self.is_closed.is_set():
                return
            connection = self.connect()
            if connection is not None:
                self.connections.append(connection)
                self.positions[connection] = 0
                self.selector.register(connection, selectors.EVENT_WRITE)
        while self.positions and not self.is_closed.is_set():
            for key, _ in self.selector.select(0.1):
                self.send(key.fileobj)

    def connect(self):
        """Return a new connection, None if it is refused."""
        host, _, port = self.address.rpartition(':')
        try:
            connection = socket.create_connection(
                (host, int(port)), CONNECT_SECONDS
            )
        except OSError:
            return None
        connection.setblocking(False)
        return connection

    def send(self, connection):
        """Send the next bytes of a connection."""
        position = self.positions[connection]
        if position < len(self.start):
            data = self.start[position:]
        else:
            offset = (position - len(self.start)) % self.block_size
            data = self.blocks[offset : offset + SEND_BYTES]
        try:
            sent = connection.send(data[: self.size - position])
        except BlockingIOError:
            return
        except OSError:
            sent = self.size
        self.positions[connection] = position + sent
        if position + sent >= self.size:
            del self.positions[connection]
            self.selector.unregister(connection)

    def wait(self, seconds):
        """Wait until all is sent or refused, or the time is over.

        The process may let a crowd wait, so that the end of the time is no
        failure.
        """
        deadline = clock.monotonic() + seconds
        self.thread.join(clock.remaining(deadline, clock.monotonic()))


class ReturningCrowd(Crowd):
    """Crowd whose connections come again as soon as they are ended."""

    def run(self):
        """Connect and send until the crowd is closed."""
        for _ in range(self.count):
            self.replace(None)
        while not self.is_closed.is_set():
            for key, events in self.selector.select(0.1):
                self.handle(key.fileobj, events)

    def handle(self, connection, events):
        """Send the next bytes, or replace a connection that has ended."""
        if events & selectors.EVENT_READ:
            try:
                is_open = bool(connection.recv(SEND_BYTES))
            except BlockingIOError:
                is_open = True
            except OSError:
                is_open = False
            if not is_open:
                self.replace(connection)
                return
        if events & selectors.EVENT_WRITE and connection in self.positions:
            self.send(connection)

    def send(self, connection):
        """Send the next bytes of a connection, and wait for its end."""
        super().send(connection)
        if connection not in self.positions:
            self.selector.register(connection, selectors.EVENT_READ)

    def replace(self, previous):
        """Connect anew in place of a connection."""
        if previous is not None:
            self.positions.pop(previous, None)
            self.selector.unregister(previous)
            self.connections.remove(previous)
            sockets.close_socket(previous)
        connection = None if self.is_closed.is_set() else self.connect()
        if connection is None:
            return
        self.connections.append(connection)
        self.positions[connection] = 0
        self.selector.register(
            connection, selectors.EVENT_READ | selectors.EVENT_WRITE
        )

    def wait(self, seconds):
        """Let the crowd come again for some time."""
        self.is_closed.wait(seconds)
