"""Provider of the calls that concern the configuration."""

import time

import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus import client as consensus_client
from rhubarbreach.distribution import client as effect_client

__all__ = ['CONFIG_GROUP', 'FleetProvider']

CONFIG_GROUP = 'config'
VIEW_POLL = 0.01
READ_PAUSE = 0.05


class FleetProvider:
    """Configuration of the fleet; the rest is refused as not offered.

    The daemon derives its provider from this class and replaces what the
    host can do.

    Parameters
    ----------
    link : Link
        Link of this host.
    view : ConfigView
        View of this host.
    get_store_hosts : callable
        Returns the ids of the store hosts.
    store : LocalStore, optional
        Configuration group, on a store host.
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
        """Return the configuration with all changes accepted before."""
        if self.store is not None:
            return self.read_store(deadline)
        result = consensus_client.query(
            self.link, CONFIG_GROUP, b'', deadline, self.get_store_hosts()
        )
        if isinstance(result, codes.Refusal):
            return result
        return self.wait_for_view(msgspec.msgpack.decode(result), deadline)

    def read_store(self, deadline):
        """Return the configuration of the replica here after a read.

        The read is repeated while no leader is known, as in an election.
        """
        while True:
            result = self.store.group.read(deadline).result()
            if not isinstance(result, codes.Refusal):
                return self.store.machine.config
            if clock.monotonic() + READ_PAUSE >= deadline:
                return result
            time.sleep(READ_PAUSE)

    def wait_for_view(self, revision, deadline):
        """Return the configuration of the view once it has a revision."""
        while self.view.revision < revision:
            if clock.monotonic() >= deadline:
                return codes.Refusal(
                    codes.ResultCode.UNAVAILABLE,
                    f'this host does not have revision {revision} yet',
                )
            time.sleep(VIEW_POLL)
        return self.view.snapshot

    def wait_in_effect(self, revision, account_id, deadline):
        """Wait for a revision; return where it is not in effect yet."""
        return effect_client.wait_in_effect(
            self.link, self.get_store_hosts(), revision, account_id, deadline
        )

    def refuse(self, *arguments):
        """Return the refusal of a call that this host does not offer."""
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'not offered by this host'
        )

    list_hosts = list_endpoints = list_groups = list_rates = refuse
    list_jobs = cancel_job = change_member = drain_host = refuse
    set_log_level = order_endpoint = refuse
