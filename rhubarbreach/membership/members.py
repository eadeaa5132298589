"""State kept about other hosts and the precedence of their rows."""

import dataclasses
import math

from rhubarbreach.protocol import membermessages

__all__ = ['Member', 'PendingProbe', 'RelayedProbe', 'Status', 'is_newer']


class Status:
    """Values of `HostRow.status`.

    `RANKS` orders them within one incarnation.
    """

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
    """State kept about another host.

    Parameters
    ----------
    row : HostRow
        Latest row.
    draining : bool
        Whether the host is draining. The value is kept while the host is
        suspected.
    deadline : float
        Monotonic time at which a suspected host is declared dead or a dead
        host is removed.
    sends_left : int
        Number of messages that still have to carry the row.
    """

    row: membermessages.HostRow
    draining: bool = False
    deadline: float = math.inf
    sends_left: int = 0


@dataclasses.dataclass(slots=True)
class PendingProbe:
    """A probe that is not answered yet.

    Parameters
    ----------
    target_id : str
        Probed host.
    indirect_at : float
        Monotonic time at which other hosts are asked to probe.
    expires_at : float
        Monotonic time at which the target is suspected.
    incarnation : int
        Incarnation of the target when the probe was sent, -1 if unknown.
    """

    target_id: str
    indirect_at: float
    expires_at: float
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another host."""

    origin_id: str
    sequence: int
    expires_at: float


def is_newer(row, stored):
    """Return whether a row replaces the stored row of the same host."""
    if row.incarnation != stored.incarnation:
        return row.incarnation > stored.incarnation
    return RANKS[row.status] > RANKS[stored.status]
