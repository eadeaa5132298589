"""Replays of overloads, each beside the policy of b218eb7."""

import pytest

from rhubarbreach.gateway.tests import replay

FIRST = replay.Deployment()
SECOND = replay.Deployment(hosts=58, zones=4)
PATIENCE_SECONDS = 5.0


def make_rates(total, accounts=30):
    """Return requests a second by account; a few accounts are large."""
    weights = [(n + 1) ** -0.8 for n in range(accounts)]
    return {
        f'a{n}': total * weight / sum(weights)
        for n, weight in enumerate(weights)
    }


@pytest.fixture
def play(monkeypatch):
    """Return a function that replays a load with both policies."""

    def play_both(deployment, rates, multiply, end, seed=1, at_once=0):
        replays = []
        for host_class in (replay.Host, replay.QueueHost):
            run = replay.Replay(deployment, host_class, seed, monkeypatch)
            for host in run.hosts:
                host.is_starting = at_once > 0
            names = list(rates)
            for number in range(at_once):
                delay = 0.06 + run.rng.random() * 0.3
                account = names[number % len(names)]
                run.after(delay, run.arrive, account)
            run.add_arrivals(rates, 0.3, end, multiply)
            run.run(end + PATIENCE_SECONDS)
            replays.append(run)
        return replays

    return play_both


def is_peak(time):
    return 1.0 < time < 3.4


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('deployment', [FIRST, SECOND])
def test_account_with_excess_load_pays_for_it(play, deployment, seed):
    """Guards against late and refused requests of the other accounts."""
    rates = make_rates(178.0, 82)
    others = set(rates) - {'a0'}

    def multiply(account, time):
        return is_peak(time) * 1.87 * (8 if account == 'a0' else 1) or 0.39

    base, run = play(deployment, rates, multiply, 3.4, seed)
    bad = [
        r.count('late', 'refused', 'second attempt', accounts=others)
        for r in (base, run)
    ]
    reports = base.report(), run.report()
    assert bad[1] * 2 <= bad[0], reports
    # Its share stays its own.
    assert run.count('in time', accounts={'a0'}) > 100, reports


@pytest.mark.parametrize('deployment', [FIRST, SECOND])
def test_callers_that_return_at_once_after_a_power_loss(play, deployment):
    """Guards against engines that are filled until all work is late."""
    rates = make_rates(178.0)
    base, run = play(deployment, rates, lambda *_: 1, 2.0, at_once=700)
    reports = base.report(), run.report()
    assert run.count('late') * 2 <= base.count('late'), reports
    assert run.count('in time') > base.count('in time'), reports
    assert replay.compute_worth(run) > replay.compute_worth(base), reports


def test_overlapping_bursts_of_accounts(play):
    """Guards against bursts that fill the queues for those after them."""

    def multiply(account, time):
        begin = 1.0 + 0.5 * (int(account[1:]) % 3)
        return 4.0 if begin < time < begin + 1.2 else 0.5

    base, run = play(FIRST, make_rates(250.0, 60), multiply, 4.0)
    reports = base.report(), run.report()
    assert run.count('late') * 2 <= base.count('late'), reports
    assert run.count('in time') > base.count('in time'), reports
    assert replay.compute_worth(run) > replay.compute_worth(base), reports


@pytest.mark.parametrize(
    'deployment, total',
    [
        (replay.Deployment(hosts=3, endpoints=6), 80.0),
        (replay.Deployment(hosts=66, zones=4, endpoints=56), 680.0),
        (replay.Deployment(hosts=300, zones=4, endpoints=230), 2900.0),
    ],
)
def test_peak_above_capacity_in_fleets_of_all_sizes(play, deployment, total):
    """Guards against hosts that all send to the same free slot."""
    base, run = play(
        deployment,
        make_rates(total),
        lambda _, time: 1.0 if is_peak(time) else 0.2,
        3.4,
    )
    reports = base.report(), run.report()
    assert run.count('late') * 2 <= base.count('late'), reports
    assert replay.compute_worth(run) > replay.compute_worth(base), reports


@pytest.mark.parametrize(
    'deployment, total',
    [
        (replay.Deployment(hosts=5, endpoints=6), 40.0),
        (FIRST, 260.0),
    ],
)
def test_requests_are_served_as_before_without_a_full_fleet(
    play, deployment, total
):
    """Guards against requests that wait or are refused beside free slots."""
    base, run = play(deployment, make_rates(total), lambda *_: 1, 4.0)
    assert run.report() == base.report()
    assert not run.count('late', 'refused', 'second attempt')


def test_retried_requests_do_not_displace_new_ones_in_a_long_overload(play):
    """Guards against retried requests that fill the queue until all are late.

    With one endpoint of six left, only one of fourteen new requests was served
    (turnopatio-mx mix, seed 510496254701).
    """
    deployment = replay.Deployment(hosts=4, endpoints=1)
    base, run = play(deployment, make_rates(20.0), lambda *_: 1, 8.0)
    reports = base.report(), run.report()
    served = [r.count('in time', 'second attempt') for r in (base, run)]
    assert served[1] > served[0], reports
    # An endpoint ends ten requests a second. Half of them are to be in time.
    assert served[1] > 8.0 * 10 / 2, reports
    # Neither new nor retried requests have it for themselves.
    assert min(run.count('in time'), run.count('second attempt')) > 8, reports


@pytest.mark.parametrize('seed', [1, 2])
def test_busy_host_is_served_like_quiet_ones(monkeypatch, seed):
    """Guards against refusals at a host with a tenth of all requests.

    It expected as many requests from each of the others.
    """
    deployment = replay.Deployment(hosts=300, zones=4, endpoints=230)
    run = replay.Replay(deployment, replay.QueueHost, seed, monkeypatch)
    run.add_arrivals(make_rates(1800.0), 0.3, 2.5, lambda *_: 1)
    busy = {'busy': 200.0}
    run.add_arrivals(busy, 0.3, 2.5, lambda *_: 1, run.hosts[0])
    run.run(2.5 + PATIENCE_SECONDS)
    shares = []
    for accounts in (busy, make_rates(1800.0)):
        bad = run.count('late', 'refused', accounts=accounts)
        shares.append(bad / (bad + run.count('in time', accounts=accounts)))
    assert shares[0] < shares[1] + 0.1, run.report('busy')
