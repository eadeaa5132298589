"""Client of the operator service that tries several hosts."""

import dataclasses
import time

import grpc

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.operators import convert
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import operators_pb2_grpc

__all__ = ['Client', 'Target', 'parse_targets']

# Time limit for one host, in addition to the wait that the request asks for.
# The call is then repeated on the next host; operation ids make that safe.
ATTEMPT_TIMEOUT_SECONDS = 12.0
RETRY_PAUSE_SECONDS = 0.2
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
RETRYABLE_CODES = (codes.ResultCode.NOT_LEADER, codes.ResultCode.UNAVAILABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Operator address of a host; `host_id` is the name in its certificate."""

    host_id: str
    address: str


def parse_targets(text):
    """Return the targets of `IP:port` or `HOST=IP:port`, comma separated."""
    targets = []
    for part in text.split(','):
        host_id, _, address = part.strip().rpartition('=')
        targets.append(Target(host_id, address))
    return tuple(targets)


class Client:
    """Client that calls the hosts in turn until one answers.

    Parameters
    ----------
    targets : tuple of Target
        Hosts, the preferred one first.
    tls_files : TlsFiles or None
        Certificates of the operator, None for plain TCP.
    """

    def __init__(self, targets, tls_files=None):
        self.targets = targets
        self.credentials = make_credentials(tls_files) if tls_files else None
        self.target_index = 0
        self.channels = {}

    def call(self, name, request, timeout):
        """Call an RPC, trying further hosts if one fails.

        Parameters
        ----------
        name : str
            Name of an RPC of operators.proto.
        request : object
            Request message of the RPC.
        timeout : float
            Time limit of the whole call in seconds.

        Returns
        -------
        object
            Reply message, or a `ChangeReply` with the last refusal if no
            host accepted the call in time. Its outcome is unknown if an
            attempt may have been carried out.
        """
        deadline = clock.monotonic() + timeout
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            f'no host answered within {timeout:g} s',
        )
        may_have_run = False
        while clock.monotonic() < deadline:
            target = self.targets[self.target_index % len(self.targets)]
            reply = self.attempt(target, name, request, deadline)
            if not isinstance(reply, codes.Refusal):
                if reply.result.code not in RETRYABLE_CODES:
                    return reply
                refusal = read_refusal(reply.result)
            else:
                refusal = reply
            may_have_run = may_have_run or refusal.ran != codes.Ran.NO
            self.target_index += 1
            time.sleep(RETRY_PAUSE_SECONDS)
        ran = codes.Ran.UNKNOWN if may_have_run else codes.Ran.NO
        result = convert.make_result(dataclasses.replace(refusal, ran=ran))
        return operators_pb2.ChangeReply(result=result)

    def attempt(self, target, name, request, deadline):
        """Return the reply of one host, or a refusal."""
        stub = self.get_stub(target)
        remaining = clock.remaining(deadline, clock.monotonic())
        try:
            return getattr(stub, name)(
                request,
                timeout=min(remaining, self.get_attempt_timeout(request)),
            )
        except grpc.RpcError as error:
            return codes.Refusal(
                codes.ResultCode.UNAVAILABLE,
                f'{target.address}: {error.code().name.lower()}',
                codes.Ran.UNKNOWN,
            )

    def get_attempt_timeout(self, request):
        """Return the time limit of one attempt in seconds."""
        header = getattr(request, 'change', request)
        return ATTEMPT_TIMEOUT_SECONDS + getattr(header, 'wait', 0.0)

    def get_stub(self, target):
        """Return the stub of a host."""
        if target not in self.channels:
            self.channels[target] = self.open_channel(target)
        return operators_pb2_grpc.OperatorsStub(self.channels[target])

    def open_channel(self, target):
        """Return a new channel to a host."""
        options = [('grpc.max_receive_message_length', MAX_MESSAGE_BYTES)]
        if self.credentials is None:
            return grpc.insecure_channel(target.address, options)
        if target.host_id:
            options.append(('grpc.ssl_target_name_override', target.host_id))
        return grpc.secure_channel(target.address, self.credentials, options)

    def close(self):
        """Close all channels."""
        for channel in self.channels.values():
            channel.close()


def read_refusal(result):
    """Return the refusal that a result message holds."""
    return codes.Refusal(
        codes.ResultCode(result.code), result.reason, codes.Ran(result.ran)
    )


def make_credentials(files):
    """Return the channel credentials of an operator."""
    parts = []
    for path in (files.ca_file, files.key_file, files.certificate_file):
        with open(path, 'rb') as file:
            parts.append(file.read())
    return grpc.ssl_channel_credentials(*parts)
