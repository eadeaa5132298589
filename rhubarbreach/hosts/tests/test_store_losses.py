"""Tests of random losses of stores against the guarantees of a fleet."""

import pytest

from rhubarbreach.hosts.tests import lossseries
from rhubarbreach.hosts.tests import virtualfleets

# Series in which the leader changed before it had replaced a lost voter, or in
# which a voter was lost while another one was to retire.
LOST_VOTERS = (1020, 1028, 1118, 1122, 1229, 1292)
# Series in which the leader waited for a new store that it could not reach.
UNREACHABLE_STORES = (1248,)


def play(patch, seed, overlaps):
    """Play a series and show its events if a guarantee breaks."""
    random = virtualfleets.make_random(seed)
    series = lossseries.Series(random, random.uniform(10.0, 45.0), overlaps)
    virtualfleets.patch_modules(patch, series.fleet)
    try:
        series.run()
    except BaseException:
        print('\n'.join([*series.fleet.events, *series.fleet.describe()]))
        raise


@pytest.mark.parametrize(
    'seed', [*range(20), *LOST_VOTERS, *UNREACHABLE_STORES]
)
def test_confirmed_changes_outlive_losses(monkeypatch, seed):
    """Guards against a fleet without a leader after tolerated losses."""
    play(monkeypatch, seed, False)
