"""Which batch items run and which give their slots up.

The load this answers: online requests come in waves of some seconds that
fill all slots, with quiet times between them, while batch items run for many
seconds and are due much later. Batch items use what online requests leave,
yield when a wave begins, and go on from where they were.
"""

import dataclasses

__all__ = ['Running', 'Slots', 'Waiting', 'plan_starts', 'plan_yields']

# Slots of an endpoint that batch items leave free for the next online
# request, so that it does not wait for a slot.
SPARE_SLOTS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Slots:
    """Use of an endpoint's slots."""

    endpoint_id: str
    service: str
    total: int
    online: int
    batch: int

    @property
    def free(self):
        """Slots that a further batch item may use."""
        return self.total - SPARE_SLOTS - self.online - self.batch

    @property
    def excess(self):
        """Batch items that hold slots which online requests need."""
        return min(self.batch, self.online + self.batch - self.total)


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """An item that waits; times are Unix times in seconds."""

    key: tuple[str, str]
    service: str
    due: float
    made: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An item that runs; `made` counts its events so far."""

    key: tuple[str, str]
    endpoint_id: str
    due: float
    made: int


def plan_starts(waiting, slots):
    """Return pairs of waiting item and endpoint id, earliest due first.

    Parameters
    ----------
    waiting : iterable of Waiting
        Items that may start.
    slots : iterable of Slots
        Use of the endpoints.
    """
    free = {one.endpoint_id: one.free for one in slots}
    services = {}
    for one in slots:
        services.setdefault(one.service, []).append(one.endpoint_id)
    starts = []
    for item in sorted(waiting, key=lambda one: (one.due, -one.made)):
        candidates = services.get(item.service, ())
        best = max(candidates, key=lambda e: (free[e], e), default=None)
        if best is None or free[best] <= 0:
            continue
        free[best] -= 1
        starts.append((item, best))
    return starts


def plan_yields(running, slots):
    """Return the keys of the items that give up their slots.

    Those that are due last go first; among them those with the least made,
    which cost the least to read again.
    """
    yields = []
    for one in slots:
        if one.excess <= 0:
            continue
        here = [r for r in running if r.endpoint_id == one.endpoint_id]
        here.sort(key=lambda r: (-r.due, r.made))
        yields.extend(r.key for r in here[: one.excess])
    return yields
