"""Tests of the socket buffers of a process."""

import socket

import pytest

from rhubarbreach.catalog import model
from rhubarbreach.observe import metrics
from rhubarbreach.web import buffers
from rhubarbreach.web import memory
from rhubarbreach.web import server

MEGABYTE = 1_000_000
LARGE, MEDIUM, SMALL = buffers.SIZES


@pytest.fixture
def counters():
    return metrics.Metrics()


def test_crowd_gets_small_buffers_and_later_sockets_large_ones(counters):
    """Guards against a crowd that slows down all later connections."""
    plan = buffers.SocketBuffers(4 * MEGABYTE, counters)
    sizes = [plan.take() for _ in range(1000)]
    assert sizes[0] == LARGE
    assert sizes[-1] == SMALL
    assert MEDIUM in sizes
    large_bytes = buffers.COST_FACTOR * sum(s for s in sizes if s != SMALL)
    assert large_bytes <= MEGABYTE
    for size in sizes:
        plan.release(size)
    assert plan.take() == LARGE
    reduced = counters.get_count('socket_buffers_reduced_total')
    assert reduced == 1000 - sizes.count(LARGE)


def test_connections_of_a_crowd_hold_few_bytes_in_the_kernel():
    """Guards against buffers that the kernel lets grow to megabytes."""
    pool = memory.MemoryPool(
        MEGABYTE, buffers=buffers.SocketBuffers(MEGABYTE / 10)
    )
    web_server = server.Server(
        '127.0.0.1:0', None, lambda: model.DEFAULT_LIMITS, 'test', pool
    )
    crowd = []
    try:
        for _ in range(8):
            address = ('127.0.0.1', web_server.port)
            crowd.append(socket.create_connection(address, 5))
            crowd[-1].sendall(b'GET')
        while len(web_server.connections) < len(crowd):
            pass
        sizes = [
            connection.socket.getsockopt(socket.SOL_SOCKET, option)
            for connection in web_server.connections
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF)
        ]
        # The kernel doubles the size, and its minimum is 4,608 bytes.
        assert max(sizes) <= 2 * SMALL + 512
    finally:
        for connection in crowd:
            connection.close()
        web_server.close()
