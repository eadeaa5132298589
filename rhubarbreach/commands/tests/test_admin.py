"""Tests of the operator command line."""

import fire
import pytest

from rhubarbreach.commands import admin
from rhubarbreach.commands import session
from rhubarbreach.distribution import view
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import server
from rhubarbreach.operators.tests import memory
from rhubarbreach.protocol import configmessages


@pytest.fixture
def provider():
    return memory.MemoryProvider()


@pytest.fixture
def run(provider, capsys):
    operator_server = server.Server('127.0.0.1:0', provider)

    def run_command(*arguments):
        hosts = f'--hosts=127.0.0.1:{operator_server.port}'
        status = 0
        try:
            fire.Fire(admin.Admin, [hosts, *arguments])
        except SystemExit as error:
            status = error.code
        output = capsys.readouterr()
        return status, output.out, output.err

    yield run_command
    operator_server.close()


def test_commands_add_and_change_accounts_routes_and_models(run):
    """Guards against commands that do not match the service."""
    assert run('put_account', 'patio', '--rate=5')[0] == 0
    assert run('put_account', 'patio', '--burst=9')[0] == 0
    assert 'patio       5     9' in run('list_accounts')[1]
    route = ('put_route', 'chat', '--path=/v1/chat', '--accounts=patio')
    assert run(*route)[0] == 0
    assert run('put_route', 'chat', '--timeout=7')[0] == 0
    assert 'chat      /v1/chat  engine' in run('list_routes')[1]
    assert run('put_model', 'rota', '--version=2')[0] == 0
    status, _, errors = run('remove_account', 'patio')
    assert status == session.EXIT_REFUSED
    assert errors.startswith('refused: 203 INVALID_CHANGE: route')


def test_key_is_printed_once_and_only_its_digest_is_kept(run, provider):
    """Guards against keys that can be read from the state of store hosts."""
    run('put_account', 'patio', '--rate=5')
    key = run('add_key', 'patio', 'k-1')[1].splitlines()[0]
    stored_key = provider.machine.config.find_key(view.get_digest(key))
    assert stored_key.key_id == 'k-1'
    assert key.encode() not in provider.machine.snapshot()
    assert key not in run('list_keys')[1]
    assert run('revoke_key', 'k-1')[0] == 0
    assert provider.machine.config.get_key('k-1').revoked


def test_pending_hosts_give_a_distinct_exit_status(run, provider):
    """Guards against scripts that treat a pending change as in effect."""
    provider.pending = (configmessages.PendingHost('host-9', 1.5),)
    status, output, _ = run('put_account', 'patio', '--rate=5')
    assert status == session.EXIT_PENDING
    assert 'not yet in effect on host-9; at the latest in 1.5 s' in output


def test_commands_evacuate_a_zone_and_restore_it(run, provider):
    """Guards against commands that change another zone or none."""
    assert run('evacuate_zone', 'z2')[0] == 0
    assert provider.machine.config.evacuated_zones == ('z2',)
    status, _, errors = run('evacuate_zone', 'z9')
    assert status == session.EXIT_REFUSED
    assert 'unknown zone' in errors
    assert run('restore_zone', 'z2')[0] == 0
    assert provider.machine.config.evacuated_zones == ()
    assert run('restore_zone', 'z2')[0] == session.EXIT_REFUSED


def test_each_call_of_the_schema_has_a_command():
    """Guards against a call that operators cannot make."""
    service = operators_pb2.DESCRIPTOR.services_by_name['Operators']
    names = {
        'start_evacuation': 'evacuate_zone',
        'end_evacuation': 'restore_zone',
    }
    for method in service.methods:
        name = server.find_function_name(method.name)
        name = names.get(name, name)
        assert getattr(admin.Admin, name).__doc__
