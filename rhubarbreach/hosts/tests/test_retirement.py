"""Tests of retirements that operators request from a standby."""

import concurrent.futures
import types

import pytest

from rhubarbreach.backlog import commands
from rhubarbreach import codes
from rhubarbreach.hosts import retirement


class StoreLink:
    """Link between stores; `stores` holds their `Retirements` by host id."""

    def __init__(self, stores):
        self.stores = stores

    def register(self, message_type, handler):
        pass

    def call(self, host_id, message, deadline):
        future = concurrent.futures.Future()
        store = self.stores.get(host_id)
        if store is None:
            refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no reply')
            future.set_result(refusal)
        else:
            future.set_result(store.answer_call('s9', message))
        return future


@pytest.fixture
def stores():
    """Return a leader s1, which knows the members, and a standby s9."""
    stores = {}
    retired = set()

    def retire(command, seconds):
        retired.add(command.host_id)
        return commands.Done()

    def check(host_id):
        if len(retired) < 1:
            return None
        return codes.Refusal(codes.ResultCode.REVISION_CONFLICT, 'too few')

    members = types.SimpleNamespace(
        find_store=lambda name: name,
        check_retirement=check,
        is_retired=lambda name: name in retired,
    )
    unknown = types.SimpleNamespace(
        find_store=lambda name: name,
        check_retirement=lambda host_id: None,
        is_retired=lambda name: True,
    )
    for host_id, is_leader, known in (
        ('s1', True, members),
        ('s9', False, unknown),
    ):
        group = types.SimpleNamespace(
            is_leader=is_leader, is_standby=not is_leader, leader_id='s1'
        )
        stores[host_id] = retirement.Retirements(
            StoreLink(stores), group, known, retire
        )
    return stores


def test_standby_answers_as_the_leader_does(stores):
    # A standby has no members, and would report each store as retired, which
    # the platform then removes with its disk.
    assert stores['s9'].is_retired('s2') is False
    assert stores['s9'].start('s2') is None
    assert stores['s9'].is_retired('s2') is True
    refusal = stores['s9'].start('s3')
    assert refusal.code == codes.ResultCode.REVISION_CONFLICT


@pytest.mark.parametrize('leader_id', [None, 's5', 's9'])
def test_standby_without_a_leader_refuses(stores, leader_id):
    stores['s9'].group.leader_id = leader_id
    for reply in (stores['s9'].is_retired('s2'), stores['s9'].start('s2')):
        assert isinstance(reply, codes.Refusal)
        assert reply.ran != codes.Ran.YES
