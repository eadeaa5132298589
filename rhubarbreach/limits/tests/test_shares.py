"""Property tests of the fleet-wide rate limit in virtual time."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

from rhubarbreach.limits import owner
from rhubarbreach.limits.tests import fleet
from rhubarbreach.protocol import limitmessages
from rhubarbreach.state import model

RATE = 20.0
BURST = 30.0
END = 30.0
# Phases in seconds in which requests arrive; the buckets fill in between.
PHASES = ((5, 8), (11, 14), (17, 20), (23, 26))
# Factor by which a clock runs fast at most.
MAX_CLOCK_RATE = 1 + fleet.DRIFT

FAULTS = strategies.lists(
    strategies.builds(
        fleet.Fault,
        strategies.sampled_from(
            ('cut', 'silent', 'store_cut', 'pause', 'crash')
        ),
        strategies.integers(0, 4),
        strategies.floats(0, 25),
        strategies.floats(0.1, 8),
    ),
    max_size=5,
)


def make_fleet(seed, faults, rate=RATE, burst=BURST, **options):
    """Return a fleet with one client account."""
    account = model.Account('a', rate, burst)
    return fleet.Fleet(seed, account, faults, **options)


def measure_rate_excess(simulated, burst=BURST, rate=RATE):
    """Return the excess of the admissions over a constant rate."""
    clock_rate = MAX_CLOCK_RATE if simulated.drifting else 1.0
    return fleet.measure_excess(
        simulated.admissions, burst, lambda time: rate * clock_rate * time
    )


@hypothesis.settings(max_examples=40, deadline=None, print_blob=True)
@hypothesis.given(
    strategies.integers(0, 1000),
    FAULTS,
    strategies.sampled_from((5.0, 20.0, 100.0)),
    strategies.booleans(),
    strategies.booleans(),
)
def test_bound_holds_under_faults(seed, faults, rate, lossy, drifting):
    """Lost owners, partitions, pauses and restarts must not add tokens."""
    simulated = make_fleet(seed, faults, rate, lossy=lossy, drifting=drifting)
    simulated.busy = PHASES
    simulated.run(END)
    assert measure_rate_excess(simulated, rate=rate) <= 1e-6
    assert simulated.admissions or faults


@hypothesis.settings(max_examples=20, deadline=None, print_blob=True)
@hypothesis.given(
    strategies.integers(0, 1000), FAULTS, strategies.floats(8, 20)
)
def test_bound_holds_when_the_rate_is_lowered(seed, faults, when):
    """Tokens of a higher rate must be dropped once the lower is in effect."""
    simulated = make_fleet(seed, faults)
    simulated.busy = PHASES
    lower = model.Account('a', RATE / 4, BURST)
    simulated.at(when, lambda: simulated.set_config(accounts=(lower,)))
    simulated.run(END)
    # Hosts may use the former rate until their configuration validity ends,
    # and grants made before that slightly longer.
    end = when + fleet.VALIDITY + 0.6

    def earned(time):
        late = max(0.0, time - end)
        return MAX_CLOCK_RATE * (RATE * (time - late) + RATE / 4 * late)

    excess = fleet.measure_excess(simulated.admissions, BURST, earned)
    assert excess <= 1e-6


@hypothesis.settings(max_examples=20, deadline=None, print_blob=True)
@hypothesis.given(
    strategies.integers(0, 1000),
    FAULTS,
    strategies.floats(8, 20),
    strategies.booleans(),
)
def test_bound_holds_when_a_host_joins_the_set(seed, faults, when, lossy):
    """A joining host must wait until all others use the smaller shares."""
    simulated = make_joining_fleet(seed, faults, when, lossy)
    simulated.busy = PHASES
    simulated.run(END)
    assert measure_rate_excess(simulated) <= 1e-6


def make_joining_fleet(seed, faults, when, lossy):
    """Return a fleet whose last host joins the share set at a time."""
    simulated = make_fleet(seed, faults, lossy=lossy)
    names = tuple(simulated.by_name)
    simulated.set_config(share_hosts=names[:4])
    change = {'share_epoch': 2, 'share_hosts': names}
    simulated.at(when, lambda: simulated.set_config(**change))
    return simulated


def test_joining_host_waits_for_hosts_with_the_former_set():
    """Hosts that missed a change must not exceed the rate together."""
    faults = [fleet.Fault('store_cut', i, 9.9, 9.0) for i in range(4)]
    simulated = make_joining_fleet(
        1, [*faults, fleet.Fault('cut', 4, 9.0, 20.0)], 10.0, 0
    )
    simulated.busy = ((9.5, END),)
    simulated.run(END)
    assert measure_rate_excess(simulated) <= 1e-6


@pytest.mark.parametrize('seed', range(3))
def test_reclaimed_share_starts_empty(seed):
    """Tokens left from an earlier use of a host's share must be dropped."""
    faults = [
        fleet.Fault('silent', 0, 6.0, 6.0),
        fleet.Fault('silent', 0, 20.0, 9.0),
    ]
    simulated = make_fleet(seed, faults, 100.0, lossy=False, burst=400.0)
    simulated.busy = ((9.0, 9.5), (20.0, END))
    simulated.run(END)
    assert measure_rate_excess(simulated, 400.0, 100.0) <= 1e-6


