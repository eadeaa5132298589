"""Stand-ins of the platform, its servers, clients and operator, on loopback.

The programs of the project run as separate processes, started with the
command of the deploy file. Everything else is in this module and uses only
the standard library.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
PORTS = 6
SIGNATURE = 'X-Rhubarbreach-Response-Signature'
RESTART_SECONDS = 1.0
MONITOR_SECONDS = 0.02


class CannotRun(Exception):
    """The case could not run."""


def read_deploy_roles():
    """Return the roles of the deploy file by name."""
    text = (ROOT / 'deploy' / 'system.toml').read_text()
    return tomllib.loads(text)['roles']


def find_ports(addresses):
    """Return ports that are free on all addresses."""
    first = 20000 + os.getpid() % 20000
    for base in range(first, first + 5000, PORTS):
        taken = []
        try:
            for address in addresses:
                for port in range(base, base + PORTS):
                    probe = socket.socket()
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    taken.append(probe)
                    probe.bind((address, port))
        except OSError:
            continue
        finally:
            for probe in taken:
                probe.close()
        return list(range(base, base + PORTS))
    raise CannotRun('no free ports')


def render(template, values):
    """Fill in the placeholders of a settings template."""

    def replace(match):
        value = values
        for name in match[1].split('.'):
            value = value[int(name)] if name.isdigit() else value.get(name)
            if value is None:
                return ''
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, (list, tuple)):
            return ','.join(map(str, value))
        return str(value)

    return re.sub(r'\{\{([a-z_0-9.]+)\}\}', replace, template)


class Record:
    """Record of what was sent, answered and run."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = (pathlib.Path(folder) / 'record.txt').open('w')

    def write(self, text):
        """Write a line with the time since the start."""
        self.file.write(f'{time.monotonic() - self.start:8.3f} {text}\n')
        self.file.flush()


class Machine:
    """A machine with one process of the system."""

    def __init__(self, name, role, zone, address, memory_mb):
        self.name = name
        self.role = role
        self.zone = zone
        self.address = address
        self.memory_mb = memory_mb
        self.process = None
        self.peak_mb = 0.0
        self.memory_kills = 0
        self.own_ends = 0
        self.is_wanted = False
        self.restart_at = None
        self.started_before = False


