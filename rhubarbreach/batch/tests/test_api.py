"""Tests of the HTTP routes of batch jobs."""

import json

import pytest
from werkzeug import routing
from werkzeug import test
from werkzeug import wrappers

from rhubarbreach.batch import access
from rhubarbreach.batch import api
from rhubarbreach.batch import runner
from rhubarbreach.batch import store
from rhubarbreach.batch.tests import fakes
from rhubarbreach.batch.tests import test_runner
from rhubarbreach.batch import upload
from rhubarbreach import codes
from rhubarbreach.observe import metrics


class Access:
    """Fake of `batch.access.Access`; a header names the account."""

    def identify(self, request):
        """Return the caller of a request."""
        account_id = request.headers.get('X-Account')
        if account_id is None:
            return codes.Refusal(codes.ResultCode.KEY_MISSING, 'no key')
        return access.Caller(account_id, 1.0)

    def find_route(self, caller, method, path):
        """Return the route of items."""
        if path != '/v1/chat/completions':
            return codes.Refusal(codes.ResultCode.ROUTE_UNKNOWN, 'no route')
        return upload.JobRoute('', True)

    def has_model(self, model_id):
        """Return whether a model is known."""
        return model_id == 'm'


class Application:
    """Fake of `entry.app.Application`."""

    def __init__(self):
        self.rules = routing.Map()
        self.handlers = {}

    def add_route(self, method, path, handler):
        """Add a route."""
        name = f'{method} {path}'
        self.handlers[name] = handler
        self.rules.add(routing.Rule(path, endpoint=name, methods=[method]))

    @wrappers.Request.application
    def __call__(self, request):
        name, _ = self.rules.bind_to_environ(request.environ).match()
        return self.handlers[name](request)


class Harness:
    """HTTP routes of batch jobs over state machines in this process."""

    def __init__(self):
        self.runner_harness = test_runner.Harness()
        self.stopped = []
        application = Application()
        api.BatchApi(
            self.runner_harness.store,
            Access(),
            test_runner.SETTINGS,
            lambda job_id, holders: self.stopped.append((job_id, holders)),
        ).add_routes(application)
        self.http = test.Client(application)

    def call(self, method, path, account_id='a', **fields):
        """Send a request and return status and body of the response."""
        headers = {'X-Account': account_id} | fields.pop('headers', {})
        response = self.http.open(
            '/v1/batches' + path, method=method, headers=headers, **fields
        )
        return response.status_code, response.get_data(as_text=True)

    def create(self, lines, key='k', account_id='a'):
        """Send a job and return status and decoded body of the response."""
        status, text = self.call(
            'POST',
            '',
            account_id,
            data=''.join(line + '\n' for line in lines),
            headers={'Idempotency-Key': key},
        )
        return status, json.loads(text)


@pytest.fixture
def harness():
    """Return a harness whose runners are closed after the test."""
    instance = Harness()
    yield instance
    for batch_runner in instance.runner_harness.runners:
        batch_runner.close()


def make_line(number, **fields):
    """Return one line of an upload."""
    line = {
        'custom_id': f'c{number}',
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {'model': 'm', 'text': 'ü' * number},
    }
    return json.dumps(line | fields)


def test_job_is_stored_run_and_read(harness):
    """Results must carry the custom ids of the upload, in its order.

    An equal upload must return the same job, and a different one under the
    same key must be refused.
    """
    lines = [make_line(number) for number in range(30)]
    status, job = harness.create(lines)
    assert (status, job['status']) == (200, 'running')
    assert harness.create(lines)[1]['id'] == job['id']
    assert harness.create(lines[1:])[0] == 409
    harness.runner_harness.start(fakes.FakeExecutor())
    harness.runner_harness.wait_state(job['id'])
    _, text = harness.call('GET', f'/{job["id"]}/results')
    rows = [json.loads(line) for line in text.splitlines()]
    assert [row['custom_id'] for row in rows] == [f'c{n}' for n in range(30)]
    assert rows[3]['response']['body'] == {'model': 'm', 'text': 'üüü'}
    assert harness.call('GET', f'/{job["id"]}/errors')[1] == ''
    listed = json.loads(harness.call('GET', '')[1])
    assert [entry['id'] for entry in listed['data']] == [job['id']]


