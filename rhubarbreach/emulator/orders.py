"""Orders to load, unload or change role, with and without fencing."""

import dataclasses
import threading

from rhubarbreach import clock

__all__ = ['Order', 'OrderBook', 'OrderState']


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint."""

    order: str
    order_id: str
    model: str = ''
    version: str = ''
    role: str = ''
    fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """Result of the orders carried out so far."""

    models: tuple[str, ...]
    versions: tuple[tuple[str, str], ...]
    role: str
    fencing: int
    last_order_id: str
    loading: str


class OrderBook:
    """Carries out orders one at a time.

    Parameters
    ----------
    models : tuple of str
        Models that are loaded at the start.
    fencing : bool
        Whether an order with an old fencing number is refused.
    load_seconds : float
        Time to load the weights of a model.
    """

    def __init__(self, models, fencing, load_seconds):
        self.models = dict.fromkeys(models, '')
        self.checks_fencing = fencing
        self.load_seconds = load_seconds
        self.lock = threading.Lock()
        self.role = 'serve'
        self.fencing = 0
        self.last_order_id = ''
        self.loading = ''
        self.loading_version = ''
        self.loaded_at = 0.0

    def accept(self, order):
        """Carry out an order; return whether it was accepted."""
        with self.lock:
            if self.checks_fencing and order.fencing < self.fencing:
                return False
            self.fencing = max(self.fencing, order.fencing)
            self.last_order_id = order.order_id
            match order.order:
                case 'load':
                    self.models.pop(order.model, None)
                    self.loading = order.model
                    self.loaded_at = clock.monotonic() + self.load_seconds
                    self.loading_version = order.version
                case 'unload':
                    self.models.pop(order.model, None)
                case 'role':
                    self.role = order.role
                case _:
                    return False
        return True

    def get_state(self):
        """Return the state after all orders."""
        with self.lock:
            if self.loading and clock.monotonic() >= self.loaded_at:
                self.models[self.loading] = self.loading_version
                self.loading = ''
            return OrderState(
                tuple(sorted(self.models)),
                tuple(sorted(self.models.items())),
                self.role,
                self.fencing,
                self.last_order_id,
                self.loading,
            )
