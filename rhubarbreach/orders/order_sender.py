"""Sending of orders to endpoints under order leases."""

import threading
import uuid

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.orders import client
from rhubarbreach.orders import lease
from rhubarbreach.orders import model

__all__ = ['OrderSender']

LOG = logbook.Logger('orders')

LEASE_POLL_SECONDS = 0.05


class OrderSender:
    """Sender of orders under leases of the configuration group.

    Parameters
    ----------
    host_id : str
        Id of this host.
    view : object
        Configuration view with `snapshot` and `valid_until`.
    take_lease : callable
        Called with the endpoint id and the expected epoch. Proposes the
        change `TakeOrderLease` and returns the new epoch or a `Refusal`.
    registry : object
        Endpoint registry with `get(endpoint_id)`.
    validity : float
        Maximum validity of a configuration, in seconds.
    recorder : timeline.Recorder
        Records each order with its reason.
    """

    def __init__(
        self, host_id, view, take_lease, registry, validity, recorder
    ):
        self.host_id = host_id
        self.view = view
        self.take_lease = take_lease
        self.registry = registry
        self.validity = validity
        self.recorder = recorder
        self.leases = {}
        # Orders are sent one at a time, so that an endpoint receives them in
        # the sequence in which they were given.
        self.lock = threading.Lock()

    def find_lease(self, endpoint_id):
        """Return the lease of an endpoint in the configuration, or None."""
        for order_lease in self.view.snapshot.order_leases:
            if order_lease.endpoint_id == endpoint_id:
                return order_lease
        return None

    def acquire_lease(self, endpoint_id):
        """Return the lease of an endpoint for this host, or a `Refusal`.

        The lease is proposed unless this host already holds it.
        """
        held_lease = self.leases.get(endpoint_id)
        current = self.find_lease(endpoint_id)
        if (
            held_lease is not None
            and current is not None
            and current.epoch == held_lease.epoch
        ):
            return held_lease
        expected = current.epoch if current is not None else 0
        epoch = self.take_lease(endpoint_id, expected)
        if isinstance(epoch, codes.Refusal):
            return epoch
        held_lease = lease.HeldLease(
            endpoint_id, epoch, clock.monotonic(), expected > 0
        )
        self.leases[endpoint_id] = held_lease
        return held_lease

    def give_order(self, endpoint_id, action, reason, deadline):
        """Order an endpoint to execute an action.

        Parameters
        ----------
        endpoint_id : str
            Endpoint that receives the order.
        action : model.LoadModel, model.UnloadModel or model.SetRole
            Action to execute.
        reason : str
            Reason that is recorded in the timeline.
        deadline : float
            Monotonic deadline.

        Returns
        -------
        model.EndpointState or codes.Refusal
            State after the order.
        """
        with self.lock:
            endpoint = self.registry.get(endpoint_id)
            if endpoint is None:
                return codes.Refusal(
                    codes.ResultCode.NO_ENDPOINT,
                    f'endpoint {endpoint_id} has not announced itself',
                )
            held_lease = self.acquire_lease(endpoint_id)
            if isinstance(held_lease, codes.Refusal):
                return held_lease
            refusal = self.wait_until_safe(held_lease, endpoint, deadline)
            if refusal is not None:
                return refusal
            return self.send_unless_done(held_lease, endpoint, action, reason)

    def wait_until_safe(self, held_lease, endpoint, deadline):
        """Wait until this host may send orders under a lease.

        Returns
        -------
        None or codes.Refusal
            DEADLINE_TOO_SHORT if the previous holder may still send orders at
            the deadline, CONFIG_STALE if this host does not hold the lease in
            a valid configuration.
        """
        start = lease.get_first_order_time(
            held_lease, endpoint.fencing, self.validity
        )
        if start > deadline:
            return codes.Refusal(
                codes.ResultCode.DEADLINE_TOO_SHORT,
                'the previous holder of the order lease of endpoint '
                f'{held_lease.endpoint_id} may still send orders',
                retry_after=start - clock.monotonic(),
            )
        while not self.is_allowed(held_lease, start):
            if clock.monotonic() > deadline:
                return codes.Refusal(
                    codes.ResultCode.CONFIG_STALE,
                    f'the order lease of endpoint {held_lease.endpoint_id} '
                    'is not held in a valid configuration',
                )
            threading.Event().wait(LEASE_POLL_SECONDS)
        return None

    def is_allowed(self, held_lease, start):
        """Return whether this host may send an order now."""
        now = clock.monotonic()
        current = self.find_lease(held_lease.endpoint_id)
        epoch = None
        if current is not None and current.holder_id == self.host_id:
            epoch = current.epoch
        usable = lease.is_usable(held_lease, epoch, self.view.valid_until, now)
        return usable and now >= start

    def send_unless_done(self, held_lease, endpoint, action, reason):
        """Send an order unless the endpoint's state shows its effect."""
        state = client.read_state(endpoint.address)
        if isinstance(state, codes.Refusal):
            return state
        if is_done(action, state):
            return state
        order = model.Order(
            uuid.uuid4().hex,
            endpoint.endpoint_id,
            endpoint.address,
            action,
            held_lease.epoch,
        )
        self.recorder.record(
            'order_sent',
            reason,
            endpoint_id=endpoint.endpoint_id,
            detail=f'action={action} fencing={held_lease.epoch}',
        )
        result = client.send_order(order)
        if isinstance(result, codes.Refusal):
            LOG.warning(
                'event=order_failed endpoint={} code={} reason={!r}',
                endpoint.endpoint_id,
                result.code.name,
                result.reason,
            )
            # A retry first acquires the lease again with a higher epoch.
            self.leases.pop(endpoint.endpoint_id, None)
        return result


def is_done(action, state):
    """Return whether a state already shows an action's effect."""
    match action:
        case model.LoadModel(model_id, version):
            loading = state.loading == model_id
            return loading or (model_id, version) in state.versions
        case model.UnloadModel(model_id):
            return model_id not in state.models
        case model.SetRole(role):
            return state.role == role
    return False
