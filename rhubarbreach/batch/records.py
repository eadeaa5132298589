"""Client of the replicated request records for the entry package."""

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
EXCHANGE_TIMEOUT_SECONDS = 5.0
# Background retries of storing the end of a reservation.
MAX_RETRIES = 5
RETRY_DELAY_SECONDS = 0.5
MILLISECONDS_PER_SECOND = 1000
RETRY_AFTER_SECONDS = 1.0
# Allowance for the encoding of a stored outcome besides the result body.
FRAME_BYTES = 2048

State = requestcommands.RecordState
ENCODER = msgspec.msgpack.Encoder()


class StoredOutcome(msgspec.Struct, frozen=True, array_like=True):
    """End of a request as stored in its record."""

    completed: entry_records.Completed | None
    refusal: codes.Refusal | None


DECODER = msgspec.msgpack.Decoder(StoredOutcome)


def encode_outcome(completed):
    """Return the encoded outcome of a completed request.

    A body that is too large for a record is replaced by a refusal, which
    duplicates receive. The first caller has received the body itself.
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
    """Return the stored `Completed` or `Refusal`."""
    stored = DECODER.decode(data)
    return stored.completed if stored.refusal is None else stored.refusal


def make_unavailable_refusal():
    """Return the refusal of a request that could not be reserved."""
    return codes.Refusal(
        codes.ResultCode.UNAVAILABLE,
        'the request records are not available',
        codes.Ran.NO,
        RETRY_AFTER_SECONDS,
    )


def make_unknown_refusal():
    """Return the refusal of a duplicate of a request of unknown outcome."""
    return codes.Refusal(
        codes.ResultCode.OUTCOME_UNKNOWN,
        'the outcome of the request is not known',
        codes.Ran.UNKNOWN,
    )


def convert_reply(reply):
    """Return the entry's representation of a reply on a record."""
    match reply.state:
        case State.RUNNING:
            return entry_records.Running()
        case State.DONE:
            return decode_outcome(reply.result)
        case State.ABSENT:
            reason = 'no record of the request exists'
            return codes.Refusal(codes.ResultCode.NOT_FOUND, reason)
    return make_unknown_refusal()


class Records:
    """Client that reserves requests and stores their results.

    Parameters
    ----------
    client : object
        `propose(group_id, command, deadline)` and `query(group_id, query,
        deadline)`, both blocking, return bytes or a `Refusal`.
    holder_id : str
        Host id and incarnation, `host#incarnation`.
    retention : float
        Seconds for which a record is kept after its end.
    """

    def __init__(self, client, holder_id, retention):
        self.client = client
        self.holder_id = holder_id
        self.retention = int(retention * MILLISECONDS_PER_SECOND)
        # Retries commands that end reservations, and abandons reservations
        # that may have been committed.
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
        """Reserve a request, or return the state of its first execution.

        Parameters
        ----------
        account_id, key : str
            Account, and the key that its client chose.
        fingerprint : bytes
            Digest of route and body.
        deadline : float
            Monotonic deadline of the request.

        Returns
        -------
        Reserved or Running or Completed or Refusal
            After `Reserved` the caller has to execute the request and end
            the reservation. A refusal whose `ran` is NO means that this
            request was not and will not be executed.
        """
        token = uuid.uuid4().hex
        time_left = clock.remaining(deadline, clock.monotonic())
        command = requestcommands.ReserveRequest(
            account_id,
            key,
            fingerprint,
            token,
            self.holder_id,
            int(time_left * MILLISECONDS_PER_SECOND),
            self.retention,
        )
        reply = self.propose(command, deadline)
        if isinstance(reply, codes.Refusal):
            if reply.ran != codes.Ran.NO:
                # The reservation may still be committed. It would then block
                # its key until its deadline.
                self.pool.submit(self.abandon, account_id, key, token)
            if reply.code == codes.ResultCode.DISK_FULL:
                return reply
            return make_unavailable_refusal()
        if reply.refusal is not None:
            return reply.refusal
        if reply.state == State.RESERVED:
            return entry_records.Reserved(token)
        return convert_reply(reply)

    def get(self, account_id, key):
        """Return the state of a request.

        Returns
        -------
        Running or Completed or Refusal
            A refusal with code NOT_FOUND when there is no record, and with
            OUTCOME_UNKNOWN when its outcome is unknown.
        """
        query = requestcommands.QUERIES.encode(
            requestcommands.GetRecord(account_id, key)
        )
        answer = self.client.query(
            GROUP_ID, query, clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
        )
        if isinstance(answer, codes.Refusal):
            # It is unknown here whether the first request ran.
            return dataclasses.replace(answer, ran=codes.Ran.UNKNOWN)
        return convert_reply(requestcommands.REPLIES.decode(answer))

    def complete(self, account_id, key, token, completed, deadline):
        """Store the response to a reserved request.

        Parameters
        ----------
        account_id, key, token : str
            Account, key and token of the reservation.
        completed : Completed
            Response.
        deadline : float
            Monotonic deadline.

        Returns
        -------
        None or Refusal
            A refusal when the response is not stored yet. Storing it is
            then retried in the background.
        """
        command = requestcommands.CompleteRequest(
            account_id, key, token, encode_outcome(completed)
        )
        return self.commit_end(command, deadline)

    def abandon(self, account_id, key, token):
        """Release the key of a request that certainly did not run."""
        command = requestcommands.AbandonRequest(account_id, key, token)
        return self.commit_end(
            command, clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
        )

    def mark_unknown(self, account_id, key, token):
        """End a reservation whose outcome is unknown."""
        command = requestcommands.MarkUnknown(account_id, key, token)
        return self.commit_end(
            command, clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
        )

    def commit_end(self, command, deadline):
        """Commit the end of a reservation.

        If the commit fails, it is retried in the background.
        """
        reply = self.propose(command, deadline)
        if not isinstance(reply, codes.Refusal):
            return None
        try:
            self.pool.submit(self.retry_end, command)
        except RuntimeError:
            # The pool was shut down by close().
            LOG.warning('event=record_not_stored key={!r}', command.key)
        return reply

    def retry_end(self, command):
        """Retry a command until it is committed or retries run out."""
        for _ in range(MAX_RETRIES):
            threading.Event().wait(RETRY_DELAY_SECONDS)
            deadline = clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
            if not isinstance(self.propose(command, deadline), codes.Refusal):
                return
        LOG.warning('event=record_not_stored command={!r}', command)

    def mark_holder_lost(self, host_id, except_holder_id=''):
        """Mark the running requests of a lost host as unknown.

        Parameters
        ----------
        host_id : str
            Lost host, without its incarnation.
        except_holder_id : str
            Holder whose requests are not affected.
        """
        command = requestcommands.LoseHolder(host_id, except_holder_id)
        return self.propose(
            command, clock.monotonic() + EXCHANGE_TIMEOUT_SECONDS
        )

    def start(self):
        """Mark requests of earlier processes of this host as unknown."""
        host_id = self.holder_id.partition('#')[0]
        command = requestcommands.LoseHolder(host_id, self.holder_id)
        self.pool.submit(self.retry_end, command)

    def close(self):
        """Stop the background retries."""
        self.pool.shutdown(wait=False, cancel_futures=True)
