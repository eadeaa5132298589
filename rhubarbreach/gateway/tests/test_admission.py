"""Tests of the order and the refusals of waiting requests."""

import pytest

from rhubarbreach import codes
from rhubarbreach.gateway import admission
from rhubarbreach.gateway import slot_rate

OBJECTIVE = 0.3
DEADLINE = 3.0


def make_service(free=0, **changes):
    values = {
        'slots': 80,
        'free': free,
        'run_seconds': 0.5,
        'age': 0.05,
        'hosts': 4,
        'waiting': 0,
        'exceeding': {},
    }
    return admission.Service(**(values | changes))


def make_waiter(number, account='a', arrived_at=0.0, returned=False, rank=0.5):
    limits = admission.compute_limits(
        arrived_at, OBJECTIVE, DEADLINE, returned
    )
    return admission.Waiter(number, account, limits, returned, rank)


def draw_low(low, high):
    return low


@pytest.fixture
def queue():
    return admission.AdmissionQueue()


@pytest.fixture
def step(queue):
    """Return a function that makes a step with some free slots."""

    def make_step(service, now, slots=0, released=None, draw=draw_low):
        free = [f'e{n}' for n in range(slots)]

        def acquire(waiter, endpoint_id):
            if free:
                return free.pop()
            return codes.Refusal(codes.ResultCode.QUEUE_FULL, 'full')

        results = queue.step(service, acquire, now, draw, released)
        sent = [w.number for w, r in results if isinstance(r, str)]
        refused = {
            w.number: r for w, r in results if isinstance(r, codes.Refusal)
        }
        return sent, refused

    return make_step


def test_order_of_waiting_requests(queue, step):
    """Guards against late work and large accounts before all others.

    Requests that came back go before new ones, and the one with the least time
    goes first.
    """
    waiters = [
        make_waiter(0, 'large', rank=0.1),
        make_waiter(1, arrived_at=0.02),
        make_waiter(2, arrived_at=0.01),
        make_waiter(3, arrived_at=0.03, returned=True),
        make_waiter(4, arrived_at=-0.3, returned=True),
        make_waiter(5, 'large', arrived_at=0.04, rank=0.9),
    ]
    for waiter in waiters:
        queue.add(waiter, 0.04)
    queue.exceeding = {'large': 0.5}
    ordered = [waiter.number for waiter in queue.list_ordered(0.05)]
    assert ordered == [3, 2, 1, 5, 0, 4]


def test_request_within_its_share_passes_those_of_another_account(queue, step):
    """Guards against an account that fills the queue of a host."""
    service = make_service(exceeding={'large': 0.8})
    for number in range(6):
        queue.add(make_waiter(number, 'large', rank=number / 10), 0.0)
    queue.add(make_waiter(9, 'small', arrived_at=0.02), 0.02)
    assert step(service, 0.02, 1, released='e0')[0] == [9]
    assert 9 not in queue.waiters


def test_share_of_an_account_that_exceeds_it_stays_its_own():
    """Guards against starvation of an account that the leader has named."""
    ranks = admission.Ranks()
    exceeding = {'large': 0.75}
    waiters = [
        make_waiter(n, 'large', rank=ranks.draw('large')) for n in range(40)
    ]
    within = [not admission.is_exceeding(w, exceeding) for w in waiters]
    assert 8 <= sum(within) <= 12
    # Each host sees few requests of an account.
    assert all(sum(within[n : n + 8]) >= 1 for n in range(0, 40, 8))


def test_request_is_refused_once_it_cannot_begin_in_time(queue, step):
    """Guards against requests that are held although nobody serves them."""
    service = make_service()
    queue.add(make_waiter(0), 0.0)
    assert step(service, 0.0) == ([], {})
    _, refused = step(service, 0.75 * OBJECTIVE)
    assert refused[0].code == codes.ResultCode.QUEUE_FULL
    assert refused[0].ran == codes.Ran.NO
    assert refused[0].retry_after > 0
    assert not queue.waiters


def test_request_behind_a_long_queue_is_refused_at_once(queue, step):
    """Guards against refusals too late for a second attempt."""
    service = make_service()
    for number in range(20):
        queue.add(make_waiter(number), 0.0)
    _, refused = step(service, 0.0)
    # A host gets 40 slots a second, and a request waits 0.225 s at most.
    assert set(refused) == set(range(9, 20))


def test_request_beyond_its_share_is_refused_within_a_quarter(queue, step):
    """Guards against refusals too late for a second attempt."""
    service = make_service(exceeding={'a': 1.0}, waiting=5)
    queue.add(make_waiter(0), 0.0)
    assert step(service, 0.0, 1, released='e0') == ([], {})
    assert set(step(service, 0.25 * OBJECTIVE)[1]) == {0}


