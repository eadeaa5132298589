"""Orders to endpoints under order leases."""

from rhubarbreach.orders import client
from rhubarbreach.orders import lease
from rhubarbreach.orders import model
from rhubarbreach.orders import order_sender
from rhubarbreach.orders import planner
from rhubarbreach.orders import scaling

__all__ = ['client', 'lease', 'model', 'order_sender', 'planner', 'scaling']
