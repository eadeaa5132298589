"""Tests of the rate limiter over loopback links."""

import dataclasses
import time

import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.consensus.tests import ports
from rhubarbreach.limits import shares
from rhubarbreach.limits import shareset
from rhubarbreach.protocol import link
from rhubarbreach import rendezvous
from rhubarbreach.state import model

NAMES = ('h0', 'h1', 'h2')
WAIT = 20


@dataclasses.dataclass
class View:
    """Configuration view that is always valid."""

    snapshot: model.Config
    valid_until: float = float('inf')


class Members:
    """Membership with a fixed set of hosts."""

    def owners(self, name, count, region):
        """Return the owners of a name."""
        return rendezvous.rank_hosts(name, NAMES, count)


@pytest.fixture
def limiters():
    """Return the rate limiters of three hosts."""
    addresses = {name: ports.find_address() for name in NAMES}
    account = model.Account('a', 5.0, 20.0)
    view = View(model.Config(1, (account,), share_epoch=1, share_hosts=NAMES))
    links = [link.Link(n, addresses[n], addresses, None) for n in NAMES]
    rate_limiters = [
        shares.RateLimiter(host_link.host_id, 'r', view, Members(), host_link)
        for host_link in links
    ]
    for limiter in rate_limiters:
        limiter.start()
    yield rate_limiters
    for limiter in rate_limiters:
        limiter.close()
    for host_link in links:
        host_link.close()


def test_burst_is_admitted_once_over_all_hosts(limiters):
    """All hosts together must admit the whole burst but no more."""
    time.sleep(9.0)
    started = clock.monotonic()
    results = [
        limiters[i % 3].acquire('a', 1.0, clock.monotonic()) for i in range(60)
    ]
    admitted = sum(result is None for result in results)
    elapsed = clock.monotonic() - started
    assert 15 <= admitted <= 20 + 5 * elapsed * 1.01 + 1e-6
    refused = [result for result in results if result is not None]
    assert {r.code for r in refused} == {codes.ResultCode.RATE_EXCEEDED}
    assert all(r.retry_after > 0 for r in refused)


def test_host_leaves_the_set_only_when_it_cannot_spend():
    """Other hosts must not use a share while its host may still spend it."""
    config = model.Config(1, share_epoch=1, share_hosts=NAMES)
    alive = [shareset.HostState(n, True, 0.0, 100.0) for n in NAMES[:2]]
    lost = shareset.HostState('h2', False, 20.0, 22.0)

    def propose(now, converged=True):
        return shareset.propose_share_set(
            config, [*alive, lost], 0.0, converged, now
        )

    assert propose(24.9) is None
    assert propose(30.0, converged=False) is None
    assert propose(30.0) == model.SetShareSet(1, ('h0', 'h1'))
