"""History tests of the rate bound over hosts in virtual time."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

from rhubarbreach.limits.tests import fleet
from rhubarbreach.state import model

RATE = 20.0
BURST = 30.0
END = 30.0
# Clocks run fast by at most this.
FAST = 1 + fleet.DRIFT

FAULTS = strategies.lists(
    strategies.builds(
        fleet.Fault,
        strategies.sampled_from(('cut', 'store_cut', 'pause', 'crash')),
        strategies.integers(0, 4),
        strategies.floats(0, 25),
        strategies.floats(0.1, 8),
    ),
    max_size=5,
)


def make_fleet(seed, faults, rate=RATE, **options):
    """Return a fleet with one account."""
    account = model.Account('a', rate, BURST)
    return fleet.Fleet(seed, account, faults, **options)


@hypothesis.settings(max_examples=40, deadline=None, print_blob=True)
@hypothesis.given(strategies.integers(0, 1000), FAULTS)
def test_bound_holds_under_faults(seed, faults):
    """Lost owners, cuts, pauses and restarts must not add tokens."""
    found = make_fleet(seed, faults)
    found.busy = 3.0
    found.run(END)
    excess = fleet.measure_excess(
        found.admissions, BURST, lambda time: RATE * FAST * time
    )
    assert excess <= 1e-6
    assert found.admissions or faults


@hypothesis.settings(max_examples=20, deadline=None, print_blob=True)
@hypothesis.given(
    strategies.integers(0, 1000), FAULTS, strategies.floats(8, 20)
)
def test_bound_holds_when_the_rate_is_lowered(seed, faults, when):
    """Tokens of a higher rate must be gone once the lower is in effect."""
    found = make_fleet(seed, faults)
    found.busy = 3.0
    lower = model.Account('a', RATE / 4, BURST)
    found.at(when, lambda: found.set_config(accounts=(lower,)))
    found.run(END)
    # Hosts may use the former rate until their validity has passed, and
    # grants that were issued then a little longer.
    end = when + fleet.VALIDITY + 0.6

    def earned(time):
        late = max(0.0, time - end)
        return FAST * (RATE * (time - late) + RATE / 4 * late)

    excess = fleet.measure_excess(found.admissions, BURST, earned)
    assert excess <= 1e-6


@hypothesis.settings(max_examples=20, deadline=None, print_blob=True)
@hypothesis.given(
    strategies.integers(0, 1000), FAULTS, strategies.floats(8, 20)
)
def test_bound_holds_when_a_host_joins_the_set(seed, faults, when):
    """A joining host must wait until all others use smaller shares."""
    found = make_fleet(seed, faults)
    found.busy = 3.0
    names = tuple(found.by_name)
    found.set_config(share_hosts=names[:4])
    change = {'share_epoch': 2, 'share_hosts': names}
    found.at(when, lambda: found.set_config(**change))
    found.run(END)
    excess = fleet.measure_excess(
        found.admissions, BURST, lambda time: RATE * FAST * time
    )
    assert excess <= 1e-6


@pytest.mark.parametrize('rate', [2.0, 20.0])
def test_whole_rate_is_usable_through_one_host(rate):
    """Shares must not split the rate of an account that uses one host."""
    found = make_fleet(1, [], rate, lossy=False, callers=1)
    found.run(60.0)
    late = [time for time in found.admissions if time > 20.0]
    assert len(late) >= 0.97 * rate * 40.0


def test_whole_burst_is_usable_through_one_host():
    """Shares must not split the burst of an account that uses one host."""
    found = make_fleet(1, [], lossy=False, callers=1)
    found.busy = 0.0
    found.run(29.9)
    found.busy = 6.0
    found.run(31.0)
    assert len(found.admissions) >= 23


def test_cut_host_keeps_its_own_share():
    """A host without the others must serve a minimum rate by itself."""
    cut = fleet.Fault('cut', 0, 5.0, 100.0)
    found = make_fleet(1, [cut], lossy=False)
    found.run(15.0)
    before = found.admitted_by['h0']
    found.run(45.0)
    served = found.admitted_by['h0'] - before
    assert served >= 0.9 * RATE / 5 * 30.0