def test_jobs_of_other_accounts_are_hidden(harness):
    """An account must neither see nor cancel jobs of another account."""
    job_id = harness.create([make_line(1)])[1]['id']
    for method, path in (
        ('GET', ''),
        ('GET', '/results'),
        ('POST', '/cancel'),
    ):
        assert harness.call(method, f'/{job_id}{path}', 'b')[0] == 404
    assert json.loads(harness.call('GET', '', 'b')[1])['data'] == []
    assert harness.create([make_line(2)], account_id='b')[0] == 200
    response = harness.http.get('/v1/batches')
    assert response.status_code == 401


@pytest.mark.parametrize(
    ('line', 'name', 'words'),
    [
        ('{"custom_id"', 'INVALID_JOB_LINE', 'line 2: '),
        (make_line(1), 'DUPLICATE_CUSTOM_ID', "line 2: custom_id 'c1'"),
        (make_line(2, body={}), 'INVALID_JOB_LINE', 'does not name a model'),
        (make_line(2, body=[1]), 'INVALID_JOB_LINE', 'line 2: '),
        (
            make_line(2, body={'model': 'm', 'stream': True}),
            'INVALID_JOB_LINE',
            'not supported in batch jobs',
        ),
        (make_line(2, url='/x'), 'INVALID_JOB_LINE', 'must be the same'),
        (make_line(2, custom_id=''), 'INVALID_JOB_LINE', 'characters'),
        (make_line(200_000), 'INVALID_JOB_LINE', 'more than'),
    ],
)
def test_job_with_invalid_line_is_refused(harness, line, name, words):
    """The whole job must be refused, and the reason must name the line."""
    status, answer = harness.create([make_line(1), line])
    assert status == 400
    assert answer['error']['name'] == name
    assert words in answer['error']['reason']
    assert answer['error']['not_run'] is True
    assert json.loads(harness.call('GET', '')[1])['data'] == []


def test_job_is_refused_when_the_store_is_unavailable(harness):
    """The refusal of a job that was not stored must state that."""
    harness.runner_harness.client.down = True
    status, answer = harness.create([make_line(1)])
    assert (status, answer['error']['not_run']) == (503, True)
    harness.runner_harness.client.down = False
    assert harness.create([make_line(1)])[0] == 200


def test_lost_reply_to_seal_is_reported_as_unknown(harness):
    """A refusal must not state that a possibly accepted job did not run.

    The reply to the third command, which seals the upload, is lost.
    """
    calls = []

    def lose(command):
        calls.append(command)
        return len(calls) == 3

    harness.runner_harness.client.lose_reply = lose
    status, answer = harness.create([make_line(1)])
    assert (status, answer['error']['not_run']) == (503, 'unknown')
    status, job = harness.create([make_line(1)])
    assert (status, job['status']) == (200, 'running')


def test_items_of_cancelled_job_have_an_error(harness):
    """Items of a cancelled job must end with the error CANCELLED."""
    job_id = harness.create([make_line(1), make_line(2)])[1]['id']
    status, text = harness.call('POST', f'/{job_id}/cancel')
    assert (status, json.loads(text)['status']) == (200, 'cancelled')
    assert harness.stopped == [(job_id, ())]
    rows = harness.call('GET', f'/{job_id}/errors')[1].splitlines()
    assert [json.loads(row)['error']['name'] for row in rows] == [
        'CANCELLED',
        'CANCELLED',
    ]


def test_large_job_is_stored_in_chunks(harness):
    """A job larger than one command must be stored whole."""
    lines = [
        make_line(n, body={'model': 'm', 't': 'x' * 999}) for n in range(700)
    ]
    _, job = harness.create(lines)
    assert job['counts']['total'] == 700
    assert isinstance(harness.runner_harness.store, store.Store)
    batch_runner = runner.Runner(
        harness.runner_harness.store,
        fakes.FakeExecutor(),
        'h1#1',
        test_runner.SETTINGS,
        metrics.Metrics(),
        lambda model: 0,
    )
    batch_runner.start()
    harness.runner_harness.runners.append(batch_runner)
    assert harness.runner_harness.wait_state(job['id']).done == 700
