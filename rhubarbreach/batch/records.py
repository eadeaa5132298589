"""Request records as used by the entry package."""

import concurrent.futures
import dataclasses
import threading
import uuid

import logbook
import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.dispatch import call
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests

__all__ = ['GROUP_ID', 'Records', 'Reservation']

LOG = logbook.Logger('records')

GROUP_ID = 'requests'
COMPLETE_TIMEOUT = 10.0
# Seconds between two looks at a request that another host runs.
POLL_MIN = 0.02
POLL_MAX = 0.5
POLL_FACTOR = 1.5
MILLISECONDS = 1000
RETRY_AFTER = 1.0
# Framing of a stored outcome beside the body of the result.
FRAME_BYTES = 2048

State = requestcommands.RecordState
ENCODER = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """The right to run a request, once."""

    account_id: str
    key: str
    token: str


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """End of a request as stored in its record."""

    result: call.CallResult | None
    refusal: codes.Refusal | None


DECODER = msgspec.msgpack.Decoder(StoredOutcome)


def encode_outcome(answer):
    """Return the stored form of a `CallResult` or `Refusal`.

    A body that is too large for a record is replaced by the refusal that a
    duplicate gets; the first caller has received the body itself.
    """
    if isinstance(answer, codes.Refusal):
        return ENCODER.encode(StoredOutcome(None, answer))
    if len(answer.body) + FRAME_BYTES > requests.MAX_RESULT_BYTES:
        refusal = codes.Refusal(
            codes.ResultCode.BODY_TOO_LARGE,
            'the request ran, but its result was too large to keep',
            codes.Ran.YES,
        )
        return ENCODER.encode(StoredOutcome(None, refusal))
    return ENCODER.encode(StoredOutcome(answer, None))


def decode_outcome(data):
    """Return the `CallResult` or `Refusal` that was stored."""
    stored = DECODER.decode(data)
    return stored.result if stored.refusal is None else stored.refusal


def make_unavailable():
    """Return the refusal of a request that could not be reserved."""
    return codes.Refusal(
        codes.ResultCode.UNAVAILABLE,
        'request records are not available',
        codes.Ran.NO,
        RETRY_AFTER,
    )


def make_unknown():
    """Return the refusal of a duplicate whose first run has no known end."""
    return codes.Refusal(
        codes.ResultCode.OUTCOME_UNKNOWN,
        'the outcome of the request is not known',
        codes.Ran.UNKNOWN,
    )


