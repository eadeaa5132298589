"""Tests of the signals of a daemon."""

import signal
import threading
import types

import pytest

from rhubarbreach.daemon import run
from rhubarbreach import exceptions


class DrainRequest:
    """Event that gets a signal while a waiting thread holds its lock."""

    def __init__(self):
        self.lock = threading.Lock()
        self.count = 0

    def wait(self, timeout):
        self.count += 1
        assert self.count < 10
        with self.lock:
            signal.raise_signal(signal.SIGTERM)
        return False

    def set(self):
        assert self.lock.acquire(timeout=0.5), 'deadlock'
        self.lock.release()


@pytest.fixture
def host(monkeypatch):
    """Return the host that the daemon runs."""
    drained = threading.Event()
    request = DrainRequest()
    fake = types.SimpleNamespace(
        start=lambda: None,
        drain_requested=request,
        request_drain=request.set,
        recorder=types.SimpleNamespace(flush=lambda: None),
        drain=drained.set,
        drained=drained,
        has_ended=False,
    )
    monkeypatch.setattr(run.logs, 'open_log', lambda *_: None)
    monkeypatch.setattr(run.logs, 'close_log', lambda _: None)
    monkeypatch.setattr(run.probe, 'find_startup_faults', lambda _: ())
    monkeypatch.setattr(run.host_module, 'Host', lambda *_: fake)
    numbers = (signal.SIGTERM, signal.SIGINT)
    handlers = [signal.getsignal(number) for number in numbers]
    yield fake
    for number, handler in zip(numbers, handlers, strict=True):
        signal.signal(number, handler)


@pytest.fixture
def settings():
    return types.SimpleNamespace(
        host=types.SimpleNamespace(host_id='h'),
        log=types.SimpleNamespace(level='info', file=''),
    )


def test_signal_that_interrupts_the_wait_for_it_does_not_hang(host, settings):
    run.run_host(settings)
    assert host.drained.is_set()


def test_process_ends_with_its_replica(host, settings):
    """Guards against a process that goes on without its replica."""

    def wait(_):
        assert not host.has_ended
        host.has_ended = True

    host.drain_requested = types.SimpleNamespace(wait=wait)
    with pytest.raises(exceptions.ReplicaError):
        run.run_host(settings)
    assert host.drained.is_set()
