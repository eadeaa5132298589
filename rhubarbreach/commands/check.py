"""Command that checks a configuration before it is sent."""

import argparse
import contextlib
import functools
import importlib
import pathlib
import sys

from rhubarbreach.configcheck import differences
from rhubarbreach.configcheck import documents
from rhubarbreach.configcheck import findings
from rhubarbreach.configcheck import report
from rhubarbreach import exceptions

__all__ = ['EXIT_USAGE', 'check_file', 'main', 'make_parser']

# EX_USAGE of sysexits.h; argparse itself would exit with 2, as for errors of
# the configuration.
EXIT_USAGE = 64
STANDARD_INPUT = '-'
LIST_ATTEMPTS = 3


class Parser(argparse.ArgumentParser):
    """Parser of a command line, with a status of its own for its errors."""

    def error(self, message):
        """Print a message and exit with `EXIT_USAGE`."""
        self.print_usage(sys.stderr)
        self.exit(EXIT_USAGE, f'{self.prog}: {message}\n')


def make_parser(program, description):
    """Return the parser of the options that all formats have."""
    parser = Parser(
        prog=program,
        description=description,
        allow_abbrev=False,
        epilog='Exit status: 0 nothing found, 1 warnings, 2 errors, 64 wrong '
        'usage or a file that cannot be read. docs/configuration.md explains '
        'the findings.',
    )
    parser.add_argument(
        'file', nargs='?', help='configuration to check, - for standard input'
    )
    parser.add_argument(
        '--in-force',
        metavar='FILE',
        help='configuration in force; differences from it are listed',
    )
    parser.add_argument(
        '--json', action='store_true', help='print one JSON document'
    )
    parser.add_argument(
        '--fail-on-difference',
        action='store_true',
        help='exit with 1 if there are differences',
    )
    parser.add_argument(
        '--endpoints',
        default='',
        metavar='SERVICE=COUNT[xSLOTS],...',
        help='endpoints of each service or model, and the slots of each',
    )
    parser.add_argument(
        '--request-seconds',
        default=0,
        metavar='SECONDS',
        help='mean time for which a request holds a slot',
    )
    return parser


def check_file(form, options, read_stored=None, **settings):
    """Check a file, print the report and return the exit status.

    Parameters
    ----------
    form : object
        Format of the file: `check(data, scan, fleet, in_force)` returns the
        findings, `read_contents(data)` the `Contents` of a document. Larger
        ones than `max_bytes` are not read whole.
    options : argparse.Namespace
        Options of `make_parser`.
    read_stored : callable, optional
        `read_stored()` returns the `Contents` in force.
    **settings : float or str
        Further fields of `findings.Fleet`; None for the default.
    """
    try:
        fleet = findings.parse_fleet(
            options.endpoints,
            request_seconds=options.request_seconds,
            **settings,
        )
        data = read_file(options.file, form.max_bytes)
        old = None
        if options.in_force is not None:
            old = form.read_contents(
                read_file(options.in_force, form.max_bytes)
            )
        elif read_stored is not None:
            old = read_stored()
    except exceptions.SettingsError as error:
        return leave(str(error))
    except exceptions.MessageError as error:
        return leave(f'{options.in_force}: {error}')
    except (OSError, ValueError) as error:
        return leave(str(error))
    found, scan, changed = analyse(form, data, fleet, old)
    outcome = report.make_report(options.file, found, scan, changed)
    write = report.format_json if options.json else report.format_text
    # Names may hold characters that the terminal's encoding lacks.
    sys.stdout.reconfigure(errors='backslashreplace')
    sys.stdout.write(write(outcome))
    return report.get_status(outcome, options.fail_on_difference)


def analyse(form, data, fleet, old):
    """Return the findings, the scan and the differences of a document."""
    if len(data) > form.max_bytes:
        finding = findings.Finding(
            'document_too_large',
            (),
            f'the document has more than {form.max_bytes} bytes',
        )
        return [finding], documents.Scan(b''), None
    scan = documents.scan(data)
    found = form.check(data, scan, fleet, old)
    changed = None
    if old is not None:
        with contextlib.suppress(exceptions.MessageError):
            changed = differences.find_differences(
                old, form.read_contents(data)
            )
    return found, scan, changed


def read_file(name, max_bytes):
    """Return the bytes of a file, at most one more than are checked."""
    if name == STANDARD_INPUT:
        return sys.stdin.buffer.read(max_bytes + 1)
    with pathlib.Path(name).open('rb') as file:
        return file.read(max_bytes + 1)


def leave(text):
    """Print a message and return `EXIT_USAGE`."""
    sys.stderr.write(f'{text}\n')
    return EXIT_USAGE


def fetch_contents(options):
    """Return the `Contents` that the hosts have in force."""
    # Imported here, as other checks need no connection.
    convert = importlib.import_module('rhubarbreach.operators.convert')
    messages = importlib.import_module('rhubarbreach.operators.operators_pb2')
    session = importlib.import_module('rhubarbreach.commands.session')
    model = importlib.import_module('rhubarbreach.state.model')
    staterules = importlib.import_module('rhubarbreach.configcheck.staterules')
    calls = session.Session(
        options.hosts,
        options.ca_file,
        options.certificate_file,
        options.key_file,
        '',
        None,
        0,
    )
    for _ in range(LIST_ATTEMPTS):
        lists = {}
        revisions = set()
        for field, cls in (
            ('accounts', model.Account),
            ('models', model.Model),
            ('keys', model.Key),
            ('routes', model.Route),
        ):
            name = f'List{field.capitalize()}'
            reply = calls.call(name, messages.ListRequest())
            revisions.add(reply.revision)
            lists[field] = tuple(
                convert.from_message(row, cls) for row in getattr(reply, field)
            )
        if len(revisions) == 1:
            return staterules.make_contents(staterules.Document(**lists))
    raise ValueError('the configuration changes while it is read')


def main(arguments):
    """Check a configuration, or the settings of a host with `--config`.

    Parameters
    ----------
    arguments : list of str
        Command line after `rhubarbreach check`.

    Returns
    -------
    int
        Exit status.
    """
    parser = make_parser(
        'rhubarbreach check',
        'Checks a configuration of accounts, keys, models and routes, or with '
        '--config the settings of a host.',
    )
    parser.add_argument(
        '--config', metavar='FILE', help='settings file of a host'
    )
    parser.add_argument(
        '--hosts',
        metavar='HOST=IP:PORT,...',
        help='compare with what these hosts have in force',
    )
    for name in ('ca', 'certificate', 'key'):
        parser.add_argument(
            f'--{name}-file',
            f'--{name}_file',
            default='',
            metavar='FILE',
            help='PEM file for --hosts',
        )
    options = parser.parse_args(arguments)
    if (options.file is None) == (options.config is None):
        parser.error('give either FILE or --config FILE')
    if options.hosts is not None and options.in_force is not None:
        parser.error('give either --in-force or --hosts')
    if options.config is not None:
        host = importlib.import_module('rhubarbreach.commands.host')
        return host.check(options.config)
    staterules = importlib.import_module('rhubarbreach.configcheck.staterules')
    read_stored = None
    if options.hosts is not None:
        read_stored = functools.partial(fetch_contents, options)
    return check_file(staterules.Format(), options, read_stored)
