"""Interface of the request records that the entry package uses.

The records object has these methods:

- `reserve(account_id, key, fingerprint, deadline)` returns `Reserved`,
  `Running`, `Completed` or a `codes.Refusal`.
- `complete(account_id, key, token, completed, deadline)` stores the response
  and returns None or a `codes.Refusal`.
- `abandon(account_id, key, token)` deletes a reservation whose request
  certainly did not run.
- `mark_unknown(account_id, key, token)` ends a reservation whose outcome is
  unknown.
- `get(account_id, key)` returns `Running`, `Completed` or a `codes.Refusal`;
  the refusal has the code OUTCOME_UNKNOWN when the outcome is unknown.

Deadlines are monotonic seconds.
"""

import dataclasses

__all__ = ['Completed', 'Reserved', 'Running']


@dataclasses.dataclass(frozen=True, slots=True)
class Reserved:
    """Reservation of a new request, which its holder has to run.

    Parameters
    ----------
    token : str
        Identifies the reservation to the methods that end it.
    """

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An identical request is running, possibly on another host."""


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A recorded response.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type of the body.
    body : bytes
        Whole body.
    """

    status: int
    content_type: str
    body: bytes
