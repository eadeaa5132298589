"""Tests that concurrent calls on the configuration are linearizable."""

import concurrent.futures
import random

import hypothesis
from hypothesis import strategies
import pytest

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution.tests import fleet
from rhubarbreach.operators.tests import histories
from rhubarbreach.operators.tests import stores
from rhubarbreach.state import config
from rhubarbreach.state import model

HOSTS = (*stores.STORES, 'entry')
EXAMPLES = 4
CALL_TIMEOUT_SECONDS = 10.0


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    cluster = stores.RealFleet(
        tmp_path_factory.mktemp('stores'), {'entry': stores.STORES}
    )
    with cluster.stack:
        cluster.find_leader()
        assert fleet.wait_until(lambda: cluster.hosts['entry'].view.ready)
        yield cluster


class Client:
    """Operator connected to one host, whose calls are recorded."""

    def __init__(self, cluster, name, label):
        self.provider = cluster.get_provider(name)
        self.label = label
        self.calls = []
        self.revision = 0

    def read(self):
        started = clock.monotonic()
        config_read = self.provider.read_config(started + CALL_TIMEOUT_SECONDS)
        if isinstance(config_read, codes.Refusal):
            return
        self.revision = config_read.revision
        self.calls.append(
            histories.Call(
                started,
                clock.monotonic(),
                code=0,
                revision=config_read.revision,
                accounts=config_read.accounts,
            )
        )

    def put(self, number, step, conditional):
        """Send a change; at odd steps twice with the same operation id."""
        account = model.Account(f'a-{number}', step + 1.0, 1.0)
        change = model.PutAccount(account)
        expected = self.revision if conditional else None
        command = model.encode_request(
            f'{self.label}-{step}', expected, change
        )
        started = clock.monotonic()
        for _ in range(1 + step % 2):
            outcome = self.provider.propose(
                command, started + CALL_TIMEOUT_SECONDS
            )
        code, revision = None, 0
        if not isinstance(outcome, codes.Refusal):
            result = model.decode_result(outcome)
            code, revision = result.code, result.revision
        self.calls.append(
            histories.Call(
                started, clock.monotonic(), change, expected, code, revision
            )
        )

    def run(self, steps):
        for index, step in enumerate(steps):
            match step:
                case (number, conditional):
                    self.put(number, index, conditional)
                case None:
                    self.read()


def make_fault(seed):
    """Return a link fault that drops, duplicates and delays messages."""
    rng = random.Random(seed)

    def fault(sender_id, receiver_id, message):
        draw = rng.random()
        if draw < 0.01:
            return []
        if draw < 0.06:
            return [0, 0.02]
        return [0.03] if draw < 0.1 else [0]

    return fault


STEPS = strategies.lists(
    strategies.one_of(
        strategies.none(),
        strategies.tuples(strategies.integers(0, 2), strategies.booleans()),
    ),
    min_size=4,
    max_size=12,
)


@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    derandomize=True,
    print_blob=True,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    strategies.tuples(*(STEPS for _ in HOSTS)),
    strategies.integers(0, 2**32),
    strategies.booleans(),
)
def test_concurrent_changes_and_reads_are_linearizable(
    cluster, programs, seed, transfer
):
    """Guards against lost, duplicate, reordered and stale operations."""
    cluster.operations += 1
    initial = cluster.get_provider('store-1').read_config(
        clock.monotonic() + 10
    )
    clients = [
        Client(cluster, name, f'{cluster.operations}-{name}') for name in HOSTS
    ]
    for host in cluster.hosts.values():
        host.link.set_fault(make_fault(seed))
    with concurrent.futures.ThreadPoolExecutor(len(HOSTS)) as executor:
        futures = [
            executor.submit(client.run, steps)
            for client, steps in zip(clients, programs, strict=True)
        ]
        if transfer:
            leader = cluster.hosts[cluster.find_leader()].store.group
            leader.transfer(stores.STORES[seed % len(stores.STORES)])
        for future in futures:
            future.result()
    for host in cluster.hosts.values():
        host.link.set_fault(None)
    calls = [call for client in clients for call in client.calls]
    assert histories.find_violations(calls, initial) == []


def make_change(started, ended, revision, expected=None, rate=1.0):
    change = model.PutAccount(model.Account('a', rate, 1.0))
    return histories.Call(started, ended, change, expected, 0, revision)


@pytest.mark.parametrize(
    'calls',
    [
        [make_change(0, 1, 1), make_change(0, 1, 1)],
        [make_change(0, 1, 2), make_change(2, 3, 1)],
        [make_change(0, 1, 1), histories.Call(2, 3, code=0)],
        [make_change(0, 1, 2)],
        [make_change(0, 1, 1), make_change(0, 1, 2, expected=0)],
        [make_change(0, 1, 1), histories.Call(2, 3, code=0, revision=1)],
    ],
)
def test_check_rejects_histories_that_are_not_linearizable(calls):
    """Guards against a check that accepts every history."""
    assert histories.find_violations(calls, config.Config())
