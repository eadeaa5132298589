"""Processes of a small deployment, and injection of faults into them."""

import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

from rhubarbreach.bench import certificates

__all__ = ['Fleet', 'HostAddresses', 'find_ports', 'is_ready', 'post_json']

START_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.1
HTTP_TIMEOUT_SECONDS = 5.0
OPERATOR = 'operator-bench'


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddresses:
    """Addresses of one host."""

    http: str
    link: str
    operators: str


def find_ports(count):
    """Return free loopback ports.

    All sockets stay open until the last port is found, so that no port is
    returned twice.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for listener in sockets:
            listener.bind(('127.0.0.1', 0))
        return [listener.getsockname()[1] for listener in sockets]


def post_json(address, path, value):
    """Post a JSON value; return the status, or 0 without a response."""
    connection = http.client.HTTPConnection(
        address, timeout=HTTP_TIMEOUT_SECONDS
    )
    try:
        connection.request(
            'POST',
            path,
            json.dumps(value),
            {'Content-Type': 'application/json'},
        )
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def is_ready(address, path='/readyz'):
    """Return whether a health check of a host succeeds."""
    connection = http.client.HTTPConnection(
        address, timeout=HTTP_TIMEOUT_SECONDS
    )
    try:
        connection.request('GET', path)
        return connection.getresponse().status == http.HTTPStatus.OK
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


class Fleet:
    """Processes of a deployment on the loopback address.

    Parameters
    ----------
    plan : plans.FleetPlan
        Hosts, endpoints and accounts.
    folder : str
        Folder for settings, data, logs and run records.
    mode : str
        Mode of the serving policy on all hosts.
    """

    def __init__(self, plan, folder, mode='full'):
        self.plan = plan
        self.folder = pathlib.Path(folder)
        self.mode = mode
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes = {}
        self.logs = []
        ports = iter(find_ports(3 * len(plan.hosts) + len(plan.endpoints)))
        self.hosts = {
            host.host_id: HostAddresses(
                *(f'127.0.0.1:{next(ports)}' for _ in range(3))
            )
            for host in plan.hosts
        }
        self.endpoints = {
            endpoint.endpoint_id: f'127.0.0.1:{next(ports)}'
            for endpoint in plan.endpoints
        }
        certificates.write_certificates(
            self.folder / 'tls', [*self.hosts, OPERATOR]
        )
        for host in plan.hosts:
            self.write_settings(host)

    def write_settings(self, host):
        """Write the settings file of a host."""
        addresses = self.hosts[host.host_id]
        stores = [store for store in self.plan.hosts if store.store]
        tls_folder = self.folder / 'tls'
        lines = [
            '[host]',
            f'host_id = {host.host_id}',
            f'region = {self.plan.region}',
            f'zone = {host.zone}',
            f'roles = {"entry, store" if host.store else "entry"}',
            f'http = {addresses.http}',
            f'link = {addresses.link}',
            f'operators = {addresses.operators}',
            '[store]',
            f'initial = {", ".join(store.host_id for store in stores)}',
            '[policy]',
            f'mode = {self.mode}',
            '[log]',
            f'timeline = {self.folder / host.host_id}.timeline',
            '[debug]',
            'faults = yes',
            '[tls]',
            f'ca_file = {tls_folder / "ca.crt"}',
            f'certificate_file = {tls_folder / host.host_id}.crt',
            f'key_file = {tls_folder / host.host_id}.key',
            '[peers]',
        ]
        lines += [
            f'{store.host_id} = {self.hosts[store.host_id].link}'
            for store in stores
        ]
        if host.store:
            data = self.folder / f'{host.host_id}-data'
            lines += ['[data]', f'folder = {data}']
        path = self.get_settings_path(host.host_id)
        path.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    def get_settings_path(self, host_id):
        """Return the path of the settings file of a host."""
        return self.folder / f'{host_id}.ini'

    def get_runs_path(self):
        """Return the path of the file of run records of all endpoints."""
        return self.folder / 'runs.jsonl'

    def spawn(self, name, arguments):
        """Start a Python module as a process that logs to a file."""
        log = open(self.folder / f'{name}.log', 'ab')
        self.logs.append(log)
        self.processes[name] = subprocess.Popen(
            [sys.executable, '-m', *arguments],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    def start_host(self, host_id):
        """Start one host."""
        path = str(self.get_settings_path(host_id))
        self.spawn(host_id, ['rhubarbreach', 'serve', '--config', path])

    def start_endpoint(self, endpoint_id):
        """Start one emulated endpoint."""
        plan = next(
            endpoint
            for endpoint in self.plan.endpoints
            if endpoint.endpoint_id == endpoint_id
        )
        # Hosts of the endpoint's own zone come first.
        hosts = sorted(
            self.plan.hosts, key=lambda host: host.zone != plan.zone
        )
        announce = ','.join(self.hosts[host.host_id].http for host in hosts)
        arguments = [
            'rhubarbreach.emulator',
            plan.kind,
            f'--endpoint-id={endpoint_id}',
            f'--listen={self.endpoints[endpoint_id]}',
            f'--announce={announce}',
            f'--zone={plan.zone}',
            f'--runs-file={self.get_runs_path()}',
        ]
        if plan.kind == 'engine':
            arguments += [
                f'--models={self.plan.model_id}',
                f'--slots={self.plan.slots}',
            ]
        self.spawn(endpoint_id, arguments)

    def start(self):
        """Start all hosts and endpoints and wait until the hosts are live.

        Raises
        ------
        TimeoutError
            If a host is not live after 60 s.
        """
        for host_id in self.hosts:
            self.start_host(host_id)
        for endpoint_id in self.endpoints:
            self.start_endpoint(endpoint_id)
        self.wait_live()

    def wait_live(self):
        """Wait until the liveness checks of all hosts succeed."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        waiting = set(self.hosts)
        while waiting:
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'hosts not live after {START_TIMEOUT_SECONDS:.0f} s: '
                    f'{sorted(waiting)}'
                )
            waiting = {
                host_id
                for host_id in waiting
                if not is_ready(self.hosts[host_id].http, '/livez')
            }
            time.sleep(POLL_SECONDS)

    def wait_ready(self):
        """Wait until the readiness checks of all hosts succeed."""
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        while not all(
            is_ready(addresses.http) for addresses in self.hosts.values()
        ):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'hosts not ready after {START_TIMEOUT_SECONDS:.0f} s'
                )
            time.sleep(POLL_SECONDS)

    def kill(self, name):
        """Kill a process and wait until it has exited."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name):
        """Send SIGTERM, which starts a drain; return the exit status."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_SECONDS)

    def pause(self, name):
        """Suspend a process."""
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process."""
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def set_link_faults(self, cut_zones=()):
        """Delay messages between zones and partition some zones.

        Parameters
        ----------
        cut_zones : iterable of str
            Zones that are partitioned from all others.
        """
        zones = {host.host_id: host.zone for host in self.plan.hosts}
        for host_id, addresses in self.hosts.items():
            own_zone = zones[host_id]
            others = [peer for peer in zones if zones[peer] != own_zone]
            cut = [
                peer
                for peer in others
                if own_zone in cut_zones or zones[peer] in cut_zones
            ]
            delays = dict.fromkeys(others, self.plan.zone_delay)
            post_json(
                addresses.http,
                '/debug/faults',
                {'delays': delays, 'cut': cut},
            )

    def set_endpoint_fault(self, endpoint_id, **fault):
        """Make an endpoint slow, or make it hang or crash."""
        post_json(self.endpoints[endpoint_id], '/fault', fault)

    def stop(self):
        """Kill all processes that this fleet started."""
        for name in list(self.processes):
            self.kill(name)
        for log in self.logs:
            log.close()
