"""Operator command line: one command for each call of operators.proto."""

from rhubarbreach.commands import accounts
from rhubarbreach.commands import catalog
from rhubarbreach.commands import operation
from rhubarbreach.commands import session as session_module

__all__ = ['Admin']

DEFAULT_WAIT_SECONDS = 5.0


class Admin(
    accounts.AccountCommands,
    catalog.CatalogCommands,
    operation.OperationCommands,
):
    """Operator commands, which are sent to the hosts of a fleet.

    The options below apply to all commands and precede the command, as in
    `rhubarbreach admin --hosts=10.0.0.1:7003 list_accounts`.

    Accounts and keys: put_account, remove_account, list_accounts, add_key,
    revoke_key, list_keys. Models and routes: put_model, remove_model,
    list_models, put_route, remove_route, list_routes. Fleet: list_hosts,
    list_endpoints, list_groups, list_rates, wait_in_effect, change_member,
    drain_host, evacuate_zone, restore_zone, set_log_level, order_endpoint.
    Jobs: list_jobs, cancel_job.
    `rhubarbreach admin COMMAND --help` describes a command.

    A change is refused if the configuration has changed since it was read.
    A change whose reply was lost is retried with the same operation id, so
    that it takes effect only once.

    Parameters
    ----------
    hosts : str
        Operator addresses, `IP:port` or `HOST=IP:port`, comma separated. If
        one does not answer, the next one is tried. HOST is the name in the
        host's certificate. Default: environment variable
        RHUBARBREACH_OPERATORS.
    ca_file : str
        PEM file of the fleet's certificate authority; empty for plain TCP.
    certificate_file : str
        PEM file of the certificate, whose name must start with `operator-`.
    key_file : str
        PEM file of the private key.
    operation_id : str
        Id of a change that is retried after an unknown outcome; default: a
        new id.
    revision : int
        Revision on which the change is based; default: the current one.
    wait : float
        Seconds to wait until a change is in effect on all hosts, at most 60.

    Notes
    -----
    Exit status 0: done, and in effect on all hosts. 5: refused, nothing
    changed. 6: accepted, but not yet in effect on the listed hosts. 7: the
    outcome is unknown; the options for repeating the command are printed.
    """

    def __init__(
        self,
        hosts='',
        ca_file='',
        certificate_file='',
        key_file='',
        operation_id='',
        revision=None,
        wait=DEFAULT_WAIT_SECONDS,
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
