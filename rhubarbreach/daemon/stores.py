"""Replicated log groups of a store host."""

import dataclasses

from rhubarbreach.batch import records
from rhubarbreach.batch import store as batch_store
from rhubarbreach.batch import ticker
from rhubarbreach.consensus import group as group_module
from rhubarbreach.consensus import groups
from rhubarbreach.consensus import model
from rhubarbreach.state import config
from rhubarbreach.state import jobcommands
from rhubarbreach.state import jobs
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests

__all__ = ['CONFIG_GROUP', 'Stores', 'open_stores']

CONFIG_GROUP = 'config'


@dataclasses.dataclass(frozen=True, slots=True)
class Stores:
    """Groups of one host.

    Parameters
    ----------
    group_set : consensus.groups.GroupSet
        All groups.
    config_group : consensus.group.Group
        Replica of the configuration group.
    config_machine : state.config.ConfigMachine
        Its machine.
    ticker : batch.ticker.Ticker
        Logical time of job and request groups.
    """

    group_set: groups.GroupSet
    config_group: group_module.Group
    config_machine: config.ConfigMachine
    ticker: ticker.Ticker

    def get_groups(self):
        """Return the replicas of this host."""
        return tuple(self.group_set.groups.values())

    def close(self):
        """Stop ticks and groups."""
        self.ticker.close()
        self.group_set.close()


def open_stores(settings, folder, link, metrics, recorder):
    """Open or create the groups in a data folder.

    Parameters
    ----------
    settings : settings.model.Settings
        Settings of the host.
    folder : str
        Data folder, locked by this process.
    link : protocol.link.Link
        Link to the other stores.
    metrics : observe.metrics.Metrics
        Metrics of the host.
    recorder : observe.timeline.Recorder
        Timeline of the host.

    Returns
    -------
    Stores
        Groups of the host, running.

    Raises
    ------
    CorruptLogError
        If a log is damaged before its last record.
    """
    group_set = groups.GroupSet(link)

    def open_group(group_id, machine):
        group_settings = model.GroupSettings(
            group_id,
            settings.host.host_id,
            folder,
            settings.store.initial,
            settings.store.heartbeat,
            settings.store.election_timeout,
            settings.store.snapshot_entries,
        )
        return group_set.add(
            group_module.Group(
                group_settings, link, machine, metrics, recorder
            )
        )

    config_machine = config.ConfigMachine()
    config_group = open_group(CONFIG_GROUP, config_machine)
    ticked = []
    for number in range(settings.store.job_groups):
        machine = jobs.JobsMachine()
        opened = open_group(batch_store.make_group_id(number), machine)
        ticked.append(
            ticker.TickedGroup(opened, machine, jobcommands.COMMANDS)
        )
    machine = requests.RequestsMachine()
    opened = open_group(records.GROUP_ID, machine)
    ticked.append(
        ticker.TickedGroup(opened, machine, requestcommands.COMMANDS)
    )
    return Stores(
        group_set, config_group, config_machine, ticker.Ticker(ticked)
    )
