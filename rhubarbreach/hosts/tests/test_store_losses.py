"""Tests of random losses of stores against the guarantees of a fleet."""

import contextlib
import random

import pytest

from rhubarbreach.bench.storelosses import lossseries
from rhubarbreach.bench.storelosses import virtualfleets
from rhubarbreach.consensus import model

# Series in which the leader changed before it had replaced a lost voter, or in
# which a voter was lost while another one was to retire.
LOST_VOTERS = (1020, 1028, 1118, 1122, 1229, 1292)
# Series in which the leader waited for a new store that it could not reach.
UNREACHABLE_STORES = (1248,)
# Series in which no leader lasted long enough to replace a lost voter.
RESTARTED_STORES = {'small': (12, 69, 198, 225), 'grown': (124, 162, 252)}
# Time until the successor of a lost machine starts.
SUCCESSOR_SECONDS = 1.0
# Longest time for which a killed process is down.
RESTART_SECONDS = 0.8


@pytest.mark.parametrize(
    'seed', [*range(20), *LOST_VOTERS, *UNREACHABLE_STORES]
)
def test_confirmed_changes_outlive_losses(seed):
    """Guards against a fleet without a leader after tolerated losses."""
    series = lossseries.make_series(random.Random(seed), False)
    with reporting(series):
        lossseries.play_series(series)


@contextlib.contextmanager
def reporting(series):
    """Print the events of a series if it fails."""
    try:
        yield
    except BaseException:
        print('\n'.join([*series.fleet.events, *series.fleet.describe()]))
        raise


@pytest.mark.parametrize(
    ('name', 'seed'),
    [
        (name, seed)
        for name, seeds in RESTARTED_STORES.items()
        for seed in seeds
    ],
)
def test_lost_voter_is_replaced_by_short_lived_leaders(name, seed):
    """Guards against a wait that starts anew with each leader."""
    deployment = virtualfleets.DEPLOYMENTS[name]
    series = lossseries.make_series(random.Random(seed), True, deployment)
    with reporting(series):
        lossseries.play_series(series)


@pytest.mark.parametrize('restarted_after', [0.5, 1.5, 2.0, 2.8])
@pytest.mark.parametrize('name', sorted(virtualfleets.DEPLOYMENTS))
@pytest.mark.parametrize('seed', range(4))
def test_restart_of_all_stores_delays_no_replacement(
    seed, name, restarted_after
):
    """Guards against a wait that starts anew with a restart.

    As many disks as are tolerated are lost twice, the second time when the
    first ones count as replaced.
    """
    deployment = virtualfleets.DEPLOYMENTS[name]
    series = lossseries.Series(random.Random(seed), 0.0, True, deployment)
    fleet = series.fleet
    with virtualfleets.replace_modules(fleet), reporting(series):
        fleet.loop.run(12.0)
        voters = [
            fleet.machines[member.host_id]
            for member in model.get_voters(fleet.find_leader().group.members)
        ]
        fleet.random.shuffle(voters)
        lost_at = fleet.loop.now
        for machine in voters[: deployment.tolerated]:
            series.replace(machine, SUCCESSOR_SECONDS)
        fleet.loop.run(lost_at + restarted_after)
        for machine in series.list_up():
            series.end(
                machine, False, fleet.random.uniform(0, RESTART_SECONDS)
            )
        fleet.loop.run(
            lost_at + SUCCESSOR_SECONDS + deployment.catch_up_seconds
        )
        series.lose_power(
            voters[deployment.tolerated :][: deployment.tolerated]
        )
        series.wait_until_served()


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('lead_seconds', [0.001, 0.1])
def test_store_that_stands_still_keeps_its_vote(seed, lead_seconds):
    """Guards against the replacement of a store just before it is heard."""
    fleet = virtualfleets.Fleet(random.Random(seed), 4)
    with virtualfleets.replace_modules(fleet):
        fleet.loop.run(12.0)
        leader = fleet.find_leader()
        voters = model.get_voters(leader.group.members)
        victim = fleet.random.choice(
            [m.host_id for m in voters if m.host_id != leader.host_id]
        )
        process = fleet.machines[victim].process
        fleet.loop.run(process.members.next_presence - lead_seconds)
        fleet.machines[victim].freeze(2.0)
        fleet.loop.run(fleet.loop.now + 6.0)
        assert model.get_voters(fleet.find_leader().group.members) == voters


@pytest.mark.parametrize('name', sorted(virtualfleets.DEPLOYMENTS))
@pytest.mark.parametrize('backlog_seconds', [0.35, 0.6])
def test_leader_that_handles_messages_late_is_replaced(name, backlog_seconds):
    """Guards against a slow leader that no exchange with entry hosts reaches.

    Its heartbeats go out in time, so that the others elect no leader.
    """
    fleet = make_fleet(name)
    with virtualfleets.replace_modules(fleet):
        fleet.loop.run(12.0)
        slow = fleet.find_leader()
        slow.machine.backlog_seconds = backlog_seconds
        fleet.loop.run(fleet.loop.now + 2.0)
        leader = fleet.find_leader()
        assert leader is not None
        assert leader is not slow


@pytest.mark.parametrize('name', sorted(virtualfleets.DEPLOYMENTS))
def test_leadership_stays_while_all_stores_are_slow(name):
    """Guards against leaders that change without an end under overload."""
    fleet = make_fleet(name)
    with virtualfleets.replace_modules(fleet):
        fleet.loop.run(12.0)
        for machine in fleet.list_machines():
            machine.backlog_seconds = 0.35
        fleet.loop.run(fleet.loop.now + 60.0)
    assert len(fleet.leaders) <= 1 + len(fleet.list_machines())


def make_fleet(name):
    """Return a fleet with the numbers of a deployment."""
    deployment = virtualfleets.DEPLOYMENTS[name]
    return virtualfleets.Fleet(
        random.Random(0), deployment.counts[0], deployment
    )
