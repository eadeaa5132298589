"""Emulated service whose calls are not idempotent."""

import threading
import time

from rhubarbreach.emulator import announce
from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import runs
from rhubarbreach.emulator import server

__all__ = ['ServiceEndpoint']

CALL_SECONDS = 0.02
SLOTS = 32


class ServiceEndpoint:
    """Emulated service that returns a new confirmation number for each call.

    Parameters
    ----------
    settings : endpoint.EndpointSettings
        Settings of the endpoint; `models` holds the targets that routes refer
        to.
    """

    def __init__(self, settings):
        self.settings = settings
        self.runs = runs.RunLog(settings.runs_file)
        self.incarnation = time.time_ns()
        self.lock = threading.Lock()
        self.confirmations = 0
        self.running = 0
        self.draining = False
        self.drained = threading.Event()
        self.hanging = False
        self.server = server.EndpointServer(settings.listen, self.handle)
        self.announcer = announce.Announcer(
            settings.announce, self.make_announcement
        )

    def make_announcement(self):
        """Return the announcement to the entry hosts."""
        return {
            'endpoint_id': self.settings.endpoint_id,
            'address': self.settings.listen,
            'zone': self.settings.zone,
            'kind': 'service',
            'models': self.settings.models,
            'incarnation': self.incarnation,
            'draining': self.draining,
            'fencing': False,
            'load': {
                'running': self.running,
                'waiting': 0,
                'slots': SLOTS,
                'kv_used': 0.0,
            },
        }

    def handle(self, request):
        """Return the response to a request."""
        match request.method, request.path:
            case 'POST', '/cancel':
                return server.make_json({'cancelled': False})
            case 'POST', '/fault':
                body = server.read_json(request)
                self.hanging = bool(body.get('hang', False))
                return server.make_json({'hang': self.hanging})
            case 'POST', '/drain':
                self.start_drain()
                return server.make_json({'draining': True})
        if self.draining:
            return server.make_json(
                {'error': 'draining', 'not_run': True},
                503,
                X_Attempt_Id=request.headers.get('X-Attempt-Id', ''),
            )
        return self.run_call(request)

    def run_call(self, request):
        """Run a call; each run uses a new confirmation number."""
        data = request.get_data()
        attempt_id = request.headers.get('X-Attempt-Id', '')
        self.runs.add(
            runs.Run(
                'started',
                self.settings.endpoint_id,
                request.headers.get('X-Request-Id', ''),
                attempt_id,
                request.path,
                endpoint.digest_body(data),
                'Authorization' in request.headers,
            )
        )
        with self.lock:
            self.confirmations += 1
            confirmation = self.confirmations
            self.running += 1
        if endpoint.CRASH_MARKER.encode() in data:
            server.crash()
        while self.hanging:
            time.sleep(CALL_SECONDS)
        time.sleep(CALL_SECONDS)
        with self.lock:
            self.running -= 1
        return server.make_json(
            {
                'confirmation': confirmation,
                'endpoint_id': self.settings.endpoint_id,
                'body_digest': endpoint.digest_body(data),
            },
            X_Attempt_Id=attempt_id,
        )

    def start_drain(self):
        """Start draining; `drained` is set once no call is in flight."""
        self.draining = True
        self.announcer.announce_now()
        threading.Thread(target=self.wait_drained, daemon=True).start()

    def wait_drained(self):
        """Wait until no call is in flight, then set `drained`."""
        while self.running:
            time.sleep(endpoint.DRAIN_POLL_SECONDS)
        self.drained.set()

    def close(self):
        """Stop the announcer and the server."""
        self.announcer.close()
        self.server.close()
