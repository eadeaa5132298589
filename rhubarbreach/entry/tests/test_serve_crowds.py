"""Crowds of untrusted callers at the process of `rhubarbreach serve`."""

import contextlib
import http.client
import json
import time
import urllib.error
import urllib.request

import pytest

from rhubarbreach.bench import declare
from rhubarbreach.bench import fleet
from rhubarbreach.bench import plans
from rhubarbreach.web.tests import crowds

# Memory of the machine: resident after the start, requests and responses that
# are held, connections.
MEMORY_BYTES = 200_000_000
MAX_HELD = 32 * 1024 * 1024
MAX_CONNECTIONS = 256
MAX_JOB_BYTES = 32 * 1024 * 1024
MAX_DESCRIPTORS = 2 * MAX_CONNECTIONS + 128
CROWD_SECONDS = 10.0
ANSWER_SECONDS = 60.0
CROWD = 1000
FEW = 60
ACCEPTED_JOBS = 16
BODY_BYTES = 4_194_304
BEYOND_LIMIT = 64_000_000
PLAN = plans.FleetPlan(
    name='crowded',
    region='r',
    model_id='rota',
    hosts=(plans.HostPlan('host-1', 'z1', True),),
    endpoints=(plans.EndpointPlan('engine-1', 'z1'),),
    accounts=(plans.AccountPlan('school', 1000.0, 1000.0),),
    zone_delay=0.0,
)

pytestmark = pytest.mark.crowd


def encode_chunk(data):
    return b'%x\r\n%s\r\n' % (len(data), data)


