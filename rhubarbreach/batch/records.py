"""Request records as used by the entry package."""

import concurrent.futures
import dataclasses
import threading
import uuid

import logbook
import msgspec

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.entry import records as entry_records
from rhubarbreach.state import requestcommands
from rhubarbreach.state import requests

__all__ = ['GROUP_ID', 'Records']

LOG = logbook.Logger('records')

GROUP_ID = 'requests'
EXCHANGE_TIMEOUT = 5.0
# An end that could not be stored is tried again this often, seconds apart.
MAX_REPETITIONS = 5
REPETITION_DELAY = 0.5
MILLISECONDS = 1000
RETRY_AFTER = 1.0
# Framing of a stored outcome beside the body of the result.
FRAME_BYTES = 2048

State = requestcommands.RecordState
ENCODER = msgspec.msgpack.Encoder()


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """End of a request as stored in its record."""

    completed: entry_records.Completed | None
    refusal: codes.Refusal | None


DECODER = msgspec.msgpack.Decoder(StoredOutcome)


def encode_outcome(completed):
    """Return the stored form of an answer.

    A body that is too large for a record is replaced by the refusal that a
    duplicate gets; the first caller has received the body itself.
    """
    if len(completed.body) + FRAME_BYTES <= requests.MAX_RESULT_BYTES:
        return ENCODER.encode(StoredOutcome(completed, None))
    refusal = codes.Refusal(
        codes.ResultCode.BODY_TOO_LARGE,
        'the request ran, but its result was too large to keep',
        codes.Ran.YES,
    )
    return ENCODER.encode(StoredOutcome(None, refusal))


def decode_outcome(data):
    """Return the `Completed` or `Refusal` that was stored."""
    stored = DECODER.decode(data)
    return stored.completed if stored.refusal is None else stored.refusal


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


def describe(reply):
    """Return what a reply says of a record, in the terms of the entry."""
    match reply.state:
        case State.RUNNING:
            return entry_records.Running()
        case State.DONE:
            return decode_outcome(reply.result)
        case State.ABSENT:
            reason = 'there is no such record'
            return codes.Refusal(codes.ResultCode.NOT_FOUND, reason)
    return make_unknown()


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
        """Reserve a request, or learn what became of its first run.

        Parameters
        ----------
        account_id, key : str
            Account and the key that its client chose.
        fingerprint : bytes
            Digest of route and body.
        deadline : float
            Monotonic deadline of the request.

        Returns
        -------
        Reserved or Running or Completed or Refusal
            After `Reserved` the caller has to run the request and to end
            the reservation. A refusal with ran NO means that this request
            did not run and will not.
        """
        token = uuid.uuid4().hex
        left = clock.remaining(deadline, clock.monotonic())
        command = requestcommands.ReserveRequest(
            account_id,
            key,
            fingerprint,
            token,
            self.holder_id,
            int(left * MILLISECONDS),
            self.retention,
        )
        reply = self.propose(command, deadline)
        if isinstance(reply, codes.Refusal):
            if reply.ran != codes.Ran.NO:
                # The reservation may still be committed; without this it
                # would block its key until its deadline.
                self.pool.submit(self.abandon, account_id, key, token)
            if reply.code == codes.ResultCode.DISK_FULL:
                return reply
            return make_unavailable()
        if reply.refusal is not None:
            return reply.refusal
        if reply.state == State.RESERVED:
            return entry_records.Reserved(token)
        return describe(reply)

    def get(self, account_id, key):
        """Return what is known of a request.

        Returns
        -------
        Running or Completed or Refusal
            A refusal with code NOT_FOUND when there is no record,
            OUTCOME_UNKNOWN when its end is not known.
        """
        query = requestcommands.QUERIES.encode(
            requestcommands.GetRecord(account_id, key)
        )
        answer = self.client.query(
            GROUP_ID, query, clock.monotonic() + EXCHANGE_TIMEOUT
        )
        if isinstance(answer, codes.Refusal):
            # Whether the first request ran is not known here.
            return dataclasses.replace(answer, ran=codes.Ran.UNKNOWN)
        return describe(requestcommands.REPLIES.decode(answer))

    def complete(self, account_id, key, token, completed, deadline):
        """Store the answer of a reserved request.

        Parameters
        ----------
        account_id, key, token : str
            The reservation.
        completed : Completed
            Answer.
        deadline : float
            Monotonic deadline.

        Returns
        -------
        None or Refusal
            A refusal when the answer could not be stored yet; storing it
            is then repeated in the background.
        """
        command = requestcommands.CompleteRequest(
            account_id, key, token, encode_outcome(completed)
        )
        return self.end(command, deadline)

    def abandon(self, account_id, key, token):
        """Free the key of a request that certainly did not run."""
        command = requestcommands.AbandonRequest(account_id, key, token)
        return self.end(command, clock.monotonic() + EXCHANGE_TIMEOUT)

    def mark_unknown(self, account_id, key, token):
        """End a reservation whose outcome is unknown."""
        command = requestcommands.MarkUnknown(account_id, key, token)
        return self.end(command, clock.monotonic() + EXCHANGE_TIMEOUT)

    def end(self, command, deadline):
        """Commit the end of a reservation, if need be in the background."""
        reply = self.propose(command, deadline)
        if not isinstance(reply, codes.Refusal):
            return None
        try:
            self.pool.submit(self.repeat_end, command)
        except RuntimeError:
            # The pool was shut down by close().
            LOG.warning('event=record_not_stored key={!r}', command.key)
        return reply

    def repeat_end(self, command):
        """Store an end again after the first try failed."""
        for _ in range(MAX_REPETITIONS):
            threading.Event().wait(REPETITION_DELAY)
            deadline = clock.monotonic() + EXCHANGE_TIMEOUT
            if not isinstance(self.propose(command, deadline), codes.Refusal):
                return
        LOG.warning('event=record_not_stored command={!r}', command)

    def lose_holder(self, host_id, kept=''):
        """Mark the running requests of a lost host as unknown.

        Parameters
        ----------
        host_id : str
            Lost host, without its incarnation.
        kept : str
            Holder whose requests go on.
        """
        command = requestcommands.LoseHolder(host_id, kept)
        return self.propose(command, clock.monotonic() + EXCHANGE_TIMEOUT)

    def start(self):
        """End what earlier processes of this host left running."""
        host_id = self.holder_id.partition('#')[0]
        command = requestcommands.LoseHolder(host_id, self.holder_id)
        self.pool.submit(self.repeat_end, command)

    def close(self):
        """Stop storing in the background."""
        self.pool.shutdown(wait=False, cancel_futures=True)
