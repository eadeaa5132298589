"""Tests of retirements while other stores are silent."""

import types

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.hosts import members
from rhubarbreach.protocol import fleetmessages
from rhubarbreach.settings import role

STORES = ('s1', 's2', 's3', 's4')


@pytest.fixture
def fleet():
    """Return the members of four stores, of which three have to remain."""
    settings = role.RoleSettings(
        name='s1',
        address='s1',
        availability_zone='z1',
        role='store',
        link_port=1,
        seeds=(),
        tolerated_stores=1,
    )
    fleet = members.Members(
        settings,
        types.SimpleNamespace(register=lambda *_, **__: None),
        types.SimpleNamespace(members=()),
        types.SimpleNamespace(retiring=set()),
    )
    for host_id in STORES:
        hear(fleet, host_id, 0.0)
    return fleet


def hear(fleet, host_id, silence):
    """Record a store that was last heard some seconds ago."""
    message = fleetmessages.StoreNews(host_id, host_id, 'z1')
    fleet.presence[host_id] = (clock.monotonic() - silence, message)


def test_store_may_retire_while_another_is_frozen(fleet):
    # A frozen or restarting store still remains. The steps of the retirement
    # wait for it; a refusal would end the order of the operator.
    hear(fleet, 's3', members.ABSENT_SECONDS + 1.0)
    assert fleet.check_retirement('s2') is None


@pytest.mark.parametrize('silence', [members.EXPIRY_SECONDS + 1.0, None])
def test_store_may_not_retire_if_too_few_remain(fleet, silence):
    if silence is None:
        fleet.ledger.retiring.add('s3')
    else:
        hear(fleet, 's3', silence)
    refusal = fleet.check_retirement('s2')
    assert refusal.code == codes.ResultCode.REVISION_CONFLICT
