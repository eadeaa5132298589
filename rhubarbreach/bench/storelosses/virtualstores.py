"""Store hosts in virtual time, with the real decisions of a store.

Real are the consensus, the membership steps, the presence notices and the
duties of a store host. Threads, sockets, disks and the clock are replaced.
"""

import dataclasses
import types
from unittest import mock

from rhubarbreach.backlog import ledger as ledgers
from rhubarbreach.bench.storelosses import virtualdisks
from rhubarbreach.bench.storelosses import virtualgroups
from rhubarbreach.consensus import groups as group_sets
from rhubarbreach.hosts import evacuated_zones
from rhubarbreach.hosts import leadership
from rhubarbreach.hosts import members
from rhubarbreach.hosts import store as store_hosts

__all__ = ['Machine', 'Process']

# Few, so that snapshots are taken and installed in each series.
SNAPSHOT_ENTRIES = 30
# Time from the start of a process until its first action.
START_SECONDS = (0.2, 0.5)


class Process(store_hosts.StoreHost):
    """Process of a store host, without threads."""

    def __init__(self, machine, founds_group, seeds):
        self.machine = machine
        machine.process = self
        self.loop = machine.fleet.loop
        self.started_at = self.now
        self.busy_until = self.now
        self.is_alive = True
        self.settings = types.SimpleNamespace(
            name=machine.host_id,
            address=machine.host_id,
            availability_zone=machine.availability_zone,
            seeds=seeds,
            founds_group=founds_group,
            data_folder=machine.host_id,
            tolerated_stores=machine.fleet.deployment.tolerated,
        )
        self.host_id = machine.host_id
        self.link = virtualgroups.Link(self)
        self.ledger = ledgers.Ledger()
        self.groups = group_sets.GroupSet(self.link)
        settings = dataclasses.replace(
            store_hosts.make_group_settings(self.settings),
            snapshot_entries=SNAPSHOT_ENTRIES,
        )
        self.group = self.groups.add(
            virtualgroups.Group(settings, self.link, self.ledger, self)
        )
        self.members = members.Members(
            self.settings, self.link, self.group, self.ledger
        )
        self.endpoints = mock.Mock()
        self.version_history = mock.Mock()
        self.runner = mock.Mock()
        self.exchanges = mock.Mock()
        self.quarantine_manager = mock.Mock()
        self.cold_manager = mock.Mock()
        self.usage = mock.Mock()
        self.evacuated_zones = evacuated_zones.EvacuatedZones(
            self.settings,
            self.ledger,
            self.members,
            self.usage,
            self.endpoints,
        )
        self.leadership = leadership.Leadership(
            self.host_id,
            self.group,
            self.reset_duties,
            self.runner.set_leading,
        )
        self.next_gauges = float('inf')
        self.next_prune = float('inf')
        self.run_duties()

    @property
    def now(self):
        """Current virtual time in seconds."""
        return self.loop.now

    def call_later(self, delay, action, *arguments):
        """Run an action of this process unless it has ended by then."""
        self.loop.call_later(max(0.0, delay), self.run, action, arguments)

    def run(self, action, arguments):
        """Run an action when the process is neither frozen nor at an end."""
        if not self.is_alive:
            return
        if self.now < self.machine.frozen_until:
            self.loop.call_later(
                self.machine.frozen_until - self.now,
                self.run,
                action,
                arguments,
            )
            return
        try:
            action(*arguments)
        except virtualdisks.PowerLoss:
            self.machine.stop(True)
            self.machine.start_later(self.machine.random.uniform(0.3, 2.0))

    def run_duties(self):
        """Run the duties that are due, periodically."""
        self.run_due_duties(self.now)
        self.call_later(
            store_hosts.TAKEOVER_POLL_SECONDS
            if self.leadership.is_changing
            else store_hosts.DUTY_INTERVAL_SECONDS,
            self.run_duties,
        )


class Machine:
    """Machine of a store host, with a disk and at most one process."""

    def __init__(self, fleet, host_id, availability_zone):
        self.fleet = fleet
        self.host_id = host_id
        self.availability_zone = availability_zone
        self.random = fleet.random
        self.replace_disk()
        self.process = None
        self.frozen_until = 0.0
        # Time that messages wait at this machine until it handles them.
        self.backlog_seconds = 0.0
        self.is_gone = False
        # When the process was or will be started.
        self.back_at = 0.0

    def start(self, founds_group=False):
        """Start the process."""
        if self.is_gone or self.process is not None:
            return
        fleet = self.fleet
        fleet.log(f'{self.host_id} starts')
        try:
            Process(self, founds_group, fleet.choose_seeds())
        except virtualdisks.PowerLoss:
            self.stop(True)
            self.start_later(0.5)

    def start_later(self, delay):
        """Start the process after a delay."""
        self.back_at = self.fleet.loop.now + delay
        self.fleet.note_disturbance(self.back_at)
        delay += self.random.uniform(*START_SECONDS)
        self.fleet.loop.call_later(delay, self.start)

    def stop(self, loses_power):
        """End the process without notice."""
        self.fleet.log(f'{self.host_id} ends, power loss: {loses_power}')
        if self.process is not None:
            self.process.is_alive = False
            self.process = None
        self.disk.countdown = None
        if loses_power:
            self.disk.lose_power(self.random)

    def freeze(self, seconds):
        """Suspend the process for some seconds."""
        self.frozen_until = self.fleet.loop.now + seconds
        self.fleet.log(f'{self.host_id} frozen, {seconds:.3f} s')
        self.fleet.note_disturbance(self.frozen_until)

    def wipe(self):
        """Lose the disk."""
        self.fleet.log(f'{self.host_id} loses its disk')
        self.replace_disk()

    def replace_disk(self):
        """Use an empty disk."""
        self.disk = virtualdisks.Disk(self.fleet.deployment.sync_seconds)
        self.fleet.disks.by_folder[self.host_id] = self.disk

    @property
    def is_up(self):
        """Whether the process runs."""
        return self.process is not None
