"""Operator commands for hosts, endpoints, groups and jobs."""

from rhubarbreach.commands import calls
from rhubarbreach.operators import operators_pb2

__all__ = ['OperationCommands']


class OperationCommands(calls.Calls):
    """Commands for the state of the fleet and for actions on it."""

    def wait_in_effect(self, revision, account_id=''):
        """Wait until a revision is in effect on all hosts.

        Parameters
        ----------
        revision : int
            Revision of an accepted change.
        account_id : str
            Account that the change concerns; its `stale_key_bound` applies.
        """
        request = operators_pb2.WaitRequest(
            revision=int(revision),
            account_id=str(account_id),
            wait=self._session.wait,
        )
        self._session.report(self._session.call('WaitInEffect', request))

    def list_hosts(self):
        """List the hosts with their status and configuration revision."""
        columns = (
            'host_id',
            'region',
            'zone',
            'address',
            'roles',
            'status',
            'revision',
        )
        self._session.show('ListHosts', '', 'hosts', columns)

    def list_endpoints(self):
        """List the endpoints with their reported load."""
        columns = (
            'endpoint_id',
            'zone',
            'address',
            'kind',
            'models',
            'draining',
            'running',
            'waiting',
            'slots',
            'evacuated',
        )
        self._session.show('ListEndpoints', '', 'endpoints', columns)

    def list_groups(self):
        """List the replicated log groups with their leader and members."""
        columns = (
            'group_id',
            'leader_id',
            'term',
            'applied_index',
            'voters',
            'learners',
        )
        self._session.show('ListGroups', '', 'groups', columns)

    def list_rates(self, account_id=''):
        """List the configured rates and the requests admitted and refused."""
        columns = (
            'account_id',
            'rate',
            'burst',
            'admitted',
            'refused',
            'owner_id',
        )
        self._session.show('ListRates', account_id, 'rates', columns)

    def change_member(self, host_id, action, group_id=''):
        """Change the store hosts of a replicated log group.

        To replace a store host, add the new one, promote it once it has
        caught up as a learner, and remove the old one. Only one change can
        be in progress at a time.

        Parameters
        ----------
        host_id : str
            Id of the store host.
        action : str
            `add`, `promote`, `remove`, or `transfer` for the leadership.
        group_id : str
            Id of the group; default all groups.
        """
        request = operators_pb2.ChangeMemberRequest(
            change=self._session.make_header(),
            group_id=str(group_id),
            host_id=str(host_id),
            action=str(action),
        )
        self._session.change('ChangeMember', request)

    def drain_host(self, host_id):
        """Drain a host: stop new work, finish work in flight, then exit."""
        self._remove('DrainHost', host_id)

    def evacuate_zone(self, zone):
        """Evacuate an availability zone: nothing is sent to its endpoints.

        Requests that run there go on to their end.
        """
        self._remove('StartEvacuation', zone)

    def restore_zone(self, zone):
        """End the evacuation of an availability zone."""
        self._remove('EndEvacuation', zone)

    def list_jobs(self, account_id=''):
        """List the batch jobs of all accounts or of one."""
        columns = (
            'job_id',
            'account_id',
            'status',
            'items',
            'completed',
            'failed',
        )
        self._session.show('ListJobs', account_id, 'jobs', columns)

    def cancel_job(self, job_id):
        """Cancel a batch job."""
        self._remove('CancelJob', job_id)

    def set_log_level(self, host_id, level):
        """Set the log level of a host until its next start.

        Parameters
        ----------
        host_id : str
            Id of the host.
        level : str
            `debug`, `info`, `warning` or `error`.
        """
        request = operators_pb2.SetLogLevelRequest(
            change=self._session.make_header(),
            host_id=str(host_id),
            level=str(level),
        )
        self._session.change('SetLogLevel', request)

    def order_endpoint(
        self, endpoint_id, order, model_id='', version='', role=''
    ):
        """Send an order to an endpoint.

        Parameters
        ----------
        endpoint_id : str
            Id of the endpoint.
        order : str
            `load` or `unload` for a model, or `role` for a new role.
        model_id, version : str
            Model to load or unload, and version to load.
        role : str
            New role, such as `prefill` or `decode`.
        """
        request = operators_pb2.OrderEndpointRequest(
            change=self._session.make_header(),
            endpoint_id=str(endpoint_id),
            order=str(order),
            model_id=str(model_id),
            version=str(version),
            role=str(role),
        )
        self._session.change('OrderEndpoint', request)
