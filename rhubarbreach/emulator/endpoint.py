"""Emulated engine endpoint: the HTTP interface of the engine."""

import dataclasses
import hashlib
import random
import threading
import time

import msgspec
import werkzeug

from rhubarbreach import clock
from rhubarbreach.emulator import announce
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import orders
from rhubarbreach.emulator import runs
from rhubarbreach.emulator import server
from rhubarbreach.emulator import tokens

__all__ = ['EndpointSettings', 'EngineEndpoint', 'digest_body']

DEFAULT_MAX_TOKENS = 16
DRAIN_POLL_SECONDS = 0.05
# A prompt that contains this text crashes the endpoint that runs it.
CRASH_MARKER = 'crash-endpoint'
# Every emulated engine refuses a prompt that contains this text.
FAIL_MARKER = 'fail-request'
DONE_EVENT = b'data: [DONE]\n\n'


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointSettings:
    """Settings of an emulated endpoint.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    zone : str
        Availability zone.
    listen : str
        Loopback `IP:port` to listen on.
    models : tuple of str
        Models that are loaded at the start, or the targets of a service.
    announce : tuple of str
        `IP:port` of the entry hosts.
    fencing : bool
        Whether orders with a stale fencing token are refused.
    load_seconds : float
        Time to load a model, in seconds.
    runs_file : str
        File to append runs to; empty to keep them in memory.
    seed : int
        Seed that decides which cache events are lost.
    """

    endpoint_id: str
    zone: str
    listen: str
    models: tuple[str, ...]
    announce: tuple[str, ...]
    fencing: bool = True
    load_seconds: float = 2.0
    runs_file: str = ''
    seed: int = 1


