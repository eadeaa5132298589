"""Command that prints the log events of all hosts that concern an id."""

import sys

from rhubarbreach.observe import loglines

__all__ = ['print_explanation']


def print_explanation(wanted, *files):
    """Print the log lines about an id and the lines that may explain them.

    Parameters
    ----------
    wanted : str
        Id of a request, job, item or endpoint.
    *files : str
        Log files of any number of hosts.

    Examples
    --------
    rhubarbreach explain REQUEST_ID host-*.log
    """
    texts = []
    for name in files:
        with open(name, encoding='utf-8', errors='replace') as file:
            texts.extend(file)
    lines = loglines.find_related_lines(
        loglines.merge_lines(texts), str(wanted)
    )
    for line in lines:
        sys.stdout.write(line.text + '\n')
    if not lines:
        sys.stderr.write(f'no log line mentions {wanted}\n')
        sys.exit(1)
