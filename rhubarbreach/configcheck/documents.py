"""Places in JSON documents: lines, repeated names and unknown fields."""

import bisect
import json
import re

import msgspec

from rhubarbreach.configcheck import findings
from rhubarbreach import serialization

__all__ = [
    'Scan',
    'find_field_warnings',
    'format_place',
    'make_decode_finding',
    'scan',
]

# Strings, punctuation and other values. What is none of these is skipped, as
# documents that the decoder refuses are scanned as well.
TOKEN = re.compile(
    rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{}:,]|[^\s\[\]{}:,"]+', re.DOTALL
)
# Ends of the messages of the decoders: path, byte or character.
DECODER_PATH = re.compile(r' - at (?:`key` in )?`\$([^`]*)`$')
DECODER_BYTE = re.compile(r'\((?:byte|char) (\d+)\)$|in position (\d+)')
PATH_STEP = re.compile(r'\.([^.\[]+)|\[(\d+)\]')
TRUNCATED = 'truncated'


class Scan:
    """Places of a document.

    Attributes
    ----------
    offsets : dict of tuple to int
        Position in the document, in bytes, by place.
    repeated : list of tuple
        Places of names that occur twice in their object, the later one.
    too_deep : tuple or None
        First place that is nested more deeply than `MAX_DEPTH`.
    """

    def __init__(self, data):
        self.offsets = {(): 0}
        self.repeated = []
        self.too_deep = None
        self.size = len(data)
        self.line_ends = [match.start() for match in re.finditer(rb'\n', data)]

    def find_line(self, offset):
        """Return the line of a position, the first being 1."""
        return bisect.bisect_left(self.line_ends, offset) + 1

    def find_place_line(self, place):
        """Return the line of a place, or of what holds it if it is absent."""
        while place not in self.offsets:
            place = place[:-1]
        return self.find_line(self.offsets[place])


class Level:
    """An object or array that is being scanned, at `place`."""

    def __init__(self, place, is_object):
        self.place = place
        self.is_object = is_object
        self.awaits_name = is_object
        self.step = None if is_object else 0
        self.names = set()


def scan(data):
    """Return the `Scan` of a JSON document, sound or not.

    Parameters
    ----------
    data : bytes
        The document.
    """
    found = Scan(data)
    levels = []
    for match in TOKEN.finditer(data):
        token = match[0]
        level = levels[-1] if levels else None
        if token in (b'{', b'['):
            place = ()
            if level is not None:
                place = (*level.place, level.step)
                found.offsets.setdefault(place, match.start())
            if len(levels) >= serialization.MAX_DEPTH:
                found.too_deep = place
                found.offsets[place] = match.start()
                break
            levels.append(Level(place, token == b'{'))
        elif level is None or token == b':':
            continue
        elif token in (b'}', b']'):
            levels.pop()
        elif token == b',':
            level.awaits_name = level.is_object
            if not level.is_object:
                level.step += 1
        elif level.awaits_name:
            record_name(found, level, token, match.start())
        elif not level.is_object:
            found.offsets.setdefault((*level.place, level.step), match.start())
    return found


def record_name(found, level, token, offset):
    """Record the name of a field."""
    level.awaits_name = False
    try:
        level.step = json.loads(token)
    except ValueError:
        level.step = token.decode('utf-8', 'replace')
    place = (*level.place, level.step)
    if level.step in level.names:
        found.repeated.append(place)
    level.names.add(level.step)
    # The last one counts.
    found.offsets[place] = offset


def format_place(place):
    """Return a place as text, such as `routes[3].name`."""
    text = ''
    for step in place:
        if isinstance(step, int):
            text += f'[{step}]'
        else:
            text += f'.{step}' if text else step
    return text


def make_decode_finding(reason, found):
    """Return the finding of a document that cannot be decoded.

    Parameters
    ----------
    reason : str
        Message of the decoder.
    found : Scan
        Scan of the document, to which the place is added if it has none.

    Returns
    -------
    Finding
        Finding with the place that the message names.
    """
    place = ()
    if path := DECODER_PATH.search(reason):
        reason = reason[: path.start()]
        place = tuple(
            name or int(number) for name, number in PATH_STEP.findall(path[1])
        )
    elif match := DECODER_BYTE.search(reason):
        found.offsets[()] = int(match[1] or match[2])
    elif TRUNCATED in reason:
        found.offsets[()] = found.size
    elif found.too_deep is not None:
        place = found.too_deep
    return findings.Finding('document_unreadable', place, reason)


def find_field_warnings(found, cls):
    """Yield warnings of repeated and unknown fields.

    The decoder takes the last of several fields with the same name and
    ignores unknown ones, so that a misspelled option has no effect. Unknown
    fields may hold values that cannot be decoded, and are only scanned.

    Parameters
    ----------
    found : Scan
        Scan of a document that `cls` can be decoded from.
    cls : type
        Class of the document.
    """
    for place in found.repeated:
        yield findings.Finding(
            'field_repeated',
            place,
            'the name occurs twice in its object; the last one counts',
        )
    types = {(): msgspec.inspect.type_info(cls)}
    # Each place follows the one that holds it.
    for place in found.offsets:
        holder = types.get(place[:-1]) if place else None
        if holder is None:
            continue
        part = find_part(holder, place[-1])
        if part is not None:
            types[place] = part
        elif isinstance(place[-1], str):
            yield findings.Finding(
                'field_unknown', place, 'no host reads this field'
            )


def find_part(type_info, step):
    """Return the type of a field or element, or None if there is none."""
    # An optional value has a union of types.
    for member in getattr(type_info, 'types', (type_info,)):
        if isinstance(step, int):
            if hasattr(member, 'item_type'):
                return member.item_type
            continue
        for field in getattr(member, 'fields', ()):
            if field.encode_name == step:
                return field.type
    return None