def digest_body(data):
    """Return a short digest of a request body."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class EngineEndpoint:
    """Emulated engine that announces itself and serves completions.

    Parameters
    ----------
    settings : EndpointSettings
        Settings of the endpoint.
    engine_settings : engine.EngineSettings
        Settings of the engine.
    """

    def __init__(self, settings, engine_settings):
        self.settings = settings
        self.engine = engine.Engine(
            engine_settings, random.Random(settings.seed)
        )
        self.orders = orders.OrderExecutor(
            settings.models, settings.fencing, settings.load_seconds
        )
        self.runs = runs.RunLog(settings.runs_file)
        self.incarnation = time.time_ns()
        self.draining = False
        self.drained = threading.Event()
        self.server = server.EndpointServer(settings.listen, self.handle)
        self.announcer = announce.Announcer(
            settings.announce, self.make_announcement
        )

    def make_announcement(self):
        """Return the announcement to the entry hosts."""
        load = self.engine.get_load()
        return {
            'endpoint_id': self.settings.endpoint_id,
            'address': self.settings.listen,
            'zone': self.settings.zone,
            'kind': 'engine',
            'models': self.orders.get_state().models,
            'incarnation': self.incarnation,
            'draining': self.draining,
            'fencing': self.settings.fencing,
            'load': make_load_fields(load),
        }

    def handle(self, request):
        """Return the response to a request."""
        match request.method, request.path:
            case 'POST', '/v1/chat/completions' | '/v1/completions':
                return self.run_completion(request)
            case 'POST', '/cancel':
                body = server.read_json(request)
                cancelled = self.engine.cancel(body.get('attempt_id', ''))
                return server.make_json({'cancelled': cancelled})
            case 'GET', '/load':
                return server.make_json(
                    make_load_fields(self.engine.get_load())
                )
            case 'GET', '/cache/events':
                return self.list_cache_events(request)
            case 'POST', '/kv/export':
                return self.export_cache(request)
            case 'POST', '/kv/import':
                return self.import_cache(request)
            case 'POST', '/orders':
                return self.execute_order(request)
            case 'GET', '/orders/state':
                return server.make_json(self.orders.get_state())
            case 'POST', '/fault':
                return self.set_fault(request)
            case 'POST', '/drain':
                self.start_drain()
                return server.make_json({'draining': True})
            case 'GET', '/stats':
                return server.make_json(
                    {'tokens': self.engine.generated_tokens}
                )
        return server.make_json({'error': 'not found'}, 404)

    def run_completion(self, request):
        """Run a completion; return it as a stream or as one body."""
        data = request.get_data()
        body = msgspec.json.decode(data)
        attempt_id = request.headers.get('X-Attempt-Id', '')
        if body.get('model') not in self.orders.get_state().models:
            return server.make_json(
                {'error': 'model not loaded', 'not_run': True},
                404,
                X_Attempt_Id=attempt_id,
            )
        if self.draining:
            return server.make_json(
                {'error': 'draining', 'not_run': True},
                503,
                X_Attempt_Id=attempt_id,
            )
        self.record_run('started', request, data)
        prompt = tokens.get_prompt(body)
        if CRASH_MARKER in prompt:
            server.crash()
        if FAIL_MARKER in prompt:
            return server.make_json({'error': 'prompt refused'}, 422)
        sequence = engine.Sequence(
            attempt_id,
            prompt,
            int(body.get('resume_from', 0)),
            int(body.get('max_tokens', DEFAULT_MAX_TOKENS)),
        )
        self.engine.submit(sequence)
        if not body.get('stream'):
            return self.make_completion(request, data, body, sequence)
        return werkzeug.Response(
            self.stream_events(request, data, body, sequence),
            content_type='text/event-stream',
            headers={'X-Attempt-Id': attempt_id},
        )

    def record_run(self, event, request, data):
        """Append an event of an attempt to the run log."""
        headers = request.headers
        self.runs.add(
            runs.Run(
                event,
                self.settings.endpoint_id,
                headers.get('X-Request-Id', ''),
                headers.get('X-Attempt-Id', ''),
                request.path,
                digest_body(data),
                'Authorization' in headers,
            )
        )

    def stream_events(self, request, data, body, sequence):
        """Yield the server-sent events of a streamed completion."""
        ended = False
        try:
            while (index := sequence.output.get()) is not None:
                yield make_event(body, sequence, index)
            ended = True
            if not sequence.cancelled:
                self.record_run('completed', request, data)
                yield DONE_EVENT
        finally:
            if not ended:
                self.engine.cancel(sequence.attempt_id)

    def make_completion(self, request, data, body, sequence):
        """Wait for the sequence to end and return the whole completion."""
        words = []
        while (index := sequence.output.get()) is not None:
            words.append(tokens.make_token(sequence.prompt, index))
        if sequence.cancelled:
            return server.make_json({'error': 'cancelled'}, 499)
        self.record_run('completed', request, data)
        message = {'role': 'assistant', 'content': ''.join(words)}
        completion = {
            'id': sequence.attempt_id,
            'object': 'chat.completion',
            'model': body['model'],
            'choices': [
                {'index': 0, 'message': message, 'finish_reason': 'length'}
            ],
            'usage': {
                'prompt_tokens': tokens.count_prompt_tokens(sequence.prompt),
                'completion_tokens': len(words),
            },
        }
        return server.make_json(completion, X_Attempt_Id=sequence.attempt_id)

    def list_cache_events(self, request):
        """Return the published cache events above a sequence number."""
        after = int(request.args.get('after', 0))
        events = self.engine.cache.get_events(after, clock.monotonic())
        return server.make_json({'events': events})

    def export_cache(self, request):
        """Return the digests of the cached blocks of a prefix."""
        body = server.read_json(request)
        digests = tokens.digest_blocks(body.get('prefix', ''))
        hits = self.engine.cache.count_hits(digests)
        return server.make_json({'blocks': digests[:hits]})

    def import_cache(self, request):
        """Store blocks that another endpoint has exported."""
        blocks = server.read_json(request).get('blocks', [])
        self.engine.cache.store(blocks, clock.monotonic())
        return server.make_json({'stored': len(blocks)})

    def execute_order(self, request):
        """Execute an order, unless its fencing token is stale."""
        order = msgspec.json.decode(request.get_data(), type=orders.Order)
        if not self.orders.execute(order):
            return server.make_json({'error': 'order refused'}, 409)
        self.announcer.announce_now()
        return server.make_json(self.orders.get_state())

    def set_fault(self, request):
        """Inject the faults named in the request: slowdown, hang or crash."""
        body = server.read_json(request)
        self.engine.slowdown = float(body.get('slowdown', 1.0))
        self.engine.hanging = bool(body.get('hang', False))
        if body.get('crash'):
            server.crash()
        return server.make_json({'slowdown': self.engine.slowdown})

    def start_drain(self):
        """Start draining; `drained` is set once no request is in flight."""
        self.draining = True
        self.announcer.announce_now()
        threading.Thread(target=self.wait_drained, daemon=True).start()

    def wait_drained(self):
        """Wait until no request is in flight, then set `drained`."""
        while self.engine.running or self.engine.waiting:
            time.sleep(DRAIN_POLL_SECONDS)
        self.drained.set()

    def close(self):
        """Stop the announcer, the engine and the server."""
        self.announcer.close()
        self.engine.close()
        self.server.close()


def make_load_fields(report):
    """Return the fields of a load report as they are sent."""
    return {
        'running': report.running,
        'waiting': report.waiting,
        'slots': report.slots,
        'kv_used': report.kv_used,
    }


def make_event(body, sequence, index):
    """Return one token as a server-sent event."""
    delta = {'content': tokens.make_token(sequence.prompt, index)}
    event = {
        'id': sequence.attempt_id,
        'index': index,
        'object': 'chat.completion.chunk',
        'model': body['model'],
        'choices': [{'index': 0, 'delta': delta}],
    }
    return b'data: ' + msgspec.json.encode(event) + b'\n\n'
