"""Pytest options of the whole project."""

import pathlib

from rhubarbreach.bench import knownred

KNOWN_RED = pathlib.Path(__file__).parent / 'KNOWN-RED.txt'


def pytest_addoption(parser):
    """Add the option that runs the tests listed in KNOWN-RED.txt."""
    parser.addoption('--run-known-red', action='store_true')


def pytest_collection_modifyitems(config, items):
    """Deselect the tests listed in KNOWN-RED.txt."""
    if config.getoption('--run-known-red'):
        return
    known_red_ids = set(knownred.read_test_ids(KNOWN_RED))
    deselected = [item for item in items if item.nodeid in known_red_ids]
    items[:] = [item for item in items if item.nodeid not in known_red_ids]
    config.hook.pytest_deselected(items=deselected)


def pytest_terminal_summary(terminalreporter):
    """Print the tests that were deselected."""
    for test_id in knownred.read_test_ids(KNOWN_RED):
        terminalreporter.write_line(f'known red, not run: {test_id}')
