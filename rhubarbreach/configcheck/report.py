"""Report of the check of a configuration, as text or JSON."""

import dataclasses
import json

from rhubarbreach.configcheck import documents
from rhubarbreach.configcheck import findings

__all__ = [
    'EXIT_ERRORS',
    'EXIT_NOTHING',
    'EXIT_WARNINGS',
    'Report',
    'format_json',
    'format_text',
    'get_status',
    'make_report',
]

EXIT_NOTHING = 0
EXIT_WARNINGS = 1
EXIT_ERRORS = 2
# Longest value of a difference and longest text of a finding, in characters.
MAX_CHARACTERS = 300


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A finding as printed."""

    severity: str
    code: str
    place: str
    line: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Outcome of a check.

    `differences` is None if there was no version to compare with.
    """

    file: str
    errors: int
    warnings: int
    findings: tuple
    differences: tuple | None


def make_report(name, found, scan, differences):
    """Return the report of a document.

    Parameters
    ----------
    name : str
        Name of the file.
    found : iterable of Finding
        Findings in any order.
    scan : Scan
        Scan of the document.
    differences : iterable of Difference or None
        Differences from the version in force.
    """
    rows = [
        Row(
            findings.get_severity(finding),
            finding.code,
            documents.format_place(finding.place),
            scan.find_place_line(finding.place),
            shorten(finding.text),
        )
        for finding in found
    ]
    # "error" precedes "warning".
    rows.sort(key=lambda row: (row.severity, row.line))
    errors = sum(row.severity == findings.ERROR for row in rows)
    return Report(
        name,
        errors,
        len(rows) - errors,
        tuple(rows),
        None if differences is None else tuple(differences),
    )


def shorten(text):
    """Return a text without a part beyond `MAX_CHARACTERS`."""
    if len(text) <= MAX_CHARACTERS:
        return text
    return f'{text[:MAX_CHARACTERS]}...'


def get_status(report, counts_differences):
    """Return the exit status.

    Parameters
    ----------
    report : Report
        Outcome of a check.
    counts_differences : bool
        Whether differences count as much as warnings.
    """
    if report.errors:
        return EXIT_ERRORS
    if report.warnings or (counts_differences and report.differences):
        return EXIT_WARNINGS
    return EXIT_NOTHING


def format_json(report):
    """Return a report as a JSON document."""
    return json.dumps(dataclasses.asdict(report), indent=2) + '\n'


def format_text(report):
    """Return a report as lines for a terminal."""
    lines = []
    for row in report.findings:
        place = f' {row.place}:' if row.place else ''
        lines.append(
            f'{report.file}:{row.line}: {row.severity}: {row.code}:{place} '
            f'{row.text}'
        )
    for difference in report.differences or ():
        lines.append(f'{difference.change} {difference.kind} {difference.key}')
        if difference.change == 'changed':
            lines += [
                f'  {name}: {format_value(values.old)} -> '
                f'{format_value(values.new)}'
                for name, values in difference.fields.items()
            ]
    summary = f'{report.errors} errors, {report.warnings} warnings'
    if report.differences is not None:
        summary += f', {len(report.differences)} differences'
    lines.append(f'{report.file}: {summary}')
    return '\n'.join(map(escape, lines)) + '\n'


def format_value(value):
    """Return a value as JSON in one line."""
    return shorten(json.dumps(value))


def escape(line):
    """Return a line without characters that a terminal acts on."""
    return ''.join(
        character if character.isprintable() else ascii(character)[1:-1]
        for character in line
    )
