"""Random series of losses on a fleet of store hosts in virtual time."""

import types

from rhubarbreach.backlog import commands
from rhubarbreach.bench.storelosses import virtualfleets
from rhubarbreach import codes
from rhubarbreach.consensus import model

__all__ = ['Series', 'make_series', 'play_series']

# Time in which a confirmed change is readable after the last loss.
RECOVERY_SECONDS = 10.0
FIRST_LOSS_SECONDS = 6.0
RETIREMENT_POLL_SECONDS = 0.25
RETIREMENT_SECONDS = 12.0
KINDS = (
    'kill',
    'kill_leader',
    'power',
    'crash_point',
    'freeze',
    'cut',
    'split',
    'herd',
    'hand_over',
    'wipe',
    'wipe',
    'wipe_leader',
    'replace',
    'replace_leader',
    'add',
    'retire',
)


class Series:
    """Random losses, with as many lost disks at a time as are tolerated.

    Parameters
    ----------
    random : random.Random
        Source of the series.
    seconds : float
        Length of the series before the last loss.
    overlaps : bool
        Whether a disk may be lost while other machines, which keep theirs,
        are down, frozen or cut off. The fleet was stable at least once since
        the last lost disk was replaced.
    deployment : Deployment
        Numbers of the fleet.
    """

    def __init__(self, random, seconds, overlaps, deployment):
        self.random = random
        self.overlaps = overlaps
        self.deployment = deployment
        self.fleet = virtualfleets.Fleet(
            random, random.choice(deployment.counts), deployment
        )
        self.seconds = seconds
        # When the stores whose disks were lost, or their successors, are back.
        self.disks_back_at = []
        self.retiring = None

    @property
    def now(self):
        """Current virtual time in seconds."""
        return self.fleet.loop.now

    def run(self):
        """Play the series; raise AssertionError if a guarantee breaks."""
        loop = self.fleet.loop
        loop.run(FIRST_LOSS_SECONDS)
        assert self.fleet.is_served(), 'not served before the first loss'
        while self.now < self.seconds:
            self.strike(self.random.choice(KINDS))
            pause = self.random.choice((0.05, 0.4, 1.5, 4.0, 8.0))
            loop.run(self.now + pause * self.random.random())
        while self.count_losable_disks() < self.deployment.tolerated:
            loop.run(self.now + 0.1)
        self.strike_last()
        self.wait_until_served()

    def wait_until_served(self):
        """Wait for a leader; raise AssertionError if there is none."""
        end = self.now + RECOVERY_SECONDS
        while not self.fleet.is_served():
            assert self.now < end, 'no leader with all confirmed changes'
            self.fleet.loop.run(self.now + 0.1)

    # Losses.

    def count_losable_disks(self):
        """Return how many more disks may be lost now."""
        fleet = self.fleet
        fleet.update_stable_at()
        catch_up = self.deployment.catch_up_seconds
        if not self.overlaps and self.now < fleet.disturbed_until + catch_up:
            return 0
        self.disks_back_at = [
            back_at
            for back_at in self.disks_back_at
            if self.now < back_at + catch_up
            or (self.overlaps and fleet.stable_at < back_at)
        ]
        return self.deployment.tolerated - len(self.disks_back_at)

    def may_lose_disk(self):
        """Return whether the loss of one more disk is tolerated."""
        return self.count_losable_disks() > 0

    def note_disk_loss(self, back_at):
        """Record that a disk counts as lost until its store caught up."""
        self.disks_back_at.append(back_at)

    def list_up(self):
        """Return the machines whose process runs."""
        return [m for m in self.fleet.list_machines() if m.is_up]

    def choose(self, leader=False):
        """Return a running machine, the leader's if wanted; None if none."""
        if leader:
            process = self.fleet.find_leader()
            return process and process.machine
        up = self.list_up()
        return self.random.choice(up) if up else None

    def strike(self, kind):
        """Begin a loss unless it is not tolerated now."""
        machine = self.choose(kind.endswith('_leader'))
        if machine is None:
            return
        random = self.random
        match kind:
            case 'kill' | 'kill_leader':
                self.end(machine, False, random.uniform(0.0, 3.0))
            case 'power':
                self.end(machine, True, random.uniform(0.0, 4.0))
            case 'crash_point':
                machine.disk.countdown = random.randint(1, 30)
            case 'freeze':
                machine.freeze(random.uniform(0.3, 4.5))
            case 'cut':
                self.cut([machine])
            case 'split':
                machines = self.fleet.list_machines()
                self.cut(random.sample(machines, len(machines) // 2))
            case 'herd':
                power = random.random() < 0.5
                seconds = random.uniform(0.0, 2.0)
                for other in self.list_up():
                    self.end(other, power, seconds)
            case 'hand_over':
                self.hand_over()
            case 'wipe' | 'wipe_leader' if self.may_lose_disk():
                self.wipe(machine, random.uniform(0.3, 4.0))
            case 'replace' | 'replace_leader' if self.may_lose_disk():
                self.replace(machine, random.choice((1.0, 1.0, 2.0)))
            case 'add':
                machines = self.fleet.list_machines()
                if len(machines) < self.deployment.max_stores:
                    self.add(0.0)
            case 'retire':
                self.retire(machine)

    def end(self, machine, loses_power, seconds):
        """End the process of a machine, which starts again."""
        machine.stop(loses_power)
        machine.start_later(seconds)

    def cut(self, machines):
        """Cut machines off from the others for some seconds."""
        inside = {machine.host_id for machine in machines}
        outside = set(self.fleet.machines) - inside
        directions = self.random.choice(('both', 'both', 'in', 'out'))
        pairs = [
            pair
            for a in sorted(inside)
            for b in sorted(outside)
            for pair, name in (((a, b), 'out'), ((b, a), 'in'))
            if directions in ('both', name)
        ]
        seconds = self.random.uniform(0.3, 6.0)
        self.fleet.log(
            f'{sorted(inside)} cut off, {directions}, {seconds:.3f} s'
        )
        self.fleet.cut(pairs, seconds)

    def hand_over(self):
        """Let the leader transfer its leadership to a running voter."""
        leader = self.fleet.find_leader()
        if leader is None:
            return
        running = {machine.host_id for machine in self.list_up()}
        voters = [
            member.host_id
            for member in model.get_voters(leader.group.members)
            if member.host_id in running
        ]
        leader.group.transfer(self.random.choice(voters))

    def wipe(self, machine, seconds):
        """Lose a disk; the machine returns at its address."""
        machine.stop(True)
        machine.wipe()
        machine.start_later(seconds)
        self.note_disk_loss(machine.back_at)

    def add(self, seconds):
        """Add a machine with an empty disk; return it."""
        zone = f'z{self.random.randrange(4)}'
        machine = self.fleet.add_machine(zone)
        machine.start_later(seconds)
        return machine

    def replace(self, machine, seconds):
        """Lose a machine for good; another one comes at another address."""
        machine.stop(True)
        machine.is_gone = True
        self.fleet.log(f'{machine.host_id} is gone for good')
        successor = self.add(seconds)
        self.note_disk_loss(successor.back_at)

    def retire(self, machine):
        """Request that a store is emptied, and remove it once it is."""
        leader = self.fleet.find_leader()
        if leader is None or self.retiring:
            return
        host_id = machine.host_id
        if leader.members.check_retirement(host_id) is not None:
            return
        self.fleet.log(f'{host_id} retires')
        leader.group.propose(
            commands.FAMILY.encode(commands.RetireStore(host_id)),
            self.now + virtualfleets.CLIENT_TIMEOUT_SECONDS,
        )
        self.retiring = types.SimpleNamespace(
            machine=machine, deadline=self.now + RETIREMENT_SECONDS
        )
        self.fleet.loop.call_later(RETIREMENT_POLL_SECONDS, self.poll)

    def poll(self):
        """Ask the leader whether the retiring store has left the group."""
        if self.retiring is None:
            return
        if self.now >= self.retiring.deadline:
            self.retiring = None
            return
        self.fleet.loop.call_later(RETIREMENT_POLL_SECONDS, self.poll)
        leader = self.fleet.find_leader()
        if leader is None or self.random.random() < 0.3:
            return
        future = leader.group.read(self.now + 0.9)
        future.add_done_callback(
            lambda done: self.finish_retirement(leader, done.result())
        )

    def finish_retirement(self, leader, read):
        """Remove the machine of a retired store together with its disk."""
        if self.retiring is None or isinstance(read, codes.Refusal):
            return
        machine = self.retiring.machine
        store = leader.group.store
        if store.members_index > leader.group.state.commit_index:
            return
        if model.find_member(store.members, machine.host_id) is not None:
            return
        self.fleet.loop.call_later(0.0, self.remove_retired, machine)

    def remove_retired(self, machine):
        """Remove a machine, and perhaps lose the disk of another one."""
        if self.retiring is None:
            return
        self.retiring = None
        machine.stop(True)
        machine.is_gone = True
        self.fleet.log(f'{machine.host_id} is retired')
        other = self.choose()
        if other and self.may_lose_disk() and self.random.random() < 0.5:
            self.wipe(other, self.random.uniform(0.3, 2.0))

    def strike_last(self):
        """Lose the tolerated disks while all other machines lose power."""
        machines = self.fleet.list_machines()
        lost = [self.random.choice(machines)]
        leader = self.fleet.find_leader()
        if leader is not None and self.random.random() < 0.4:
            lost = [leader.machine]
        others = [m for m in machines if m is not lost[0]]
        if self.deployment.tolerated > 1:
            lost += self.random.sample(others, self.deployment.tolerated - 1)
        self.lose_power(lost)

    def lose_power(self, lost):
        """Let all machines lose power, and some of them their disks."""
        self.fleet.log('last loss')
        self.fleet.cuts.clear()
        for machine in self.fleet.list_machines():
            machine.frozen_until = 0.0
            machine.stop(True)
            if machine in lost:
                machine.wipe()
            machine.start_later(1.0)


def make_series(
    random, overlaps, deployment=virtualfleets.DEPLOYMENTS['small']
):
    """Return a `Series` of random length."""
    return Series(random, random.uniform(10.0, 45.0), overlaps, deployment)


def play_series(series):
    """Play a series with the clock and the disks of its fleet."""
    with virtualfleets.replace_modules(series.fleet):
        series.run()
