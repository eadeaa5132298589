"""Ends of responses that no length shows to be whole.

The output of an item whose response ended in order between two events is
probably whole. Another response proves it, if it has nothing to add. Where
there is no proof, the endpoint tells: one that crashed does not announce
itself again.
"""

import dataclasses

from rhubarbreach.backlog import plan

__all__ = ['OrderlyEnd', 'is_overdue']

# Seconds for the proof of an end whose item is late already.
PROOF_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class OrderlyEnd:
    """End of the response that held the last event of an item.

    `endpoint_id` and `born` identify the process that sent it, and `seen_at`
    is the time at which the end became known, in seconds of the monotonic
    clock. `has_survived` is whether the process is known to have lived on.
    """

    endpoint_id: str
    born: int
    seen_at: float
    has_survived: bool = False

    @property
    def process(self):
        """Endpoint and the start of its process."""
        return (self.endpoint_id, self.born)


def is_overdue(end, due, unix_time, now):
    """Return whether an item no longer waits for the proof of its end.

    Parameters
    ----------
    end : OrderlyEnd
        End of its last response.
    due : float
        Unix time at which the item is due, in seconds.
    unix_time : float
        Time of day as Unix time in seconds.
    now : float
        Seconds of the monotonic clock.
    """
    return (
        unix_time > due - plan.RESULT_DELAY_SECONDS
        and now > end.seen_at + PROOF_SECONDS
    )
