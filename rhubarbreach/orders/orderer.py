"""Task that takes order leases and carries out planned orders."""

import threading
import uuid

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.orders import client
from rhubarbreach.orders import lease
from rhubarbreach.orders import model

__all__ = ['Orderer']

LOG = logbook.Logger('orders')

WAIT_POLL_SECONDS = 0.05


class Orderer:
    """Gives orders to endpoints under leases of the configuration group.

    Parameters
    ----------
    host_id : str
        This host.
    view : object
        Configuration view with `snapshot` and `valid_until`.
    take_lease : callable
        Called with endpoint id and expected epoch; proposes the change
        `TakeOrderLease` and returns the new epoch or a `Refusal`.
    registry : object
        Endpoint registry with `get(endpoint_id)`.
    validity : float
        Longest validity of a configuration, in seconds.
    recorder : timeline.Recorder
        Receives each order with its reason.
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
        # One order at a time, so that orders of one holder keep their order.
        self.lock = threading.Lock()

    def find_lease(self, endpoint_id):
        """Return the lease in the configuration, or None."""
        for one in self.view.snapshot.order_leases:
            if one.endpoint_id == endpoint_id:
                return one
        return None

    def acquire(self, endpoint_id):
        """Return a lease held by this host, or a `Refusal`."""
        held = self.leases.get(endpoint_id)
        known = self.find_lease(endpoint_id)
        if (
            held is not None
            and known is not None
            and known.epoch == held.epoch
        ):
            return held
        expected = known.epoch if known is not None else 0
        epoch = self.take_lease(endpoint_id, expected)
        if isinstance(epoch, codes.Refusal):
            return epoch
        held = lease.HeldLease(
            endpoint_id, epoch, clock.monotonic(), expected > 0
        )
        self.leases[endpoint_id] = held
        return held

    def give_order(self, endpoint_id, action, reason, deadline):
        """Carry out one action on an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Endpoint.
        action : model.LoadModel, model.UnloadModel or model.SetRole
            What to do.
        reason : str
            Written to the timeline.
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
                    f'endpoint {endpoint_id} is not announced',
                )
            held = self.acquire(endpoint_id)
            if isinstance(held, codes.Refusal):
                return held
            refusal = self.wait_until_safe(held, endpoint, deadline)
            if refusal is not None:
                return refusal
            return self.order_after_reading(held, endpoint, action, reason)

    def wait_until_safe(self, held, endpoint, deadline):
        """Wait for the previous holder; return a `Refusal` if too long."""
        start = lease.get_first_order_time(
            held, endpoint.fencing, self.validity
        )
        if start > deadline:
            return codes.Refusal(
                codes.ResultCode.DEADLINE_TOO_SHORT,
                'the previous holder of the order lease may still order',
                retry_after=start - clock.monotonic(),
            )
        while not self.is_allowed(held, start):
            if clock.monotonic() > deadline:
                return codes.Refusal(
                    codes.ResultCode.CONFIG_STALE,
                    'the order lease is not held',
                )
            threading.Event().wait(WAIT_POLL_SECONDS)
        return None

    def is_allowed(self, held, start):
        """Return whether an order may be sent now."""
        now = clock.monotonic()
        known = self.find_lease(held.endpoint_id)
        epoch = None
        if known is not None and known.holder_id == self.host_id:
            epoch = known.epoch
        usable = lease.is_usable(held, epoch, self.view.valid_until, now)
        return usable and now >= start

    def order_after_reading(self, held, endpoint, action, reason):
        """Send an order unless the state shows that it was carried out."""
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
            held.epoch,
        )
        self.recorder.record(
            'order_sent',
            reason,
            endpoint_id=endpoint.endpoint_id,
            detail=f'action={action} fencing={held.epoch}',
        )
        result = client.send_order(order)
        if isinstance(result, codes.Refusal):
            LOG.warning(
                'event=order_failed endpoint={} code={} reason={!r}',
                endpoint.endpoint_id,
                result.code.name,
                result.reason,
            )
            # The lease is taken again with a new number before a retry.
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
