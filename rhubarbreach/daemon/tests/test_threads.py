"""Tests of the threads of a host, which have to outlive any error."""

import socket
import threading
import types

import pytest
from werkzeug import wrappers

from rhubarbreach.entry import server
from rhubarbreach.membership import hosts
from rhubarbreach.observe import metrics
from rhubarbreach.orders import planner
from rhubarbreach.placement import exchange


class Task:
    """Steps of a thread, of which the first fails and the second ends it."""

    def __init__(self, event):
        self.event = event
        self.calls = 0

    def __call__(self, *_):
        self.calls += 1
        if self.calls > 1:
            self.event.set()
            return
        raise RuntimeError('x')


def run_membership(task, event):
    hosts.Membership.run(
        types.SimpleNamespace(
            stopped=event,
            lock=threading.RLock(),
            detector=types.SimpleNamespace(tick=task),
            flush=lambda: None,
        )
    )


def run_planner(task, event):
    planner.Planner.run(
        types.SimpleNamespace(
            closed=event, is_planner=lambda: True, plan_once=task
        )
    )


def run_exchange(task, event):
    exchange.Exchange.run(
        types.SimpleNamespace(
            stopped=event,
            scheduler=types.SimpleNamespace(monotonic=lambda: 0.0),
            report=task,
        )
    )


@pytest.mark.parametrize('run', [run_membership, run_planner, run_exchange])
def test_thread_goes_on_after_an_error(run, monkeypatch):
    """Guards against a host that goes on without one of its tasks."""
    monkeypatch.setattr(planner, 'PLANNING_PERIOD_SECONDS', 0.01)
    event = threading.Event()
    task = Task(event)
    run(task, event)
    assert task.calls == 2


def test_server_accepts_connections_after_an_error(monkeypatch):
    """Guards against a host that takes no connection any more."""

    def serve(connection):
        connection.write_response(wrappers.Response())

    web_server = server.Server(
        '127.0.0.1:0', types.SimpleNamespace(serve=serve), metrics.Metrics()
    )
    failed = threading.Event()
    accept = web_server.accept

    def fail_once():
        if not failed.is_set():
            failed.set()
            raise RuntimeError('x')
        accept()

    monkeypatch.setattr(web_server, 'accept', fail_once)
    web_server.start()
    address = ('127.0.0.1', web_server.port)
    with socket.create_connection(address, 5) as caller:
        caller.sendall(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        assert caller.recv(1000).startswith(b'HTTP/1.1 200 ')
    assert failed.is_set()
    web_server.close()
