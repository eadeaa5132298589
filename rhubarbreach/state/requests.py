"""State machine of request records, by which a request runs at most once."""

import heapq
import threading

import msgspec

from rhubarbreach import codes
from rhubarbreach.state import logicaltime
from rhubarbreach.state import requestcommands

__all__ = ['MAX_RESULT_BYTES', 'RequestsMachine']

State = requestcommands.RecordState

# Limit of a stored result, since a command must stay below 256 KiB.
MAX_RESULT_BYTES = 240 * 1024


class Record(msgspec.Struct, array_like=True):
    """Record of a request; times are logical milliseconds.

    `expires_at` is the deadline while the request runs, and the end of the
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
    """State machine of the records of online requests.

    `records` is keyed by account and idempotency key; `expiries` is a heap
    of the times at which records expire, some of which are outdated.
    """

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
            reply = self.make_reply(decoded)
        return requestcommands.REPLIES.encode(reply)

    def snapshot(self):
        """Return the whole state, encoded."""
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
                (record.expires_at, *record_key)
                for record_key, record in self.records.items()
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

    def find_reservation(self, command):
        """Return the record that a reservation holds, or None."""
        record = self.records.get((command.account_id, command.key))
        if record is None or record.token != command.token:
            return None
        return record

    def set_expiry(self, record, time):
        """Set the time at which a record expires."""
        record.expires_at = time
        heapq.heappush(self.expiries, (time, record.account_id, record.key))

    def make_reply(self, request):
        """Return the state of the record that a command or query names."""
        record = self.records.get((request.account_id, request.key))
        if record is None:
            return requestcommands.RecordReply(State.ABSENT)
        return requestcommands.RecordReply(record.state, record.result)

    def reserve(self, command):
        """Reserve a request unless it has a record."""
        record_key = (command.account_id, command.key)
        record = self.records.get(record_key)
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
            self.records[record_key] = record
            deadline = self.time + command.timeout + logicaltime.MAX_STEP_MS
            self.set_expiry(record, deadline)
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
        return self.make_reply(command)

    def complete(self, command):
        """Store the result of a reserved request.

        A result that arrives after the outcome was marked unknown is still
        valid and replaces that state.
        """
        record = self.find_reservation(command)
        if record is None or record.state == State.DONE:
            return self.make_reply(command)
        record.state = State.DONE
        record.result = command.result
        self.set_expiry(record, self.time + record.retention)
        return self.make_reply(command)

    def abandon(self, command):
        """Delete the reservation of a request that did not run."""
        record = self.find_reservation(command)
        if record is not None and record.state == State.RUNNING:
            del self.records[command.account_id, command.key]
        return self.make_reply(command)

    def mark_unknown(self, command):
        """Mark the outcome of a reserved request as unknown."""
        record = self.find_reservation(command)
        if record is not None:
            self.mark_record_unknown(record)
        return self.make_reply(command)

    def mark_record_unknown(self, record):
        """Mark the outcome of a record as unknown if it is running."""
        if record.state == State.RUNNING:
            record.state = State.UNKNOWN
            self.set_expiry(record, self.time + record.retention)

    def lose_holder(self, command):
        """Mark running requests of earlier host incarnations as unknown."""
        prefix = f'{command.host_id}#'
        for record in self.records.values():
            holder_id = record.holder_id
            if holder_id.startswith(prefix) and holder_id != command.kept:
                self.mark_record_unknown(record)
        return requestcommands.Applied()

    def tick(self, command):
        """Advance time, end overdue requests and delete expired records."""
        self.time = logicaltime.advance(self.time, command)
        while self.expiries and self.expiries[0][0] <= self.time:
            time, account_id, key = heapq.heappop(self.expiries)
            record = self.records.get((account_id, key))
            if record is None or record.expires_at != time:
                continue
            if record.state == State.RUNNING:
                self.mark_record_unknown(record)
            else:
                del self.records[account_id, key]
        return requestcommands.Applied()
