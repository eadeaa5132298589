"""State machine of request records: each request runs at most once."""

import heapq
import threading

import msgspec

from rhubarbreach import codes
from rhubarbreach.state import logicaltime
from rhubarbreach.state import requestcommands

__all__ = ['MAX_RESULT_BYTES', 'RequestsMachine']

State = requestcommands.RecordState

# Bound of a stored result; a command has to stay below 256 KiB.
MAX_RESULT_BYTES = 240 * 1024


class Record(msgspec.Struct, array_like=True):
    """One record; times are logical milliseconds.

    `expires_at` is the deadline of a running request, and the end of
    retention afterwards.
    """

    account_id: str
    key: str
    fingerprint: bytes
    token: str
    holder_id: str
    state: State
    expires_at: int
    retention: int
    result: bytes = b''


class GroupImage(msgspec.Struct, frozen=True, array_like=True):
    """Whole state of the group as stored in a snapshot."""

    time: int
    records: list[Record]


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(GroupImage)


class RequestsMachine:
    """Records of online requests by account and key."""

    def __init__(self):
        self.lock = threading.RLock()
        self.time = 0
        self.records = {}
        self.expiries = []

    def apply(self, index, command):
        """Apply a committed command and return the encoded reply."""
        decoded = requestcommands.COMMANDS.decode(command)
        with self.lock:
            reply = self.run(decoded)
        return requestcommands.REPLIES.encode(reply)

    def query(self, query):
        """Answer an encoded query with an encoded reply."""
        decoded = requestcommands.QUERIES.decode(query)
        with self.lock:
            reply = self.describe(decoded)
        return requestcommands.REPLIES.encode(reply)

    def snapshot(self):
        """Return the whole state as bytes."""
        with self.lock:
            image = GroupImage(self.time, list(self.records.values()))
            return ENCODER.encode(image)

    def restore(self, data):
        """Replace the whole state by that of a snapshot."""
        image = DECODER.decode(data)
        with self.lock:
            self.time = image.time
            self.records = {
                (record.account_id, record.key): record
                for record in image.records
            }
            self.expiries = [
                (record.expires_at, *name)
                for name, record in self.records.items()
            ]
            heapq.heapify(self.expiries)

    def run(self, command):
        """Apply a decoded command and return its reply."""
        match command:
            case requestcommands.ReserveRequest():
                return self.reserve(command)
            case requestcommands.CompleteRequest():
                return self.complete(command)
            case requestcommands.AbandonRequest():
                return self.abandon(command)
            case requestcommands.MarkUnknown():
                return self.mark_unknown(command)
            case requestcommands.LoseHolder():
                return self.lose_holder(command)
            case logicaltime.Tick():
                return self.tick(command)
        raise TypeError(f'not a command: {command!r}')

    def find_held(self, command):
        """Return the record of a reservation or None."""
        record = self.records.get((command.account_id, command.key))
        if record is None or record.token != command.token:
            return None
        return record

    def expire_at(self, record, time):
        """Set the time at which a record changes next."""
        record.expires_at = time
        heapq.heappush(self.expiries, (time, record.account_id, record.key))

    def describe(self, named):
        """Return the reply for a record by account and key."""
        record = self.records.get((named.account_id, named.key))
        if record is None:
            return requestcommands.RecordReply(State.ABSENT)
        return requestcommands.RecordReply(record.state, record.result)

    def reserve(self, command):
        """Reserve a request unless it has a record."""
        name = (command.account_id, command.key)
        record = self.records.get(name)
        if record is None:
            record = Record(
                command.account_id,
                command.key,
                command.fingerprint,
                command.token,
                command.holder_id,
                State.RUNNING,
                0,
                command.retention,
            )
            self.records[name] = record
            deadline = self.time + command.timeout + logicaltime.MAX_STEP
            self.expire_at(record, deadline)
            return requestcommands.RecordReply(State.RESERVED)
        if record.fingerprint != command.fingerprint:
            return requestcommands.RecordReply(
                record.state,
                b'',
                codes.Refusal(
                    codes.ResultCode.IDEMPOTENCY_CONFLICT,
                    'another request was sent with the same key',
                ),
            )
        if record.token == command.token and record.state == State.RUNNING:
            return requestcommands.RecordReply(State.RESERVED)
        return self.describe(command)

    def complete(self, command):
        """Store the result of the reservation's holder.

        A result that arrives after the outcome was marked unknown is still
        the true one and is kept.
        """
        record = self.find_held(command)
        if record is None or record.state == State.DONE:
            return self.describe(command)
        record.state = State.DONE
        record.result = command.result
        self.expire_at(record, self.time + record.retention)
        return self.describe(command)

    def abandon(self, command):
        """Forget a reservation whose request did not run."""
        record = self.find_held(command)
        if record is not None and record.state == State.RUNNING:
            del self.records[command.account_id, command.key]
        return self.describe(command)

    def mark_unknown(self, command):
        """End a running record with outcome unknown."""
        record = self.find_held(command)
        if record is not None:
            self.end_unknown(record)
        return self.describe(command)

    def end_unknown(self, record):
        """Mark a record as unknown if it is running."""
        if record.state == State.RUNNING:
            record.state = State.UNKNOWN
            self.expire_at(record, self.time + record.retention)

    def lose_holder(self, command):
        """Mark the running records of a lost host as unknown."""
        prefix = f'{command.host_id}#'
        for record in self.records.values():
            holder_id = record.holder_id
            if holder_id.startswith(prefix) and holder_id != command.kept:
                self.end_unknown(record)
        return requestcommands.Applied()

    def tick(self, command):
        """Advance time and act on the deadlines that have passed."""
        self.time = logicaltime.advance(self.time, command)
        while self.expiries and self.expiries[0][0] <= self.time:
            time, account_id, key = heapq.heappop(self.expiries)
            record = self.records.get((account_id, key))
            if record is None or record.expires_at != time:
                continue
            if record.state == State.RUNNING:
                self.end_unknown(record)
            else:
                del self.records[account_id, key]
        return requestcommands.Applied()
