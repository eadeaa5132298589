"""Tests of the operator service over gRPC."""

import contextlib
import pathlib

import pytest

from rhubarbreach.bench import certificates
from rhubarbreach import codes
from rhubarbreach.operators import client
from rhubarbreach.operators import operators_pb2 as pb
from rhubarbreach.operators import server
from rhubarbreach.operators.tests import memory
from rhubarbreach.orders import model as orders_model
from rhubarbreach.protocol import configmessages
from rhubarbreach.protocol import tls

CODE = codes.ResultCode


@pytest.fixture
def provider():
    return memory.MemoryProvider()


@pytest.fixture
def operator_client(provider):
    operator_server = server.Server('127.0.0.1:0', provider)
    operator_client = client.Client(
        (client.Target('', f'127.0.0.1:{operator_server.port}'),)
    )
    yield operator_client
    operator_client.close()
    operator_server.close()


def put_account(
    operator_client, operation_id, revision, rate=1.0, timeout=5.0
):
    header = pb.Change(operation_id=operation_id, expected_revision=revision)
    account = pb.Account(
        account_id='patio',
        rate=rate,
        burst=2.0,
        weight=1.0,
        stale_key_bound=2.0,
    )
    request = pb.PutAccountRequest(change=header, account=account)
    return operator_client.call('PutAccount', request, timeout)


def test_change_is_made_once_if_the_reply_is_lost(operator_client, provider):
    """Guards against applying a change again when the client retries it."""
    provider.lost_replies = 2
    reply = put_account(operator_client, 'op-1', 0)
    assert (reply.result.code, reply.revision) == (0, 1)
    assert provider.machine.revision == 1


def test_second_change_at_the_same_revision_is_refused(
    operator_client, provider
):
    """Guards against overwriting the change of another operator."""
    put_account(operator_client, 'op-1', 0, 1.0)
    reply = put_account(operator_client, 'op-2', 0, 9.0)
    assert reply.result.code == CODE.REVISION_CONFLICT
    assert (reply.revision, reply.result.ran) == (1, 'no')
    assert provider.machine.config.get_account('patio').rate == 1.0


def test_reply_lists_pending_hosts_with_their_delay(operator_client, provider):
    """Guards against replies that hide where a change is not in effect."""
    provider.pending = (configmessages.PendingHost('host-9', 1.5),)
    reply = put_account(operator_client, 'op-1', 0)
    assert not reply.in_effect
    assert [(p.host_id, p.seconds) for p in reply.pending] == [('host-9', 1.5)]


@pytest.mark.parametrize(
    ('name', 'request_message'),
    [
        ('PutAccount', pb.PutAccountRequest()),
        ('PutAccount', pb.PutAccountRequest(change=pb.Change(wait=1e9))),
        ('AddKey', pb.AddKeyRequest(change=pb.Change(operation_id='a'))),
        ('PutRoute', pb.PutRouteRequest(change=pb.Change(operation_id='b'))),
        ('PutModel', pb.PutModelRequest(change=pb.Change(operation_id='c'))),
        ('RevokeKey', pb.RemoveRequest(change=pb.Change(operation_id='d'))),
        ('ChangeMember', pb.ChangeMemberRequest(action='explode')),
        ('SetLogLevel', pb.SetLogLevelRequest(level='loud')),
        ('OrderEndpoint', pb.OrderEndpointRequest(order='dance')),
        ('DrainHost', pb.RemoveRequest(id='host-1')),
    ],
)
def test_invalid_request_is_refused_with_a_result_code(
    operator_client, name, request_message
):
    """Guards against exceptions in place of result codes."""
    reply = operator_client.call(name, request_message, 5.0)
    assert reply.result.code == CODE.INVALID_CHANGE
    assert reply.result.reason


def test_exception_in_the_host_gives_an_internal_result_code(operator_client):
    """Guards against a call that ends without a result."""
    reply = operator_client.call('ListEndpoints', pb.ListRequest(), 5.0)
    assert reply.result.code == CODE.INTERNAL
    assert 'Traceback' not in reply.result.reason


def test_action_requires_the_current_revision(operator_client, provider):
    """Guards against an action that is based on an outdated list."""
    put_account(operator_client, 'op-1', 0)
    for revision in (0, 1):
        header = pb.Change(
            operation_id=f'order-{revision}', expected_revision=revision
        )
        request = pb.OrderEndpointRequest(
            change=header, endpoint_id='e-1', order='load', model_id='m'
        )
        reply = operator_client.call('OrderEndpoint', request, 5.0)
    assert reply.result.code == CODE.OK
    action = orders_model.LoadModel('m', '')
    assert [recorded[:3] for recorded in provider.actions] == [
        ('e-1', action, 'order-1')
    ]


def test_revocation_applies_the_key_bound_of_its_account(
    operator_client, provider
):
    """Guards against reporting a revocation as in effect too early.

    Partitioned hosts may accept a key for the `stale_key_bound` of its
    account.
    """
    put_account(operator_client, 'op-1', 0)
    header = pb.Change(operation_id='op-2', expected_revision=1)
    key = pb.Key(key_id='k', account_id='patio', digest=b'd' * 32)
    operator_client.call(
        'AddKey', pb.AddKeyRequest(change=header, key=key), 5.0
    )
    header = pb.Change(operation_id='op-3', expected_revision=2)
    request = pb.RemoveRequest(change=header, id='k')
    assert operator_client.call('RevokeKey', request, 5.0).revision == 3
    assert provider.awaited_accounts[-1] == 'patio'


def test_only_operator_certificates_may_call(tmp_path, provider):
    """Guards against a host certificate being accepted as an operator's."""
    names = ('host-1', 'operator-anna')
    certificates.write_certificates(str(tmp_path), names)

    def get_files(name):
        parts = ('ca.crt', f'{name}.crt', f'{name}.key')
        return tls.TlsFiles(*(str(pathlib.Path(tmp_path, p)) for p in parts))

    operator_server = server.Server(
        '127.0.0.1:0', provider, get_files('host-1')
    )
    target = client.Target('host-1', f'127.0.0.1:{operator_server.port}')
    result_codes = []
    with contextlib.ExitStack() as stack:
        stack.callback(operator_server.close)
        for name in names:
            operator_client = client.Client((target,), get_files(name))
            stack.callback(operator_client.close)
            reply = operator_client.call('ListHosts', pb.ListRequest(), 10.0)
            result_codes.append(reply.result.code)
    assert result_codes == [CODE.NOT_PERMITTED, CODE.OK]
