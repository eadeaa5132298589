"""Batch items as calls, and the ends of calls as results of items."""

import dataclasses

import logbook
import msgspec

from rhubarbreach import codes
from rhubarbreach.dispatch import call
from rhubarbreach.scheduling import work
from rhubarbreach.state import jobcommands

__all__ = [
    'Ended',
    'Held',
    'MAX_RESULT_BYTES',
    'Released',
    'estimate_body',
    'judge_end',
    'make_call',
    'make_held',
    'make_request_id',
    'read_end',
]

LOG = logbook.Logger('batch')

# Bound of a stored result, so that it fits into a command.
MAX_RESULT_BYTES = 200 * 1024
# Tokens assumed for an answer when the item does not bound them.
DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 4
# Statuses that say nothing about the item itself.
TRANSIENT_STATUSES = frozenset((408, 425, 429))
JSON_HEADERS = (('Content-Type', 'application/json'),)
CLIENT_ERROR = 400
SERVER_ERROR = 500

Code = codes.ResultCode
End = jobcommands.ItemEnd
ENCODER = msgspec.msgpack.Encoder()
FINAL_CODES = frozenset(
    (
        Code.QUARANTINED,
        Code.ENDPOINT_REJECTED,
        Code.MODEL_UNKNOWN,
        Code.ROUTE_UNKNOWN,
        Code.NOT_PERMITTED,
        Code.MALFORMED_BODY,
        Code.BODY_TOO_LARGE,
    )
)
# Reasons of this host that do not concern the job.
OWN_CODES = frozenset((Code.CANCELLED, Code.DRAINING))


class BodyFields(msgspec.Struct):
    """What the runner reads from the body of an item."""

    model: str = ''
    max_tokens: int | None = None


BODY_DECODER = msgspec.json.Decoder(BodyFields)


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """An item that this host holds under a claim."""

    group: int
    epoch: int
    job_id: str
    account_id: str
    method: str
    path: str
    target: str
    idempotent: bool
    weight: float
    item: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """An item ended, or one of its attempts did."""

    held: Held
    end: End
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """An item is handed back.

    `refused` tells that this host had no way to run it, so that it should
    not claim the like at once.
    """

    held: Held
    refused: bool


def make_held(group, claimed):
    """Return the items of a claim.

    Parameters
    ----------
    group : int
        Number of the job group.
    claimed : Claimed
        Claim as given by the group.

    Returns
    -------
    list of Held
        In the order of the claim.
    """
    return [
        Held(
            group,
            claimed.epoch,
            claimed.job_id,
            claimed.account_id,
            claimed.method,
            claimed.path,
            claimed.target,
            claimed.idempotent,
            claimed.weight,
            item,
            body,
        )
        for item, body in zip(claimed.items, claimed.bodies, strict=True)
    ]


def estimate_cost(fields, body):
    """Return the estimated cost of an item in tokens."""
    answer = fields.max_tokens
    if answer is None:
        answer = DEFAULT_MAX_TOKENS
    return max(1, answer) + len(body) // BYTES_PER_TOKEN


def read_fields(body):
    """Return what can be read from the body of an item."""
    try:
        return BODY_DECODER.decode(body)
    except msgspec.DecodeError:
        return BodyFields()


def estimate_body(body):
    """Return the estimated cost of a body in tokens."""
    return estimate_cost(read_fields(body), body)


def make_request_id(held):
    """Return the request id that names job, item and claim."""
    return f'{held.job_id}-{held.item}-{held.epoch}'


def make_call(held, deadline):
    """Return the call that runs an item.

    Parameters
    ----------
    held : Held
        Item under a claim.
    deadline : float
        Monotonic deadline of the call.

    Returns
    -------
    Call
        In the batch lane; the request id names job, item and claim.
    """
    fields = read_fields(held.body)
    return call.Call(
        request_id=make_request_id(held),
        account_id=held.account_id,
        lane=work.Lane.BATCH,
        model_id=held.target or fields.model,
        method=held.method,
        path=held.path,
        body=held.body,
        stream=False,
        idempotent=held.idempotent,
        deadline=deadline,
        cost=float(estimate_cost(fields, held.body)),
        weight=held.weight,
        job_id=held.job_id,
        item=held.item,
        headers=JSON_HEADERS,
    )


def read_end(future):
    """Return the `CallResult` or `Refusal` of a call that has ended."""
    if future.cancelled():
        reason = 'withdrawn before it ran'
        return codes.Refusal(Code.CANCELLED, reason)
    error = future.exception()
    if error is None:
        return future.result()
    LOG.error('event=batch_call_failed error={!r}', str(error))
    return codes.Refusal(Code.INTERNAL, str(error), codes.Ran.UNKNOWN)


def judge_end(held, answer):
    """Return what the end of a call means for its item.

    Parameters
    ----------
    held : Held
        Item under a claim.
    answer : CallResult or Refusal
        End of its call.

    Returns
    -------
    Ended or Released
        Released when the item did not run, or was cancelled and may run
        again.
    """
    if isinstance(answer, codes.Refusal):
        return judge_refusal(held, answer)
    if answer.refusal is not None:
        return end_item(held, make_end(held), answer.refusal)
    if answer.status >= SERVER_ERROR or answer.status in TRANSIENT_STATUSES:
        reason = f'the endpoint answered with status {answer.status}'
        refusal = codes.Refusal(Code.ENDPOINT_FAILED, reason)
        return end_item(held, make_end(held), refusal, answer)
    if answer.status >= CLIENT_ERROR:
        reason = f'the endpoint rejected the item with {answer.status}'
        refusal = codes.Refusal(Code.ENDPOINT_REJECTED, reason)
        return end_item(held, End.FAILED, refusal, answer)
    if len(answer.body) > MAX_RESULT_BYTES:
        reason = f'the result has more than {MAX_RESULT_BYTES} bytes'
        refusal = codes.Refusal(Code.BODY_TOO_LARGE, reason)
        return end_item(held, End.FAILED, refusal)
    return Ended(held, End.DONE, encode_result(Code.OK, '', answer))


def make_end(held):
    """Return the end of an attempt whose effect is not known."""
    return End.RETRY if held.idempotent else End.UNKNOWN


def judge_refusal(held, refusal):
    """Return what a refusal means for an item."""
    if refusal.code in FINAL_CODES:
        return end_item(held, End.FAILED, refusal)
    if refusal.ran == codes.Ran.NO:
        return Released(held, refusal.code not in OWN_CODES)
    if refusal.code == Code.CANCELLED and held.idempotent:
        return Released(held, False)
    return end_item(held, make_end(held), refusal)


def end_item(held, end, refusal, answer=None):
    """Return an item's end with the code and reason of a refusal."""
    code = refusal.code
    if end == End.UNKNOWN:
        code = Code.OUTCOME_UNKNOWN
    return Ended(held, end, encode_result(code, refusal.reason, answer))


def encode_result(code, reason, answer):
    """Return the encoded `StoredResult` of an item."""
    if answer is None:
        stored = jobcommands.StoredResult(int(code), reason, 0, '', b'')
    else:
        stored = jobcommands.StoredResult(
            int(code),
            reason,
            answer.status,
            answer.content_type,
            answer.body[:MAX_RESULT_BYTES],
        )
    return ENCODER.encode(stored)
