"""Operator commands for models and routes."""

from rhubarbreach.commands import calls
from rhubarbreach.operators import operators_pb2

__all__ = ['CatalogCommands']

DEFAULT_TIMEOUT_SECONDS = 60.0


class CatalogCommands(calls.Calls):
    """Commands for models and routes."""

    def put_model(
        self,
        model_id,
        version=None,
        weight_bytes=None,
        min_replicas=None,
        max_replicas=None,
    ):
        """Add a model, or change the given options of one.

        Parameters
        ----------
        model_id : str
            Model name in the requests of callers.
        version : str
            Version that endpoints should load.
        weight_bytes : int
            Size of the weights in bytes.
        min_replicas, max_replicas : int
            Bounds for scaling; if both are 0, the model is not scaled.
        """
        current, revision = self._find('ListModels', 'models', model_id)
        given = {
            'version': None if version is None else str(version),
            'weight_bytes': weight_bytes,
            'min_replicas': min_replicas,
            'max_replicas': max_replicas,
        }
        defaults = {
            'version': '',
            'weight_bytes': 0,
            'min_replicas': 0,
            'max_replicas': 0,
        }
        model = operators_pb2.Model(
            model_id=str(model_id), **calls.merge(current, given, defaults)
        )
        header = self._session.make_header(revision)
        request = operators_pb2.PutModelRequest(change=header, model=model)
        self._session.change('PutModel', request)

    def remove_model(self, model_id):
        """Remove a model."""
        self._remove('RemoveModel', model_id)

    def list_models(self, model_id=''):
        """List all models, or the given one."""
        columns = (
            'model_id',
            'version',
            'weight_bytes',
            'min_replicas',
            'max_replicas',
        )
        self._session.show('ListModels', model_id, 'models', columns)

    def put_route(
        self,
        route_id,
        path=None,
        kind=None,
        target=None,
        open=None,
        idempotent=None,
        record=None,
        accounts=None,
        timeout=None,
    ):
        """Add a route, or change the given options of one.

        Parameters
        ----------
        route_id : str
            Id of the route.
        path : str
            HTTP path; for services, a path prefix.
        kind : str
            `engine` or `service`; default `engine`.
        target : str
            For services, the model name that their endpoints announce.
        open : bool
            Whether requests without a key are accepted; default no.
        idempotent : bool
            Whether a request may be repeated; default yes for engines, no
            for services.
        record : str
            `keyed` to record requests with an Idempotency-Key, `all` to
            record every request; default `keyed`.
        accounts : str
            Accounts that may use the route, comma separated; empty for all.
        timeout : float
            Seconds within which a request must be answered; default 60.
        """
        current, revision = self._find('ListRoutes', 'routes', route_id)
        given = {
            'path': path,
            'kind': kind,
            'target': target,
            'open': open,
            'idempotent': idempotent,
            'record': record,
            'accounts': calls.split(accounts),
            'timeout': timeout,
        }
        defaults = {
            'path': '',
            'kind': 'engine',
            'target': '',
            'open': False,
            'idempotent': kind != 'service',
            'record': 'keyed',
            'accounts': (),
            'timeout': DEFAULT_TIMEOUT_SECONDS,
        }
        route = operators_pb2.Route(
            route_id=str(route_id), **calls.merge(current, given, defaults)
        )
        header = self._session.make_header(revision)
        request = operators_pb2.PutRouteRequest(change=header, route=route)
        self._session.change('PutRoute', request)

    def remove_route(self, route_id):
        """Remove a route."""
        self._remove('RemoveRoute', route_id)

    def list_routes(self, route_id=''):
        """List all routes, or the given one."""
        columns = (
            'route_id',
            'path',
            'kind',
            'target',
            'open',
            'idempotent',
            'record',
            'accounts',
            'timeout',
        )
        self._session.show('ListRoutes', route_id, 'routes', columns)
