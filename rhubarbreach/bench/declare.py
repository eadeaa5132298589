"""Declaration of the accounts, keys, model and routes of a deployment."""

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
CALL_TIMEOUT_SECONDS = 30.0
KEY_BYTES = 32
MAX_CONFLICT_ATTEMPTS = 5


class DeclarationError(Exception):
    """Raised when a change is refused or its outcome is unknown."""


class Operator:
    """Operator of a deployment that the benchmark started.

    Parameters
    ----------
    deployment : fleet.Fleet
        Deployment with a certificate for `operator-bench`.
    """

    def __init__(self, deployment):
        folder = deployment.folder / 'tls'
        files = tls.TlsFiles(
            str(folder / 'ca.crt'),
            str(folder / f'{fleet.OPERATOR}.crt'),
            str(folder / f'{fleet.OPERATOR}.key'),
        )
        targets = tuple(
            client.Target(host_id, addresses.operators)
            for host_id, addresses in deployment.hosts.items()
        )
        self.client = client.Client(targets, files)

    def change(self, name, request, wait=0.0):
        """Make one change and return the reply.

        A change that conflicts with another one is tried again.

        Raises
        ------
        DeclarationError
            If the change was not accepted.
        """
        for _ in range(MAX_CONFLICT_ATTEMPTS):
            reply = self.try_change(name, request, wait)
            if reply.result.code != codes.ResultCode.REVISION_CONFLICT:
                break
        if reply.result.code:
            raise DeclarationError(f'{name} failed: {reply.result.reason}')
        return reply

    def try_change(self, name, request, wait):
        """Make one change at the current revision and return the reply.

        The call that reads the revision and the one that makes the change
        are separate. In between, the system may change the configuration
        itself, because a host has joined or left.
        """
        request.change.operation_id = uuid.uuid4().hex
        request.change.wait = wait
        listed = self.client.call(
            'ListAccounts', operators_pb2.ListRequest(), CALL_TIMEOUT_SECONDS
        )
        request.change.expected_revision = listed.revision
        return self.client.call(name, request, CALL_TIMEOUT_SECONDS)

    def add_account(self, plan):
        """Add an account with one key; return the key."""
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
        """Add a generated key to an account; return the key."""
        key = secrets.token_urlsafe(KEY_BYTES)
        declared = operators_pb2.Key(
            key_id=key_id,
            account_id=account_id,
            digest=hashlib.sha256(key.encode()).digest(),
        )
        self.change('AddKey', operators_pb2.AddKeyRequest(key=declared))
        return key

    def revoke_key(self, key_id, wait):
        """Revoke a key and return the reply.

        The reply names the hosts on which the revocation is not in effect
        yet.
        """
        request = operators_pb2.RemoveRequest(id=key_id)
        return self.change('RevokeKey', request, wait)

    def declare(self, plan):
        """Declare the model, the routes and the accounts of a deployment.

        Parameters
        ----------
        plan : plans.FleetPlan
            Plan of the deployment.

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
        """Add a route that requires a key."""
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
