"""Connection of the operator command line, and how it reports results."""

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
HOSTS_VARIABLE = 'RHUBARBREACH_OPERATORS'
CALL_TIMEOUT = 30.0
# Groups whose host list holds more names than this are cut in the report.
MAX_PENDING_LINES = 20


class Session:
    """Sends the calls of one command.

    Parameters
    ----------
    hosts : str
        `HOST=IP:port` of operator addresses, comma separated.
    ca_file, certificate_file, key_file : str
        PEM files of the operator, empty for plain TCP.
    operation_id : str
        Id of the change, empty for a new one.
    revision : int or None
        Expected revision, None for the current one.
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
        """Connect at the first call, so that `--help` needs no hosts."""
        if self.client is not None:
            return
        text = str(self.hosts or os.environ.get(HOSTS_VARIABLE, ''))
        if not text:
            leave(
                f'give --hosts or set {HOSTS_VARIABLE} to HOST=IP:port,...',
                EXIT_REFUSED,
            )
        targets = client.parse_targets(text)
        self.client = client.Client(targets, self.files)

    def call(self, name, request):
        """Return the reply to a call; leave when it was refused."""
        self.connect()
        reply = self.client.call(name, request, CALL_TIMEOUT + self.wait)
        if reply.result.code != codes.ResultCode.OK:
            self.leave_refused(reply.result)
        return reply

    def leave_refused(self, result):
        """Print why a call was refused, and exit."""
        code = codes.ResultCode(result.code)
        lines = [f'refused: {code.value} {code.name}: {result.reason}']
        status = EXIT_REFUSED
        if result.ran == codes.Ran.UNKNOWN:
            status = EXIT_UNKNOWN
            lines.append(
                'it is not known whether the change was made; repeat the '
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
            Revision of a list that the change is based on; None to ask.
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
        """Make a change and report where it is in effect."""
        reply = self.call(name, request)
        self.report(reply)

    def report(self, reply):
        """Print a reply; exit with `EXIT_PENDING` if not in effect."""
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
            Call that returns the list.
        wanted : str
            Id to choose members by, empty for all.
        field : str
            Field of the reply that holds the rows.
        columns : tuple of str
            Fields of a row to show.
        """
        request = operators_pb2.ListRequest(id=str(wanted))
        reply = self.call(name, request)
        rows = getattr(reply, field)
        sys.stdout.write(tables.format_table(columns, rows))
        if 'revision' in reply.DESCRIPTOR.fields_by_name:
            sys.stdout.write(f'revision {reply.revision}\n')


def describe_pending(reply):
    """Return the lines that say where a change is not in effect."""
    if reply.effect_reason:
        return [f'not known where it is in effect: {reply.effect_reason}']
    lines = []
    for one in reply.pending[:MAX_PENDING_LINES]:
        host_id = one.host_id or 'hosts that have not reported'
        lines.append(
            f'not yet in effect on {host_id}; '
            f'at the latest in {one.seconds:.1f} s'
        )
    hidden = len(reply.pending) - len(lines)
    if hidden > 0:
        lines.append(f'and on {hidden} other hosts')
    return lines


def leave(text, status):
    """Print an error and exit."""
    sys.stderr.write(f'{text}\n')
    sys.exit(status)
