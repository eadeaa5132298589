"""Decisions of the scheduler core."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.scheduling import work

__all__ = ['Placed', 'Preempted', 'Refused', 'Running']


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Decision to start work on an endpoint."""

    placement: work.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Decision not to run work."""

    work: work.Work
    refusal: codes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Preempted:
    """Decision to preempt a batch placement and take back its slot."""

    placement: work.Placement


@dataclasses.dataclass(slots=True)
class Running:
    """Placement that is not yet released; `order` increases with time."""

    placement: work.Placement
    order: int
    preempted: bool = False