class Platform:
    """Machines of a small deployment; restarts processes that end.

    A process whose resident memory is above `memory_mb` of its machine is
    killed, as the page on deployment says.

    Parameters
    ----------
    record : Record
        Receives what happens.
    stores, entries : list of (zone, memory_mb)
        Machines of each role.
    """

    def __init__(self, record, stores, entries):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        subnet = 1 + os.getpid() % 250
        self.stores = [
            Machine(
                f'store-{zone}-{n}',
                'store',
                zone,
                f'127.{subnet}.1.{n}',
                memory,
            )
            for n, (zone, memory) in enumerate(stores, 1)
        ]
        self.entries = [
            Machine(
                f'front-{zone}-{n}',
                'entry',
                zone,
                f'127.{subnet}.2.{n}',
                memory,
            )
            for n, (zone, memory) in enumerate(entries, 1)
        ]
        self.replica_network = f'127.{subnet}.3'
        self.machines = self.stores + self.entries
        self.ports = find_ports([m.address for m in self.machines])
        self.roles = read_deploy_roles()
        self.restart_seconds = RESTART_SECONDS
        self.closed = False

    def get_front(self, machine):
        """Return the address for clients."""
        return machine.address, self.ports[1]

    def get_ready(self, machine):
        """Return the address of the readiness probe."""
        return machine.address, self.ports[2]

    def get_control(self, machine):
        """Return the address of the control interface."""
        return machine.address, self.ports[3]

    def list_seeds(self, machine):
        """Return the stores that the settings of a machine name."""
        if not machine.started_before:
            return self.stores[:3]
        return [store for store in self.stores if store.is_wanted][:3]

    def start(self, machine):
        """Start the process of a machine."""
        role = self.roles[machine.role]
        template = (ROOT / role['template']).read_text()
        listen = {'control': '%s:%d' % self.get_control(machine)}
        if machine.role == 'entry':
            listen = {
                'front': '%s:%d' % self.get_front(machine),
                'ready': '%s:%d' % self.get_ready(machine),
            }
        seeds = [
            '%s:%d' % self.get_control(store)
            for store in self.list_seeds(machine)
        ]
        data = self.folder / f'data-{machine.name}'
        data.mkdir(exist_ok=True)
        values = {
            'node': machine.name,
            'role': machine.role,
            'ip': machine.address,
            'zone': machine.zone,
            'listen': listen,
            'port_range': [self.ports[0], self.ports[0]],
            'seeds': seeds,
            'bootstrap': not machine.started_before,
            'data_dir': str(data) if machine.role == 'store' else None,
            'heartbeat_ms': 1200,
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'revoke_ms': 5000,
                'grace_s': 8,
                'quota_window_s': 5,
                'quota_overage': 0.1,
                'quota_slack': 20,
            },
        }
        path = self.folder / f'{machine.name}.ini'
        path.write_text(render(template, values))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['RHUBARBREACH_SETTINGS'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        machine.started_before = True
        machine.is_wanted = True
        machine.restart_at = None

    def remove(self, machine):
        """Remove a machine and its disk for good."""
        self.signal(machine, signal.SIGKILL)
        machine.process.wait()
        machine.is_wanted = False
        shutil.rmtree(self.folder / f'data-{machine.name}')
        self.record.write(f'platform: {machine.name} is gone for good')

    def add_store(self, zone, memory_mb):
        """Start a store with an empty disk at a new address."""
        number = len(self.stores) + 1
        network = self.stores[0].address.rpartition('.')[0]
        machine = Machine(
            f'store-{zone}-{number}',
            'store',
            zone,
            f'{network}.{number}',
            memory_mb,
        )
        machine.started_before = True
        self.stores.append(machine)
        self.machines.append(machine)
        self.start(machine)
        self.record.write(f'platform: {machine.name} starts, its disk empty')

    def wipe(self, machine):
        """Lose the disk of a machine whose process has been killed."""
        machine.process.wait()
        shutil.rmtree(self.folder / f'data-{machine.name}')
        self.record.write(f'platform: {machine.name} loses its disk')

    def start_all(self):
        """Start all machines for the first time."""
        for machine in self.machines:
            self.start(machine)

    @property
    def place(self):
        """Where replicas listen and announce themselves."""
        return {
            'controls': [self.get_control(store) for store in self.stores],
            'network': self.replica_network,
            'port': self.ports[4],
        }

    def signal(self, machine, number):
        """Send a signal to the process of a machine."""
        self.record.write(f'platform: signal {number} to {machine.name}')
        machine.process.send_signal(number)

    async def watch(self):
        """Restart processes that end; kill those with too much memory."""
        while not self.closed:
            for machine in self.machines:
                if machine.is_wanted:
                    self.check(machine)
            await asyncio.sleep(MONITOR_SECONDS)

    def check(self, machine):
        """Check the process of a machine."""
        now = time.monotonic()
        if machine.restart_at is not None:
            if now >= machine.restart_at:
                self.record.write(f'platform: {machine.name} starts again')
                self.start(machine)
            return
        status = machine.process.poll()
        if status is not None:
            machine.own_ends += 1
            self.record.write(
                f'platform: {machine.name} ended with status {status}'
            )
            machine.restart_at = now + self.restart_seconds
            return
        used = read_resident_mb(machine.process.pid)
        machine.peak_mb = max(machine.peak_mb, used)
        if used > machine.memory_mb:
            machine.memory_kills += 1
            machine.process.kill()
            machine.process.wait()
            machine.restart_at = now + self.restart_seconds
            self.record.write(
                f'platform: {machine.name} uses {used:.0f} MB of '
                f'{machine.memory_mb} MB and is killed'
            )

    def close(self):
        """End all processes and remove the temporary folder."""
        self.closed = True
        for machine in self.machines:
            machine.is_wanted = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


def read_resident_mb(pid):
    """Return the resident memory of a process in MB."""
    try:
        text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    except OSError:
        return 0.0
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 1e6


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, data):
        lines = data.decode('latin-1').split('\r\n')
        self.start = lines[0].split(' ', 2)
        self.headers = {}
        for line in lines[1:]:
            if line:
                name, _, value = line.partition(':')
                self.headers[name.strip().lower()] = value.strip()

    def get(self, name, default=''):
        """Return the value of a header."""
        return self.headers.get(name.lower(), default)


