"""Tests of the ports that tests use."""

import pytest

from rhubarbreach.consensus.tests import ports


@pytest.fixture
def blocks(tmp_path):
    """Return blocks as two test processes reserve them."""
    opened = [ports.PortBlock(tmp_path) for _ in range(2)]
    yield opened
    for block in opened:
        block.close()


def test_parallel_processes_get_different_ports(blocks):
    """Guards against a port taken before the listener of its test opens."""
    found = [
        block.find([ports.ADDRESS]) for block in blocks for _ in range(20)
    ]
    assert len(set(found)) == len(found)
    assert all(port < 32768 for port in found)


def test_port_in_use_is_skipped(blocks):
    """Guards against a port that is taken on only one of the addresses."""
    addresses = (ports.ADDRESS, '127.0.0.2')
    # The blocks of this test are not those that parallel processes use.
    used_port, free_port = (ports.find_port(addresses) for _ in range(2))
    blocks[0].ports = iter([used_port, free_port])
    with ports.socket.create_server(('127.0.0.2', used_port)):
        assert blocks[0].find(addresses) == free_port


def test_block_of_an_ended_process_is_used_again(tmp_path, blocks):
    """Guards against blocks that stay reserved after their process."""
    ports_before = blocks[0].ports
    blocks[0].close()
    again = ports.PortBlock(tmp_path)
    assert next(again.ports) == next(ports_before)
    again.close()
