"""Incremental parsing of the JSON Lines of a job."""

import dataclasses
import hashlib

import msgspec

from rhubarbreach.batch import items
from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach import serialization

__all__ = ['JobRoute', 'Upload', 'UploadParser', 'read_upload']

# An item has to fit into one command.
MAX_LINE_BYTES = 160 * 1024
MAX_CUSTOM_ID_LENGTH = 256
READ_BYTES = 64 * 1024
DIGEST_BYTES = 32
# What an item takes beside its body: its id, and its places in two tables.
ITEM_BYTES = 512

Code = codes.ResultCode


class Line(msgspec.Struct):
    """Line of an upload, with the body unparsed."""

    custom_id: str
    url: str
    body: msgspec.Raw
    method: str = 'POST'


LINE_DECODER = msgspec.json.Decoder(Line)


@dataclasses.dataclass(frozen=True, slots=True)
class JobRoute:
    """Route of all items of a job.

    `target` is empty when the body of each item names its model.
    """

    target: str
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Upload:
    """Validated upload."""

    custom_ids: list[str]
    bodies: list[bytes]
    method: str
    path: str
    target: str
    idempotent: bool
    digest: bytes


class LineError(ValueError):
    """Error in a line of an upload."""

    def __init__(self, reason, code=Code.INVALID_JOB_LINE):
        super().__init__(reason)
        self.code = code


class UploadParser:
    """Parser that validates one line at a time; keeps only ids and bodies.

    Parameters
    ----------
    find_route : callable
        `find_route(method, path)` returns a `JobRoute` or a `Refusal`.
    has_model : callable
        `has_model(model_id)` returns whether a model is configured.
    max_items : int
        Maximum items of a job.
    """

    def __init__(self, find_route, has_model, max_items):
        self.find_route = find_route
        self.has_model = has_model
        self.max_items = max_items
        self.lines = {}
        self.bodies = []
        # Memory of the items.
        self.held_bytes = 0
        self.method = ''
        self.path = ''
        self.route = None
        self.targets = set()
        self.hash = hashlib.blake2b(digest_size=DIGEST_BYTES)

    def add_line(self, number, data):
        """Add a line.

        Parameters
        ----------
        number : int
            Number of the line, counted from one.
        data : bytes
            Line without its line ending.

        Returns
        -------
        Refusal or None
            A refusal that names the line and the reason, or None.
        """
        data = data.strip()
        if not data:
            return None
        try:
            self.parse_line(number, data)
        except LineError as error:
            return codes.Refusal(error.code, f'line {number}: {error}')
        except exceptions.MessageError as error:
            return codes.Refusal(
                Code.INVALID_JOB_LINE, f'line {number}: {error}'
            )
        return None

    def parse_line(self, number, data):
        """Validate and add a line, or raise `LineError`."""
        if len(data) > MAX_LINE_BYTES:
            raise LineError(f'the line has more than {MAX_LINE_BYTES} bytes')
        line = serialization.decode_json(LINE_DECODER, data)
        if not 0 < len(line.custom_id) <= MAX_CUSTOM_ID_LENGTH:
            raise LineError(
                f'custom_id must have 1 to {MAX_CUSTOM_ID_LENGTH} characters'
            )
        if line.custom_id in self.lines:
            first = self.lines[line.custom_id]
            raise LineError(
                f'custom_id {line.custom_id!r} was used in line {first}',
                Code.DUPLICATE_CUSTOM_ID,
            )
        if len(self.bodies) >= self.max_items:
            raise LineError(f'a job has at most {self.max_items} items')
        self.check_route(line)
        body = bytes(line.body)
        self.add_target(body)
        self.lines[line.custom_id] = number
        self.bodies.append(body)
        self.held_bytes += len(body) + ITEM_BYTES
        self.hash.update(data)
        self.hash.update(b'\n')

    def check_route(self, line):
        """Check that the line has the same permitted route as all others."""
        if self.route is None:
            route = self.find_route(line.method, line.url)
            if isinstance(route, codes.Refusal):
                raise LineError(route.reason, route.code)
            self.route = route
            self.method = line.method
            self.path = line.url
        elif (line.method, line.url) != (self.method, self.path):
            raise LineError(
                'method and url must be the same in all lines of a job'
            )

    def add_target(self, body):
        """Validate the model of an item and add it to the targets."""
        if self.route.target:
            return
        fields = serialization.decode(items.BODY_DECODER, body)
        if fields.stream or fields.resume_from is not None:
            raise LineError(
                'stream and resume_from are not supported in batch jobs'
            )
        model = fields.model
        if not model:
            raise LineError('the body does not name a model')
        if model in self.targets:
            return
        if not self.has_model(model):
            raise LineError(
                f'the model {model} does not exist', Code.MODEL_UNKNOWN
            )
        self.targets.add(model)

    def finish(self):
        """Return the `Upload`, or a refusal if it has no items."""
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


def read_upload(stream, parser, max_bytes, record_size=None):
    """Read and validate an upload.

    Parameters
    ----------
    stream : file-like
        `read(size)` returns bytes, empty at the end.
    parser : UploadParser
        Parser that validates the lines.
    max_bytes : int
        Maximum size of the whole upload.
    record_size : callable, optional
        Called with the memory of the upload so far, and may raise
        `BadMessageError`.

    Returns
    -------
    Upload or Refusal
        A refusal that names the first invalid line, or the limit that was
        exceeded.
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
            refusal = parser.add_line(number, line)
            if refusal is not None:
                return refusal
        if record_size is not None:
            record_size(parser.held_bytes + len(rest) + READ_BYTES)
        if len(rest) > MAX_LINE_BYTES:
            return parser.add_line(number + 1, rest)
    refusal = parser.add_line(number + 1, rest)
    return parser.finish() if refusal is None else refusal
