"""Configuration reference, generated from the definitions of options."""

import sys

from rhubarbreach.settings import options

__all__ = ['format_reference', 'print_reference']

HEADER = """\
# Settings of a host

A host reads one INI file, `rhubarbreach serve --config FILE`. The file is
checked whole: each unknown section or option, missing or wrong value gives one
line on standard error, and the exit status is 2. A data folder that cannot be
used gives 3, an address that cannot be listened on 4. `rhubarbreach check
--config FILE` makes the same checks without starting the host.

The section `[peers]` holds one line `HOST = IP:port` for each host whose link
address is known at the start: the store hosts, or a few of them. All others
are learned from these.

This page is printed by `rhubarbreach reference`.

| section | option | default | allowed |
|---|---|---|---|
"""


def format_reference():
    """Return the reference page as Markdown."""
    rows = []
    for option in options.OPTIONS:
        default = option.default
        if default is options.REQUIRED:
            default = 'required'
        rows.append(
            f'| `{option.section}` | `{option.name}` '
            f'| {default or "empty"} | {option.allowed} |\n'
        )
    return HEADER + ''.join(rows)


def print_reference():
    """Print the configuration reference as Markdown."""
    sys.stdout.write(format_reference())
