"""Conversion of batch items to calls, and of call results to item results."""

import dataclasses

import logbook
import msgspec

from rhubarbreach import codes
from rhubarbreach.dispatch import call
from rhubarbreach import exceptions
from rhubarbreach.scheduling import work
from rhubarbreach import serialization
from rhubarbreach.state import jobcommands

__all__ = [
    'AttemptEnd',
    'BODY_DECODER',
    'ClaimedItem',
    'MAX_RESULT_BYTES',
    'ReleasedItem',
    'classify_end',
    'estimate_body_cost',
    'get_outcome',
    'make_call',
    'make_claimed_items',
    'make_request_id',
]

LOG = logbook.Logger('batch')

# A stored result has to fit into one command.
MAX_RESULT_BYTES = 200 * 1024
# Tokens assumed for a completion whose length the item does not limit.
DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 4
# Client error statuses that are not caused by the item itself.
TRANSIENT_STATUSES = frozenset((408, 425, 429))
JSON_HEADERS = (('Content-Type', 'application/json'),)
CLIENT_ERROR = 400
SERVER_ERROR = 500

Code = codes.ResultCode
End = jobcommands.ItemEnd
ENCODER = msgspec.msgpack.Encoder()
# Refusals after which an item fails without a retry.
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
# Refusals caused by this host; they do not pause claims for the target.
HOST_CODES = frozenset((Code.CANCELLED, Code.DRAINING))


class BodyFields(msgspec.Struct):
    """Fields that are read from the body of an item."""

    model: str = ''
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = None
    resume_from: int | None = None


BODY_DECODER = msgspec.json.Decoder(BodyFields)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimedItem:
    """Item that this host holds under a claim.

    `index` is the position of the item in its job, `epoch` identifies the
    claim within its group.
    """

    group: int
    epoch: int
    job_id: str
    account_id: str
    method: str
    path: str
    target: str
    idempotent: bool
    weight: float
    index: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnd:
    """End of an attempt, which also ends the item unless it is retried."""

    item: ClaimedItem
    end: End
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReleasedItem:
    """Item that is released, so that its group can assign it again.

    `refused` is True when this host could not run it; the host then backs
    off before it claims items of the same target.
    """

    item: ClaimedItem
    refused: bool


def make_claimed_items(group, claimed):
    """Return the items of a granted claim.

    Parameters
    ----------
    group : int
        Number of the job group.
    claimed : Claimed
        Claim granted by the group.

    Returns
    -------
    list of ClaimedItem
        In the order of the claim.
    """
    return [
        ClaimedItem(
            group,
            claimed.epoch,
            claimed.job_id,
            claimed.account_id,
            claimed.method,
            claimed.path,
            claimed.target,
            claimed.idempotent,
            claimed.weight,
            index,
            body,
        )
        for index, body in zip(claimed.items, claimed.bodies, strict=True)
    ]


def estimate_cost(fields, body):
    """Return the estimated cost of an item in tokens."""
    output_tokens = fields.max_tokens
    if output_tokens is None:
        output_tokens = fields.max_completion_tokens
    if output_tokens is None:
        output_tokens = DEFAULT_MAX_TOKENS
    return max(1, output_tokens) + len(body) // BYTES_PER_TOKEN


def parse_fields(body):
    """Return the fields of a body, with defaults if it is malformed."""
    try:
        return serialization.decode(BODY_DECODER, body)
    except exceptions.MessageError:
        return BodyFields()


def estimate_body_cost(body):
    """Return the estimated cost of a body in tokens."""
    return estimate_cost(parse_fields(body), body)


def make_request_id(item):
    """Return a request id from the job, the item and the claim."""
    return f'{item.job_id}-{item.index}-{item.epoch}'