class Answer:
    """Answer to a request; `status` is None if there was none."""

    def __init__(self, status=None, head=None, body=b'', is_complete=False):
        self.status = status
        self.head = head
        self.body = body
        self.is_complete = is_complete


class Client:
    """Connection of a client for one request after another."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def connect(self):
        """Connect within a second."""
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address), 1.0
        )

    @property
    def is_open(self):
        """Whether another request may be sent."""
        return self.writer is not None

    def close(self):
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, target, headers, body=b'', seconds=5.0):
        """Send a request and return its answer."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.connect()
            async with asyncio.timeout(seconds):
                lines = [f'{method} {target} HTTP/1.1']
                lines += [f'{name}: {value}' for name, value in headers]
                if body or method == 'POST':
                    lines.append(f'Content-Length: {len(body)}')
                data = '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n'
                self.writer.write(data + body)
                await self.writer.drain()
                await self.receive(answer)
        except (OSError, EOFError, TimeoutError, ValueError):
            self.close()
            return answer
        if answer.head.get('connection').lower() == 'close':
            self.close()
        return answer

    async def receive(self, answer):
        """Receive an answer."""
        data = await self.reader.readuntil(b'\r\n\r\n')
        answer.head = Head(data[:-4])
        answer.status = int(answer.head.start[1])
        if answer.head.get('transfer-encoding').lower() == 'chunked':
            while True:
                line = await self.reader.readuntil(b'\r\n')
                size = int(line.split(b';')[0], 16)
                chunk = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += chunk[:-2]
        else:
            size = int(answer.head.get('content-length', '0'))
            answer.body = await self.reader.readexactly(size)
        answer.is_complete = True


async def call(address, method, target, headers=(), body=b'', seconds=5.0):
    """Send a request on a new connection and return its answer."""
    client = Client(address)
    try:
        return await client.send(method, target, headers, body, seconds)
    finally:
        client.close()


