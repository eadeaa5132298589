"""Data classes of orders to endpoints."""

import dataclasses

__all__ = ['EndpointState', 'LoadModel', 'Order', 'SetRole', 'UnloadModel']


@dataclasses.dataclass(frozen=True, slots=True)
class LoadModel:
    """Action that loads a version of a model."""

    model_id: str
    version: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnloadModel:
    """Action that unloads a model."""

    model_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class SetRole:
    """Action that sets the role of an engine, such as prefill or decode."""

    role: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an endpoint under an order lease.

    Parameters
    ----------
    order_id : str
        Unique id. The endpoint reports the last one that it accepted.
    endpoint_id, address : str
        Receiving endpoint and its `IP:port`.
    action : LoadModel, UnloadModel or SetRole
        Action to execute.
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
    """State that an endpoint reports about its orders.

    Parameters
    ----------
    models : tuple of str
        Loaded models.
    versions : tuple of tuple of str and str
        Id and version of each loaded model.
    role : str
        Role of the engine.
    fencing : int
        Highest fencing token accepted so far.
    last_order_id : str
        Id of the last order that the endpoint accepted.
    loading : str
        Model that is being loaded, empty for none.
    """

    models: tuple[str, ...]
    versions: tuple[tuple[str, str], ...]
    role: str
    fencing: int
    last_order_id: str
    loading: str
