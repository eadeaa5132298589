"""Operator commands for client accounts and their keys."""

import base64
import secrets
import sys

from rhubarbreach.commands import calls
from rhubarbreach.commands import session as session_module
from rhubarbreach.distribution import view
from rhubarbreach.operators import operators_pb2

__all__ = ['AccountCommands', 'make_key']

KEY_BYTES = 32
KEY_PREFIX = 'rb-'
DEFAULT_WEIGHT = 1.0
DEFAULT_STALE_KEY_SECONDS = 2.0


def make_key():
    """Return a new key: a prefix and 32 random bytes in Base64."""
    text = base64.urlsafe_b64encode(secrets.token_bytes(KEY_BYTES))
    return KEY_PREFIX + text.rstrip(b'=').decode()


class AccountCommands(calls.Calls):
    """Commands for client accounts and keys."""

    def put_account(
        self,
        account_id,
        rate=None,
        burst=None,
        weight=None,
        stale_key_bound=None,
    ):
        """Add a client account, or change the given options of one.

        Parameters
        ----------
        account_id : str
            Id of the account.
        rate : float
            Requests per second, summed over all hosts.
        burst : float
            Size of the token bucket: requests that may be sent at once
            after an idle period. Default for a new account: the requests of
            one second, at least 1.
        weight : float
            Share of the fleet relative to other accounts; default 1.
        stale_key_bound : float
            Seconds, 2 to 3600, for which a partitioned host may continue
            to accept the account's keys, including revoked ones.
        """
        current, revision = self._find('ListAccounts', 'accounts', account_id)
        if current is None and rate is None:
            session_module.leave(
                'a new account requires --rate', session_module.EXIT_REFUSED
            )
        given = {
            'rate': rate,
            'burst': burst,
            'weight': weight,
            'stale_key_bound': stale_key_bound,
        }
        defaults = {
            'burst': max(1.0, float(rate or 0)),
            'weight': DEFAULT_WEIGHT,
            'stale_key_bound': DEFAULT_STALE_KEY_SECONDS,
        }
        account = operators_pb2.Account(
            account_id=str(account_id), **calls.merge(current, given, defaults)
        )
        header = self._session.make_header(revision)
        request = operators_pb2.PutAccountRequest(
            change=header, account=account
        )
        self._session.change('PutAccount', request)

    def remove_account(self, account_id):
        """Remove a client account and its keys."""
        self._remove('RemoveAccount', account_id)

    def list_accounts(self, account_id=''):
        """List all client accounts, or the given one."""
        columns = ('account_id', 'rate', 'burst', 'weight', 'stale_key_bound')
        self._session.show('ListAccounts', account_id, 'accounts', columns)

    def add_key(self, account_id, key_id):
        """Generate a key, add it to an account and print it once.

        Only the SHA-256 digest of the key is sent to the hosts. The key is
        printed once the change is accepted and cannot be shown again.

        Parameters
        ----------
        account_id : str
            Account that the key belongs to.
        key_id : str
            Id by which the key can be revoked.
        """
        key = make_key()
        header = self._session.make_header()
        message = operators_pb2.Key(
            key_id=str(key_id),
            account_id=str(account_id),
            digest=view.get_digest(key),
        )
        request = operators_pb2.AddKeyRequest(change=header, key=message)
        reply = self._session.call('AddKey', request)
        sys.stdout.write(f'{key}\n')
        sys.stdout.flush()
        self._session.report(reply)

    def revoke_key(self, key_id):
        """Revoke a key permanently."""
        self._remove('RevokeKey', key_id)

    def list_keys(self, account_id=''):
        """List the keys of all accounts or of one, without digests."""
        columns = ('key_id', 'account_id', 'revoked', 'revision')
        self._session.show('ListKeys', account_id, 'keys', columns)
