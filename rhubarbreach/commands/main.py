"""Command line `rhubarbreach`."""

import importlib
import sys

import fire

from rhubarbreach.commands import check
from rhubarbreach.commands import explain
from rhubarbreach.commands import host
from rhubarbreach.commands import reference
from rhubarbreach.commands import timeline

__all__ = ['main']


def write_certificates(folder, *host_ids):
    """Create a certificate authority and certificates for hosts.

    Parameters
    ----------
    folder : str
        Output folder for ca.crt and ca.key, and for HOST.crt and HOST.key of
        each host.
    *host_ids : str
        Ids of the hosts.
    """
    module = importlib.import_module('rhubarbreach.bench.certificates')
    module.write_certificates(folder, [str(host_id) for host_id in host_ids])


class Commands:
    """Serving system for online and batch inference on one fleet.

    serve runs a host, check checks its settings (--config FILE) or a
    configuration (FILE) before it is sent, see `check --help`. admin has the
    commands for operators, timeline and explain print events from log files,
    load sends requests, demo and bench start a small deployment on the
    loopback address.
    """

    def __init__(self):
        self.serve = host.serve
        self.check = host.check
        self.version = host.print_version
        self.explain = explain.print_explanation
        self.timeline = timeline.print_timeline
        self.reference = reference.print_reference
        self.certificates = write_certificates

    @property
    def admin(self):
        """Operator commands."""
        module = importlib.import_module('rhubarbreach.commands.admin')
        return module.Admin

    @property
    def load(self):
        """Send online requests to running hosts."""
        name = 'rhubarbreach.bench.loadcommand'
        return importlib.import_module(name).run_load

    @property
    def demo(self):
        """Run a small deployment with faults and check the outcome."""
        return importlib.import_module('rhubarbreach.bench.demo').run_demo

    @property
    def bench(self):
        """Measure the serving policy with real processes."""
        return importlib.import_module('rhubarbreach.bench.serve').run_bench

    @property
    def faults(self):
        """Measure the effect of faults on requests with real processes."""
        name = 'rhubarbreach.bench.faultbench'
        return importlib.import_module(name).run_faults

    @property
    def slopes(self):
        """Measure the slopes in docs/CAPACITY.md."""
        return importlib.import_module('rhubarbreach.bench.slopes').run_slopes


def main():
    """Run the command named on the command line.

    `check` parses its own options, because fire would take FILE for the value
    of a flag before it, and exits with 2 on wrong usage.
    """
    if sys.argv[1:2] == ['check']:
        sys.exit(check.main(sys.argv[2:]))
    fire.Fire(Commands, name='rhubarbreach')
