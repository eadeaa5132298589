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
    """Replicated log groups with a replica on this host.

    Parameters
    ----------
    group_set : consensus.groups.GroupSet
        All groups, by their ids.
    config_group : consensus.group.Group
        Replica of the configuration group.
    config_machine : state.config.ConfigMachine
        State machine of the configuration group.
    ticker : batch.ticker.Ticker
        Task that advances the logical time of job and request groups.
    """

    group_set: groups.GroupSet
    config_group: group_module.Group
    config_machine: config.ConfigMachine
    ticker: ticker.Ticker

    def get_groups(self):
        """Return the replicas of this host."""
        return tuple(self.group_set.groups.values())

    @property
    def has_ended(self):
        """Whether a replica has ended, so that the process has to end."""
        return any(group.has_ended for group in self.get_groups())

    def close(self):
        """Stop the ticker and all groups."""
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
        Link to the other store hosts.
    metrics : observe.metrics.Metrics
        Metrics of the host.
    recorder : observe.timeline.Recorder
        Timeline of the host.

    Returns
    -------
    Stores
        Running groups of the host.

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
    ticked_groups = []
    for number in range(settings.store.job_groups):
        machine = jobs.JobsMachine()
        group = open_group(batch_store.make_group_id(number), machine)
        ticked_groups.append(
            ticker.TickedGroup(group, machine, jobcommands.COMMANDS)
        )
    machine = requests.RequestsMachine()
    group = open_group(records.GROUP_ID, machine)
    ticked_groups.append(
        ticker.TickedGroup(group, machine, requestcommands.COMMANDS)
    )
    return Stores(
        group_set, config_group, config_machine, ticker.Ticker(ticked_groups)
    )
