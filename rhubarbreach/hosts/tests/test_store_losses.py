"""Tests of random losses of stores against the guarantees of a fleet."""

import random

import pytest

from rhubarbreach.bench.storelosses import lossseries

# Series in which the leader changed before it had replaced a lost voter, or in
# which a voter was lost while another one was to retire.
LOST_VOTERS = (1020, 1028, 1118, 1122, 1229, 1292)
# Series in which the leader waited for a new store that it could not reach.
UNREACHABLE_STORES = (1248,)


@pytest.mark.parametrize(
    'seed', [*range(20), *LOST_VOTERS, *UNREACHABLE_STORES]
)
def test_confirmed_changes_outlive_losses(seed):
    """Guards against a fleet without a leader after tolerated losses."""
    series = lossseries.make_series(random.Random(seed), False)
    try:
        lossseries.play_series(series)
    except BaseException:
        print('\n'.join([*series.fleet.events, *series.fleet.describe()]))
        raise
