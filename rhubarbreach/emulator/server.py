"""HTTP server of the emulated endpoints."""

import os
import threading

import msgspec
import werkzeug
from werkzeug import serving

__all__ = ['EndpointServer', 'make_json', 'read_json']

LISTEN_BACKLOG = 1024
CRASH_EXIT_STATUS = 17
LOOPBACK_PREFIX = '127.'


class QuietHandler(serving.WSGIRequestHandler):
    """HTTP/1.1 request handler with keep-alive and without access log."""

    protocol_version = 'HTTP/1.1'

    def log(self, type, message, *args):
        """Discard the message, as the run log records the requests."""


class Server(serving.ThreadedWSGIServer):
    """Threaded WSGI server with a long listen queue."""

    request_queue_size = LISTEN_BACKLOG


def read_json(request):
    """Return the decoded JSON body of a request, or an empty dict."""
    data = request.get_data()
    if not data:
        return {}
    return msgspec.json.decode(data)


def make_json(value, status=200, **headers):
    """Return a JSON response.

    Underscores in the names of `headers` become hyphens.
    """
    response = werkzeug.Response(
        msgspec.json.encode(value), status, content_type='application/json'
    )
    for name, text in headers.items():
        response.headers[name.replace('_', '-')] = text
    return response


class EndpointServer:
    """HTTP server on a loopback address.

    Parameters
    ----------
    listen : str
        Loopback `IP:port` to listen on.
    handle_request : callable
        Called with a werkzeug request; returns the response.
    """

    def __init__(self, listen, handle_request):
        address, _, port = listen.rpartition(':')
        if not address.startswith(LOOPBACK_PREFIX):
            raise ValueError(
                f'listen address is not a loopback address: {listen}'
            )
        self.handle_request = handle_request
        self.server = Server(
            address, int(port), self.serve_wsgi, handler=QuietHandler
        )
        self.server.daemon_threads = True
        self.thread = threading.Thread(
            target=self.server.serve_forever, name='http', daemon=True
        )
        self.thread.start()

    def serve_wsgi(self, environ, start_response):
        """Handle one WSGI request."""
        request = werkzeug.Request(environ)
        try:
            response = self.handle_request(request)
        except msgspec.DecodeError as error:
            response = make_json({'error': str(error)}, 400)
        return response(environ, start_response)

    def close(self):
        """Stop the server and close its listening socket."""
        self.server.shutdown()
        self.server.server_close()


def crash():
    """End the process immediately, without cleanup, as a crash does."""
    os._exit(CRASH_EXIT_STATUS)