class CrowdedHost:
    """Process of a host with an engine, and a key of an account."""

    def __init__(self, folder):
        self.fleet = fleet.Fleet(PLAN, str(folder))
        path = self.fleet.get_settings_path('host-1')
        text = path.read_text().replace(
            '[host]\n', f'[host]\nmax_link_connections = {MAX_CONNECTIONS}\n'
        )
        path.write_text(
            text
            + f'[requests]\nmax_held = {MAX_HELD}\n'
            + f'max_connections = {MAX_CONNECTIONS}\n'
            + f'[jobs]\nmax_body = {MAX_JOB_BYTES}\n'
        )
        self.addresses = self.fleet.hosts['host-1']
        self.key = ''

    def start(self):
        """Start the processes and declare the account."""
        self.fleet.start()
        keys = declare.Operator(self.fleet).declare(PLAN)
        self.key = keys['school']
        self.fleet.wait_ready()
        self.serve_ordinary()

    def encode_head(self, path, *headers):
        """Return the head of a request with the key of the account."""
        lines = [f'POST {path} HTTP/1.1', 'Host: h', *headers]
        lines.append(f'Authorization: Bearer {self.key}')
        return '\r\n'.join([*lines, '', '']).encode()

    def complete(self):
        """Return the status of a completion, 0 without a response."""
        body = {'model': 'rota', 'prompt': 'a', 'max_tokens': 2}
        request = urllib.request.Request(
            f'http://{self.addresses.http}/v1/completions',
            json.dumps(body).encode(),
            {
                'Authorization': f'Bearer {self.key}',
                'Content-Type': 'application/json',
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as response:
                return response.status
        except (OSError, urllib.error.URLError):
            return 0

    def post(self, path, body):
        """Post a body, bytes or an iterator of chunks; return the status."""
        connection = http.client.HTTPConnection(
            self.addresses.http, timeout=ANSWER_SECONDS
        )
        with contextlib.closing(connection):
            headers = {
                'Authorization': f'Bearer {self.key}',
                'Content-Type': 'application/json',
            }
            if not isinstance(body, bytes):
                headers['Transfer-Encoding'] = 'chunked'
                body = b''.join(map(encode_chunk, body)) + b'0\r\n\r\n'
            connection.request('POST', path, body, headers)
            return connection.getresponse().status

    def serve_ordinary(self):
        """Wait until an ordinary caller is answered."""
        deadline = time.monotonic() + ANSWER_SECONDS
        while self.complete() != 200:
            assert time.monotonic() < deadline
            time.sleep(0.1)

    @contextlib.contextmanager
    def watch(self):
        """Check that the process lives within its limits meanwhile."""
        process = self.fleet.processes['host-1']
        with crowds.MemoryWatch(process.pid, None) as memory:
            yield
            assert process.poll() is None
        print(
            f'peak {memory.peak_bytes / 1e6:.0f} MB, of these at most '
            f'{memory.peak_unread_bytes / 1e6:.0f} MB unread, '
            f'at most {memory.peak_descriptors} descriptors'
        )
        assert process.poll() is None
        assert memory.peak_descriptors <= MAX_DESCRIPTORS
        assert memory.peak_bytes <= MEMORY_BYTES

    def endure(self, *crowd_list, seconds=CROWD_SECONDS):
        """Check the process beside crowds, and then an ordinary caller."""
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.watch())
            deadline = time.monotonic() + seconds
            for crowd in crowd_list:
                stack.enter_context(crowd)
            for crowd in crowd_list:
                crowd.wait(max(0.0, deadline - time.monotonic()))
            self.serve_ordinary()


@pytest.fixture
def crowded(tmp_path):
    with crowds.isolate(), crowds.allow_descriptors():
        host = CrowdedHost(tmp_path)
        try:
            host.start()
            yield host
        finally:
            log = tmp_path / 'host-1.log'
            print('\n'.join(log.read_text().splitlines()[-40:]))
            host.fleet.stop()


CHUNKED = 'Transfer-Encoding: chunked'
LENGTH = f'Content-Length: {BODY_BYTES}'


def make_chunk(size):
    return encode_chunk(b'x' * size)


# Connections, header, first bytes after the head, repeated bytes, bytes.
MESSAGES = {
    'silent': (CROWD, None, b'', b'x', 0),
    'head lines': (CROWD, 'a: b', b'', b'x', 0),
    'trailers': (FEW, CHUNKED, b'1\r\nx\r\n0\r\n', b'a: b\r\n', 4_000_000),
    'bodies': (CROWD, LENGTH, b'', b'x' * 1024, BODY_BYTES - 1),
    'chunks of 1 B': (CROWD, CHUNKED, b'', b'1\r\nx\r\n', 1_500_000),
    'chunks of 1 KB': (CROWD, CHUNKED, b'', make_chunk(1024), 4_200_000),
    'chunks of 64 KB': (CROWD, CHUNKED, b'', make_chunk(65_536), 4_100_000),
    'announced beyond the limit': (
        CROWD,
        f'Content-Length: {BEYOND_LIMIT}',
        b'',
        b'x' * 1024,
        BEYOND_LIMIT,
    ),
    'sent beyond the limit': (
        CROWD,
        CHUNKED,
        b'',
        make_chunk(65_536),
        BEYOND_LIMIT,
    ),
    'pipelined requests': (
        FEW,
        None,
        b'',
        b'GET /livez HTTP/1.1\r\nHost: h\r\n\r\n',
        4_000_000,
    ),
}


@pytest.mark.parametrize(
    'name', crowds.mark_cases(MESSAGES, ('bodies', 'chunks of 1 B'))
)
def test_messages_leave_a_host_alive(crowded, name):
    """Guards against messages that need more memory than the machine has."""
    count, header, rest, block, size = MESSAGES[name]
    start = rest
    if header is not None:
        start = crowded.encode_head('/v1/completions', header) + rest
    if name == 'head lines':
        start = start[:-2] + b'c: ' + b'd' * 1000
    address = crowded.addresses.http
    crowded.endure(
        crowds.Crowd(address, count, start, block, len(start) + size)
    )


@pytest.mark.by_hand
def test_announcements_of_many_endpoints_leave_a_host_alive(crowded):
    """Guards against a registry of endpoints without a bound."""
    calls = []
    for number in range(20_000):
        body = json.dumps(
            {
                'endpoint_id': f'{number}-{"n" * 200}',
                'address': f'127.9.9.9:{1 + number}',
                'zone': 'z' * 240,
                'kind': 'engine',
                'models': [f'{number % 7}-{"m" * 200}'] * 4,
                'incarnation': 1,
            }
        ).encode()
        calls.append(
            b'POST /internal/announce HTTP/1.1\r\nHost: h\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )
    crowded.endure(
        *(
            crowds.Crowd(crowded.addresses.http, 1, b''.join(calls[number::8]))
            for number in range(8)
        )
    )


def make_line(number):
    body = {'model': 'rota', 'prompt': 'x' * 1000, 'max_tokens': 2}
    line = {'custom_id': f'{number}', 'url': '/v1/completions', 'body': body}
    return json.dumps(line).encode() + b'\n'


@pytest.mark.by_hand
def test_uploads_that_stop_short_leave_a_host_alive(crowded):
    """Guards against jobs that are held while they are uploaded."""
    data = b''.join(map(make_line, range(20_000)))
    start = crowded.encode_head(
        '/v1/batches', f'Content-Length: {len(data) + 1}'
    )
    crowd = crowds.Crowd(crowded.addresses.http, FEW, start + data)
    crowded.endure(crowd, seconds=CROWD_SECONDS)


def test_whole_uploads_leave_a_host_alive(crowded):
    """Guards against accepted jobs that exceed the memory of the host."""
    data = b''.join(map(make_line, range(20_000)))
    start = crowded.encode_head('/v1/batches', f'Content-Length: {len(data)}')
    crowd = crowds.Crowd(crowded.addresses.http, FEW, start + data)
    crowded.endure(crowd, seconds=3 * CROWD_SECONDS)


# Other ports of the host. Connections, first bytes, repeated bytes, bytes.
PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
EMPTY_SETTINGS = b'\0\0\0\x04\0\0\0\0\0'
PING = b'\0\0\x08\x06\0\0\0\0\0' + bytes(8)
OTHER_PORTS = {
    'operators-silent': (CROWD, b'', b'x', 0),
    'operators-HTTP/1.1': (CROWD, b'', b'GET / HTTP/1.1\r\n\r\n', 100_000),
    'operators-pings': (FEW, PREFACE + EMPTY_SETTINGS, PING, 4_000_000),
    'link-silent': (CROWD, b'', b'x', 0),
    'link-greeting': (CROWD, b'\0SP\0\0\x50\0\0', b'x', 8),
}


@pytest.mark.by_hand
@pytest.mark.parametrize('name', OTHER_PORTS)
def test_connections_at_other_ports_leave_a_host_alive(crowded, name):
    """Guards against connections of strangers at ports of the fleet."""
    address = getattr(crowded.addresses, name.partition('-')[0])
    crowded.endure(crowds.Crowd(address, *OTHER_PORTS[name]))


@pytest.mark.by_hand
def test_jobs_one_after_another_leave_a_host_alive(crowded):
    """Guards against accepted jobs that exceed the memory together."""
    data = b''.join(map(make_line, range(20_000)))
    statuses = []
    with crowded.watch():
        for _ in range(ACCEPTED_JOBS):
            statuses.append(crowded.post('/v1/batches', data))
        crowded.serve_ordinary()
    assert statuses[0] == 200, statuses


@pytest.mark.by_hand
def test_longest_body_in_shortest_chunks_is_served(crowded):
    """Guards against a limit on the time that a sound request exceeds."""
    body = {'model': 'rota', 'prompt': 'a', 'max_tokens': 2, 'user': ''}
    body['user'] = 'x' * (BODY_BYTES - len(json.dumps(body)))
    chunks = (bytes((byte,)) for byte in json.dumps(body).encode())
    with crowded.watch():
        status = crowded.post('/v1/completions', chunks)
    assert status == 200
