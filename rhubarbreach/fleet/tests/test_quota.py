"""Rates over all hosts, replayed against the bound of a sliding window."""

import random

import pytest

from rhubarbreach.catalog import model
from rhubarbreach.fleet import member
from rhubarbreach.fleet import quota

TOLERANCE = quota.Tolerance(5.0, 0.1, 20.0)
ACCOUNT = model.Account('a', ('k',), rate=24.0, burst=24.0)
HOSTS = 4
STEP = 0.05
EXCHANGE = 0.15


def get_bound(account):
    allowed = account.rate * TOLERANCE.window + account.burst
    return allowed * (1 + TOLERANCE.overage) + TOLERANCE.slack


def get_worst(times, window):
    worst = first = 0
    for last, time in enumerate(times):
        while times[first] <= time - window:
            first += 1
        worst = max(worst, last - first + 1)
    return worst


def replay(
    load,
    seconds=20.0,
    account=ACCOUNT,
    lost=(),
    seed=1,
    hosts=HOSTS,
    step=STEP,
):
    """Return the times of sent requests and the number of refused ones.

    `load` returns requests a second at a time; `lost` are times at which a
    new leader takes over after a second without one.
    """
    rng = random.Random(seed)
    owner = quota.Owner(TOLERANCE)
    holders = [quota.Holder() for _ in range(hosts)]
    for holder in holders:
        holder.hosts = hosts
    due = [rng.random() * EXCHANGE for _ in holders]
    lost = list(lost)
    waiting = [[] for _ in holders]
    sent, refused, now, leaderless = [], 0, 0.0, 0.0
    while now < seconds:
        if lost and now >= lost[0]:
            lost.pop(0)
            leaderless = now + 1.0
            owner = quota.Owner(TOLERANCE)
        for number, holder in enumerate(holders):
            if now >= due[number]:
                due[number] = now + EXCHANGE
                wanted = holder.measure(now)
                if now < leaderless:
                    holder.refill_alone([account], hosts, now)
                    continue
                holder.end_alone()
                holder.add(
                    {
                        name: owner.grant(account, amount, now)
                        for name, amount in wanted.items()
                    }
                )
            part = load(now) * step / hosts
            count = int(part) + (rng.random() < part % 1)
            for deadline in list(waiting[number]):
                if holder.spend(account):
                    sent.append(now)
                elif now < deadline:
                    continue
                else:
                    refused += 1
                holder.end_wait(account)
                waiting[number].remove(deadline)
            for _ in range(count):
                if holder.take(account):
                    sent.append(now)
                else:
                    holder.begin_wait(account)
                    waiting[number].append(now + member.GRANT_SECONDS)
                    due[number] = min(due[number], now + step)
        now += step
    return sent, refused


def test_waves_within_the_rate_are_not_refused():
    # Waves of the recorded load: 1.87 times the mean for 2.4 s of 5.8 s.
    mean = ACCOUNT.rate / 1.6
    sent, refused = replay(
        lambda now: mean * (1.87 if now % 5.8 > 3.4 else 0.383)
    )
    assert not refused


def test_small_account_is_not_refused_on_any_host():
    # What other hosts hold ahead must not eat up a small burst.
    small = model.Account('s', ('k',), rate=3.0, burst=3.0)
    sent, refused = replay(lambda now: 1.5, seconds=60.0, account=small)
    assert refused <= 0.01 * len(sent)


def test_account_far_beyond_its_rate_stays_within_the_bound():
    sent, refused = replay(lambda now: 10 * ACCOUNT.rate)
    assert get_worst(sent, TOLERANCE.window) <= get_bound(ACCOUNT)
    assert len(sent) >= 0.9 * 20 * ACCOUNT.rate
    assert refused


@pytest.mark.parametrize('seed', range(5))
def test_new_leader_stays_within_the_bound(seed):
    # The successor does not know what was granted before.
    sent, _ = replay(lambda now: 10 * ACCOUNT.rate, lost=[8.0], seed=seed)
    assert get_worst(sent, TOLERANCE.window) <= get_bound(ACCOUNT)


def test_loss_of_the_leader_refuses_little_within_the_rate():
    mean = ACCOUNT.rate / 1.6
    sent, refused = replay(lambda now: mean, lost=[8.0])
    assert refused <= 0.05 * len(sent)


def test_account_without_a_limit_is_not_counted():
    account = model.Account('free', ('k',))
    assert quota.Holder().take(account)
    assert quota.Owner().grant(account, 5.0, 0.0) == 5.0


def test_lowered_rate_binds_at_once():
    owner = quota.Owner(TOLERANCE)
    owner.grant(ACCOUNT, 1.0, 0.0)
    lower = model.Account('a', ('k',), rate=2.0, burst=2.0)
    assert owner.grant(lower, 100.0, 1.0) <= 2.0


@pytest.mark.parametrize('lost', [(), (5.0,)])
def test_many_hosts_do_not_hold_a_small_burst_idle(lost):
    # 23 hosts kept up to two requests each of a burst of four; 23 of 100
    # requests were refused, and all the more after the loss of a leader.
    account = model.Account('s', ('k',), rate=4.0, burst=4.0)
    mean = account.rate / 1.6
    played = [
        replay(
            lambda now: mean * (1.87 if now % 5.8 > 3.4 else 0.383),
            seconds=40.0,
            account=account,
            lost=lost,
            seed=seed,
            hosts=23,
            step=0.02,
        )
        for seed in range(5)
    ]
    refused = sum(refused for _, refused in played)
    sent = sum(len(sent) for sent, _ in played)
    assert refused <= 0.1 * sent
    for times, _ in played:
        assert get_worst(times, TOLERANCE.window) <= get_bound(account)
