"""Tests of reading and validating settings."""

import pytest

from rhubarbreach import exceptions
from rhubarbreach.settings import load

VALID = {
    'host': {
        'host_id': 'host-1',
        'region': 'mx-centro',
        'zone': 'mx-centro-a',
        'roles': 'entry',
        'http': '127.0.0.1:8080',
        'link': '127.0.0.1:8081',
    },
    'peers': {'host-2': '127.0.0.1:9081'},
}


@pytest.fixture
def write(tmp_path):
    def write_file(changes=(), text=None):
        sections = {name: dict(values) for name, values in VALID.items()}
        for section, name, value in changes:
            values = sections.setdefault(section, {})
            if value is None:
                del values[name]
            else:
                values[name] = value
        lines = []
        for section, values in sections.items():
            lines.append(f'[{section}]')
            lines += [f'{name} = {value}' for name, value in values.items()]
        path = tmp_path / 'host.ini'
        path.write_text('\n'.join(lines) if text is None else text)
        return str(path)

    return write_file


def test_valid_file_is_read(write):
    """Guards against values that are lost between file and data class."""
    settings = load.load_settings(write([('jobs', 'claim_items', '5')]))
    assert settings.host.zone == 'mx-centro-a'
    assert settings.jobs.claim_items == 5
    assert settings.peers == (('host-2', '127.0.0.1:9081'),)


INVALID_CHANGES = [
    (('hosts', 'a', 'b'), ['section [hosts]', 'unknown']),
    (('host', 'zoen', 'b'), ['[host] option zoen', 'unknown option']),
    (('host', 'zone', None), ['[host] option zone', 'found none']),
    (('host', 'http', 'localhost'), ['option http', "'localhost'", 'IP:port']),
    (('host', 'link', '127.0.0.1:99999'), ['option link', '99999']),
    (('host', 'roles', 'boss'), ['option roles', "'boss'", 'entry, store']),
    (('host', 'roles', 'store'), ['[data] option folder', 'found none']),
    (
        ('data', 'folder', '/dev/null/x'),
        ['[data] option folder', '/dev/null/x'],
    ),
    (('jobs', 'max_items', 'many'), ['option max_items', "'many'", '1 to']),
    (('policy', 'mode', 'fast'), ['option mode', "'fast'", 'baseline']),
    (('host', 'link', '10.0.0.1:1'), ['[tls] option ca_file', 'loopback']),
    (('tls', 'ca_file', '/none'), ['[tls] option ca_file', "'/none'"]),
    (('peers', 'host-2', 'x'), ['[peers] option host-2', "'x'"]),
    (('debug', 'faults', 'maybe'), ['option faults', "'maybe'", 'yes, no']),
]


@pytest.mark.parametrize(('change', 'parts'), INVALID_CHANGES)
def test_each_fault_is_named_on_one_line(write, change, parts):
    """Guards against a fault message that does not locate the fault."""
    path = write([change])
    with pytest.raises(exceptions.SettingsError) as caught:
        load.load_settings(path)
    matching = [
        fault
        for fault in caught.value.faults
        if all(part in fault for part in parts) and path in fault
    ]
    assert len(matching) == 1


def test_all_faults_are_reported_at_once(write):
    """Guards against an error that reports only the first fault."""
    path = write([('host', 'zone', None), ('policy', 'mode', 'fast')])
    with pytest.raises(exceptions.SettingsError) as caught:
        load.load_settings(path)
    assert len(caught.value.faults) == 2


@pytest.mark.parametrize('text', ['no section', '[host\n', '[a]\n[a]\n'])
def test_file_that_is_not_ini_gives_one_fault(write, text):
    """Guards against a traceback for a malformed file."""
    with pytest.raises(exceptions.SettingsError) as caught:
        load.load_settings(write(text=text))
    assert len(caught.value.faults) == 1
