"""Server-sent events as blocks of bytes."""

import re

__all__ = ['Splitter', 'get_data', 'get_id']

SEPARATOR = b'\n\n'
ID_PATTERN = re.compile(rb'(?:^|\n)id: ?(\d+)')
DATA_PATTERN = re.compile(rb'(?:^|\n)data: ?([^\n]*)')


class Splitter:
    """Cuts a stream into whole events.

    An endpoint may stop in the middle of an event; a caller only gets whole
    ones, so that the stream can go on at another endpoint.
    """

    def __init__(self):
        self.rest = b''

    def feed(self, data):
        """Return the events that are whole, each with its separator."""
        data = self.rest + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self.rest = data
            return []
        end += len(SEPARATOR)
        self.rest = data[end:]
        blocks = data[:end].split(SEPARATOR)
        return [block + SEPARATOR for block in blocks[:-1]]


def get_id(block):
    """Return the id of an event, None if it has none."""
    found = ID_PATTERN.search(block)
    return int(found.group(1)) if found else None


def get_data(block):
    """Return the data of an event, None if it has none."""
    found = DATA_PATTERN.findall(block)
    return b'\n'.join(found) if found else None
