"""Operator calls that need access to the components of a host."""

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.observe import logs
from rhubarbreach.operators import fleet
from rhubarbreach.operators import provider
from rhubarbreach.protocol import hostmessages

__all__ = ['HostProvider']

# Limit for each client account.
MAX_LISTED_JOBS = 1000
Code = codes.ResultCode


class HostProvider(fleet.FleetProvider):
    """Provider of operator calls on one host.

    Parameters
    ----------
    host : daemon.host.Host
        Host that serves the calls.
    store : distribution.store.LocalStore or None
        Local copy of the configuration group; None if not a store host.
    """

    def __init__(self, host, store):
        super().__init__(host.link, host.view, host.get_store_hosts, store)
        self.host = host
        host.link.register(hostmessages.HostOrder, self.handle_host_order)

    def list_hosts(self, deadline):
        """Return the live hosts of the fleet."""
        revisions = self.host.tracker.get_revisions()
        revisions[self.host.host_id] = self.view.revision
        return tuple(
            provider.HostStatus(
                host.host_id,
                host.region,
                host.zone,
                host.address,
                host.roles,
                'draining' if host.draining else 'alive',
                revisions.get(host.host_id, -1),
            )
            for host in self.host.membership.alive()
        )

    def list_endpoints(self, deadline):
        """Return the endpoints that this host knows."""
        evacuated = self.view.snapshot.evacuated_zones
        return tuple(
            provider.EndpointStatus(
                endpoint.endpoint_id,
                endpoint.zone,
                endpoint.address,
                endpoint.kind,
                endpoint.models,
                endpoint.draining,
                endpoint.load.running,
                endpoint.load.waiting,
                endpoint.load.slots,
                endpoint.zone in evacuated,
            )
            for endpoint in self.host.registry.list_all(clock.monotonic())
        )

    def list_zones(self, deadline):
        """Return the availability zones of the known hosts and endpoints."""
        infos = self.host.registry.list_all(clock.monotonic())
        return {
            *(host.zone for host in self.host.membership.alive()),
            *(endpoint.zone for endpoint in infos),
            *self.view.snapshot.evacuated_zones,
        }

    def list_groups(self, deadline):
        """Return the status of the replicas on this host."""
        if self.host.stores is None:
            return ()
        return tuple(
            make_group_status(group) for group in self.host.stores.get_groups()
        )

    def list_rates(self, account_id, deadline):
        """Return configured rates with the request counts of this host."""
        config = self.view.snapshot
        metrics = self.host.metrics
        return tuple(
            provider.RateStatus(
                account.account_id,
                account.rate,
                account.burst,
                metrics.get_count('rate_admitted', account=account.account_id),
                metrics.get_count('rate_refused', account=account.account_id),
                self.host.limiter.holder.find_owner(account.account_id) or '',
            )
            for account in config.accounts
            if account_id in ('', account.account_id)
        )

    def list_jobs(self, account_id, deadline):
        """Return the jobs of one account, or of all for an empty id."""
        selected_ids = [account_id]
        if not account_id:
            selected_ids = [
                account.account_id for account in self.view.snapshot.accounts
            ]
        statuses = []
        for selected_id in selected_ids:
            jobs = self.host.job_store.list_jobs(
                selected_id, '', MAX_LISTED_JOBS, deadline
            )
            if isinstance(jobs, codes.Refusal):
                return jobs
            statuses.extend(make_job_status(job) for job in jobs)
        return tuple(statuses)

    def cancel_job(self, job_id, operation_id, deadline):
        """Cancel a job of any account."""
        jobs = self.list_jobs('', deadline)
        if isinstance(jobs, codes.Refusal):
            return jobs
        for job in jobs:
            if job.job_id == job_id:
                return self.cancel_listed_job(job, deadline)
        return codes.Refusal(Code.NOT_FOUND, f'unknown job {job_id}')

    def cancel_listed_job(self, job, deadline):
        """Cancel a job and notify the holders of its claims."""
        reply = self.host.job_store.cancel(
            job.job_id, job.account_id, deadline
        )
        if isinstance(reply, codes.Refusal):
            return reply
        self.host.stop_job(job.job_id, reply.holders)
        return None

    def change_member(self, group_id, host_id, action, operation_id, deadline):
        """Apply a membership change to a group, or to all for an empty id."""
        if self.host.stores is None:
            return codes.Refusal(
                Code.NOT_LEADER, 'this host is not a store host'
            )
        groups = [
            group
            for group in self.host.stores.get_groups()
            if group_id in ('', group.group_id)
        ]
        if not groups:
            return codes.Refusal(
                Code.NOT_FOUND, f'this host has no replica of group {group_id}'
            )
        for group in groups:
            refusal = change_group_member(group, host_id, action, deadline)
            if refusal is not None:
                return refusal
        return None

    def drain_host(self, host_id, operation_id, deadline):
        """Start the drain of a host."""
        return self.send_host_order(host_id, 'drain', '', deadline)

    def set_log_level(self, host_id, level, operation_id, deadline):
        """Set the log level of a host until its next start."""
        if level not in logs.LEVELS:
            allowed = ', '.join(logs.LEVELS)
            return codes.Refusal(
                Code.INVALID_CHANGE,
                f'unknown log level {level}, allowed: {allowed}',
            )
        return self.send_host_order(host_id, 'log_level', level, deadline)

    def send_host_order(self, host_id, order, value, deadline):
        """Send an order to a host and wait until it is carried out."""
        message = hostmessages.HostOrder(order, value)
        reply = self.link.call(host_id, message, deadline).result()
        return reply if isinstance(reply, codes.Refusal) else reply.refusal

    def handle_host_order(self, sender_id, message):
        """Carry out an order that an operator sent through another host."""
        match message.order:
            case 'drain':
                self.host.request_drain()
            case 'log_level':
                self.host.set_log_level(message.value)
            case _:
                refusal = codes.Refusal(
                    Code.INVALID_CHANGE, f'unknown host order {message.order}'
                )
                return hostmessages.HostOrderReply(refusal)
        return hostmessages.HostOrderReply(None)

    def order_endpoint(self, endpoint_id, action, operation_id, deadline):
        """Give an order to an endpoint."""
        result = self.host.order_sender.give_order(
            endpoint_id, action, f'operation {operation_id}', deadline
        )
        return result if isinstance(result, codes.Refusal) else None


def make_group_status(group):
    """Return the status of a group as seen by its replica here."""
    members = group.members
    return provider.GroupStatus(
        group.group_id,
        group.leader_id or '',
        group.term,
        group.applied_index,
        tuple(member.host_id for member in members if member.voter),
        tuple(member.host_id for member in members if not member.voter),
    )


def make_job_status(job):
    """Return the status of a job for operators."""
    return provider.JobStatus(
        job.job_id,
        job.account_id,
        job.state.value,
        job.total,
        job.done,
        job.failed + job.unknown,
    )


def change_group_member(group, host_id, action, deadline):
    """Apply a membership change; return a refusal or None."""
    match action:
        case 'add':
            result = group.add_learner(host_id, deadline).result()
        case 'promote':
            result = group.promote(host_id, deadline).result()
        case 'remove':
            result = group.remove(host_id, deadline).result()
        case 'transfer':
            result = group.transfer(host_id)
        case _:
            return codes.Refusal(
                Code.INVALID_CHANGE, f'unknown membership action {action}'
            )
    return result if isinstance(result, codes.Refusal) else None
