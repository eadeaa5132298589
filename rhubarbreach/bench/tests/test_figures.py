"""Tests of the figures and rule checks of the bench and the demo."""

import pytest

from rhubarbreach.bench import figures
from rhubarbreach.bench import load
from rhubarbreach.bench import rules
from rhubarbreach.emulator import runs


def make_sample(sent_at, code=0, **fields):
    arrival = load.Arrival(0.0, 'a', 'k', '/v1/completions', 'p', 4)
    status = 429 if code else 200
    fields.setdefault('not_run', True if code else None)
    return load.Sample(arrival, sent_at, status, code, **fields)


def test_rate_excess_is_that_of_the_worst_window():
    """Guards against a rate check that cannot fail."""
    within = [make_sample(0.0, first_token=0.1) for _ in range(5)]
    assert figures.compute_rate_excess(within, 1.0, 5.0) == 0
    beyond = [*within, *(make_sample(1.0, first_token=0.1) for _ in 'xyz')]
    assert figures.compute_rate_excess(beyond, 1.0, 5.0) == pytest.approx(1.9)


def test_refused_requests_do_not_count_for_the_rate():
    """Guards against refused requests that are counted as rate excess."""
    samples = [make_sample(0.0, figures.RATE_EXCEEDED) for _ in range(9)]
    assert figures.compute_rate_excess(samples, 1.0, 1.0) == 0


def test_fair_shares_fill_small_demands_first():
    """Guards against a fair share above an account's demand."""
    shares = figures.compute_fair_shares(
        {'a': 10, 'b': 100, 'c': 100}, {'a': 1, 'b': 1, 'c': 2}, 100
    )
    assert shares == {'a': 10, 'b': 30, 'c': 60}


def test_worst_share_is_that_of_the_starved_account():
    """Guards against an average that hides a starved account."""
    worst = figures.compute_worst_share(
        {'a': 5, 'b': 95}, {'a': 50, 'b': 95}, {'a': 1, 'b': 1}
    )
    assert worst == pytest.approx(0.1)


def test_ideal_bucket_refills_up_to_the_burst():
    """Guards against justified refusals that are counted as wrongful."""
    times = [0.0, 0.0, 0.0, 10.0, 10.0, 10.0]
    assert figures.count_ideal_admissions(times, 1.0, 2.0) == 4


def make_run(event='started', digest='d', saw_key=False):
    return runs.Run(event, 'e', 'r1', 'a1', '/swaps', digest, saw_key)


def test_each_rule_check_can_fail():
    """Guards against checks that pass regardless of their input."""
    incomplete = make_sample(0.0, tokens=2, request_id='r1')
    wrongly_not_run = make_sample(0.0, 143, not_run=True, request_id='r1')
    recorded = [make_run(), make_run(saw_key=True)]
    results = rules.check_rules(
        [incomplete, wrongly_not_run], recorded, (), ('/swaps',)
    )
    assert [len(result.violations) for result in results] == [1, 1, 1, 1, 0]
