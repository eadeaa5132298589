"""Ports for listeners of tests.

Several test processes run at once. A port that one of them has found free
may be taken by another one, or by an outgoing connection, before its listener
opens. Each process therefore reserves a block of ports below the usual range
of ephemeral ports.
"""

import fcntl
import functools
import itertools
import os
import pathlib
import socket
import tempfile
import threading

# Linux takes ports of outgoing connections from 32768 on.
FIRST_PORT = 10240
BLOCK_PORTS = 512
BLOCKS = 44
ADDRESS = '127.0.0.1'


class PortBlock:
    """Block of ports that no other test process of this machine uses.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the lock files of all test processes.

    Raises
    ------
    OSError
        If other processes hold all blocks.
    """

    def __init__(self, folder):
        folder.mkdir(mode=0o777, exist_ok=True)
        self.lock_file, block = reserve_block(folder)
        first = FIRST_PORT + block * BLOCK_PORTS
        self.ports = itertools.cycle(range(first, first + BLOCK_PORTS))
        self.mutex = threading.Lock()

    def find(self, addresses):
        """Return a port that is free on all of the addresses.

        A port comes again only after all others of the block.

        Raises
        ------
        OSError
            If no port of the block is free.
        """
        with self.mutex:
            for port in itertools.islice(self.ports, BLOCK_PORTS):
                if is_free(addresses, port):
                    return port
        raise OSError(f'no port is free on all of the addresses {addresses}')

    def close(self):
        """Release the block."""
        self.lock_file.close()


def reserve_block(folder):
    """Return the locked file and the number of a block that is not in use."""
    # Processes that start together try different blocks first.
    for offset in range(BLOCKS):
        block = (os.getpid() + offset) % BLOCKS
        lock_file = (folder / f'block-{block}').open('a')
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock_file.close()
            continue
        return lock_file, block
    raise OSError('other test processes use all blocks of ports')


def is_free(addresses, port):
    """Return whether listeners can open at the port of all addresses."""
    try:
        for address in addresses:
            with socket.socket() as probe:
                probe.bind((address, port))
    except OSError:
        return False
    return True


@functools.cache
def get_block(process_id):
    """Return the block of a process; a forked one reserves its own."""
    folder = pathlib.Path(tempfile.gettempdir())
    return PortBlock(folder / f'rhubarbreach-ports-{os.getuid()}')


def find_port(addresses=(ADDRESS,)):
    """Return a port that is free on all of the addresses."""
    return get_block(os.getpid()).find(addresses)


def find_address():
    """Return a loopback address with a free port."""
    return f'{ADDRESS}:{find_port()}'
