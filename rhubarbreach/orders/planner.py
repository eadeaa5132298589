"""Task that scales models over endpoints with demand."""

import threading

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.orders import scaling

__all__ = ['Planner']

LOG = logbook.Logger('planner')

PERIOD_SECONDS = 2.0
ORDER_WAIT_SECONDS = 15.0
# Demand is averaged, since a burst shorter than a weight load is over
# before a new replica could help.
DEMAND_SMOOTHING = 0.2


class Planner:
    """Plans loads while this host is the region's planner.

    Parameters
    ----------
    orderer : orderer.Orderer
        Carries out the actions.
    is_planner : callable
        Returns whether this host plans now.
    read_models : callable
        Returns the configured models.
    read_endpoints : callable
        Returns the usable engines.
    read_demand : callable
        Returns the requests running and waiting by model id.
    budget : scaling.WeightBudget
        Rate of the weight store.
    """

    def __init__(
        self,
        orderer,
        is_planner,
        read_models,
        read_endpoints,
        read_demand,
        budget,
    ):
        self.orderer = orderer
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
        """Start the task."""
        self.thread.start()

    def run(self):
        """Plan until closed."""
        while not self.closed.wait(PERIOD_SECONDS):
            if self.is_planner():
                self.plan_once()

    def plan_once(self):
        """Average the demand and carry out the actions that follow."""
        now = clock.monotonic()
        current = self.read_demand()
        for model_id in {*self.demand, *current}:
            known = self.demand.get(model_id, 0.0)
            change = current.get(model_id, 0.0) - known
            self.demand[model_id] = known + DEMAND_SMOOTHING * change
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
            self.carry_out(action)

    def carry_out(self, planned):
        """Give one order and log a refusal."""
        result = self.orderer.give_order(
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
        """Stop the task."""
        self.closed.set()
