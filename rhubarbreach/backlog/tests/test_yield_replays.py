"""Replays of load peaks under the policy of b218eb7 and the present one."""

import functools

import pytest

from rhubarbreach.backlog import plan
from rhubarbreach.backlog import policy
from rhubarbreach.backlog.tests import baseline
from rhubarbreach.backlog.tests import replay

SEEDS = (1, 2)


class Policy(policy.YieldPolicy):
    """Yields ahead of demand, in the order of the planner's step."""

    def step(self, waiting, running, slots, estimator, now):
        kept, reasons = self.plan(waiting, running, slots, estimator, now)
        starts = plan.plan_starts(waiting, slots, None, kept)
        started = {item.key for item, _ in starts}
        unplaced = plan.list_unplaced(waiting, started, kept)
        for key in plan.plan_displacements(running, unplaced, kept):
            reasons.setdefault(key, 'displaced')
        return starts, reasons


@functools.cache
def play(is_baseline, **options):
    """Return the sums of several seeds under a policy."""
    total = replay.Outcome()
    for seed in SEEDS:
        chosen = baseline.BaselinePolicy() if is_baseline else Policy()
        outcome = replay.replay(replay.Load(seed=seed, **options), chosen)
        for name in ('online', 'late', 'waited', 'submitted', 'in_time'):
            new = getattr(total, name) + getattr(outcome, name)
            setattr(total, name, new)
        total.cuts.update(outcome.cuts)
        total.kept.append(sum(outcome.kept) / len(outcome.kept))
    return total


@pytest.mark.parametrize(
    ('options', 'throughput'),
    [
        ({'items': 0.4}, 0.95),
        ({'items': 0.6}, 0.95),
        # More items than the slots complete in time.
        ({'items': 0.85}, 0.9),
        ({'items': 0.4, 'endpoints': 30, 'hosts': 26, 'seconds': 30.0}, 0.95),
    ],
)
def test_requests_wait_for_items_less_often(options, throughput):
    """Guards against peaks whose requests queue behind items.

    Items in time may drop by a twentieth, a tenth under overload, and late
    requests grow by no more than chance: a third of a percent of all. Nearly
    all of these wait for other online requests under both policies.
    """
    before = play(True, **options)
    after = play(False, **options)
    assert before.online == after.online
    assert after.waited <= before.waited * 0.7
    assert after.late <= before.late + before.online / 300
    assert after.cuts.total() < before.cuts.total()
    assert after.in_time >= before.in_time * throughput


def test_items_use_all_slots_without_online_requests():
    """Guards against a reserve for requests that do not come."""
    options = {'quiet': 0.0, 'peak': 0.0, 'items': 1.2}
    before = play(True, **options)
    after = play(False, **options)
    assert after.in_time >= before.in_time * 0.95


def test_steady_load_keeps_about_the_former_reserve():
    """Guards against a reserve for growth that steady load does not have."""
    options = {'quiet': 0.5, 'peak': 0.5, 'items': 0.5}
    before = play(True, **options)
    after = play(False, **options)
    # Half a slot of each endpoint more than before.
    assert sum(after.kept) <= sum(before.kept) + len(SEEDS) * 5
    assert after.in_time >= before.in_time * 0.95
