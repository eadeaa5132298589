"""Execution of orders to load or unload a model or to change the role."""

import dataclasses
import threading

from rhubarbreach import clock

__all__ = ['Order', 'OrderExecutor', 'OrderState']


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order to an endpoint.

    `order` holds the kind of the order (`load`, `unload` or `role`) and
    `fencing` its fencing token.
    """

    order: str
    order_id: str
    model: str = ''
    version: str = ''
    role: str = ''
    fencing: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OrderState:
    """State of an endpoint after the orders executed so far.

    `fencing` is the highest fencing token of an order, and `loading` the
    model that is being loaded, or empty.
    """

    models: tuple[str, ...]
    versions: tuple[tuple[str, str], ...]
    role: str
    fencing: int
    last_order_id: str
    loading: str


class OrderExecutor:
    """Executor of orders, one at a time.

    Parameters
    ----------
    models : tuple of str
        Models that are loaded at the start.
    fencing : bool
        Whether orders with a stale fencing token are refused.
    load_seconds : float
        Time to load the weights of a model, in seconds.
    """

    def __init__(self, models, fencing, load_seconds):
        self.models = dict.fromkeys(models, '')
        self.rejects_stale_orders = fencing
        self.load_seconds = load_seconds
        self.lock = threading.Lock()
        self.role = 'serve'
        self.fencing = 0
        self.last_order_id = ''
        self.loading = ''
        self.loading_version = ''
        self.load_ends_at = 0.0

    def execute(self, order):
        """Execute an order; return whether it was accepted."""
        with self.lock:
            if self.rejects_stale_orders and order.fencing < self.fencing:
                return False
            self.fencing = max(self.fencing, order.fencing)
            self.last_order_id = order.order_id
            match order.order:
                case 'load':
                    self.models.pop(order.model, None)
                    self.loading = order.model
                    self.load_ends_at = clock.monotonic() + self.load_seconds
                    self.loading_version = order.version
                case 'unload':
                    self.models.pop(order.model, None)
                case 'role':
                    self.role = order.role
                case _:
                    return False
        return True

    def get_state(self):
        """Complete a load that is due and return the state."""
        with self.lock:
            if self.loading and clock.monotonic() >= self.load_ends_at:
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
