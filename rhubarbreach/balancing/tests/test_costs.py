"""Tests of the prediction of costs."""

import random

import pytest

from rhubarbreach.balancing import costs
from rhubarbreach.balancing import prompts

PARTS = (costs.Part('system', 400), costs.Part('mine', 50))


@pytest.fixture
def model():
    return costs.CostModel()


def learn(model, account, parts, events, count=60, hint=None):
    statement = costs.Statement(450, 256, parts, hint)
    for _ in range(count):
        model.learn(model.predict('chat', account, statement), events)


def test_answers_of_an_account_are_predicted_from_its_own(model):
    """Guards against one mean for accounts with short and long answers."""
    learn(model, 'short', (), 18)
    learn(model, 'long', (), 123)
    short, long = (
        model.predict('chat', account, None).events
        for account in ('short', 'long')
    )
    assert short < 40 and long > 90
    unknown = model.predict('chat', 'new', None).events
    assert short < unknown < long


def test_shared_part_tells_more_than_the_account(model):
    """Guards against mixing two applications of one account."""
    other = (costs.Part('other', 400), costs.Part('mine', 50))
    for _ in range(8):
        learn(model, 'a', PARTS, 20, 10)
        learn(model, 'a', other, 100, 10)
    statements = [costs.Statement(450, 256, p) for p in (PARTS, other)]
    few, many = (model.predict('chat', 'a', s).events for s in statements)
    assert few < 40 and many > 70


@pytest.mark.parametrize(('noise', 'is_used'), [(0.1, True), (3.0, False)])
def test_hint_counts_as_far_as_hints_were_right(model, noise, is_used):
    """Guards against trust in hints that are far off."""
    rng = random.Random(3)
    for _ in range(400):
        events = rng.lognormvariate(3, 0.6)
        hint = max(1, round(events * 11 * rng.lognormvariate(0, noise)))
        statement = costs.Statement(450, 2000, (), hint)
        model.learn(model.predict('chat', 'a', statement), round(events) + 1)
    usual = model.predict('chat', 'a', costs.Statement(450, 2000)).events
    hinted = model.predict(
        'chat', 'a', costs.Statement(450, 2000, (), round(usual * 3 * 11))
    ).events
    assert (hinted > 2 * usual) == is_used
    # A single hint never decides alone.
    absurd = costs.Statement(450, 2000, (), 10**9)
    assert model.predict('chat', 'a', absurd).events <= 4.1 * usual


def test_memory_of_the_model_is_bounded(model):
    """Guards against callers that invent parts of prompts without end."""
    for number in range(3 * costs.MAX_GROUPS):
        parts = (costs.Part(f'p{number}', 9), costs.Part('', 1))
        learn(model, f'a{number}', parts, 5, 1, hint=9)
    assert len(model.groups.entries) <= costs.MAX_GROUPS
    assert len(model.ratios.entries) <= costs.MAX_GROUPS


def test_statement_without_parts_or_answers_has_a_cost(model):
    """Guards against requests that cannot be placed before any was seen."""
    cost = model.predict('chat', '', costs.Statement(20, 64), 0.3, 4096)
    assert cost.prompt_tokens == 20 and cost.held_tokens == 84
    assert cost.events > 0 and cost.deviation > 0
    assert not model.predict('chat', '', None).is_stated


def make_cost(*parts, capacity=1000):
    tokens = sum(part.tokens for part in parts)
    return costs.Cost(
        tokens,
        tokens,
        1.0,
        1.0,
        parts,
        capacity,
        chains=costs.hash_chains(parts),
    )


def test_only_a_cached_beginning_is_not_read_again():
    """Guards against parts counted as cached behind one that is not."""
    cached = prompts.CachedPrompts()
    a, b, c = (costs.Part(name, 100) for name in 'abc')
    cached.record(make_cost(a, b))
    assert cached.count_unread(make_cost(a, b, c)) == 100
    assert cached.count_unread(make_cost(b, a)) == 200
    assert cached.count_unread(make_cost(c, b)) == 200


def test_least_recently_used_parts_are_evicted():
    """Guards against endpoints preferred for prompts they have forgotten."""
    cached = prompts.CachedPrompts()
    many = [costs.Part(f'p{n}', 100) for n in range(12)]
    for part in many:
        cached.record(make_cost(part))
    assert cached.count_unread(make_cost(many[0])) == 100
    assert cached.count_unread(make_cost(many[-1])) == 0
    assert cached.tokens <= 1000
    for number in range(2 * prompts.MAX_PARTS):
        cached.record(make_cost(costs.Part(f'q{number}', 0)))
    assert len(cached.chains) <= prompts.MAX_PARTS
