"""Configuration reference, generated from the definitions of options."""

import sys

from rhubarbreach.configcheck import findings
from rhubarbreach.settings import options

__all__ = ['format_reference', 'print_reference']

HEADER = """\
# Settings of a host

A host reads one INI file, `rhubarbreach serve --config FILE`. The file is
checked whole: each unknown section or option, missing or wrong value gives one
line on standard error, and the exit status is 2. A data folder that cannot be
used gives 3, an address that cannot be listened on 4. `rhubarbreach check
--config FILE` makes the same checks without starting the host. `rhubarbreach
check FILE` checks another kind of file, see the end of this page.

The section `[peers]` holds one line `HOST = IP:port` for each host whose link
address is known at the start: the store hosts, or a few of them. All others
are learned from these.

This page is printed by `rhubarbreach reference`.

| section | option | default | allowed |
|---|---|---|---|
"""
CHECK = """
# Checking a configuration before it is sent

    rhubarbreach check FILE [--in-force FILE | --hosts HOST=IP:port,...]
    python platform/check.py FILE [--in-force FILE]

The first checks accounts, keys, models and routes (`rhubarbreach admin`), the
second the document that replaces the whole configuration of a fleet of entry
hosts and stores. `-` reads standard input. Nothing is changed anywhere.

FILE of the first is a JSON object with the lists `accounts`, `models`, `keys`
and `routes`, each of which may be left out. The fields of their entries are
those of `rhubarbreach/operators/operators.proto`; `digest` is in Base64, and
`revision` of a key is set by the stores. The entries are checked in this order
as changes of an empty configuration, revoked keys before others, so that an
entry is refused if it needs one that was refused.

Errors are exactly what the stores refuse, found by their own code. A document
that cannot be decoded has one error, the first. Warnings are about what the
stores accept. Those about the platform's document are searched for only once
it has no errors.

- `--in-force FILE`: list the entries added, removed and changed since this
  version. docs/platform.md says how to read that of the platform's document.
- `--hosts`, `--ca-file`, `--certificate-file`, `--key-file`: compare with what
  these hosts have in force, as for `rhubarbreach admin`.
- `--json`: print one JSON document in place of lines.
- `--fail-on-difference`: exit with 1 if there are differences.
- `--endpoints SERVICE=COUNT[xSLOTS],...`: endpoints that each service or model
  has, and the slots of each if the configuration does not state them. Of the
  platform's document, SLOTS replaces what it states.
- `--request-seconds SECONDS`: mean time for which a request holds a slot.
- `--cold-overage`, `--cold-slack`: settings of the hosts, of
  `platform/check.py` only.

| exit status | meaning |
|---|---|
| 0 | nothing found; differences alone are no finding |
| 1 | warnings, or differences with `--fail-on-difference` |
| 2 | errors |
| 5, 7 | `--hosts` did not answer, as for `rhubarbreach admin` |
| 64 | wrong usage, an unreadable file or version in force |

A finding in text is `FILE:LINE: SEVERITY: CODE: PLACE: TEXT`, such as
`new.json:7: warning: timeout_below_objective: routes[3].timeout_ms: ...`. A
field that is left out has the line of its entry. The JSON document has `file`,
the numbers `errors` and `warnings`, `findings` (objects with `severity`,
`code`, `place`, `line`, `text`) and `differences`: objects with `change`,
`kind`, `key` and `fields`, which has `old` and `new` by field, or null if
there is nothing to compare with or the document cannot be decoded. Routes of
the platform's document are compared by host and prefix, all other entries by
name or id. Keys are printed as the beginning of a SHA-256 digest. Scripts may
rely on codes, statuses and names; texts may change.

| code | severity | meaning |
|---|---|---|
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
    codes = [
        f'| `{code}` | {severity} | {meaning} |\n'
        for code, (severity, meaning) in findings.CODES.items()
    ]
    return ''.join([HEADER, *rows, CHECK, *codes])


def print_reference():
    """Print the configuration reference as Markdown."""
    sys.stdout.write(format_reference())
