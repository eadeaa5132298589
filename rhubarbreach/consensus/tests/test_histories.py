"""Linearizability of concurrent histories under faults."""

import os
import threading

import hypothesis
from hypothesis import strategies
import pytest

from rhubarbreach import codes
from rhubarbreach.consensus.tests import cluster
from rhubarbreach.consensus.tests import faults
from rhubarbreach.consensus.tests import register

WORKERS = 4
SEED = int(os.environ.get('RHUBARBREACH_SEED', '1'))
EXAMPLES = int(os.environ.get('RHUBARBREACH_EXAMPLES', '3'))

SCHEDULES = strategies.lists(
    strategies.builds(
        faults.Fault,
        strategies.sampled_from(faults.KINDS),
        strategies.sampled_from(cluster.HOSTS),
        strategies.floats(0.1, 0.9),
    ),
    min_size=3,
    max_size=5,
)


def record_history(folder, schedule, seed):
    """Return the history of the workers during a schedule of faults."""
    random = cluster.make_random(seed)
    network = faults.Network(random)
    stop = threading.Event()
    with cluster.running(
        folder, machine_type=register.RegisterMachine, snapshot_entries=30
    ) as test_cluster:
        test_cluster.leader()
        test_cluster.set_fault(network)
        workers = [
            register.Worker(
                number, test_cluster, stop, cluster.make_random(seed + number)
            )
            for number in range(1, WORKERS + 1)
        ]
        try:
            for fault in schedule:
                faults.inject_fault(fault, test_cluster, network, folder)
        finally:
            stop.set()
            for worker in workers:
                worker.thread.join()
        for worker in workers:
            if worker.error is not None:
                raise worker.error
        result = test_cluster.propose(b'["last", "read", 0]')
        assert not isinstance(result, codes.Refusal), result
    return [operation for worker in workers for operation in worker.history]


@hypothesis.seed(SEED)
@hypothesis.settings(
    max_examples=EXAMPLES,
    deadline=None,
    database=None,
    print_blob=True,
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(SCHEDULES, strategies.integers(0, 10**6))
def test_histories_under_faults_are_linearizable(
    tmp_path_factory, schedule, seed
):
    """Guards against accepted commands being lost, repeated or reordered."""
    folder = tmp_path_factory.mktemp('history')
    print(f'schedule={schedule}')
    history = record_history(folder, schedule, seed)
    assert any(operation.result is not None for operation in history)
    assert register.is_linearizable(history)


def make_history(*rows):
    return [register.Operation(*row) for row in rows]


@pytest.mark.parametrize(
    'rows, expected',
    [
        ([(0, 1, True, 5, 0), (2, 3, False, 0, 5)], True),
        ([(0, 1, True, 5, 0), (2, 3, False, 0, 0)], False),
        ([(0, 4, True, 5, 0), (2, 3, False, 0, 0)], True),
        ([(0, register.NEVER, True, 5, None), (2, 3, False, 0, 5)], True),
        ([(0, register.NEVER, True, 5, None), (2, 3, False, 0, 0)], True),
        ([(0, 2, False, 0, 7), (3, 4, True, 7, 0)], False),
    ],
)
def test_checker_tells_histories_apart(rows, expected):
    """Guards against a linearizability check that accepts any history."""
    assert register.is_linearizable(make_history(*rows)) is expected
