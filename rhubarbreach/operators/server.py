"""gRPC server of the operator service."""

import concurrent.futures
import re

import grpc
import logbook

from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.operators import convert
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import service as service_module

__all__ = ['OPERATOR_PREFIX', 'Server', 'find_function_name']

LOG = logbook.Logger('operators')

# Hosts have certificates of the same authority, so only callers whose common
# name has this prefix are permitted.
OPERATOR_PREFIX = 'operator-'
COMMON_NAME_PROPERTY = 'x509_common_name'
MAX_THREADS = 16
STOP_GRACE_SECONDS = 1.0
DESCRIPTOR = operators_pb2.DESCRIPTOR.services_by_name['Operators']
WORD_START = re.compile(r'(?<!^)(?=[A-Z])')


def find_function_name(rpc_name):
    """Return the name of the `Service` method for an RPC name."""
    return WORD_START.sub('_', rpc_name).lower()


class Server:
    """gRPC server for the calls of operators.

    Parameters
    ----------
    address : str
        `IP:port`; port 0 selects a free port.
    provider : Provider
        Provider of the host on which the server runs.
    tls_files : TlsFiles or None
        Certificates; None for plain TCP on loopback.

    Attributes
    ----------
    port : int
        Port on which the server listens.

    Raises
    ------
    AddressError
        If the server cannot listen on the address.
    """

    def __init__(self, address, provider, tls_files=None):
        self.service = service_module.Service(provider)
        self.tls_files = tls_files
        self.executor = concurrent.futures.ThreadPoolExecutor(
            MAX_THREADS, thread_name_prefix='operators'
        )
        options = (('grpc.so_reuseport', 0),)
        self.server = grpc.server(self.executor, options=options)
        self.server.add_generic_rpc_handlers((self.make_handlers(),))
        self.port = self.listen(address)
        self.server.start()

    def listen(self, address):
        """Bind the address and return the port."""
        try:
            if self.tls_files is None:
                return self.server.add_insecure_port(address)
            return self.server.add_secure_port(
                address, make_credentials(self.tls_files)
            )
        except RuntimeError as error:
            raise exceptions.AddressError(
                f'cannot listen for operators on {address}'
            ) from error

    def make_handlers(self):
        """Return the handlers of all RPCs in the schema."""
        handlers = {}
        for method in DESCRIPTOR.methods:
            request_class = getattr(operators_pb2, method.input_type.name)
            reply_class = getattr(operators_pb2, method.output_type.name)
            handlers[method.name] = grpc.unary_unary_rpc_method_handler(
                self.make_handler(method.name, reply_class),
                request_deserializer=request_class.FromString,
                response_serializer=reply_class.SerializeToString,
            )
        return grpc.method_handlers_generic_handler(
            DESCRIPTOR.full_name, handlers
        )

    def make_handler(self, rpc_name, reply_class):
        """Return the function that handles one RPC."""
        function = getattr(self.service, find_function_name(rpc_name))

        def handle(request, context):
            name = self.find_caller(context)
            if name is None:
                refusal = codes.Refusal(
                    codes.ResultCode.NOT_PERMITTED,
                    f'the certificate name must start with {OPERATOR_PREFIX}',
                )
                return reply_class(result=convert.make_result(refusal))
            LOG.debug(
                'event=operator_call call={} caller={!r}', rpc_name, name
            )
            try:
                return function(request)
            except Exception:
                LOG.exception('event=operator_call_failed call={}', rpc_name)
                refusal = codes.Refusal(
                    codes.ResultCode.INTERNAL,
                    'the call failed with an internal error; see the host log',
                    codes.Ran.UNKNOWN,
                )
                return reply_class(result=convert.make_result(refusal))

        return handle

    def find_caller(self, context):
        """Return the certificate name of a caller, or None if not permitted.

        The name is empty without TLS.
        """
        if self.tls_files is None:
            return ''
        names = context.auth_context().get(COMMON_NAME_PROPERTY, ())
        for name in names:
            text = name.decode('utf-8', 'replace')
            if text.startswith(OPERATOR_PREFIX):
                return text
        return None

    def close(self):
        """Stop listening; calls in flight get a grace period to finish."""
        self.server.stop(STOP_GRACE_SECONDS).wait()
        self.executor.shutdown(wait=False, cancel_futures=True)


def make_credentials(files):
    """Return server credentials that require a client certificate."""
    parts = []
    for path in (files.key_file, files.certificate_file, files.ca_file):
        with open(path, 'rb') as file:
            parts.append(file.read())
    key, certificate, authority = parts
    return grpc.ssl_server_credentials(
        ((key, certificate),), authority, require_client_auth=True
    )
