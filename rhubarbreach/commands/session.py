"""Session of the operator command line: calls and reports of results."""

import os
import sys
import uuid

from rhubarbreach import codes
from rhubarbreach.commands import tables
from rhubarbreach.operators import client
from rhubarbreach.operators import operators_pb2
from rhubarbreach.protocol import tls

__all__ = ['EXIT_PENDING', 'EXIT_REFUSED', 'EXIT_UNKNOWN', 'Session']

EXIT_REFUSED = 5
EXIT_PENDING = 6
EXIT_UNKNOWN = 7
HOSTS_ENV_VAR = 'RHUBARBREACH_OPERATORS'
CALL_TIMEOUT_SECONDS = 30.0
# Pending hosts beyond this number are only counted in the report.
MAX_PENDING_HOSTS = 20


class Session:
    """Connection to the hosts for the calls of one command.

    Parameters
    ----------
    hosts : str
        Operator addresses as `HOST=IP:port`, comma separated; empty for the
        environment variable.
    ca_file, certificate_file, key_file : str
        PEM files of the operator; empty for plain TCP.
    operation_id : str
        Id of the change; empty for a new id.
    revision : int or None
        Expected revision; None for the current one.
    wait : float
        Seconds to wait until the change is in effect.
    """

    def __init__(
        self,
        hosts,
        ca_file,
        certificate_file,
        key_file,
        operation_id,
        revision,
        wait,
    ):
        self.hosts = hosts
        self.files = None
        if ca_file:
            self.files = tls.TlsFiles(ca_file, certificate_file, key_file)
        self.client = None
        self.operation_id = str(operation_id or uuid.uuid4().hex)
        self.revision = revision
        self.wait = float(wait)

    def connect(self):
        """Connect if necessary.

        The first call connects, so that `--help` needs no hosts.
        """
        if self.client is not None:
            return
        text = str(self.hosts or os.environ.get(HOSTS_ENV_VAR, ''))
        if not text:
            leave(
                f'give --hosts or set {HOSTS_ENV_VAR} to HOST=IP:port,...',
                EXIT_REFUSED,
            )
        targets = client.parse_targets(text)
        self.client = client.Client(targets, self.files)

    def call(self, name, request):
        """Return the reply to a call, or exit if it was refused."""
        self.connect()
        reply = self.client.call(
            name, request, CALL_TIMEOUT_SECONDS + self.wait
        )
        if reply.result.code != codes.ResultCode.OK:
            self.leave_refused(reply.result)
        return reply

    def leave_refused(self, result):
        """Print the reason for a refusal and exit."""
        code = codes.ResultCode(result.code)
        lines = [f'refused: {code.value} {code.name}: {result.reason}']
        status = EXIT_REFUSED
        if result.ran == codes.Ran.UNKNOWN:
            status = EXIT_UNKNOWN
            lines.append(
                'it is unknown whether the change was made; repeat the '
                f'command with --operation_id={self.operation_id}'
            )
            if self.revision is not None:
                lines[-1] += f' --revision={self.revision}'
        leave('\n'.join(lines), status)

    def make_header(self, found_revision=None):
        """Return the header of a change.

        Parameters
        ----------
        found_revision : int or None
            Revision of the list on which the change is based; None to query
            the current revision.
        """
        if self.revision is None:
            if found_revision is None:
                request = operators_pb2.ListRequest()
                found_revision = self.call('ListModels', request).revision
            self.revision = found_revision
        return operators_pb2.Change(
            operation_id=self.operation_id,
            expected_revision=int(self.revision),
            wait=self.wait,
        )

    def change(self, name, request):
        """Send a change and report where it is in effect."""
        reply = self.call(name, request)
        self.report(reply)

    def report(self, reply):
        """Print a reply; exit with `EXIT_PENDING` if it is not in effect."""
        if reply.in_effect:
            sys.stdout.write(
                f'revision {reply.revision} is in effect on all hosts\n'
            )
            return
        sys.stdout.write(f'revision {reply.revision} is accepted\n')
        for line in describe_pending(reply):
            sys.stdout.write(f'{line}\n')
        sys.exit(EXIT_PENDING)

    def show(self, name, wanted, field, columns):
        """Print a list as a table.

        Parameters
        ----------
        name : str
            RPC that returns the list.
        wanted : str
            Id by which the list is filtered; empty for all.
        field : str
            Field of the reply that holds the rows.
        columns : tuple of str
            Fields of a row to print.
        """
        request = operators_pb2.ListRequest(id=str(wanted))
        reply = self.call(name, request)
        rows = getattr(reply, field)
        sys.stdout.write(tables.format_table(columns, rows))
        if 'revision' in reply.DESCRIPTOR.fields_by_name:
            sys.stdout.write(f'revision {reply.revision}\n')


def describe_pending(reply):
    """Return lines that describe where a change is not in effect."""
    if reply.effect_reason:
        return [f'unknown where it is in effect: {reply.effect_reason}']
    lines = []
    for pending in reply.pending[:MAX_PENDING_HOSTS]:
        host_id = pending.host_id or 'hosts that have not reported'
        lines.append(
            f'not yet in effect on {host_id}; '
            f'at the latest in {pending.seconds:.1f} s'
        )
    omitted = len(reply.pending) - len(lines)
    if omitted > 0:
        lines.append(f'and on {omitted} other hosts')
    return lines


def leave(text, status):
    """Print an error and exit."""
    sys.stderr.write(f'{text}\n')
    sys.exit(status)
