"""Tests of orders under leases, against an emulated endpoint."""

import dataclasses
import socket
import types

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.observe import timeline
from rhubarbreach.orders import lease
from rhubarbreach.orders import model
from rhubarbreach.orders import orderer
from rhubarbreach.state import model as state_model

VALIDITY = 0.2


def find_address():
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'


class Leases:
    """Configuration group with order leases only."""

    def __init__(self):
        self.snapshot = state_model.Config()
        self.valid_until = float('inf')

    def take(self, host_id, endpoint_id, expected):
        known = {
            one.endpoint_id: one for one in self.snapshot.order_leases
        }.get(endpoint_id)
        if (known.epoch if known else 0) != expected:
            return codes.Refusal(codes.ResultCode.REVISION_CONFLICT, 'moved')
        taken = state_model.OrderLease(endpoint_id, host_id, expected + 1)
        self.snapshot = dataclasses.replace(
            self.snapshot, order_leases=(taken,)
        )
        return expected + 1


@pytest.fixture(params=[True, False], ids=['fencing', 'no_fencing'])
def emulated(request):
    settings = endpoint.EndpointSettings(
        'endpoint-1',
        'zone-1',
        find_address(),
        ('rota',),
        (),
        fencing=request.param,
        load_seconds=0.0,
    )
    one = endpoint.EngineEndpoint(settings, engine.EngineSettings())
    yield one
    one.close()


def make_orderer(host_id, leases, emulated):
    info = types.SimpleNamespace(
        endpoint_id='endpoint-1',
        address=emulated.settings.listen,
        fencing=emulated.settings.fencing,
    )
    registry = types.SimpleNamespace(get=lambda endpoint_id: info)
    return orderer.Orderer(
        host_id,
        leases,
        lambda *parts: leases.take(host_id, *parts),
        registry,
        VALIDITY,
        timeline.Recorder(host_id, clock.HybridClock()),
    )


def give(one, action, wait=20.0):
    deadline = clock.monotonic() + wait
    return one.give_order('endpoint-1', action, 'test', deadline)


def test_new_holder_waits_only_where_numbers_are_ignored(emulated):
    """Guards against two holders whose orders reach an endpoint mixed."""
    leases = Leases()
    first = make_orderer('host-1', leases, emulated)
    second = make_orderer('host-2', leases, emulated)
    assert 'b' in give(first, model.LoadModel('b', '1')).models
    result = give(second, model.LoadModel('c', '1'), wait=0.1)
    if emulated.settings.fencing:
        assert 'c' in result.models
    else:
        assert result.code == codes.ResultCode.DEADLINE_TOO_SHORT
        assert 'c' in give(second, model.LoadModel('c', '1')).models


def test_old_holder_gives_no_order_after_losing_the_lease(emulated):
    """Guards against a paused host that resumes and orders."""
    leases = Leases()
    first = make_orderer('host-1', leases, emulated)
    give(first, model.LoadModel('b', '1'))
    held = first.leases['endpoint-1']
    leases.take('host-2', 'endpoint-1', 1)
    assert not first.is_allowed(held, 0.0)


def test_order_needs_a_valid_configuration(emulated):
    """Guards against orders from a host that is partitioned."""
    leases = Leases()
    leases.valid_until = 0.0
    first = make_orderer('host-1', leases, emulated)
    result = give(first, model.UnloadModel('rota'), wait=0.2)
    assert result.code == codes.ResultCode.CONFIG_STALE
    assert 'rota' in emulated.orders.get_state().models


def test_repeated_order_is_recognised_by_the_state(emulated):
    """Guards against a second weight load after a lost answer."""
    leases = Leases()
    first = make_orderer('host-1', leases, emulated)
    give(first, model.LoadModel('b', '1'))
    order_id = emulated.orders.get_state().last_order_id
    give(first, model.LoadModel('b', '1'))
    assert emulated.orders.get_state().last_order_id == order_id


def test_wait_covers_validity_drift_and_order_timeout():
    """Guards against a new holder that starts too early."""
    held = lease.HeldLease('endpoint-1', 2, 100.0, True)
    assert lease.get_first_order_time(held, True, 2.0) == 100.0
    assert lease.get_first_order_time(held, False, 2.0) >= 106.0
