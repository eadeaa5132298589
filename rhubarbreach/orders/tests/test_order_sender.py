"""Tests of orders under leases against an emulated endpoint."""

import dataclasses
import types

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.observe import timeline
from rhubarbreach.orders import lease
from rhubarbreach.orders import model
from rhubarbreach.orders import order_sender
from rhubarbreach.state import model as state_model

VALIDITY = 0.2


class FakeView:
    """Configuration view whose group commits only order leases."""

    def __init__(self):
        self.snapshot = state_model.Config()
        self.valid_until = float('inf')

    def take_lease(self, host_id, endpoint_id, expected):
        current = {
            order_lease.endpoint_id: order_lease
            for order_lease in self.snapshot.order_leases
        }.get(endpoint_id)
        if (current.epoch if current else 0) != expected:
            return codes.Refusal(
                codes.ResultCode.REVISION_CONFLICT, 'other epoch'
            )
        new_lease = state_model.OrderLease(endpoint_id, host_id, expected + 1)
        self.snapshot = dataclasses.replace(
            self.snapshot, order_leases=(new_lease,)
        )
        return expected + 1


@pytest.fixture(params=[True, False], ids=['fencing', 'no_fencing'])
def emulated(request):
    settings = endpoint.EndpointSettings(
        'endpoint-1',
        'zone-1',
        ports.find_address(),
        ('rota',),
        (),
        fencing=request.param,
        load_seconds=0.0,
    )
    engine_endpoint = endpoint.EngineEndpoint(
        settings, engine.EngineSettings()
    )
    yield engine_endpoint
    engine_endpoint.close()


def make_order_sender(host_id, view, emulated):
    info = types.SimpleNamespace(
        endpoint_id='endpoint-1',
        address=emulated.settings.listen,
        fencing=emulated.settings.fencing,
    )
    registry = types.SimpleNamespace(get=lambda endpoint_id: info)
    return order_sender.OrderSender(
        host_id,
        view,
        lambda *arguments: view.take_lease(host_id, *arguments),
        registry,
        VALIDITY,
        timeline.Recorder(host_id, clock.HybridClock()),
    )


def give_order(holder, action, wait=20.0):
    deadline = clock.monotonic() + wait
    return holder.give_order('endpoint-1', action, 'test', deadline)


def test_new_holder_waits_only_if_fencing_is_ignored(emulated):
    """Guards against interleaved orders of two holders at one endpoint."""
    view = FakeView()
    first = make_order_sender('host-1', view, emulated)
    second = make_order_sender('host-2', view, emulated)
    assert 'b' in give_order(first, model.LoadModel('b', '1')).models
    result = give_order(second, model.LoadModel('c', '1'), wait=0.1)
    if emulated.settings.fencing:
        assert 'c' in result.models
    else:
        assert result.code == codes.ResultCode.DEADLINE_TOO_SHORT
        assert 'c' in give_order(second, model.LoadModel('c', '1')).models


def test_old_holder_gives_no_order_after_losing_the_lease(emulated):
    """Guards against orders of a host that resumes after a pause."""
    view = FakeView()
    first = make_order_sender('host-1', view, emulated)
    give_order(first, model.LoadModel('b', '1'))
    held_lease = first.leases['endpoint-1']
    view.take_lease('host-2', 'endpoint-1', 1)
    assert not first.is_allowed(held_lease, 0.0)


def test_order_needs_a_valid_configuration(emulated):
    """Guards against orders of a partitioned host."""
    view = FakeView()
    view.valid_until = 0.0
    first = make_order_sender('host-1', view, emulated)
    result = give_order(first, model.UnloadModel('rota'), wait=0.2)
    assert result.code == codes.ResultCode.CONFIG_STALE
    assert 'rota' in emulated.orders.get_state().models


def test_order_whose_effect_is_visible_is_not_sent_again(emulated):
    """Guards against a second weight load after a lost response."""
    view = FakeView()
    first = make_order_sender('host-1', view, emulated)
    give_order(first, model.LoadModel('b', '1'))
    order_id = emulated.orders.get_state().last_order_id
    give_order(first, model.LoadModel('b', '1'))
    assert emulated.orders.get_state().last_order_id == order_id


def test_wait_covers_validity_drift_and_order_timeout():
    """Guards against a new holder that sends orders too early."""
    held_lease = lease.HeldLease('endpoint-1', 2, 100.0, True)
    assert lease.get_first_order_time(held_lease, True, 2.0) == 100.0
    assert lease.get_first_order_time(held_lease, False, 2.0) >= 106.0