class Records:
    """Reserves requests and keeps their results.

    Parameters
    ----------
    client : object
        `propose(group_id, command, deadline)` and `query(group_id, query,
        deadline)`, both blocking, return bytes or a `Refusal`.
    holder_id : str
        Host id and incarnation, `host#incarnation`.
    retention : float
        Seconds to keep a record after its end.
    """

    def __init__(self, client, holder_id, retention):
        self.client = client
        self.holder_id = holder_id
        self.retention = int(retention * MILLISECONDS)
        # Outcomes that could not be stored at once are stored here.
        self.pool = concurrent.futures.ThreadPoolExecutor(
            2, thread_name_prefix='records'
        )

    def propose(self, command, deadline):
        """Commit a command; return the `RecordReply` or a refusal."""
        data = requestcommands.COMMANDS.encode(command)
        answer = self.client.propose(GROUP_ID, data, deadline)
        if isinstance(answer, codes.Refusal):
            return answer
        return requestcommands.REPLIES.decode(answer)

    def reserve(self, account_id, key, fingerprint, deadline):
        """Reserve a request, or get the outcome of its first run.

        Parameters
        ----------
        account_id, key : str
            Account and the key that its client chose.
        fingerprint : bytes
            Digest of route and body.
        deadline : float
            Monotonic deadline of the request; while another host runs it,
            this waits until then.

        Returns
        -------
        Reservation or CallResult or Refusal
            A reservation means that the caller has to run the request and
            to `complete` or `abandon` it. A refusal with ran NO means that
            this request did not run and will not.
        """
        now = clock.monotonic()
        token = uuid.uuid4().hex
        command = requestcommands.ReserveRequest(
            account_id,
            key,
            fingerprint,
            token,
            self.holder_id,
            int(clock.remaining(deadline, now) * MILLISECONDS),
            self.retention,
        )
        reservation = Reservation(account_id, key, token)
        reply = self.propose(command, deadline)
        if isinstance(reply, codes.Refusal):
            if reply.ran != codes.Ran.NO:
                # The reservation may still be committed; without this it
                # would block its key until its deadline.
                self.pool.submit(self.abandon, reservation)
            if reply.code == codes.ResultCode.DISK_FULL:
                return reply
            return make_unavailable()
        if reply.refusal is not None:
            return reply.refusal
        if reply.state == State.RESERVED:
            return reservation
        if reply.state == State.RUNNING:
            return self.wait(account_id, key, deadline)
        return self.read_end(reply)

    def read_end(self, reply):
        """Return the outcome in the reply for an ended record."""
        if reply.state == State.DONE:
            return decode_outcome(reply.result)
        return make_unknown()

    def wait(self, account_id, key, deadline):
        """Wait for the end of a request that runs elsewhere.

        Returns
        -------
        CallResult or Refusal
            As for `get`; OUTCOME_UNKNOWN when the deadline passes.
        """
        delay = POLL_MIN
        while clock.monotonic() + delay < deadline:
            threading.Event().wait(delay)
            delay = min(POLL_MAX, delay * POLL_FACTOR)
            found = self.get(account_id, key, deadline)
            if found is not None:
                return found
        return make_unknown()

    def get(self, account_id, key, deadline):
        """Return the outcome of a request.

        Returns
        -------
        CallResult or Refusal or None
            None while it runs. A refusal with code NOT_FOUND when there is
            no record, OUTCOME_UNKNOWN when its end is not known.
        """
        query = requestcommands.QUERIES.encode(
            requestcommands.GetRecord(account_id, key)
        )
        answer = self.client.query(GROUP_ID, query, deadline)
        if isinstance(answer, codes.Refusal):
            return codes.Refusal(answer.code, answer.reason, codes.Ran.UNKNOWN)
        reply = requestcommands.REPLIES.decode(answer)
        if reply.state == State.RUNNING:
            return None
        if reply.state == State.ABSENT:
            return codes.Refusal(
                codes.ResultCode.NOT_FOUND, 'there is no such record'
            )
        return self.read_end(reply)

    def complete(self, reservation, answer):
        """Store the end of a reserved request.

        Parameters
        ----------
        reservation : Reservation
            As returned by `reserve`.
        answer : CallResult or Refusal
            A refusal with ran NO frees the key, so that the client may send
            the request again.

        Returns
        -------
        None or Refusal
            A refusal when the end could not be stored yet; storing it is
            then repeated in the background.
        """
        reply = self.store_end(reservation, answer)
        if not isinstance(reply, codes.Refusal):
            return None
        self.pool.submit(self.repeat_end, reservation, answer)
        return reply

    def store_end(self, reservation, answer):
        """Commit the end of a reserved request."""
        named = (reservation.account_id, reservation.key, reservation.token)
        ran = codes.Ran.YES
        if isinstance(answer, codes.Refusal):
            ran = answer.ran
        match ran:
            case codes.Ran.NO:
                command = requestcommands.AbandonRequest(*named)
            case codes.Ran.UNKNOWN:
                command = requestcommands.MarkUnknown(*named)
            case codes.Ran.YES:
                command = requestcommands.CompleteRequest(
                    *named, encode_outcome(answer)
                )
        return self.propose(command, clock.monotonic() + COMPLETE_TIMEOUT)

    def repeat_end(self, reservation, answer):
        """Store an end again after the first try failed."""
        for _ in range(3):
            threading.Event().wait(POLL_MAX)
            reply = self.store_end(reservation, answer)
            if not isinstance(reply, codes.Refusal):
                return
        LOG.warning('event=record_not_stored key={}', reservation.key)

    def abandon(self, reservation):
        """Free the key of a request that did not run."""
        refusal = codes.Refusal(codes.ResultCode.UNAVAILABLE, 'not run')
        return self.complete(reservation, refusal)

    def lose_holder(self, holder_id):
        """Mark the running requests of a lost host as unknown."""
        command = requestcommands.LoseHolder(holder_id)
        return self.propose(command, clock.monotonic() + COMPLETE_TIMEOUT)

    def close(self):
        """Stop storing in the background."""
        self.pool.shutdown(wait=False, cancel_futures=True)
