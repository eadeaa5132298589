"""Tests of slot leases and adaptive concurrency limits."""

import pytest

from rhubarbreach.limits import concurrency
from rhubarbreach.limits import home
from rhubarbreach.protocol import limitmessages

# Time in seconds by which the leases of a former home host have ended.
START = 5.0


def make_use(online=0, waiting=0, batch=0, wanted=0, **fields):
    """Return a report of one host."""
    return limitmessages.SlotUse(
        'e', online, waiting, batch, wanted, 0.0, 0.0, **fields
    )


@pytest.fixture
def allocator():
    """Return an allocator with a limit of 16 slots."""
    result = home.SlotAllocator('e', 0.0)
    result.limit.set_reported_slots(16)
    return result


def test_leases_never_exceed_the_limit(allocator):
    """All hosts together must not fill an engine beyond its limit."""
    leased = {}
    for step in range(40):
        host = f'h{step % 4}'
        batch = leased.get(host, home.Slots(0, 0, 0)).batch
        use = make_use(online=step % 3, batch=batch, wanted=20)
        leased[host] = allocator.handle_report(host, use, START + step * 0.1)
        total = sum(s.online + s.batch for s in leased.values())
        assert total <= 16 + 3 * 2
    assert sum(s.batch for s in leased.values()) >= 6


def test_batch_gets_nothing_before_former_leases_end(allocator):
    """A new home host must not lease slots its predecessor has leased."""
    slots = allocator.handle_report('h', make_use(wanted=9), 0.5)
    assert slots.batch == 0
    assert allocator.handle_report('h', make_use(wanted=9), START).batch > 0


def test_new_home_host_leaves_running_batch_items_alone(allocator):
    """Batch items must not end because another host leases the slots."""
    slots = allocator.handle_report('a', make_use(batch=10, wanted=3), 0.5)
    assert slots.batch == 10
    allocator.handle_report('b', make_use(online=9), 0.6)
    slots = allocator.handle_report('a', make_use(batch=10, wanted=3), 0.7)
    assert slots.batch == 7


def test_online_takes_slots_back_only_beyond_the_limit(allocator):
    """Running batch items must be kept while the limit allows it."""
    allocator.handle_report('a', make_use(batch=10), START)
    allocator.handle_report('b', make_use(online=4), START)
    kept = allocator.handle_report('a', make_use(batch=10), START + 0.1)
    assert kept.batch == 10
    allocator.handle_report('b', make_use(online=9), START + 0.2)
    reduced = allocator.handle_report('a', make_use(batch=10), START + 0.3)
    assert reduced.batch == 7


def test_lost_host_gives_its_slots_back(allocator):
    """Slots of a lost host must become available when its lease ends."""
    allocator.handle_report('a', make_use(batch=14, wanted=14), START)
    before = allocator.handle_report('b', make_use(wanted=9), START + 0.1)
    after = allocator.handle_report('b', make_use(wanted=9), START + 1.3)
    assert before.batch <= 2 < after.batch


def test_suspect_gets_exclusive_use_of_an_endpoint(allocator):
    """A crash suspect must not run beside requests of other hosts."""
    allocator.handle_report('b', make_use(online=2), START)
    exclusive = make_use(alone=True)
    assert not allocator.handle_report('a', exclusive, START + 0.1).exclusive
    slots = allocator.handle_report('b', make_use(online=0), START + 0.2)
    assert slots.online == slots.batch == 0
    assert allocator.handle_report('a', exclusive, START + 0.3).exclusive


def test_limit_falls_with_latency_and_recovers():
    """A limit must follow the inter-token latency in both directions."""
    limit = concurrency.ConcurrencyLimit()
    now = 0.0

    def observe_windows(inter_token, windows):
        nonlocal now
        for _ in range(windows):
            now += 0.6
            limit.observe(0.1, inter_token)
            limit.update(limit.get(), now)

    observe_windows(0.02, 20)
    high = limit.get()
    assert high > concurrency.DEFAULT.start
    observe_windows(0.2, 20)
    low = limit.get()
    assert low < high / 2
    observe_windows(0.02, 5)
    assert limit.get() > low
