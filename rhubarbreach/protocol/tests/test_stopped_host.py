"""Calls to a host whose process stands still for a moment."""

import os
import signal
import subprocess
import sys
import time

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link as links

ADDRESSES = ('127.0.3.1', '127.0.3.2')
# Host that answers each call with its own message.
SERVE = """
import sys, threading
from rhubarbreach.protocol import hostmessages
from rhubarbreach.protocol import link
address, port = sys.argv[1], int(sys.argv[2])
opened = link.Link(address, f'{address}:{port}', {}, None, common_port=port)
opened.register(
    hostmessages.HostOrder, lambda sender, message: message, inline=True
)
print('ready', flush=True)
sys.stdin.read()
"""


@pytest.fixture
def hosts():
    """Link of this process, and the process of another host."""
    port = ports.find_port(ADDRESSES)
    link = links.Link(
        ADDRESSES[0], f'{ADDRESSES[0]}:{port}', {}, None, common_port=port
    )
    process = subprocess.Popen(
        [sys.executable, '-c', SERVE, ADDRESSES[1], str(port)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    assert process.stdout.readline() == b'ready\n'
    yield link, process
    process.kill()
    process.communicate()
    link.close()


@pytest.mark.parametrize('size, seconds', [(10, 2.6), (30000, 2.0)])
def test_calls_to_a_host_that_stands_still_are_answered(hosts, size, seconds):
    """Guards against dropping messages that a sound host would take."""
    link, process = hosts
    message = hostmessages.HostOrder('drain', 'x' * size)

    def call():
        return link.call(ADDRESSES[1], message, clock.monotonic() + 5.0)

    assert not isinstance(call().result(), codes.Refusal)
    os.kill(process.pid, signal.SIGSTOP)
    stopped_until = clock.monotonic() + seconds
    calls = []
    while clock.monotonic() < stopped_until:
        calls.append(call())
        time.sleep(0.01)
    os.kill(process.pid, signal.SIGCONT)
    replies = [made.result() for made in calls]
    lost = sum(isinstance(reply, codes.Refusal) for reply in replies)
    assert not lost, f'{lost} of {len(calls)} calls without a reply'
