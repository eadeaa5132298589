"""Fixtures: a complete host in this process and an emulated engine."""

import hashlib
import pathlib
import time
import uuid

import pytest

from rhubarbreach import clock
from rhubarbreach.consensus.tests import ports
from rhubarbreach.daemon import host as host_module
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.settings import load
from rhubarbreach.state import model

WAIT_SECONDS = 30.0


def wait_for(condition):
    """Wait until a condition holds."""
    deadline = clock.monotonic() + WAIT_SECONDS
    while clock.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f'condition not met within {WAIT_SECONDS} s')


class Deployment:
    """A single entry and store host that can be stopped and restarted.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings and data.
    """

    def __init__(self, folder):
        self.folder = folder
        self.http = ports.find_address()
        self.host = None
        lines = [
            '[host]',
            'host_id = host-1',
            'region = mx-centro',
            'zone = zone-1',
            'roles = entry, store',
            f'http = {self.http}',
            f'link = {ports.find_address()}',
            '[data]',
            f'folder = {folder / "data"}',
            '[store]',
            'initial = host-1',
            'job_groups = 1',
            'heartbeat = 0.05',
            'election_timeout = 0.2',
        ]
        self.settings_path = pathlib.Path(folder) / 'host.ini'
        self.settings_path.write_text('\n'.join(lines), encoding='utf-8')

    def start(self):
        """Start the host and wait until it is ready."""
        settings = load.load_settings(str(self.settings_path))
        self.host = host_module.Host(settings)
        self.host.start()
        wait_for(lambda: not self.host.find_unready_reason())

    def change(self, change):
        """Commit one configuration change."""
        command = model.encode_request(uuid.uuid4().hex, None, change)
        deadline = clock.monotonic() + WAIT_SECONDS
        answer = self.host.provider.propose(command, deadline)
        assert model.decode_result(answer).code == 0

    def declare(self):
        """Declare an account, a key, a model and routes."""
        self.change(model.PutAccount(model.Account('school', 100.0, 100.0)))
        digest = hashlib.sha256(b'key').digest()
        self.change(model.PutKey(model.Key('key-1', 'school', digest)))
        self.change(model.PutModel(model.Model('rota')))
        self.change(
            model.PutRoute(model.Route('completions', '/v1/completions'))
        )


@pytest.fixture
def deployment(tmp_path):
    single_host = Deployment(tmp_path)
    single_host.start()
    single_host.declare()
    yield single_host
    single_host.host.close()


@pytest.fixture
def engine_endpoint(deployment):
    settings = endpoint.EndpointSettings(
        'engine-1',
        'zone-1',
        ports.find_address(),
        ('rota',),
        (deployment.http,),
    )
    emulated = endpoint.EngineEndpoint(
        settings, engine.EngineSettings(slots=4, step_base=0.01)
    )
    registry = deployment.host.registry
    wait_for(lambda: registry.usable('rota', clock.monotonic()))
    yield emulated
    emulated.close()
