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
    'HISTORY_CHANGES',
    'History',
    'OPERATIONS_KEPT',
]

Config = index.Config

# Operation ids whose answers are kept: six hours at 34,000 changes a day.
# A resend after that does no harm: changes of operators carry an expected
# revision and those of hosts an expected epoch, which by then is refused.
OPERATIONS_KEPT = 8192
# A repeated operation id with another change is refused: a lost answer to
# the addition of one key must not be taken for that to another key.
FINGERPRINT_BYTES = 8
# Changes kept for deltas; a host that is further behind gets a snapshot.
HISTORY_CHANGES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """Answer given to an operation id, and a digest of the change."""

    operation_id: str
    fingerprint: bytes
    result: model.ChangeResult


@dataclasses.dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """All state of a `ConfigMachine`; `history` ends at the revision."""

    document: model.Config
    operations: tuple[Operation, ...]
    history: tuple[bytes, ...]


SNAPSHOT_DECODER = msgspec.msgpack.Decoder(MachineSnapshot)


def make_fingerprint(request):
    """Return a short digest of a change and its expected revision."""
    digest = hashlib.blake2b(request.change, digest_size=FINGERPRINT_BYTES)
    digest.update(str(request.expected_revision).encode())
    return digest.digest()


class History:
    """Latest changes of a configuration, by revision.

    Parameters
    ----------
    revision : int
        Revision after the last change.
    kept : iterable of bytes
        Encoded changes that led to it, oldest first.
    """

    def __init__(self, revision, kept=()):
        self.revision = revision
        self.changes = collections.deque(kept, maxlen=HISTORY_CHANGES)

    def add(self, change):
        """Add the encoded change that led to the next revision."""
        self.changes.append(change)
        self.revision += 1

    def get_after(self, revision):
        """Return the encoded changes after a revision.

        Returns
        -------
        tuple of bytes or None
            None when they are no longer kept.
        """
        count = self.revision - revision
        if count <= 0:
            return ()
        if count > len(self.changes):
            return None
        start = len(self.changes) - count
        return tuple(
            self.changes[place] for place in range(start, len(self.changes))
        )


class ConfigMachine:
    """Deterministic machine that applies changes in the order of the log.

    `subscribe` gives a function that is called after each accepted change
    and after `restore`; it runs on the task that applies the log and must
    not block.
    """

    def __init__(self):
        self.config = Config()
        self.history = History(0)
        self.operations = collections.OrderedDict()
        self.subscribers = []
        self.lock = threading.Lock()

    @property
    def revision(self):
        """Number of accepted changes."""
        return self.config.revision

    def subscribe(self, function):
        """Call a function with the configuration after each change."""
        self.subscribers.append(function)

    def apply(self, index, command):
        """Apply one command of the log.

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
            return model.encode_result(self.make_refused('malformed command'))
        with self.lock:
            before = self.config
            result = self.find_answer(request)
            if result is None:
                result = self.execute(request)
                self.remember(request, result)
            changed = self.config is not before
        if changed:
            self.notify()
        return model.encode_result(result)

    def find_answer(self, request):
        """Return the answer to an operation id, None for a new one."""
        known = self.operations.get(request.operation_id)
        if known is None:
            return None
        if known.fingerprint != make_fingerprint(request):
            return self.make_refused(
                'the operation id belongs to another change',
                codes.ResultCode.IDEMPOTENCY_CONFLICT,
            )
        return known.result

    def make_refused(self, reason, code=codes.ResultCode.INVALID_CHANGE):
        """Return the result of a refused change."""
        return model.ChangeResult(code, self.config.revision, reason)

    def execute(self, request):
        """Return the result of a request that was not seen before."""
        revision = self.config.revision
        expected = request.expected_revision
        if not request.operation_id:
            return self.make_refused('empty operation id')
        if expected is not None and expected != revision:
            return self.make_refused(
                f'revision is {revision}, expected {expected}',
                codes.ResultCode.REVISION_CONFLICT,
            )
        try:
            change = model.CHANGES.decode(request.change)
        except exceptions.MessageError as error:
            return self.make_refused(f'malformed change: {error}')
        changed = changes.apply_change(self.config, change)
        if isinstance(changed, codes.Refusal):
            return self.make_refused(changed.reason)
        self.config = changed
        self.history.add(request.change)
        return model.ChangeResult(codes.ResultCode.OK, changed.revision)

    def remember(self, request, result):
        """Keep the answer of an operation, and forget the oldest."""
        self.operations[request.operation_id] = Operation(
            request.operation_id, make_fingerprint(request), result
        )
        if len(self.operations) > OPERATIONS_KEPT:
            self.operations.popitem(last=False)

    def notify(self):
        """Tell the subscribers that the configuration changed."""
        for function in self.subscribers:
            function(self.config)

    def get_changes_after(self, revision):
        """Return the configuration and the changes after a revision.

        Parameters
        ----------
        revision : int
            Revision that the asker has.

        Returns
        -------
        config : Config
            Current configuration.
        changes : tuple of bytes or None
            Encoded changes, None when they are no longer kept.
        """
        with self.lock:
            return self.config, self.history.get_after(revision)

    def query(self, query):
        """Return the current revision as MessagePack.

        A host that is no store host waits until its view has it.
        """
        return model.ENCODER.encode(self.config.revision)

    def snapshot(self):
        """Return all state, equal on all replicas at the same index."""
        with self.lock:
            config = self.config
            operations = tuple(self.operations.values())
            history = tuple(self.history.changes)
        return model.ENCODER.encode(
            MachineSnapshot(index.to_document(config), operations, history)
        )

    def restore(self, data):
        """Replace all state by that of a snapshot.

        Raises
        ------
        msgspec.DecodeError
            If the snapshot is malformed.
        """
        found = SNAPSHOT_DECODER.decode(data)
        with self.lock:
            self.config = index.from_document(found.document)
            self.history = History(self.config.revision, found.history)
            self.operations = collections.OrderedDict(
                (one.operation_id, one) for one in found.operations
            )
        self.notify()
