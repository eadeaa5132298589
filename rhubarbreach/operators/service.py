"""Operator service, which carries out its calls on a provider."""

import logbook

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.distribution import effect
from rhubarbreach.observe import logs
from rhubarbreach.operators import convert
from rhubarbreach.operators import operators_pb2
from rhubarbreach.operators import provider as provider_module
from rhubarbreach.orders import model as orders_model
from rhubarbreach.state import changes
from rhubarbreach.state import model

__all__ = ['COMMIT_TIMEOUT_SECONDS', 'MAX_WAIT_SECONDS', 'Service']

LOG = logbook.Logger('operators')

# Time limits for committing a change or carrying out an action, and for
# waiting until a change is in effect.
COMMIT_TIMEOUT_SECONDS = 10.0
MAX_WAIT_SECONDS = 60.0
MAX_OPERATION_ID_CHARS = 128
MAX_COMMAND_BYTES = 256 * 1024


def refuse(reason, code=codes.ResultCode.INVALID_CHANGE):
    """Return a refusal that states that nothing was changed."""
    return codes.Refusal(code, reason)


def make_refused_reply(refusal):
    """Return the reply to a refused change."""
    return operators_pb2.ChangeReply(result=convert.make_result(refusal))


def check_header(header):
    """Return a refusal if the header of a change is invalid, else None."""
    if not 0 < len(header.operation_id) <= MAX_OPERATION_ID_CHARS:
        return refuse(
            f'operation id must have 1 to {MAX_OPERATION_ID_CHARS} '
            f'characters, not {len(header.operation_id)}'
        )
    if not 0 <= header.wait <= MAX_WAIT_SECONDS:
        return refuse(
            f'the wait must be 0 to {MAX_WAIT_SECONDS:g} s, '
            f'not {header.wait:g} s'
        )
    return None


