"""Fixtures with jobs, items and reports."""

import itertools
import types

import pytest

from rhubarbreach.backlog import assignments
from rhubarbreach.backlog import commands
from rhubarbreach.fleet import choice
from rhubarbreach.protocol import workmessages


@pytest.fixture
def make_report():
    """Return a function that makes the report of a store."""

    def make(*runs, zone='z1', takes_orders=True):
        return workmessages.WorkReport(zone, takes_orders, tuple(runs))

    return make


@pytest.fixture
def make_run():
    """Return a function that makes the report of a run."""

    def make(item_id, first, *texts, order=1, begun=0, outcome=''):
        return workmessages.RunReport(
            f'o{order}',
            'job',
            item_id,
            'e1',
            first,
            texts,
            begun,
            1.0,
            outcome,
        )

    return make


class FakeLeader:
    """Assignments of a leader with two items and two endpoints.

    By item key, `committed` holds the events in the ledger, `sources` the
    source of the last one, and `versions` their software version. Orders have
    the ids o1, o2 and so on.
    """

    def __init__(self):
        self.committed = {}
        self.sources = {}
        self.versions = {}
        numbers = itertools.count(1)
        self.assignments = assignments.Assignments(
            self.load, lambda: f'o{next(numbers)}'
        )
        self.job = types.SimpleNamespace(
            job_id='job', account='a', max_attempts=3
        )
        self.destination = assignments.Destination('s', 'h')
        self.items = {
            name: commands.Item(name, '/p/', (), b'', 10) for name in 'ab'
        }
        self.open_items = {
            ('job', name): (self.job, item, self.destination)
            for name, item in self.items.items()
        }
        self.endpoints = {
            f'e{n}': choice.Endpoint(f'e{n}', 's', f'{n}:1', f'z{n}', 8)
            for n in (1, 2)
        }

    def load(self, key):
        texts = list(self.committed.get(key, ()))
        sources = [self.sources[key]] if key in self.sources else []
        return assignments.Progress(
            texts,
            sources,
            committed=len(texts),
            software_version=self.versions.get(key, ''),
        )

    def receive(self, worker_id, message, now=0.0):
        return self.assignments.handle_report(
            worker_id, message, self.open_items, self.endpoints.get, now
        )

    def assign(self, name, endpoint='e1', now=0.0):
        return self.assignments.assign(
            self.job,
            self.items[name],
            self.endpoints[endpoint],
            self.destination,
            now,
        )


@pytest.fixture
def leader():
    return FakeLeader()
