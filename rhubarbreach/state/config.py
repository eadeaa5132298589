"""State machine of the configuration group."""

import collections
import dataclasses
import hashlib
import threading

import msgspec

from rhubarbreach import codes
from rhubarbreach import exceptions
from rhubarbreach.state import changes
from rhubarbreach.state import index
from rhubarbreach.state import model

__all__ = [
    'Config',
    'ConfigMachine',
    'MAX_HISTORY_CHANGES',
    'History',
    'MAX_OPERATIONS',
]

Config = index.Config

# Operations whose results are kept: six hours at 34,000 changes a day. A
# request that is resent later is refused, because changes of operators carry
# an expected revision and changes of hosts an expected epoch, which no longer
# match by then.
MAX_OPERATIONS = 8192
# Size of the digest that tells whether an operation id is repeated with
# another change. Such a change is refused; otherwise the sender would take
# the result for one key as the result for another key.
FINGERPRINT_BYTES = 8
# Changes kept for deltas; a host that is further behind gets the whole
# configuration.
MAX_HISTORY_CHANGES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Result of an operation id, and a digest of the change."""

    operation_id: str
    fingerprint: bytes
    result: model.ChangeResult


@dataclasses.dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """Whole state of a `ConfigMachine`.

    The last change in `history` led to the revision of `document`.
    """

    document: model.Config
    operations: tuple[Operation, ...]
    history: tuple[bytes, ...]


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(MachineSnapshot)


def make_fingerprint(request):
    """Return a short digest of a request's change and expected revision."""
    digest = hashlib.blake2b(request.change, digest_size=FINGERPRINT_BYTES)
    digest.update(str(request.expected_revision).encode())
    return digest.digest()


class History:
    """Most recent changes of a configuration, by revision.

    Parameters
    ----------
    revision : int
        Revision after the last change.
    changes : iterable of bytes
        Encoded changes up to that revision, oldest first.
    """

    def __init__(self, revision, changes=()):
        self.revision = revision
        self.changes = collections.deque(changes, maxlen=MAX_HISTORY_CHANGES)

    def add(self, change):
        """Add the encoded change that led to the next revision."""
        self.changes.append(change)
        self.revision += 1

    def get_after(self, revision):
        """Return the encoded changes after a revision.

        Returns
        -------
        tuple of bytes or None
            None when some of them are no longer kept.
        """
        count = self.revision - revision
        if count <= 0:
            return ()
        if count > len(self.changes):
            return None
        start = len(self.changes) - count
        return tuple(
            self.changes[position]
            for position in range(start, len(self.changes))
        )


class ConfigMachine:
    """Deterministic state machine that applies changes in log order.

    Subscribers are called after each accepted change and after `restore`.
    They run on the thread that applies the log and must not block.
    """

    def __init__(self):
        self.config = Config()
        self.history = History(0)
        self.operations = collections.OrderedDict()
        self.subscribers = []
        self.lock = threading.Lock()

    @property
    def revision(self):
        """Current revision, which is the number of accepted changes."""
        return self.config.revision

    def subscribe(self, function):
        """Register a function to be called with each new configuration."""
        self.subscribers.append(function)

    def apply(self, index, command):
        """Apply one committed command.

        Parameters
        ----------
        index : int
            Position in the log; not used.
        command : bytes
            Encoded `ChangeRequest`.

        Returns
        -------
        bytes
            Encoded `ChangeResult`.
        """
        try:
            request = model.REQUEST_DECODER.decode(command)
        except msgspec.DecodeError:
            return model.encode_result(
                self.make_refused_result('malformed command')
            )
        with self.lock:
            before = self.config
            result = self.find_previous_result(request)
            if result is None:
                result = self.execute(request)
                self.store_result(request, result)
            changed = self.config is not before
        if changed:
            self.notify()
        return model.encode_result(result)

    def find_previous_result(self, request):
        """Return the result of a repeated operation, None for a new one."""
        operation = self.operations.get(request.operation_id)
        if operation is None:
            return None
        if operation.fingerprint != make_fingerprint(request):
            return self.make_refused_result(
                'the operation id belongs to another change',
                codes.ResultCode.IDEMPOTENCY_CONFLICT,
            )
        return operation.result

    def make_refused_result(
        self, reason, code=codes.ResultCode.INVALID_CHANGE
    ):
        """Return the result of a refused change."""
        return model.ChangeResult(code, self.config.revision, reason)

    def execute(self, request):
        """Execute a request with a new operation id and return its result."""
        revision = self.config.revision
        expected = request.expected_revision
        if not request.operation_id:
            return self.make_refused_result('empty operation id')
        if expected is not None and expected != revision:
            return self.make_refused_result(
                f'revision is {revision}, expected {expected}',
                codes.ResultCode.REVISION_CONFLICT,
            )
        try:
            change = model.CHANGES.decode(request.change)
        except exceptions.MessageError as error:
            return self.make_refused_result(f'malformed change: {error}')
        changed = changes.apply_change(self.config, change)
        if isinstance(changed, codes.Refusal):
            return self.make_refused_result(changed.reason)
        self.config = changed
        self.history.add(request.change)
        return model.ChangeResult(codes.ResultCode.OK, changed.revision)

    def store_result(self, request, result):
        """Keep the result of an operation and drop the oldest if needed."""
        self.operations[request.operation_id] = Operation(
            request.operation_id, make_fingerprint(request), result
        )
        if len(self.operations) > MAX_OPERATIONS:
            self.operations.popitem(last=False)

    def notify(self):
        """Call the subscribers with the new configuration."""
        for function in self.subscribers:
            function(self.config)

    def get_changes_after(self, revision):
        """Return the configuration and the changes after a revision.

        Parameters
        ----------
        revision : int
            Revision that the requester has.

        Returns
        -------
        config : Config
            Current configuration.
        changes : tuple of bytes or None
            Encoded changes, None when some of them are no longer kept.
        """
        with self.lock:
            return self.config, self.history.get_after(revision)

    def query(self, query):
        """Return the current revision as MessagePack.

        A host other than a store host waits until its view of the
        configuration has reached this revision.
        """
        return model.ENCODER.encode(self.config.revision)

    def snapshot(self):
        """Return the whole state, equal on all replicas at one log index."""
        with self.lock:
            config = self.config
            operations = tuple(self.operations.values())
            history = tuple(self.history.changes)
        return model.ENCODER.encode(
            MachineSnapshot(index.to_document(config), operations, history)
        )

    def restore(self, data):
        """Replace the whole state by that of a snapshot.

        Raises
        ------
        msgspec.DecodeError
            If the snapshot is malformed.
        """
        decoded = SNAPSHOT_DECODER.decode(data)
        with self.lock:
            self.config = index.from_document(decoded.document)
            self.history = History(self.config.revision, decoded.history)
            self.operations = collections.OrderedDict(
                (operation.operation_id, operation)
                for operation in decoded.operations
            )
        self.notify()
