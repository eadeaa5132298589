"""Command that explains an id from the event logs of all hosts."""

import sys

from rhubarbreach.observe import loglines

__all__ = ['print_explanation']


def print_explanation(wanted, *files):
    """Print what the logs say about an id, and what may explain it.

    Parameters
    ----------
    wanted : str
        Id of a request, job, item or endpoint.
    *files : str
        Logs of any number of hosts.

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
        sys.stderr.write(f'no line names {wanted}\n')
        sys.exit(1)
