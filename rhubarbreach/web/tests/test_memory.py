"""Tests of the bound on the bytes that messages hold together."""

import random

import pytest

from rhubarbreach.web import errors
from rhubarbreach.web import memory


@pytest.fixture
def pool():
    """Return a pool of 1 MB."""
    return memory.MemoryPool(1_000_000)


@pytest.fixture
def open_response(pool):
    """Return a function that opens a response which can be ended.

    The list `ended` of the function holds the responses that were ended.
    """

    def open_holding():
        holding = pool.open(lambda: open_holding.ended.append(holding))
        return holding

    open_holding.ended = []
    return open_holding


def test_response_without_end_leaves_the_others_alone(pool, open_response):
    # Each response had a limit of its own, and twenty filled the host.
    sound = [open_response() for _ in range(10)]
    for holding in sound:
        holding.resize(50_000)
    endless = open_response()
    endless.resize(499_000)
    sound[0].resize(60_000)
    assert open_response.ended == [endless]
    with pytest.raises(errors.BadMessageError):
        endless.resize(500_000)
    assert pool.used_bytes == 510_000


def test_growing_response_ends_itself_if_it_is_the_largest(
    pool, open_response
):
    small, large = open_response(), open_response()
    small.resize(300_000)
    with pytest.raises(errors.BadMessageError):
        large.resize(800_000)
    assert not open_response.ended
    assert pool.used_bytes == 300_000


def test_request_that_does_not_fit_is_refused_and_others_go_on(pool):
    # Callers of the others are already served.
    first, second = pool.open(), pool.open()
    first.resize(900_000)
    with pytest.raises(errors.BadMessageError) as refused:
        second.resize(200_000)
    assert refused.value.status == 503
    first.resize(950_000)
    first.close()
    pool.open().resize(900_000)


def test_bytes_of_all_messages_are_returned(pool, open_response):
    source = random.Random(7)
    holdings = [open_response() for _ in range(30)]
    for _ in range(3000):
        holding = source.choice(holdings)
        try:
            holding.resize(source.randrange(200_000))
        except errors.BadMessageError:
            holdings.remove(holding)
            holdings.append(open_response())
        assert pool.used_bytes == sum(h.size for h in pool.holdings)
        assert pool.used_bytes <= pool.max_bytes
    for holding in holdings:
        holding.close()
    assert (pool.used_bytes, pool.holdings) == (0, set())


def test_pool_shrinks_with_the_memory_that_others_take():
    """Guards against messages that take what accepted jobs need."""
    shares = [1.0]
    pool = memory.MemoryPool(
        1_000_000, min_bytes=100_000, find_share=lambda: shares[0]
    )
    holding = pool.open(lambda: None)
    holding.resize(900_000)
    shares[0] = 0.3
    with pytest.raises(errors.BadMessageError):
        holding.resize(900_001)
    assert pool.limit == 300_000
    shares[0] = 0.0
    pool.open(lambda: None).resize(100_000)
    assert pool.limit == 100_000
