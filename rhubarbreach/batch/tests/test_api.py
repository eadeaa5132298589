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
    """Accounts named by a header; one route."""

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
    """Stand-in for `entry.app.Application`."""

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


class Bench:
    """Routes over machines in process."""

    def __init__(self):
        self.runs = test_runner.Bench()
        self.stopped = []
        application = Application()
        api.BatchApi(
            self.runs.store,
            Access(),
            test_runner.SETTINGS,
            lambda job_id, holders: self.stopped.append((job_id, holders)),
        ).add_routes(application)
        self.http = test.Client(application)

    def call(self, method, path, account_id='a', **fields):
        """Return status and body of a response."""
        headers = {'X-Account': account_id} | fields.pop('headers', {})
        response = self.http.open(
            '/v1/batches' + path, method=method, headers=headers, **fields
        )
        return response.status_code, response.get_data(as_text=True)

    def create(self, lines, key='k', account_id='a'):
        """Send a job and return status and decoded body."""
        status, text = self.call(
            'POST',
            '',
            account_id,
            data=''.join(line + '\n' for line in lines),
            headers={'Idempotency-Key': key},
        )
        return status, json.loads(text)


@pytest.fixture
def bench():
    """Return a bench whose runners are closed afterwards."""
    made = Bench()
    yield made
    for one in made.runs.runners:
        one.close()


def make_line(number, **fields):
    """Return a line of an upload."""
    line = {
        'custom_id': f'c{number}',
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {'model': 'm', 'text': 'ü' * number},
    }
    return json.dumps(line | fields)


def test_job_is_stored_run_and_read(bench):
    """A job must pass from upload to results with its custom ids."""
    lines = [make_line(number) for number in range(30)]
    status, job = bench.create(lines)
    assert (status, job['status']) == (200, 'running')
    assert bench.create(lines)[1]['id'] == job['id']
    assert bench.create(lines[1:])[0] == 409
    bench.runs.start(fakes.FakeExecutor())
    bench.runs.wait_state(job['id'])
    _, text = bench.call('GET', f'/{job["id"]}/results')
    rows = [json.loads(line) for line in text.splitlines()]
    assert [row['custom_id'] for row in rows] == [f'c{n}' for n in range(30)]
    assert rows[3]['response']['body'] == {'model': 'm', 'text': 'üüü'}
    assert bench.call('GET', f'/{job["id"]}/errors')[1] == ''
    listed = json.loads(bench.call('GET', '')[1])
    assert [one['id'] for one in listed['data']] == [job['id']]


def test_jobs_of_other_accounts_are_hidden(bench):
    """An account must neither see nor cancel a job of another."""
    job_id = bench.create([make_line(1)])[1]['id']
    for method, path in (
        ('GET', ''),
        ('GET', '/results'),
        ('POST', '/cancel'),
    ):
        assert bench.call(method, f'/{job_id}{path}', 'b')[0] == 404
    assert json.loads(bench.call('GET', '', 'b')[1])['data'] == []
    assert bench.create([make_line(2)], account_id='b')[0] == 200
    response = bench.http.get('/v1/batches')
    assert response.status_code == 401


@pytest.mark.parametrize(
    ('line', 'name', 'words'),
    [
        ('{"custom_id"', 'INVALID_JOB_LINE', 'line 2: '),
        (make_line(1), 'DUPLICATE_CUSTOM_ID', "line 2: custom_id 'c1'"),
        (make_line(2, body={}), 'INVALID_JOB_LINE', 'names no model'),
        (make_line(2, body=[1]), 'INVALID_JOB_LINE', 'line 2: '),
        (
            make_line(2, body={'model': 'm', 'stream': True}),
            'INVALID_JOB_LINE',
            'not for jobs',
        ),
        (make_line(2, url='/x'), 'INVALID_JOB_LINE', 'must be the same'),
        (make_line(2, custom_id=''), 'INVALID_JOB_LINE', 'characters'),
        (make_line(200_000), 'INVALID_JOB_LINE', 'more than'),
    ],
)
def test_bad_line_is_named(bench, line, name, words):
    """A job with a bad line must be refused whole, naming the line."""
    status, answer = bench.create([make_line(1), line])
    assert status == 400
    assert answer['error']['name'] == name
    assert words in answer['error']['reason']
    assert answer['error']['not_run'] is True
    assert json.loads(bench.call('GET', '')[1])['data'] == []


def test_job_is_refused_when_the_store_is_unavailable(bench):
    """A job that was not stored must be refused as not run."""
    bench.runs.client.down = True
    status, answer = bench.create([make_line(1)])
    assert (status, answer['error']['not_run']) == (503, True)
    bench.runs.client.down = False
    assert bench.create([make_line(1)])[0] == 200


def test_lost_last_reply_is_not_called_not_run(bench):
    """A job that may be accepted must not be refused as not run."""
    calls = []

    def lose(command):
        calls.append(command)
        return len(calls) == 3

    bench.runs.client.lose_reply = lose
    status, answer = bench.create([make_line(1)])
    assert (status, answer['error']['not_run']) == (503, 'unknown')
    status, job = bench.create([make_line(1)])
    assert (status, job['status']) == (200, 'running')


def test_cancelled_job_names_the_reason(bench):
    """Items of a cancelled job must end with code and reason."""
    job_id = bench.create([make_line(1), make_line(2)])[1]['id']
    status, text = bench.call('POST', f'/{job_id}/cancel')
    assert (status, json.loads(text)['status']) == (200, 'cancelled')
    assert bench.stopped == [(job_id, ())]
    rows = bench.call('GET', f'/{job_id}/errors')[1].splitlines()
    assert [json.loads(row)['error']['name'] for row in rows] == [
        'CANCELLED',
        'CANCELLED',
    ]


def test_large_job_is_stored_in_chunks(bench):
    """A job larger than a command must arrive whole and in order."""
    lines = [
        make_line(n, body={'model': 'm', 't': 'x' * 999}) for n in range(700)
    ]
    _, job = bench.create(lines)
    assert job['counts']['total'] == 700
    assert isinstance(bench.runs.store, store.Store)
    one = runner.Runner(
        bench.runs.store,
        fakes.FakeExecutor(),
        'h1#1',
        test_runner.SETTINGS,
        metrics.Metrics(),
        lambda model: 0,
    )
    one.start()
    bench.runs.runners.append(one)
    assert bench.runs.wait_state(job['id']).done == 700