def test_retried_request_waits_for_an_idle_slot_when_it_is_late(queue, step):
    """Guards against a second refusal of a request that could be served."""
    service = make_service()
    queue.add(make_waiter(0, returned=True), 0.0)
    assert step(service, 2 * OBJECTIVE) == ([], {})
    assert step(service, 2.1 * OBJECTIVE, 1, released='e0')[0] == [0]


def test_request_that_no_endpoint_serves_is_not_held(queue):
    """Guards against requests that wait although no endpoint is left."""
    refusal = codes.Refusal(codes.ResultCode.NO_ENDPOINT, 'none')
    queue.add(make_waiter(0), 0.0)
    service = make_service(free=80)
    results = queue.step(service, lambda *_: refusal, 0.0, draw_low)
    assert [result for _, result in results] == [refusal]


def test_hosts_share_the_free_slots_that_all_of_them_see(queue, step):
    """Guards against all hosts that send their requests to one free slot."""
    queue.add(make_waiter(0), 0.0)
    service = make_service(free=2, waiting=20)
    assert not step(service, 0.0, 1, draw=lambda low, high: 0.11 * high)[0]
    assert step(service, 0.0, 1, draw=lambda low, high: 0.09 * high)[0] == [0]
    queue.add(make_waiter(1), 0.0)
    # A slot of this host is not shared, and neither are many free slots.
    assert step(service, 0.0, 1, released='e0')[0] == [1]
    queue.add(make_waiter(2), 0.0)
    service = make_service(free=41, waiting=400)
    assert step(service, 0.0, 1, draw=lambda low, high: high)[0] == [2]


def test_host_without_loads_sends_its_share():
    """Guards against engines that all hosts fill after a power loss."""
    slots = 360
    first = admission.compute_slot_share(slots, 1, 0.0)
    assert first * 26 <= slots
    assert admission.compute_slot_share(slots, 26, 0.2) == slots // 26
    assert admission.compute_slot_share(8, 58, 0.2) == 1


def test_refused_callers_return_as_the_backlog_drains():
    """Guards against refused callers that return together, or too early."""
    backlog = slot_rate.Backlog()
    seconds = [
        backlog.draw_retry_after(2, 20.0, 0.0, draw_low) for _ in range(60)
    ]
    assert seconds == sorted(seconds)
    assert seconds[0] == slot_rate.MIN_RETRY_SECONDS
    assert seconds[30] == pytest.approx((2 + 31) / 20.0)
    assert max(seconds) <= slot_rate.MAX_RETRY_SECONDS
    assert backlog.draw_retry_after(0, 20.0, 10.0, draw_low) < 1.0
    # New requests leave fewer slots for them.
    busy = slot_rate.Backlog()
    for _ in range(10):
        busy.record_arrival(0.0, 20.0)
    later = [busy.draw_retry_after(2, 20.0, 0.0, draw_low) for _ in range(30)]
    assert later[15] == pytest.approx(2 * seconds[15])


def test_rate_of_slots_follows_what_the_host_gets():
    """Guards against requests that wait for slots that other hosts get."""
    rate = slot_rate.SlotRate()
    assert rate.get_rate(10.0) == 10.0
    for tick in range(100):
        rate.advance(tick / 20, True)
        if tick % 10 == 0:
            rate.record_start()
    assert 3.0 < rate.get_rate(10.0) < 7.0


def test_requests_wait_no_longer_when_all_endpoints_are_gone(queue):
    """Guards against connections that fail as no slot can become free.

    A store group that has just started may know no endpoint yet.
    """
    queue.add(make_waiter(1), 0.0)
    gone = make_service(slots=0, run_seconds=None)
    refused = queue.refuse(gone, 0.01, draw_low)
    assert [waiter.number for waiter, _ in refused] == [1]


def test_request_beyond_its_share_holds_up_no_late_one(queue, step):
    """Guards against slots that stay idle beside an account in excess.

    A late request comes after one beyond its share in the order, and is itself
    the reason why that one may not take the slot.
    """
    service = make_service(exceeding={'big': 0.9}, waiting=1)
    queue.add(make_waiter(1, 'small', arrived_at=-0.4, returned=True), 0.0)
    queue.add(make_waiter(2, 'big', arrived_at=0.0, rank=0.1), 0.0)
    sent, _ = step(service, 0.01, slots=1, released='e0')
    assert sent == [1]


def test_no_request_is_refused_by_estimate_while_slots_are_free(queue):
    """Guards against refusals of small services at large fleets."""
    queue.add(make_waiter(1), 0.0)
    service = make_service(free=20, slots=48, hosts=66, run_seconds=1.0)
    assert queue.refuse(service, 0.01, draw_low) == []
    service = make_service(free=0, slots=48, hosts=66, run_seconds=1.0)
    assert len(queue.refuse(service, 0.01, draw_low)) == 1
