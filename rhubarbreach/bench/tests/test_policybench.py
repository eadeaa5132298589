"""Tests of the whole policy in virtual time."""

import pytest

from rhubarbreach.bench import policybench


@pytest.fixture(scope='module')
def result():
    """Return the result of a short run with a batch backlog."""
    return policybench.Simulation('full', 3, 8.0, True, 0.3).run()


def test_accounts_get_their_rate_and_no_more(result):
    """Guards against five hosts that together refuse or admit too much."""
    assert result.sent > 100
    assert result.wrongful == 0
    assert result.rate_excess == 0
    assert result.flood_part > 0.9


def test_batch_uses_the_capacity_that_online_leaves(result):
    """Guards against starved batch items and slowed online requests."""
    assert result.batch_rate > 1000
    assert result.batch_share > 0.7
    assert result.p99 < 0.3
