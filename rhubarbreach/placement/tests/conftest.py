"""Fixtures for tests of the scheduler."""

import random

import pytest

from rhubarbreach import clock
from rhubarbreach.membership import endpoints
from rhubarbreach.placement import scheduler
from rhubarbreach.protocol import membermessages
from rhubarbreach.scheduling import work
from rhubarbreach.settings import model


def make_row(name, sequence=1, slots=2, draining=False, zone='z1'):
    """Return the announcement of an endpoint."""
    return membermessages.EndpointRow(
        name,
        '127.0.0.1:1',
        zone,
        'engine',
        ('m',),
        1,
        sequence,
        draining,
        False,
        0,
        0,
        slots,
        0.0,
        0.0,
    )


def make_work(work_id, lane=work.Lane.ONLINE, account='a', **fields):
    """Return work with a deadline in 60 s by default."""
    fields.setdefault('deadline', clock.monotonic() + 60)
    fields.setdefault('cost', 10.0)
    return work.Work(work_id, account, 'm', lane, **fields)


@pytest.fixture
def registry():
    """Return a registry with two endpoints of two slots each."""
    endpoint_registry = endpoints.EndpointRegistry()
    for name in ('e1', 'e2'):
        endpoint_registry.announce(make_row(name), clock.monotonic())
    return endpoint_registry


@pytest.fixture
def start_scheduler(registry):
    """Return a function that starts a scheduler with a policy."""
    started = []

    def start(mode='full'):
        policy = model.PolicySettings(mode, 2)
        instance = scheduler.Scheduler(
            'h1', 'z1', registry, policy, random=random.Random(1)
        )
        instance.start()
        started.append(instance)
        return instance

    yield start
    for instance in started:
        instance.close()
