"""Plain text tables for a terminal."""

__all__ = ['format_table', 'format_value']

GAP = '  '
EMPTY = '-'


def format_value(value):
    """Return a value as one cell of a table."""
    match value:
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case str() | bytes() | int():
            return str(value) if value != '' else EMPTY
    return ','.join(str(one) for one in value) or EMPTY


def format_table(names, rows):
    """Return a table with a header line.

    Parameters
    ----------
    names : tuple of str
        Attributes to show, also the header.
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
        max(len(line[place]) for line in cells) for place in range(len(names))
    ]
    lines = []
    for line in cells:
        padded = (
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        lines.append(GAP.join(padded).rstrip())
    return '\n'.join(lines) + '\n'
