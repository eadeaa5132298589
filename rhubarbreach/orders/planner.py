"""Thread that scales the replicas of models with demand."""

import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.orders import scaling

__all__ = ['Planner']

LOG = logbook.Logger('planner')

PLANNING_PERIOD_SECONDS = 2.0
ORDER_WAIT_SECONDS = 15.0
# Weight of a new sample in the moving average of the demand. A burst that is
# shorter than a weight load is over before a new replica could serve it.
DEMAND_SMOOTHING = 0.2


class Planner:
    """Thread that plans model loads while this host is its region's planner.

    Parameters
    ----------
    order_sender : OrderSender
        Sends the orders.
    is_planner : callable
        Returns whether this host is the planner of its region.
    read_models : callable
        Returns the configured models.
    read_endpoints : callable
        Returns the engines that accept new work.
    read_demand : callable
        Returns the number of running and waiting requests by model id.
    budget : scaling.WeightBudget
        Budget of reads from the weight store.
    """

    def __init__(
        self,
        order_sender,
        is_planner,
        read_models,
        read_endpoints,
        read_demand,
        budget,
    ):
        self.order_sender = order_sender
        self.is_planner = is_planner
        self.read_models = read_models
        self.read_endpoints = read_endpoints
        self.read_demand = read_demand
        self.budget = budget
        self.demand = {}
        self.closed = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name='planner', daemon=True
        )

    def start(self):
        """Start the thread."""
        self.thread.start()

    def run(self):
        """Plan until closed."""
        while not self.closed.wait(PLANNING_PERIOD_SECONDS):
            try:
                if self.is_planner():
                    self.plan_once()
            except Exception:
                LOG.exception('event=plan_failed')

    def plan_once(self):
        """Update the average demand and execute the resulting actions."""
        now = clock.monotonic()
        current = self.read_demand()
        for model_id in {*self.demand, *current}:
            average = self.demand.get(model_id, 0.0)
            change = current.get(model_id, 0.0) - average
            self.demand[model_id] = average + DEMAND_SMOOTHING * change
        demands = [
            scaling.Demand(model_id, requests)
            for model_id, requests in self.demand.items()
        ]
        actions = scaling.plan_actions(
            self.read_models(),
            self.read_endpoints(),
            demands,
            self.budget,
            now,
        )
        for action in actions:
            self.execute(action)

    def execute(self, planned):
        """Give the order for a planned action and log a refusal."""
        result = self.order_sender.give_order(
            planned.endpoint_id,
            planned.action,
            planned.reason,
            clock.monotonic() + ORDER_WAIT_SECONDS,
        )
        if isinstance(result, codes.Refusal):
            LOG.warning(
                'event=plan_refused endpoint={} code={} reason={!r}',
                planned.endpoint_id,
                result.code.name,
                result.reason,
            )

    def close(self):
        """Stop the thread."""
        self.closed.set()
