"""Client of the calls of operators, which tries several hosts."""

import dataclasses
import time

import grpc

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.operators import convert
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import operators_pb2_grpc

__all__ = ['Client', 'Target', 'parse_targets']

# A host that does not answer in this time, beyond the wait that was asked
# for, is passed over; operation ids make the repetition harmless.
ATTEMPT_TIMEOUT = 12.0
RETRY_PAUSE = 0.2
MAX_MESSAGE = 64 * 1024 * 1024
RETRIED = (codes.ResultCode.NOT_LEADER, codes.ResultCode.UNAVAILABLE)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Operator address of a host; `host_id` names its certificate."""

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
    """Calls the first host that answers.

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
        self.place = 0
        self.channels = {}

    def call(self, name, request, timeout):
        """Make one call, at several hosts if need be.

        Parameters
        ----------
        name : str
            Call of operators.proto.
        request : object
            Its request message.
        timeout : float
            Seconds after which the outcome counts as unknown.

        Returns
        -------
        object
            Reply message, or a `ChangeReply` with a refusal when no host
            answered.
        """
        deadline = clock.monotonic() + timeout
        last = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'no host answered')
        sent = False
        while clock.monotonic() < deadline:
            target = self.targets[self.place % len(self.targets)]
            found = self.attempt(target, name, request, deadline)
            if not isinstance(found, codes.Refusal):
                if found.result.code not in RETRIED:
                    return found
                last = read_refusal(found.result)
            else:
                last = found
            sent = sent or last.ran != codes.Ran.NO
            self.place += 1
            time.sleep(RETRY_PAUSE)
        ran = codes.Ran.UNKNOWN if sent else codes.Ran.NO
        result = convert.make_result(dataclasses.replace(last, ran=ran))
        return operators_pb2.ChangeReply(result=result)

    def attempt(self, target, name, request, deadline):
        """Return the reply of one host, or a refusal."""
        stub = self.get_stub(target)
        left = clock.remaining(deadline, clock.monotonic())
        try:
            return getattr(stub, name)(
                request, timeout=min(left, self.find_timeout(request))
            )
        except grpc.RpcError as error:
            return codes.Refusal(
                codes.ResultCode.UNAVAILABLE,
                f'{target.address}: {error.code().name.lower()}',
                codes.Ran.UNKNOWN,
            )

    def find_timeout(self, request):
        """Return the seconds to wait for one host."""
        header = getattr(request, 'change', request)
        return ATTEMPT_TIMEOUT + getattr(header, 'wait', 0.0)

    def get_stub(self, target):
        """Return the stub of a host."""
        if target not in self.channels:
            self.channels[target] = self.open_channel(target)
        return operators_pb2_grpc.OperatorsStub(self.channels[target])

    def open_channel(self, target):
        """Return a new channel to a host."""
        options = [('grpc.max_receive_message_length', MAX_MESSAGE)]
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
    """Return the refusal in a result."""
    return codes.Refusal(
        codes.ResultCode(result.code), result.reason, codes.Ran(result.ran)
    )


def make_credentials(files):
    """Return the credentials of an operator."""
    parts = []
    for path in (files.ca_file, files.key_file, files.certificate_file):
        with open(path, 'rb') as file:
            parts.append(file.read())
    return grpc.ssl_channel_credentials(*parts)
