"""Tests of the settings of hosts with one role."""

import pytest

from rhubarbreach import exceptions
from rhubarbreach.settings import role

ENTRY = """
[host]
name = e1
address = 10.0.0.1
availability_zone = z1
role = entry
unknown = 1
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
control =
[link]
port = 7000
seeds = 10.0.0.2:90, 10.0.0.3:90
[store]
founds_group = true
data_folder =
[fleet]
revoke_ms = 4000
zones = z1, z2
[new_section]
x = y
"""


@pytest.fixture
def load(tmp_path):
    def write_and_load(text):
        path = tmp_path / 'host.ini'
        path.write_text(text)
        return role.load_role(str(path))

    return write_and_load


def test_settings_are_read_and_unknown_options_ignored(load):
    settings = load(ENTRY)
    assert settings.seeds == ('10.0.0.2', '10.0.0.3')
    assert settings.revoke_seconds == 4.0
    assert settings.link_port == 7000
    assert settings.founds_group is True
    assert settings.announce_interval == 1.2
    assert settings.zones == ('z1', 'z2')
    assert settings.message_bytes == 0.2 * settings.memory_bytes
    assert settings.max_connections == 1024


@pytest.mark.parametrize(
    ('old', 'new', 'named'),
    [
        ('role = entry', 'role = king', 'role'),
        ('port = 7000', 'port = 70000', 'port'),
        ('port = 7000', 'port =', 'port'),
        ('10.0.0.2:90, 10.0.0.3:90', 'nowhere', 'seeds'),
        ('callers = 10.0.0.1:80', 'callers = 80', 'callers'),
        ('callers = 10.0.0.1:80', '', 'callers'),
        ('role = entry', 'role = entry\nmessage_fraction = 1', 'fraction'),
        ('role = entry', 'role = entry\nmax_connections = 0', 'max_conn'),
        ('founds_group = true', 'founds_group = perhaps', 'founds_group'),
        ('zones = z1, z2', 'zones = {{zones}}', 'zones'),
        ('zones = z1, z2', 'zones = a,,b', 'zones'),
        ('zones = z1, z2', 'hedge_fraction = 1.5', 'hedge_fraction'),
        ('zones = z1, z2', 'judges_requests = maybe', 'judges_requests'),
        ('revoke_ms = 4000', 'revoke_ms = 0', 'revoke_ms'),
        ('role = entry', 'role = store', 'control'),
        ('[host]', 'host', 'host.ini'),
    ],
)
def test_fault_names_file_and_option(load, old, new, named):
    with pytest.raises(exceptions.SettingsError) as raised:
        load(ENTRY.replace(old, new))
    assert any(
        'host.ini' in fault and named in fault for fault in raised.value.faults
    )


def test_missing_file_is_a_settings_error(tmp_path):
    with pytest.raises(exceptions.SettingsError):
        role.load_role(str(tmp_path / 'none.ini'))


def test_bound_that_a_deployment_does_not_define_has_its_default(load):
    """Guards against hosts that do not start at earlier deployments."""
    text = ENTRY.replace(
        'revoke_ms = 4000',
        'cold_overage = {{bounds.cold_overage}}\ncold_slack = 7',
    )
    settings = load(text)
    assert (settings.cold_overage, settings.cold_slack) == (1.5, 7.0)
