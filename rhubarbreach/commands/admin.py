"""Operator command line: one command for each call of operators.proto."""

from rhubarbreach.commands import accounts
from rhubarbreach.commands import catalog
from rhubarbreach.commands import operation
from rhubarbreach.commands import session as session_module

__all__ = ['Admin']

DEFAULT_WAIT = 5.0


class Admin(
    accounts.AccountCommands,
    catalog.CatalogCommands,
    operation.OperationCommands,
):
    """Calls of an operator to the hosts of a fleet.

    Options of all commands stand before the command, as in
    `rhubarbreach admin --hosts=10.0.0.1:7003 list_accounts`.

    Accounts and keys: put_account, remove_account, list_accounts, add_key,
    revoke_key, list_keys. Models and routes: put_model, remove_model,
    list_models, put_route, remove_route, list_routes. Fleet: list_hosts,
    list_endpoints, list_groups, list_rates, wait_in_effect, change_member,
    drain_host, set_log_level, order_endpoint. Jobs: list_jobs, cancel_job.
    `rhubarbreach admin COMMAND --help` explains one.

    A change is refused if the configuration has changed since it was read.
    A change whose answer was lost is repeated with the same operation id,
    which has no further effect.

    Parameters
    ----------
    hosts : str
        Operator addresses, `IP:port` or `HOST=IP:port`, comma separated; the
        next one is asked when one does not answer. HOST names the host's
        certificate. Default: the variable RHUBARBREACH_OPERATORS.
    ca_file : str
        PEM file of the authority of the fleet; empty for plain TCP.
    certificate_file : str
        PEM file; the name in the certificate must start with `operator-`.
    key_file : str
        PEM file of the private key.
    operation_id : str
        Id of a change that is repeated after an unknown outcome.
    revision : int
        Revision that the change is based on; default: the current one.
    wait : float
        Seconds to wait until a change is in effect on all hosts, at most 60.

    Notes
    -----
    Exit status 0: done, and in effect on all hosts. 5: refused, nothing
    changed. 6: accepted, not yet in effect on the hosts named. 7: the
    outcome is unknown; the command to repeat is printed.
    """

    def __init__(
        self,
        hosts='',
        ca_file='',
        certificate_file='',
        key_file='',
        operation_id='',
        revision=None,
        wait=DEFAULT_WAIT,
    ):
        self._session = session_module.Session(
            hosts,
            ca_file,
            certificate_file,
            key_file,
            operation_id,
            revision,
            wait,
        )