def make_call(item, deadline):
    """Return the call that executes an item.

    Parameters
    ----------
    item : ClaimedItem
        Item under a claim.
    deadline : float
        Monotonic deadline of the call.

    Returns
    -------
    Call
        Call in the batch lane.
    """
    fields = parse_fields(item.body)
    return call.Call(
        request_id=make_request_id(item),
        account_id=item.account_id,
        lane=work.Lane.BATCH,
        model_id=item.target or fields.model,
        method=item.method,
        path=item.path,
        body=item.body,
        stream=False,
        idempotent=item.idempotent,
        deadline=deadline,
        cost=float(estimate_cost(fields, item.body)),
        weight=item.weight,
        job_id=item.job_id,
        item=item.index,
        headers=JSON_HEADERS,
    )


def get_outcome(future):
    """Return the `CallResult` or `Refusal` of a completed future."""
    if future.cancelled():
        reason = 'the call was cancelled before it ran'
        return codes.Refusal(Code.CANCELLED, reason)
    error = future.exception()
    if error is None:
        return future.result()
    LOG.error('event=batch_call_failed error={!r}', str(error))
    return codes.Refusal(Code.INTERNAL, str(error), codes.Ran.UNKNOWN)


def classify_end(item, outcome):
    """Return the effect of the end of a call on its item.

    Parameters
    ----------
    item : ClaimedItem
        Item under a claim.
    outcome : CallResult or Refusal
        Outcome of its call.

    Returns
    -------
    AttemptEnd or ReleasedItem
        `ReleasedItem` when the item did not run, or was cancelled or lost
        its endpoint and may run again.
    """
    if isinstance(outcome, codes.Refusal):
        return classify_refusal(item, outcome)
    if outcome.refusal is not None:
        return make_attempt_end(
            item, choose_uncertain_end(item), outcome.refusal
        )
    if outcome.status >= SERVER_ERROR or outcome.status in TRANSIENT_STATUSES:
        reason = f'the endpoint answered with status {outcome.status}'
        refusal = codes.Refusal(Code.ENDPOINT_FAILED, reason)
        return make_attempt_end(
            item, choose_uncertain_end(item), refusal, outcome
        )
    if outcome.status >= CLIENT_ERROR:
        reason = f'the endpoint rejected the item with {outcome.status}'
        refusal = codes.Refusal(Code.ENDPOINT_REJECTED, reason)
        return make_attempt_end(item, End.FAILED, refusal, outcome)
    if len(outcome.body) > MAX_RESULT_BYTES:
        reason = f'the result has more than {MAX_RESULT_BYTES} bytes'
        refusal = codes.Refusal(Code.BODY_TOO_LARGE, reason)
        return make_attempt_end(item, End.FAILED, refusal)
    return AttemptEnd(item, End.DONE, encode_result(Code.OK, '', outcome))


def choose_uncertain_end(item):
    """Return the end of an attempt that failed or whose effect is unknown."""
    return End.RETRY if item.idempotent else End.UNKNOWN


def classify_refusal(item, refusal):
    """Return the effect of a refusal on an item."""
    if refusal.code in FINAL_CODES:
        return make_attempt_end(item, End.FAILED, refusal)
    if refusal.ran == codes.Ran.NO:
        return ReleasedItem(item, refusal.code not in HOST_CODES)
    if refusal.code == Code.ENDPOINT_LOST and item.idempotent:
        # A crash is no answer of the endpoint, so it is not an attempt.
        return ReleasedItem(item, True)
    if refusal.code == Code.CANCELLED and item.idempotent:
        return ReleasedItem(item, False)
    return make_attempt_end(item, choose_uncertain_end(item), refusal)


def make_attempt_end(item, end, refusal, response=None):
    """Return the end of an attempt with the code and reason of a refusal."""
    code = refusal.code
    if end == End.UNKNOWN:
        code = Code.OUTCOME_UNKNOWN
    return AttemptEnd(item, end, encode_result(code, refusal.reason, response))


def encode_result(code, reason, response):
    """Return the encoded `StoredResult` of an item."""
    if response is None:
        stored = jobcommands.StoredResult(int(code), reason, 0, '', b'')
    else:
        stored = jobcommands.StoredResult(
            int(code),
            reason,
            response.status,
            response.content_type,
            response.body[:MAX_RESULT_BYTES],
        )
    return ENCODER.encode(stored)
