"""Frozen data classes of orders to endpoints."""

import dataclasses

__all__ = ['EndpointState', 'LoadModel', 'Order', 'SetRole', 'UnloadModel']


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Load a version of a model."""

    model_id: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadModel:
    """Unload a model."""

    model_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Change the role of an engine, such as prefill or decode."""

    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order under a lease.

    Parameters
    ----------
    order_id : str
        Unique; the endpoint reports the last one that it accepted.
    endpoint_id, address : str
        Receiver.
    action : LoadModel, UnloadModel or SetRole
        What to do.
    fencing : int
        Epoch of the order lease.
    """

    order_id: str
    endpoint_id: str
    address: str
    action: LoadModel | UnloadModel | SetRole
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointState:
    """What an endpoint reports about its orders."""

    models: tuple[str, ...]
    versions: tuple[tuple[str, str], ...]
    role: str
    fencing: int
    last_order_id: str
    loading: str
