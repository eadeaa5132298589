"""Test of the whole policy in virtual time."""

import pytest

from rhubarbreach.bench import policybench


@pytest.fixture(scope='module')
def result():
    """Return the figures of a short run with batch."""
    return policybench.Bench('full', 3, 8.0, True, 0.3).run()


def test_accounts_get_their_rate_and_no_more(result):
    """Five hosts together must neither refuse nor admit too much."""
    assert result.sent > 100
    assert result.wrongful == 0
    assert result.rate_excess == 0
    assert result.flood_part > 0.9


def test_batch_uses_what_online_leaves(result):
    """Batch must neither starve nor slow down online requests."""
    assert result.batch_rate > 1000
    assert result.batch_share > 0.7
    assert result.p99 < 0.3
