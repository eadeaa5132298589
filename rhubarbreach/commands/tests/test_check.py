"""Tests of the command that checks a configuration."""

import json
import time

import pytest

from rhubarbreach.commands import check
from rhubarbreach.configcheck import findings
from rhubarbreach.configcheck import staterules
from rhubarbreach.operators import server
from rhubarbreach.operators.tests import memory
from rhubarbreach.state import model

ROUTE = {'route_id': 'r', 'path': '/r', 'open': True}


@pytest.fixture
def run(tmp_path, capsys):
    def run_command(content, *options):
        path = tmp_path / 'new.json'
        if not isinstance(content, bytes):
            content = json.dumps(content, indent=1).encode()
        path.write_bytes(content)
        try:
            status = check.main([str(path), *options])
        except SystemExit as error:
            status = error.code
        output = capsys.readouterr()
        return status, output.out.replace(str(path), 'FILE'), output.err

    return run_command


def test_exit_status_tells_findings_apart(run, tmp_path):
    """Guards against scripts that send what was not checked."""
    old = tmp_path / 'old.json'
    old.write_text('{}')
    in_force = ('--in-force', str(old))
    assert run({'routes': [ROUTE]})[0] == 0
    assert run({'routes': [ROUTE]}, *in_force)[0] == 0
    assert run({'routes': [ROUTE]}, *in_force, '--fail-on-difference')[0] == 1
    assert run({}, *in_force, '--fail-on-difference')[0] == 0
    assert run({'routes': [{**ROUTE, 'open': False}]})[0] == 1
    assert run({'routes': [{**ROUTE, 'path': 'r'}]})[0] == 2


@pytest.mark.parametrize(
    'options',
    [
        ('--no-such-option',),
        ('another file',),
        ('--in-force',),
        ('--in-force', '/nonexistent'),
        ('--in-force', __file__),
        ('--endpoints', 's'),
        ('--request-seconds', 'nan'),
        ('--config', 'host.ini'),
        ('--in-force', __file__, '--hosts', 'x=127.0.0.1:1'),
    ],
)
def test_wrong_usage_is_no_finding(run, options):
    """Guards against a misspelled option that looks like an error."""
    status, output, errors = run({}, *options)
    assert (status, output) == (check.EXIT_USAGE, '')
    assert errors


def test_settings_are_checked_as_before(tmp_path, capsys):
    """Guards against start scripts that rely on `check --config`."""
    with pytest.raises(SystemExit) as raised:
        check.main(['--config', str(tmp_path / 'none.ini')])
    assert raised.value.code == 2
    assert 'none.ini' in capsys.readouterr().err


def test_report_has_line_place_and_differences(run, tmp_path):
    """Guards against output that scripts and operators cannot use."""
    old = tmp_path / 'old.json'
    models = [{'model_id': 'a'}, {'model_id': 'b', 'version': '1'}]
    old.write_text(json.dumps({'models': models}))
    models = [{'model_id': 'b', 'version': '2\n'}, {'model_id': 'c', 'x': 0}]
    options = ({'models': models}, '--in-force', str(old))
    assert run(*options)[1].splitlines() == [
        'FILE:9: warning: field_unknown: models[1].x: '
        'no host reads this field',
        'removed model a',
        'changed model b',
        '  version: "1" -> "2\\n"',
        'added model c',
        'FILE: 0 errors, 1 warnings, 3 differences',
    ]
    printed = json.loads(run(*options, '--json')[1])
    assert (printed['errors'], printed['warnings']) == (0, 1)
    row = printed['findings'][0]
    assert (row['code'], row['place'], row['line'], row['severity']) == (
        'field_unknown',
        'models[1].x',
        9,
        'warning',
    )
    assert printed['differences'][1] == {
        'change': 'changed',
        'kind': 'model',
        'key': 'b',
        'fields': {'version': {'old': '1', 'new': '2\n'}},
    }


@pytest.mark.parametrize(
    ('content', 'line', 'place'),
    [
        (b'', 1, ''),
        (b'{"routes":\n[]', 2, ''),
        (b'{\n"routes": x}', 2, ''),
        (b'{"routes":\n"\xff"}', 2, ''),
        (b'{"routes": [\n{"route_id": 1}]}', 2, ' routes[0].route_id:'),
        (b'{"x":\n' + b'[' * 5000, 2, None),
        (b']]}}:,"', 1, ''),
    ],
)
def test_broken_documents_have_an_error_with_a_place(
    run, content, line, place
):
    """Guards against a traceback in place of an error."""
    status, output, errors = run(content)
    assert (status, errors) == (2, '')
    expected = f'FILE:{line}: error: document_unreadable:'
    assert output.startswith(expected + (f'{place} ' if place else ' '))


def test_repeated_names_are_found_where_they_are(run):
    """Guards against an option that a later one silently replaces."""
    status, output, _ = run(b'{"routes": [],\n"models": [],\n"routes": []}')
    assert status == 1
    assert output.startswith('FILE:3: warning: field_repeated: routes:')


def test_huge_document_is_refused_without_reading_it(run, monkeypatch):
    """Guards against a check that takes all memory of the machine."""
    monkeypatch.setattr(staterules.Format, 'max_bytes', 100)
    status, output, _ = run(b'[' * 101)
    assert status == 2
    assert output.startswith('FILE:1: error: document_too_large:')


def test_thousands_of_routes_are_checked_within_seconds(run):
    """Guards against a check whose time grows with the square of routes."""
    routes = [
        {
            'route_id': f'r{number}',
            'path': f'/{number}/{"/" * (number % 3)}',
            'kind': 'service',
            'target': 's',
            'open': True,
        }
        for number in range(5000)
    ]
    start = time.process_time()
    assert run({'routes': routes})[0] == 0
    assert time.process_time() - start < 5


def test_hosts_tell_what_is_in_force(run):
    """Guards against differences from another version than that in force."""
    provider = memory.MemoryProvider()
    for change in (
        model.PutAccount(model.Account('patio', 5.0, 5.0)),
        model.PutKey(model.Key('k', 'patio', b'd' * 32)),
        model.PutRoute(model.Route('r', '/r')),
    ):
        provider.propose(model.encode_request(str(change), None, change), 0)
    digest = 'ZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGRkZGQ='
    document = {
        'accounts': [{'account_id': 'patio', 'rate': 5, 'burst': 5}],
        'keys': [{'key_id': 'k', 'account_id': 'patio', 'digest': digest}],
        'routes': [{'route_id': 'r', 'path': '/r', 'timeout': 9}],
    }
    operator_server = server.Server('127.0.0.1:0', provider)
    hosts = f'127.0.0.1:{operator_server.port}'
    status, output, _ = run(document, '--hosts', hosts)
    operator_server.close()
    assert status == 0
    assert output.splitlines() == [
        'changed route r',
        '  timeout: 60.0 -> 9.0',
        'FILE: 0 errors, 0 warnings, 1 differences',
    ]


def test_codes_have_a_severity_and_one_line():
    """Guards against a table of codes that is torn in the reference."""
    for severity, meaning in findings.CODES.values():
        assert severity in (findings.ERROR, findings.WARNING)
        assert meaning and '\n' not in meaning and '|' not in meaning
