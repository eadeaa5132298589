"""Parsing of the JSON Lines of a job while they arrive."""

import dataclasses
import hashlib

import msgspec

from rhubarbreach.batch import items
from rhubarbreach import codes

__all__ = ['JobRoute', 'Upload', 'UploadParser', 'read_upload']

# Bound of a line, so that an item fits into one command.
MAX_LINE_BYTES = 160 * 1024
MAX_CUSTOM_ID = 256
READ_BYTES = 64 * 1024
DIGEST_BYTES = 32

Code = codes.ResultCode


class Line(msgspec.Struct):
    """One line of an upload; the body stays as it was sent."""

    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = 'POST'


LINE_DECODER = msgspec.json.Decoder(Line)


@dataclasses.dataclass(frozen=True, slots=True)
class JobRoute:
    """Route of all items of a job.

    `target` is empty when each item names its model.
    """

    target: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """A checked upload."""

    custom_ids: list[str]
    bodies: list[bytes]
    method: str
    path: str
    target: str
    idempotent: bool
    digest: bytes


class LineFault(ValueError):
    """Why a line was not accepted."""

    def __init__(self, reason, code=Code.INVALID_JOB_LINE):
        super().__init__(reason)
        self.code = code


class UploadParser:
    """Takes lines one at a time and keeps only ids and bodies.

    Parameters
    ----------
    find_route : callable
        `find_route(method, path)` returns a `JobRoute` or a `Refusal`.
    has_model : callable
        Returns whether a model is known.
    max_items : int
        Bound of a job.
    """

    def __init__(self, find_route, has_model, max_items):
        self.find_route = find_route
        self.has_model = has_model
        self.max_items = max_items
        self.lines = {}
        self.bodies = []
        self.method = ''
        self.path = ''
        self.route = None
        self.targets = set()
        self.hash = hashlib.blake2b(digest_size=DIGEST_BYTES)

    def add(self, number, data):
        """Take a line.

        Parameters
        ----------
        number : int
            Number of the line, from one.
        data : bytes
            Line without its end.

        Returns
        -------
        Refusal or None
            Names the line and the reason.
        """
        data = data.strip()
        if not data:
            return None
        try:
            self.check(number, data)
        except LineFault as fault:
            return codes.Refusal(fault.code, f'line {number}: {fault}')
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return codes.Refusal(
                Code.INVALID_JOB_LINE, f'line {number}: {error}'
            )
        return None

    def check(self, number, data):
        """Add a line or raise `LineFault`."""
        if len(data) > MAX_LINE_BYTES:
            raise LineFault(f'more than {MAX_LINE_BYTES} bytes')
        line = LINE_DECODER.decode(data)
        if not 0 < len(line.custom_id) <= MAX_CUSTOM_ID:
            raise LineFault(
                f'custom_id must have 1 to {MAX_CUSTOM_ID} characters'
            )
        if line.custom_id in self.lines:
            first = self.lines[line.custom_id]
            raise LineFault(
                f'custom_id {line.custom_id!r} was used in line {first}',
                Code.DUPLICATE_CUSTOM_ID,
            )
        if len(self.bodies) >= self.max_items:
            raise LineFault(f'a job has at most {self.max_items} items')
        self.check_route(line)
        body = bytes(line.body)
        self.add_target(body)
        self.lines[line.custom_id] = number
        self.bodies.append(body)
        self.hash.update(data)
        self.hash.update(b'\n')

    def check_route(self, line):
        """Check that all lines go to one route that may be used."""
        if self.route is None:
            route = self.find_route(line.method, line.url)
            if isinstance(route, codes.Refusal):
                raise LineFault(route.reason, route.code)
            self.route = route
            self.method = line.method
            self.path = line.url
        elif (line.method, line.url) != (self.method, self.path):
            raise LineFault(
                'method and url must be the same in all lines of a job'
            )

    def add_target(self, body):
        """Note the model of an item."""
        if self.route.target:
            return
        fields = items.BODY_DECODER.decode(body)
        if fields.stream or fields.resume_from is not None:
            raise LineFault('stream and resume_from are not for jobs')
        model = fields.model
        if not model:
            raise LineFault('the body names no model')
        if model in self.targets:
            return
        if not self.has_model(model):
            raise LineFault(f'no model {model}', Code.MODEL_UNKNOWN)
        self.targets.add(model)

    def finish(self):
        """Return the `Upload`, or a refusal when it has no lines."""
        if not self.bodies:
            return codes.Refusal(
                Code.INVALID_JOB_LINE, 'line 1: the job has no items'
            )
        target = self.route.target
        if not target and len(self.targets) == 1:
            target = next(iter(self.targets))
        return Upload(
            list(self.lines),
            self.bodies,
            self.method,
            self.path,
            target,
            self.route.idempotent,
            self.hash.digest(),
        )


def read_upload(stream, parser, max_bytes):
    """Read and check an upload.

    Parameters
    ----------
    stream : file-like
        `read(size)` returns bytes, empty at the end.
    parser : UploadParser
        Takes the lines.
    max_bytes : int
        Bound of the whole upload.

    Returns
    -------
    Upload or Refusal
        A refusal names the first bad line.
    """
    rest = b''
    total = 0
    number = 0
    while data := stream.read(READ_BYTES):
        total += len(data)
        if total > max_bytes:
            return codes.Refusal(
                Code.BODY_TOO_LARGE, f'a job has at most {max_bytes} bytes'
            )
        *lines, rest = (rest + data).split(b'\n')
        for line in lines:
            number += 1
            refusal = parser.add(number, line)
            if refusal is not None:
                return refusal
        if len(rest) > MAX_LINE_BYTES:
            return parser.add(number + 1, rest)
    refusal = parser.add(number + 1, rest)
    return parser.finish() if refusal is None else refusal
