"""What a host knows of the others, and which row replaces which."""

import dataclasses
import math

from rhubarbreach.protocol import membermessages

__all__ = ['Member', 'Pending', 'Relayed', 'Status', 'is_newer']


class Status:
    """Values of `HostRow.status`, by rank within one incarnation."""

    ALIVE = 'alive'
    DRAINING = 'draining'
    SUSPECT = 'suspect'
    DEAD = 'dead'


RANKS = {
    Status.ALIVE: 0,
    Status.DRAINING: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
}


@dataclasses.dataclass(slots=True)
class Member:
    """What this host knows of another one.

    Parameters
    ----------
    row : HostRow
        Latest row.
    draining : bool
        Whether the host drains, also while it is suspected.
    deadline : float
        When a suspected host counts as dead, or a dead one is forgotten.
    sends : int
        How often the row still has to be sent.
    """

    row: membermessages.HostRow
    draining: bool = False
    deadline: float = math.inf
    sends: int = 0


@dataclasses.dataclass(slots=True)
class Pending:
    """A probe without an answer yet; times are deadlines."""

    target_id: str
    ask_others_at: float
    expires_at: float
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Relayed:
    """A probe sent for another host."""

    origin_id: str
    sequence: int
    expires_at: float


def is_newer(row, known):
    """Return whether a row replaces the known row of the same host."""
    if row.incarnation != known.incarnation:
        return row.incarnation > known.incarnation
    return RANKS[row.status] > RANKS[known.status]