@pytest.mark.parametrize('seed', range(3))
def test_unspent_grants_count_against_the_burst(seed):
    """Grants and bucket together must not hold more than the burst."""
    simulated = make_fleet(seed, [], 100.0, lossy=False, drifting=False)
    simulated.busy = tuple((i, i + 0.5) for i in range(5, 30))
    simulated.run(END)
    assert measure_rate_excess(simulated, rate=100.0) <= 1e-6


def test_grants_occupy_capacity_until_they_are_spent():
    """A refill must not use capacity that a grant occupied meanwhile."""
    account = model.Account('a', 10.0, 10.0)
    account_owner = owner.Owner('h', 0.0)
    lease = limitmessages.ShareLease(1, 1, 100.0, 1, 0.0, ('h',))
    account_owner.accept_lease('h', lease, 1.0)
    request = limitmessages.GrantRequest('a', 10.0, 0.0, 1.0)
    grant = account_owner.grant(request, account, 10.0)
    assert grant.granted == 10.0
    finished = limitmessages.GrantRequest(
        'a', 10.0, 0.0, 1.0, 0.0, (grant.grant_id,)
    )
    assert account_owner.grant(finished, account, 10.4).granted == 0.0
    later = limitmessages.GrantRequest('a', 10.0, 0.0, 1.0)
    assert account_owner.grant(later, account, 10.8).granted == 4.0


@pytest.mark.parametrize('rate', [2.0, 20.0])
def test_whole_rate_is_usable_through_one_host(rate):
    """Shares must not split the rate of an account that uses one host."""
    simulated = make_fleet(1, [], rate, lossy=False, callers=1)
    simulated.run(60.0)
    late = [time for time in simulated.admissions if time > 20.0]
    assert len(late) >= 0.97 * rate * 40.0


def test_whole_burst_is_usable_through_one_host():
    """Shares must not split the burst of an account that uses one host."""
    simulated = make_fleet(1, [], lossy=False, callers=1)
    simulated.busy = ((30.0, 31.0),)
    simulated.run(31.0)
    assert len(simulated.admissions) >= 23


def test_partitioned_host_keeps_its_own_share():
    """A partitioned host must serve its share of the rate by itself."""
    partition = fleet.Fault('cut', 0, 5.0, 100.0)
    simulated = make_fleet(1, [partition], lossy=False)
    simulated.run(15.0)
    before = simulated.admitted_by['h0']
    simulated.run(45.0)
    served = simulated.admitted_by['h0'] - before
    assert served >= 0.9 * RATE / 5 * 30.0