class Replica:
    """Server of a service.

    It streams `event_count` events, the first one after `first_seconds` and
    the others `pause_seconds` apart. `runs` counts the starts by request id.
    """

    def __init__(self, place, record, number, service, zone, slots=8):
        self.controls = [tuple(address) for address in place['controls']]
        self.record = record
        self.number = number
        self.replica_id = f'i-{number:04x}'
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = f'{place["network"]}.{number}'
        self.port = place['port']
        self.version = 'v1'
        self.event_count = 28
        # Number of events of batch items, which the paths of `/b/` name.
        self.item_event_count = 193
        self.first_seconds = 0.05
        self.pause_seconds = 0.02
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = 'ready'
        self.runs = collections.Counter()
        self.server = None
        self.beat = None
        self.tasks = set()
        self.running = 0
        self.waiting = collections.deque()
        self.is_logging = False
        self.is_framed = True
        self.is_head_early = False
        # Bytes a second of an answer of events without end, 0 for proper ones.
        self.endless_event_rate = 0

    async def start(self):
        """Listen, and announce the server."""
        self.server = await asyncio.start_server(
            self.serve,
            self.address,
            self.port,
            backlog=1024,
            limit=8 * 1024 * 1024,
        )
        self.beat = asyncio.create_task(self.send_beats())

    async def send_beats(self):
        """Announce the server about every 1.2 s, to a store that answers."""
        turn = self.number
        while True:
            for _ in self.controls:
                if await self.announce(
                    self.controls[turn % len(self.controls)]
                ):
                    break
                turn += 1
            await asyncio.sleep(1.2)

    async def announce(self, control):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                'service': self.service,
                'address': f'{self.address}:{self.port}',
                'zone': self.zone,
                'version': self.version,
                'slots': self.slots,
                'state': self.state,
                'cold_remaining_ms': 0,
                'stage': 'hybrid',
                'models': [{'name': 'm', 'version': 1, 'adapters': []}],
                'seq': self.sequence,
                'born': self.born,
            }
        ).encode()
        answer = await call(
            control,
            'POST',
            f'/Instances.Heartbeat/{self.replica_id}',
            [('Host', 'control'), ('Content-Type', 'application/json')],
            body,
            1.0,
        )
        return answer.status is not None and 200 <= answer.status < 300

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = Head((await reader.readuntil(b'\r\n\r\n'))[:-4])
                size = int(head.get('content-length', '0'))
                body = await reader.readexactly(size)
                gone = asyncio.create_task(reader.read(1))
                run = asyncio.create_task(self.answer(head, body, writer))
                try:
                    await asyncio.wait(
                        (gone, run), return_when=asyncio.FIRST_COMPLETED
                    )
                    if run.done():
                        run.result()
                finally:
                    run.cancel()
                    gone.cancel()
                break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            if task.cancelling():
                writer.transport.abort()
            else:
                writer.close()

    async def answer(self, head, body, writer):
        """Answer a request."""
        request_id = head.get('X-Rhubarbreach-Request-Id')
        own = [f'X-Rhubarbreach-Request-Id: {request_id}']
        expected = head.get('X-Rhubarbreach-Expect-Instance')
        if expected and expected != self.replica_id:
            lines = ['HTTP/1.1 421 Misdirected', *own, 'Content-Length: 0']
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
            await writer.drain()
            return
        if self.running >= self.slots:
            if len(self.waiting) >= 3 * self.slots:
                lines = [
                    'HTTP/1.1 503 Full',
                    *own,
                    'X-Rhubarbreach-Not-Executed: 1',
                    'Content-Length: 0',
                ]
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
                await writer.drain()
                return
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self.give_turn()
                raise
        else:
            self.running += 1
        try:
            self.runs[request_id] += 1
            last_id = head.get('Last-Event-Id') or '0'
            if self.is_logging:
                self.record.write(
                    f'{self.replica_id}: runs {request_id} after {last_id}'
                )
            await self.stream(head, writer, own)
        finally:
            if self.is_logging:
                self.record.write(f'{self.replica_id}: ends {request_id}')
            self.running -= 1
            self.give_turn()

    def give_turn(self):
        """Let the next waiting request run."""
        while self.waiting and self.running < self.slots:
            turn = self.waiting.popleft()
            if not turn.done():
                self.running += 1
                turn.set_result(None)

    async def stream(self, head, writer, own):
        """Send the events of a stream."""
        request_id = head.get('X-Rhubarbreach-Request-Id')
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            *own,
            f'{SIGNATURE}: sig.{self.replica_id}.{request_id}',
        ]
        if self.endless_event_rate:
            await self.send_endless_events(head, writer, lines)
            return
        lines.append(
            'Transfer-Encoding: chunked'
            if self.is_framed
            else 'Connection: close'
        )
        if not self.is_head_early:
            await asyncio.sleep(self.first_seconds)
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        if self.is_head_early:
            await asyncio.sleep(self.first_seconds)
        first = int(head.get('Last-Event-Id') or '0') + 1
        is_item = head.start[1].startswith('/b/')
        last = self.item_event_count if is_item else self.event_count
        for number in range(first, last + 1):
            text = make_text(request_id, number)
            block = f'id: {number}\ndata: {text}\n\n'.encode()
            if self.is_framed:
                block = b'%x\r\n%s\r\n' % (len(block), block)
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(self.pause_seconds)
        if self.is_framed:
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def send_endless_events(self, head, writer, lines):
        """Send events until the caller closes."""
        lines = [*lines, 'Transfer-Encoding: chunked']
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        number = int(head.get('Last-Event-Id') or '0')
        text = '.' * 85
        while True:
            blocks = []
            for _ in range(self.endless_event_rate // 50 // 100):
                number += 1
                blocks.append(f'id: {number}\ndata: {text}\n\n')
            data = ''.join(blocks).encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.02)


