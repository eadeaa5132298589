"""Tests of the state machine of the configuration."""

import pytest

from rhubarbreach import codes
from rhubarbreach.state import config
from rhubarbreach.state import index
from rhubarbreach.state import model

CODE = codes.ResultCode
DIGEST = b'd' * 32


def submit(machine, operation_id, change, expected=None):
    command = model.encode_request(operation_id, expected, change)
    return model.decode_result(machine.apply(0, command))


def put_account(account_id='patio', **fields):
    fields = {'rate': 10.0, 'burst': 20.0, **fields}
    return model.PutAccount(model.Account(account_id, **fields))


def put_key(key_id='key-1', account_id='patio', digest=DIGEST):
    return model.PutKey(model.Key(key_id, account_id, digest))


@pytest.fixture
def machine():
    config_machine = config.ConfigMachine()
    submit(config_machine, 'setup', put_account())
    return config_machine


def test_resent_operation_gets_the_first_result(machine):
    """Guards against a change that is applied twice after a lost reply."""
    first = submit(machine, 'op-1', put_key(), expected=1)
    submit(machine, 'op-2', put_account('other'))
    assert submit(machine, 'op-1', put_key(), expected=1) == first
    assert machine.revision == 3


def test_operation_id_of_another_change_is_refused(machine):
    """Guards against a new key that is reported as added but was not."""
    submit(machine, 'op-1', put_key())
    other = submit(machine, 'op-1', put_key(digest=b'e' * 32))
    assert other.code == CODE.IDEMPOTENCY_CONFLICT


def test_one_of_two_operators_with_equal_revision_is_refused(machine):
    """Guards against an operator overwriting a change they have not seen."""
    first = submit(machine, 'op-1', put_account(rate=1.0), expected=1)
    second = submit(machine, 'op-2', put_account(rate=2.0), expected=1)
    assert (first.code, second.code) == (CODE.OK, CODE.REVISION_CONFLICT)
    assert machine.config.get_account('patio').rate == 1.0


@pytest.mark.parametrize(
    'change',
    [
        put_account(rate=-1.0),
        put_account(rate=float('nan')),
        put_account(burst=0.0),
        put_account(stale_key_bound=1.0),
        put_account(stale_key_bound=3601.0),
        put_account('bad name'),
        put_key(account_id='nobody'),
        put_key(digest=b'short'),
        model.RevokeKey('nothing'),
        model.RemoveAccount('nobody'),
        model.PutRoute(model.Route('r', 'no-slash')),
        model.PutRoute(model.Route('r', '/a', kind='service')),
        model.PutRoute(model.Route('r', '/a', accounts=('nobody',))),
        model.PutRoute(model.Route('other', '/v1/chat')),
        model.SetShareSet(7, ('host-1',)),
        model.TakeOrderLease('endpoint-1', 'host-1', 3),
        model.StartEvacuation(''),
        model.EndEvacuation('zone-1'),
    ],
)
def test_invalid_change_is_refused_and_changes_nothing(machine, change):
    """Guards against a configuration that hosts cannot serve."""
    route = model.Route('chat', '/v1/chat', accounts=('patio',))
    submit(machine, 'route', model.PutRoute(route))
    before = machine.config
    assert submit(machine, 'op', change).code == CODE.INVALID_CHANGE
    assert machine.config is before


def test_malformed_command_is_refused(machine):
    """Guards against a malformed command that stops all store hosts."""
    for command in (b'', b'\xc1', model.ENCODER.encode(('a', 1, b''))):
        result = model.decode_result(machine.apply(0, command))
        assert result.code == CODE.INVALID_CHANGE


def test_key_of_a_removed_account_stops_working(machine):
    """Guards against a key that is valid after its account was removed."""
    submit(machine, 'op-1', put_key())
    submit(machine, 'op-2', model.RemoveAccount('patio'))
    assert machine.config.find_key(DIGEST) is None
    result = submit(machine, 'op-3', put_key('key-2'))
    assert result.code == CODE.INVALID_CHANGE


