"""Plain text tables for a terminal."""

__all__ = ['format_table', 'format_value']

COLUMN_SEPARATOR = '  '
EMPTY_CELL = '-'


def format_value(value):
    """Return the text of a value in a table cell."""
    match value:
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case str() | bytes() | int():
            return str(value) if value != '' else EMPTY_CELL
    return ','.join(str(element) for element in value) or EMPTY_CELL


def format_table(names, rows):
    """Return a table with a header line.

    Parameters
    ----------
    names : tuple of str
        Attributes to print, which also form the header.
    rows : iterable of object
        Objects with these attributes.

    Returns
    -------
    str
        Lines with aligned columns.
    """
    cells = [tuple(name.upper() for name in names)]
    for row in rows:
        cells.append(tuple(format_value(getattr(row, name)) for name in names))
    widths = [
        max(len(line[column]) for line in cells)
        for column in range(len(names))
    ]
    lines = []
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        lines.append(COLUMN_SEPARATOR.join(padded).rstrip())
    return '\n'.join(lines) + '\n'