class Service:
    """Service with one method for each RPC of operators.proto.

    Parameters
    ----------
    provider : Provider
        Provider of the host on which the service runs.
    """

    def __init__(self, provider):
        self.provider = provider

    def put_account(self, request):
        """Add or replace an account."""
        account = convert.from_message(request.account, model.Account)
        return self.change(request.change, model.PutAccount(account))

    def remove_account(self, request):
        """Remove an account and its keys."""
        return self.change(request.change, model.RemoveAccount(request.id))

    def add_key(self, request):
        """Add a key to an account by its digest."""
        key = model.Key(
            request.key.key_id, request.key.account_id, request.key.digest
        )
        return self.change(request.change, model.PutKey(key))

    def revoke_key(self, request):
        """Revoke a key permanently."""
        return self.change(request.change, model.RevokeKey(request.id))

    def put_model(self, request):
        """Add or replace a model."""
        served_model = convert.from_message(request.model, model.Model)
        return self.change(request.change, model.PutModel(served_model))

    def remove_model(self, request):
        """Remove a model."""
        return self.change(request.change, model.RemoveModel(request.id))

    def put_route(self, request):
        """Add or replace a route."""
        route = convert.from_message(request.route, model.Route)
        return self.change(request.change, model.PutRoute(route))

    def remove_route(self, request):
        """Remove a route."""
        return self.change(request.change, model.RemoveRoute(request.id))

    def start_evacuation(self, request):
        """Evacuate an availability zone that is known."""
        zones = self.provider.list_zones(
            clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        if isinstance(zones, codes.Refusal):
            return make_refused_reply(zones)
        if request.id not in zones:
            return make_refused_reply(
                refuse(
                    f'unknown zone {request.id!r}; known: '
                    f'{", ".join(sorted(zones))}',
                    codes.ResultCode.NOT_FOUND,
                )
            )
        return self.change(request.change, model.StartEvacuation(request.id))

    def end_evacuation(self, request):
        """End the evacuation of an availability zone."""
        return self.change(request.change, model.EndEvacuation(request.id))

    def change(self, header, change):
        """Commit a change and wait until it is in effect.

        Parameters
        ----------
        header : operators_pb2.Change
            Operation id, expected revision and wait.
        change : object
            One of `rhubarbreach.state.model.CHANGES`.

        Returns
        -------
        operators_pb2.ChangeReply
            Result, and the hosts on which the change is not in effect.
        """
        refusal = check_header(header)
        if refusal:
            return make_refused_reply(refusal)
        deadline = clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        account_id = self.find_affected_account(change, deadline)
        command = model.encode_request(
            header.operation_id, header.expected_revision, change
        )
        if len(command) > MAX_COMMAND_BYTES:
            return make_refused_reply(
                refuse(
                    f'change of {len(command)} bytes exceeds the limit of '
                    f'{MAX_COMMAND_BYTES} bytes'
                )
            )
        outcome = self.provider.propose(command, deadline)
        if isinstance(outcome, codes.Refusal):
            return make_refused_reply(outcome)
        result = model.decode_result(outcome)
        log_change(header, change, result)
        if result.code != codes.ResultCode.OK:
            reply = make_refused_reply(
                codes.Refusal(result.code, result.reason)
            )
            reply.revision = result.revision
            return reply
        return self.report_effect(result.revision, account_id, header.wait)

    def find_affected_account(self, change, deadline):
        """Return the account whose `stale_key_bound` applies to a change.

        The result is empty if the change concerns no account, and
        `effect.ANY_ACCOUNT` if the account is unknown.
        """
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return effect.ANY_ACCOUNT
        account_id = changes.get_changed_account(config, change)
        if not account_id and isinstance(change, model.RevokeKey):
            return effect.ANY_ACCOUNT
        return account_id

    def report_effect(self, revision, account_id, wait):
        """Return the reply to an accepted change after waiting for it."""
        result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
        reply = operators_pb2.ChangeReply(result=result, revision=revision)
        deadline = clock.monotonic() + wait
        pending = self.provider.wait_in_effect(revision, account_id, deadline)
        if isinstance(pending, codes.Refusal):
            reply.effect_reason = pending.reason
            return reply
        reply.in_effect = not pending
        reply.pending.extend(
            convert.to_message(host, operators_pb2.PendingHost)
            for host in pending
        )
        return reply

    def wait_in_effect(self, request):
        """Wait until an earlier change is in effect."""
        if not 0 <= request.wait <= MAX_WAIT_SECONDS:
            return make_refused_reply(
                refuse(
                    f'the wait must be 0 to {MAX_WAIT_SECONDS:g} s, '
                    f'not {request.wait:g} s'
                )
            )
        return self.report_effect(
            request.revision, request.account_id, request.wait
        )

    def list_accounts(self, request):
        """Return all accounts, or the one with the given id."""
        return self.list_config(
            operators_pb2.AccountList,
            'accounts',
            operators_pb2.Account,
            lambda config: select_objects(config, 'account', request.id),
        )

    def list_keys(self, request):
        """Return all keys, or those of one account."""

        def select_keys(config):
            if request.id:
                return config.get_account_keys(request.id)
            return config.keys

        return self.list_config(
            operators_pb2.KeyList, 'keys', operators_pb2.Key, select_keys
        )

    def list_models(self, request):
        """Return all models, or the one with the given id."""
        return self.list_config(
            operators_pb2.ModelList,
            'models',
            operators_pb2.Model,
            lambda config: select_objects(config, 'model', request.id),
        )

    def list_routes(self, request):
        """Return all routes, or the one with the given id."""
        return self.list_config(
            operators_pb2.RouteList,
            'routes',
            operators_pb2.Route,
            lambda config: select_objects(config, 'route', request.id),
        )

    def list_config(self, list_class, field, row_class, select):
        """Return a list reply with selected objects of the configuration."""
        deadline = clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return list_class(result=convert.make_result(config))
        reply = make_list(list_class, field, row_class, select(config))
        reply.revision = config.revision
        return reply

    def list_hosts(self, request):
        """Return the hosts of the fleet."""
        hosts = self.provider.list_hosts(
            clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        return make_list(
            operators_pb2.HostList, 'hosts', operators_pb2.Host, hosts
        )

    def list_endpoints(self, request):
        """Return the endpoints that this host knows."""
        endpoints = self.provider.list_endpoints(
            clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        return make_list(
            operators_pb2.EndpointList,
            'endpoints',
            operators_pb2.Endpoint,
            endpoints,
        )

    def list_groups(self, request):
        """Return the replicated log groups."""
        groups = self.provider.list_groups(
            clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        return make_list(
            operators_pb2.GroupList, 'groups', operators_pb2.Group, groups
        )

    def list_rates(self, request):
        """Return the rates of one account or of all."""
        rates = self.provider.list_rates(
            request.id, clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        return make_list(
            operators_pb2.RateList, 'rates', operators_pb2.Rate, rates
        )

    def list_jobs(self, request):
        """Return the jobs of one account or of all."""
        jobs = self.provider.list_jobs(
            request.id, clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        )
        return make_list(
            operators_pb2.JobList, 'jobs', operators_pb2.Job, jobs
        )

    def change_member(self, request):
        """Change the members of a replicated log group."""
        if request.action not in provider_module.MEMBER_ACTIONS:
            return make_refused_reply(
                refuse(f'unknown action: {request.action!r}')
            )
        return self.run_action(
            request.change,
            self.provider.change_member,
            request.group_id,
            request.host_id,
            request.action,
        )

    def drain_host(self, request):
        """Start the drain of a host."""
        return self.run_action(
            request.change, self.provider.drain_host, request.id
        )

    def set_log_level(self, request):
        """Set the log level of a host."""
        if request.level not in logs.LEVELS:
            return make_refused_reply(
                refuse(f'unknown level: {request.level!r}')
            )
        return self.run_action(
            request.change,
            self.provider.set_log_level,
            request.host_id,
            request.level,
        )

    def cancel_job(self, request):
        """Cancel a job."""
        return self.run_action(
            request.change, self.provider.cancel_job, request.id
        )

    def order_endpoint(self, request):
        """Send an order to an endpoint."""
        action = parse_order(request)
        if isinstance(action, codes.Refusal):
            return make_refused_reply(action)
        return self.run_action(
            request.change,
            self.provider.order_endpoint,
            request.endpoint_id,
            action,
        )

    def run_action(self, header, function, *arguments):
        """Carry out an action that does not change the configuration.

        The expected revision is checked before the action, not atomically
        with it. The check prevents actions based on an outdated list.
        """
        refusal = check_header(header)
        if refusal:
            return make_refused_reply(refusal)
        deadline = clock.monotonic() + COMMIT_TIMEOUT_SECONDS
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return make_refused_reply(config)
        if config.revision != header.expected_revision:
            reason = (
                f'revision is {config.revision}, '
                f'expected {header.expected_revision}'
            )
            return make_refused_reply(
                refuse(reason, codes.ResultCode.REVISION_CONFLICT)
            )
        refusal = function(*arguments, header.operation_id, deadline)
        if refusal:
            return make_refused_reply(refusal)
        result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
        return operators_pb2.ChangeReply(
            result=result, revision=config.revision, in_effect=True
        )


def select_objects(config, kind, object_id):
    """Return all objects of a kind, or the one with the given id."""
    if not object_id:
        return getattr(config, f'{kind}s')
    selected = getattr(config, f'get_{kind}')(object_id)
    return () if selected is None else (selected,)


def make_list(list_class, field, row_class, values):
    """Return a list reply with rows of data classes, or with a refusal."""
    if isinstance(values, codes.Refusal):
        return list_class(result=convert.make_result(values))
    rows = [convert.to_message(value, row_class) for value in values]
    result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
    return list_class(result=result, **{field: rows})


def parse_order(request):
    """Return the action that an order asks for, or a refusal."""
    if request.order in ('load', 'unload') and not request.model_id:
        return refuse('an order to load or unload a model needs a model id')
    match request.order:
        case 'load':
            return orders_model.LoadModel(request.model_id, request.version)
        case 'unload':
            return orders_model.UnloadModel(request.model_id)
        case 'role' if request.role:
            return orders_model.SetRole(request.role)
    return refuse(f'unknown order: {request.order!r}')


def log_change(header, change, result):
    """Log a change and its result, without the digests of keys."""
    LOG.info(
        'event=config_change change={} operation={!r} code={} revision={}',
        type(change).__name__,
        header.operation_id,
        result.code.name,
        result.revision,
    )
