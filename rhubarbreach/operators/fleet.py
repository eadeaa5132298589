"""Provider for the operator calls that concern the configuration."""

import time

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client as consensus_client
from rhubarbreach.distribution import client as effect_client

__all__ = ['CONFIG_GROUP', 'FleetProvider']

CONFIG_GROUP = 'config'
VIEW_POLL_SECONDS = 0.01
READ_RETRY_SECONDS = 0.05


class FleetProvider:
    """Provider of the fleet configuration that refuses all other calls.

    The daemon derives its provider from this class and overrides the calls
    that its host supports.

    Parameters
    ----------
    link : Link
        Link of this host to the other hosts.
    view : ConfigView
        Configuration view of this host.
    get_store_hosts : callable
        Returns the ids of the store hosts.
    store : LocalStore, optional
        Replica of the configuration group, if this is a store host.
    """

    def __init__(self, link, view, get_store_hosts, store=None):
        self.link = link
        self.view = view
        self.get_store_hosts = get_store_hosts
        self.store = store

    def propose(self, command, deadline):
        """Commit a command of the configuration group."""
        return consensus_client.propose(
            self.link, CONFIG_GROUP, command, deadline, self.get_store_hosts()
        )

    def read_config(self, deadline):
        """Return the configuration by a linearizable read.

        It includes all changes that were accepted before the call.
        """
        if self.store is not None:
            return self.read_store(deadline)
        result = consensus_client.query(
            self.link, CONFIG_GROUP, b'', deadline, self.get_store_hosts()
        )
        if isinstance(result, codes.Refusal):
            return result
        return self.wait_for_view(msgspec.msgpack.decode(result), deadline)

    def read_store(self, deadline):
        """Return the configuration of the local replica after a read.

        The read is retried while no leader is known, for example during an
        election.
        """
        while True:
            result = self.store.group.read(deadline).result()
            if not isinstance(result, codes.Refusal):
                return self.store.machine.config
            if clock.monotonic() + READ_RETRY_SECONDS >= deadline:
                return result
            time.sleep(READ_RETRY_SECONDS)

    def wait_for_view(self, revision, deadline):
        """Return the configuration once the view has reached a revision."""
        while self.view.revision < revision:
            if clock.monotonic() >= deadline:
                return codes.Refusal(
                    codes.ResultCode.UNAVAILABLE,
                    f'this host has not received revision {revision} yet; '
                    f'it has revision {self.view.revision}',
                )
            time.sleep(VIEW_POLL_SECONDS)
        return self.view.snapshot

    def wait_in_effect(self, revision, account_id, deadline):
        """Wait for a revision; return the hosts still without it."""
        return effect_client.wait_in_effect(
            self.link, self.get_store_hosts(), revision, account_id, deadline
        )

    def refuse(self, *arguments):
        """Return the refusal of a call that this host does not support."""
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'this host does not support the call'
        )

    list_hosts = list_endpoints = list_groups = list_rates = refuse
    list_zones = refuse
    list_jobs = cancel_job = change_member = drain_host = refuse
    set_log_level = order_endpoint = refuse
