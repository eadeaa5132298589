"""Numbered result codes and the refusal values that carry them."""

import dataclasses
import enum

__all__ = ['Ran', 'Refusal', 'ResultCode', 'HTTP_STATUS']


class Ran(enum.StrEnum):
    """Whether a refused request ran, or a refused change was committed."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class ResultCode(enum.IntEnum):
    """Numbered results, which docs/result-codes.md describes."""

    OK = 0
    MALFORMED_BODY = 100
    BODY_TOO_LARGE = 101
    BODY_INCOMPLETE = 102
    INVALID_JOB_LINE = 103
    DUPLICATE_CUSTOM_ID = 104
    KEY_MISSING = 110
    KEY_UNKNOWN = 111
    KEY_REVOKED = 112
    NOT_PERMITTED = 113
    CONFIG_STALE = 114
    MODEL_UNKNOWN = 120
    ROUTE_UNKNOWN = 121
    NOT_FOUND = 122
    METHOD_NOT_ALLOWED = 123
    IDEMPOTENCY_CONFLICT = 130
    JOB_CONFLICT = 131
    RATE_EXCEEDED = 140
    QUEUE_FULL = 141
    DEADLINE_TOO_SHORT = 142
    NO_ENDPOINT = 143
    DRAINING = 144
    QUARANTINED = 150
    CANCELLED = 151
    OUTCOME_UNKNOWN = 152
    ENDPOINT_FAILED = 153
    STREAM_BROKEN = 154
    DEADLINE_EXCEEDED = 155
    ENDPOINT_REJECTED = 156
    ENDPOINT_LOST = 157
    NOT_RESUMABLE = 158
    NOT_LEADER = 200
    UNAVAILABLE = 201
    REVISION_CONFLICT = 202
    INVALID_CHANGE = 203
    DISK_FULL = 204
    CLAIM_LOST = 205
    NOT_IN_EFFECT = 206
    INTERNAL = 299


HTTP_STATUS = {
    ResultCode.OK: 200,
    ResultCode.MALFORMED_BODY: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.BODY_INCOMPLETE: 400,
    ResultCode.INVALID_JOB_LINE: 400,
    ResultCode.DUPLICATE_CUSTOM_ID: 400,
    ResultCode.KEY_MISSING: 401,
    ResultCode.KEY_UNKNOWN: 401,
    ResultCode.KEY_REVOKED: 401,
    ResultCode.NOT_PERMITTED: 403,
    ResultCode.CONFIG_STALE: 503,
    ResultCode.MODEL_UNKNOWN: 404,
    ResultCode.ROUTE_UNKNOWN: 404,
    ResultCode.NOT_FOUND: 404,
    ResultCode.METHOD_NOT_ALLOWED: 405,
    ResultCode.IDEMPOTENCY_CONFLICT: 422,
    ResultCode.JOB_CONFLICT: 409,
    ResultCode.RATE_EXCEEDED: 429,
    ResultCode.QUEUE_FULL: 503,
    ResultCode.DEADLINE_TOO_SHORT: 503,
    ResultCode.NO_ENDPOINT: 503,
    ResultCode.DRAINING: 503,
    ResultCode.QUARANTINED: 422,
    ResultCode.CANCELLED: 409,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.ENDPOINT_FAILED: 502,
    ResultCode.STREAM_BROKEN: 502,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.ENDPOINT_REJECTED: 400,
    ResultCode.ENDPOINT_LOST: 502,
    ResultCode.NOT_RESUMABLE: 409,
    ResultCode.NOT_LEADER: 503,
    ResultCode.UNAVAILABLE: 503,
    ResultCode.REVISION_CONFLICT: 409,
    ResultCode.INVALID_CHANGE: 400,
    ResultCode.DISK_FULL: 507,
    ResultCode.CLAIM_LOST: 409,
    ResultCode.NOT_IN_EFFECT: 503,
    ResultCode.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reason, with a result code, why a request or change was refused.

    Parameters
    ----------
    code : ResultCode
        Result code of the refusal.
    reason : str
        Explanation for the caller, in one sentence.
    ran : Ran
        Whether the request ran on an endpoint or the change was committed.
    retry_after : float or None
        Seconds after which a retry may succeed.
    """

    code: ResultCode
    reason: str
    ran: Ran = Ran.NO
    retry_after: float | None = None
