"""Decisions of the scheduler core as data classes."""

import dataclasses

from rhubarbreach import codes
from rhubarbreach.scheduling import work

__all__ = ['Placed', 'Preempted', 'Refused', 'Running']


@dataclasses.dataclass(frozen=True, slots=True)
class Placed:
    """Work may start now."""

    placement: work.Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """Work will not be run."""

    work: work.Work
    refusal: codes.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Preempted:
    """A batch placement whose slot is taken back."""

    placement: work.Placement


@dataclasses.dataclass(slots=True)
class Running:
    """A placement that has not been released; `order` grows."""

    placement: work.Placement
    order: int
    preempted: bool = False