def test_account_that_a_route_lists_cannot_be_removed(machine):
    """Guards against a restricted route that then admits all accounts."""
    route = model.Route('chat', '/v1/chat', accounts=('patio',))
    submit(machine, 'op-1', model.PutRoute(route))
    result = submit(machine, 'op-2', model.RemoveAccount('patio'))
    assert result.code == CODE.INVALID_CHANGE


def test_revoked_keys_are_bounded(machine):
    """Guards against a configuration that grows with each key rotation."""
    for number in range(30):
        digest = bytes([number]) * 32
        submit(machine, f'a{number}', put_key(f'k{number}', digest=digest))
        submit(machine, f'b{number}', model.RevokeKey(f'k{number}'))
    assert len(machine.config.keys) == 8
    assert machine.config.find_key(bytes([29]) * 32).revoked


def test_restored_machine_returns_the_same_results(machine):
    """Guards against replicas that differ after several hundred changes."""
    for number in range(600):
        submit(machine, f'op-{number}', put_account(f'a{number % 50}'))
    other = config.ConfigMachine()
    other.restore(machine.snapshot())
    assert other.config == machine.config
    assert other.snapshot() == machine.snapshot()
    assert submit(other, 'op-7', put_account('a7')).revision == 9
    assert other.get_changes_after(500) == machine.get_changes_after(500)


def test_history_returns_none_for_changes_no_longer_kept(machine):
    """Guards against a host that misses changes without knowing."""
    for number in range(config.MAX_HISTORY_CHANGES + 5):
        submit(machine, f'op-{number}', put_account(f'a{number % 9}'))
    assert machine.get_changes_after(1)[1] is None
    assert len(machine.get_changes_after(machine.revision - 3)[1]) == 3


def test_document_holds_the_whole_configuration(machine):
    """Guards against a field that is missing from snapshots."""
    submit(machine, 'o1', put_account(stale_key_bound=60.0))
    submit(machine, 'o2', put_account())
    submit(machine, 'o3', put_key())
    submit(machine, 'o4', model.PutModel(model.Model('rota')))
    submit(machine, 'o5', model.PutRoute(model.Route('chat', '/v1/chat')))
    submit(machine, 'o6', model.SetShareSet(0, ('host-1',)))
    submit(machine, 'o7', model.TakeOrderLease('e-1', 'host-1', 0))
    document = index.to_document(machine.config)
    assert index.from_document(document) == machine.config
    assert machine.config.get_longest_bound('patio') == 60.0


def test_evacuated_zones_survive_a_snapshot(machine):
    """Guards against zones that open when a store restores its state."""
    submit(machine, 'op-1', model.StartEvacuation('z2'))
    submit(machine, 'op-2', model.StartEvacuation('z1'))
    submit(machine, 'op-3', model.StartEvacuation('z1'))
    restored = config.ConfigMachine()
    restored.restore(machine.snapshot())
    assert restored.config.evacuated_zones == ('z1', 'z2')
    submit(restored, 'op-4', model.EndEvacuation('z1'))
    assert restored.config.evacuated_zones == ('z2',)


def test_late_end_of_an_evacuation_does_not_undo_a_new_one(machine):
    """Guards against a delayed change that opens a zone unnoticed."""
    submit(machine, 'op-1', model.StartEvacuation('z1'), 1)
    submit(machine, 'op-2', model.EndEvacuation('z1'), 2)
    submit(machine, 'op-3', model.StartEvacuation('z1'), 3)
    late = submit(machine, 'op-4', model.EndEvacuation('z1'), 2)
    assert late.code == CODE.REVISION_CONFLICT
    assert submit(machine, 'op-2', model.EndEvacuation('z1'), 2).revision == 3
    assert machine.config.evacuated_zones == ('z1',)
