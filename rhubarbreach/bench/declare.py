"""Declares accounts, keys, models and routes of a deployment."""

import hashlib
import secrets
import uuid

from rhubarbreach.bench import fleet
from rhubarbreach import codes
from rhubarbreach.operators import client
from rhubarbreach.operators import operators_pb2
from rhubarbreach.protocol import tls

__all__ = ['DeclarationError', 'Operator', 'SERVICE_PATH']

SERVICE_PATH = '/swaps'
CALL_TIMEOUT = 30.0
KEY_BYTES = 32
CONFLICT_TRIES = 5


class DeclarationError(Exception):
    """A change was refused or its outcome is unknown."""


class Operator:
    """Operator of a fleet that the bench started.

    Parameters
    ----------
    running : fleet.Fleet
        Fleet with certificates for `operator-bench`.
    """

    def __init__(self, running):
        folder = running.folder / 'tls'
        files = tls.TlsFiles(
            str(folder / 'ca.crt'),
            str(folder / f'{fleet.OPERATOR}.crt'),
            str(folder / f'{fleet.OPERATOR}.key'),
        )
        targets = tuple(
            client.Target(host_id, addresses.operators)
            for host_id, addresses in running.hosts.items()
        )
        self.client = client.Client(targets, files)

    def change(self, name, request, wait=0.0):
        """Make one change; return the reply.

        Raises
        ------
        DeclarationError
            If it was not accepted.
        """
        for _ in range(CONFLICT_TRIES):
            reply = self.try_change(name, request, wait)
            if reply.result.code != codes.ResultCode.REVISION_CONFLICT:
                break
        if reply.result.code:
            raise DeclarationError(f'{name}: {reply.result.reason}')
        return reply

    def try_change(self, name, request, wait):
        """Make one change at the current revision; return the reply.

        The system itself changes the configuration when hosts come and go,
        so that the revision may have moved between the two calls.
        """
        request.change.operation_id = uuid.uuid4().hex
        request.change.wait = wait
        listed = self.client.call(
            'ListAccounts', operators_pb2.ListRequest(), CALL_TIMEOUT
        )
        request.change.expected_revision = listed.revision
        return self.client.call(name, request, CALL_TIMEOUT)

    def add_account(self, plan):
        """Add an account and a key; return the key."""
        account = operators_pb2.Account(
            account_id=plan.account_id,
            rate=plan.rate,
            burst=plan.burst,
            weight=plan.weight,
            stale_key_bound=plan.stale_key_bound,
        )
        self.change(
            'PutAccount', operators_pb2.PutAccountRequest(account=account)
        )
        return self.add_key(f'{plan.account_id}-key', plan.account_id)

    def add_key(self, key_id, account_id):
        """Add a key to an account; return it."""
        key = secrets.token_urlsafe(KEY_BYTES)
        declared = operators_pb2.Key(
            key_id=key_id,
            account_id=account_id,
            digest=hashlib.sha256(key.encode()).digest(),
        )
        self.change('AddKey', operators_pb2.AddKeyRequest(key=declared))
        return key

    def revoke_key(self, key_id, wait):
        """Revoke a key; return the reply that says where it still works."""
        request = operators_pb2.RemoveRequest(id=key_id)
        return self.change('RevokeKey', request, wait)

    def declare(self, plan):
        """Declare a whole deployment.

        Parameters
        ----------
        plan : plans.FleetPlan
            Accounts and model.

        Returns
        -------
        dict of str to str
            Key of each account.
        """
        model = operators_pb2.Model(model_id=plan.model_id)
        self.change('PutModel', operators_pb2.PutModelRequest(model=model))
        for path in ('/v1/completions', '/v1/chat/completions'):
            self.add_route(path.replace('/', '-').strip('-'), path)
        self.add_route(
            'swaps', SERVICE_PATH, 'service', 'swaps', idempotent=False
        )
        return {
            account.account_id: self.add_account(account)
            for account in plan.accounts
        }

    def add_route(
        self, route_id, path, kind='engine', target='', idempotent=True
    ):
        """Add a route that needs a key."""
        route = operators_pb2.Route(
            route_id=route_id,
            path=path,
            kind=kind,
            target=target,
            idempotent=idempotent,
            record='keyed',
            timeout=60.0,
        )
        self.change('PutRoute', operators_pb2.PutRouteRequest(route=route))
