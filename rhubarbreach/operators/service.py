"""Calls of operators, carried out on a provider."""

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

__all__ = ['COMMIT_TIMEOUT', 'MAX_WAIT', 'Service']

LOG = logbook.Logger('operators')

# Seconds to commit a change or carry out an action, and bound of the wait
# until a change is in effect.
COMMIT_TIMEOUT = 10.0
MAX_WAIT = 60.0
MAX_OPERATION_ID = 128
MAX_COMMAND_BYTES = 256 * 1024


def refuse(reason, code=codes.ResultCode.INVALID_CHANGE):
    """Return the refusal of a call that changed nothing."""
    return codes.Refusal(code, reason)


def make_refused(refusal):
    """Return the reply to a refused change."""
    return operators_pb2.ChangeReply(result=convert.make_result(refusal))


def check_header(header):
    """Return the refusal of a change without proper header, or None."""
    if not 0 < len(header.operation_id) <= MAX_OPERATION_ID:
        return refuse(
            f'the operation id must have 1 to {MAX_OPERATION_ID} characters'
        )
    if not 0 <= header.wait <= MAX_WAIT:
        return refuse(f'the wait must be 0 to {MAX_WAIT:g} s')
    return None


class Service:
    """One function for each call of operators.proto.

    Parameters
    ----------
    provider : Provider
        Host on which the service runs.
    """

    def __init__(self, provider):
        self.provider = provider

    def put_account(self, request):
        """Add an account or replace it."""
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
        """Revoke a key for good."""
        return self.change(request.change, model.RevokeKey(request.id))

    def put_model(self, request):
        """Add a model or replace it."""
        one = convert.from_message(request.model, model.Model)
        return self.change(request.change, model.PutModel(one))

    def remove_model(self, request):
        """Remove a model."""
        return self.change(request.change, model.RemoveModel(request.id))

    def put_route(self, request):
        """Add a route or replace it."""
        route = convert.from_message(request.route, model.Route)
        return self.change(request.change, model.PutRoute(route))

    def remove_route(self, request):
        """Remove a route."""
        return self.change(request.change, model.RemoveRoute(request.id))

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
            Result, and the hosts on which it is not in effect.
        """
        refusal = check_header(header)
        if refusal:
            return make_refused(refusal)
        deadline = clock.monotonic() + COMMIT_TIMEOUT
        account_id = self.find_account(change, deadline)
        command = model.encode_request(
            header.operation_id, header.expected_revision, change
        )
        if len(command) > MAX_COMMAND_BYTES:
            return make_refused(
                refuse(f'the change exceeds {MAX_COMMAND_BYTES} bytes')
            )
        found = self.provider.propose(command, deadline)
        if isinstance(found, codes.Refusal):
            return make_refused(found)
        result = model.decode_result(found)
        log_change(header, change, result)
        if result.code != codes.ResultCode.OK:
            refused = make_refused(codes.Refusal(result.code, result.reason))
            refused.revision = result.revision
            return refused
        return self.report_effect(result.revision, account_id, header.wait)

    def find_account(self, change, deadline):
        """Return the account whose bound counts for a change."""
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return effect.ANY_ACCOUNT
        account_id = changes.get_changed_account(config, change)
        if not account_id and isinstance(change, model.RevokeKey):
            return effect.ANY_ACCOUNT
        return account_id

    def report_effect(self, revision, account_id, wait):
        """Return the reply for an accepted change."""
        result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
        reply = operators_pb2.ChangeReply(result=result, revision=revision)
        deadline = clock.monotonic() + wait
        found = self.provider.wait_in_effect(revision, account_id, deadline)
        if isinstance(found, codes.Refusal):
            reply.effect_reason = found.reason
            return reply
        reply.in_effect = not found
        reply.pending.extend(
            convert.to_message(one, operators_pb2.PendingHost) for one in found
        )
        return reply

    def wait_in_effect(self, request):
        """Wait until an earlier change is in effect."""
        if not 0 <= request.wait <= MAX_WAIT:
            return make_refused(
                refuse(f'the wait must be 0 to {MAX_WAIT:g} s')
            )
        return self.report_effect(
            request.revision, request.account_id, request.wait
        )

    def list_accounts(self, request):
        """Return the accounts, or the one with an id."""
        return self.list_config(
            operators_pb2.AccountList,
            'accounts',
            operators_pb2.Account,
            lambda config: choose(config, 'account', request.id),
        )

    def list_keys(self, request):
        """Return all keys, or those of one account."""

        def find(config):
            if request.id:
                return config.get_account_keys(request.id)
            return config.keys

        return self.list_config(
            operators_pb2.KeyList, 'keys', operators_pb2.Key, find
        )

    def list_models(self, request):
        """Return the models, or the one with an id."""
        return self.list_config(
            operators_pb2.ModelList,
            'models',
            operators_pb2.Model,
            lambda config: choose(config, 'model', request.id),
        )

    def list_routes(self, request):
        """Return the routes, or the one with an id."""
        return self.list_config(
            operators_pb2.RouteList,
            'routes',
            operators_pb2.Route,
            lambda config: choose(config, 'route', request.id),
        )

    def list_config(self, list_class, field, row_class, find):
        """Return a list of members of the configuration."""
        deadline = clock.monotonic() + COMMIT_TIMEOUT
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return list_class(result=convert.make_result(config))
        reply = make_list(list_class, field, row_class, find(config))
        reply.revision = config.revision
        return reply

    def list_hosts(self, request):
        """Return the hosts of the fleet."""
        found = self.provider.list_hosts(clock.monotonic() + COMMIT_TIMEOUT)
        return make_list(
            operators_pb2.HostList, 'hosts', operators_pb2.Host, found
        )

    def list_endpoints(self, request):
        """Return the endpoints."""
        found = self.provider.list_endpoints(
            clock.monotonic() + COMMIT_TIMEOUT
        )
        return make_list(
            operators_pb2.EndpointList,
            'endpoints',
            operators_pb2.Endpoint,
            found,
        )

    def list_groups(self, request):
        """Return the replicated log groups."""
        found = self.provider.list_groups(clock.monotonic() + COMMIT_TIMEOUT)
        return make_list(
            operators_pb2.GroupList, 'groups', operators_pb2.Group, found
        )

    def list_rates(self, request):
        """Return the rates of one account or of all."""
        found = self.provider.list_rates(
            request.id, clock.monotonic() + COMMIT_TIMEOUT
        )
        return make_list(
            operators_pb2.RateList, 'rates', operators_pb2.Rate, found
        )

    def list_jobs(self, request):
        """Return the jobs of one account or of all."""
        found = self.provider.list_jobs(
            request.id, clock.monotonic() + COMMIT_TIMEOUT
        )
        return make_list(
            operators_pb2.JobList, 'jobs', operators_pb2.Job, found
        )

    def change_member(self, request):
        """Change the members of a replicated log group."""
        if request.action not in provider_module.MEMBER_ACTIONS:
            return make_refused(refuse(f'unknown action: {request.action!r}'))
        return self.act(
            request.change,
            self.provider.change_member,
            request.group_id,
            request.host_id,
            request.action,
        )

    def drain_host(self, request):
        """Start the drain of a host."""
        return self.act(request.change, self.provider.drain_host, request.id)

    def set_log_level(self, request):
        """Set the log level of a host."""
        if request.level not in logs.LEVELS:
            return make_refused(refuse(f'unknown level: {request.level!r}'))
        return self.act(
            request.change,
            self.provider.set_log_level,
            request.host_id,
            request.level,
        )

    def cancel_job(self, request):
        """Cancel a job."""
        return self.act(request.change, self.provider.cancel_job, request.id)

    def order_endpoint(self, request):
        """Give an order to an endpoint."""
        action = parse_order(request)
        if isinstance(action, codes.Refusal):
            return make_refused(action)
        return self.act(
            request.change,
            self.provider.order_endpoint,
            request.endpoint_id,
            action,
        )

    def act(self, header, function, *arguments):
        """Carry out an action that is not a change of the configuration.

        The expected revision is compared before the action, not together
        with it: it protects from acting on an outdated list.
        """
        refusal = check_header(header)
        if refusal:
            return make_refused(refusal)
        deadline = clock.monotonic() + COMMIT_TIMEOUT
        config = self.provider.read_config(deadline)
        if isinstance(config, codes.Refusal):
            return make_refused(config)
        if config.revision != header.expected_revision:
            reason = (
                f'revision is {config.revision}, '
                f'expected {header.expected_revision}'
            )
            return make_refused(
                refuse(reason, codes.ResultCode.REVISION_CONFLICT)
            )
        refusal = function(*arguments, header.operation_id, deadline)
        if refusal:
            return make_refused(refusal)
        result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
        return operators_pb2.ChangeReply(
            result=result, revision=config.revision, in_effect=True
        )


def choose(config, kind, wanted):
    """Return all members of a kind, or the one with an id."""
    if not wanted:
        return getattr(config, f'{kind}s')
    found = getattr(config, f'get_{kind}')(wanted)
    return () if found is None else (found,)


def make_list(list_class, field, row_class, found):
    """Return a list reply of data classes, or of a refusal."""
    if isinstance(found, codes.Refusal):
        return list_class(result=convert.make_result(found))
    rows = [convert.to_message(one, row_class) for one in found]
    result = operators_pb2.Result(code=0, ran=codes.Ran.YES.value)
    return list_class(result=result, **{field: rows})


def parse_order(request):
    """Return the action of an order, or a refusal."""
    if request.order in ('load', 'unload') and not request.model_id:
        return refuse('the order needs a model')
    match request.order:
        case 'load':
            return orders_model.LoadModel(request.model_id, request.version)
        case 'unload':
            return orders_model.UnloadModel(request.model_id)
        case 'role' if request.role:
            return orders_model.SetRole(request.role)
    return refuse(f'unknown order: {request.order!r}')


def log_change(header, change, result):
    """Log who changed what, without digests of keys."""
    LOG.info(
        'event=config_change change={} operation={!r} code={} revision={}',
        type(change).__name__,
        header.operation_id,
        result.code.name,
        result.revision,
    )