class ReplicaProcess:
    """A replica in a process of its own, which can be killed.

    `options` are attributes of `Replica` that are set before it starts.
    """

    def __init__(self, platform, record, number, service, zone, **options):
        self.record = record
        self.replica_id = f'i-{number:04x}'
        self.arguments = json.dumps(
            {
                'place': platform.place,
                'number': number,
                'service': service,
                'zone': zone,
                'options': options,
            }
        )
        self.process = None
        self.reader = None
        # Tuples of replica id, request id and `Last-Event-Id`.
        self.runs = []
        # Tuples of time, replica id and request id.
        self.ends = []

    async def start(self):
        """Start the process."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(__file__)),
            self.arguments,
            stdout=asyncio.subprocess.PIPE,
        )
        self.reader = asyncio.create_task(self.read_lines())

    async def read_lines(self):
        """Copy the lines of the process to the record."""
        async for line in self.process.stdout:
            text = line.decode().rstrip()
            self.record.write(text)
            replica_id, _, rest = text.partition(': runs ')
            if rest:
                request_id, _, after = rest.partition(' after ')
                self.runs.append((replica_id, request_id, int(after)))
            replica_id, _, request_id = text.partition(': ends ')
            if request_id:
                self.ends.append((time.monotonic(), replica_id, request_id))

    async def kill(self):
        """Kill the process, as a crash does."""
        if self.process is not None and self.process.returncode is None:
            self.record.write(f'{self.replica_id}: is killed')
            self.process.kill()
            await self.process.wait()


class LineRecord:
    """Record of a replica's process, read by the case."""

    def write(self, text):
        """Write a line."""
        print(text, flush=True)


async def run_replica(arguments):
    """Run a replica until its process ends."""
    replica = Replica(
        arguments['place'],
        LineRecord(),
        arguments['number'],
        arguments['service'],
        arguments['zone'],
    )
    for name, value in arguments['options'].items():
        setattr(replica, name, value)
    await replica.start()
    await asyncio.Event().wait()


def make_text(request_id, number):
    """Return the data of an event."""
    return f'{request_id} {number} '.ljust(85, '.')


def make_configuration(version, routes, services, tenants):
    """Return a configuration document."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': tenants,
    }


def make_service(name):
    """Return a service as the operator defines it."""
    return {
        'name': name,
        'health_path': '/healthz',
        'max_connections': 300,
        'protocol': 'h1',
        'tls': False,
        'engine': {'slots': 8, 'kv_capacity_tokens': 147261},
    }


async def put_configuration(platform, document, seconds=10.0):
    """Send a configuration until it is acknowledged."""
    deadline = time.monotonic() + seconds
    body = json.dumps(document).encode()
    turn = 0
    while time.monotonic() < deadline:
        store = platform.stores[turn % len(platform.stores)]
        turn += 1
        answer = await call(
            platform.get_control(store),
            'POST',
            '/Config.Put',
            [('Host', 'control'), ('Content-Type', 'application/json')],
            body,
            1.0,
        )
        if answer.status == 200:
            platform.record.write(
                f'operator: configuration {document["version"]} acknowledged'
            )
            return
        await asyncio.sleep(0.2)
    raise CannotRun('the configuration was not acknowledged')


async def wait_ready(platform, seconds=15.0):
    """Wait until all entry machines are ready."""
    deadline = time.monotonic() + seconds
    for machine in platform.entries:
        while True:
            answer = await call(
                platform.get_ready(machine),
                'GET',
                '/readyz',
                [('Host', 'ready')],
                b'',
                1.0,
            )
            if answer.status == 200:
                break
            if time.monotonic() > deadline:
                raise CannotRun(f'{machine.name} is not ready')
            await asyncio.sleep(0.1)


def encode_body(data):
    """Return bytes in base64."""
    return base64.b64encode(data).decode()


def has_trouble():
    """Return whether the disruption takes place."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, main):
    """Run a case; exit with 1 if the rule was broken, 0 if it held."""
    record = Record(folder)
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(record), 115))
    except (CannotRun, TimeoutError) as error:
        record.write(f'the case could not run: {error!r}')
        sys.exit(2)
    except Exception as error:
        record.write(f'the case could not run: {error!r}')
        raise SystemExit(2) from error
    record.write('the rule was broken' if is_broken else 'the rule held')
    sys.exit(1 if is_broken else 0)


if __name__ == '__main__':
    asyncio.run(run_replica(json.loads(sys.argv[1])))
