"""In-memory provider for tests, which records actions."""

from rhubarbreach import codes
from rhubarbreach.operators import provider
from rhubarbreach.state import config

UNAVAILABLE = codes.Refusal(
    codes.ResultCode.UNAVAILABLE, 'no quorum', codes.Ran.UNKNOWN
)


class MemoryProvider:
    """Provider whose replies a test can drop or change."""

    def __init__(self):
        self.machine = config.ConfigMachine()
        self.pending = ()
        self.lost_replies = 0
        self.actions = []
        self.awaited_accounts = []

    def propose(self, command, deadline):
        result = self.machine.apply(0, command)
        if self.lost_replies:
            self.lost_replies -= 1
            return UNAVAILABLE
        return result

    def read_config(self, deadline):
        return self.machine.config

    def wait_in_effect(self, revision, account_id, deadline):
        self.awaited_accounts.append(account_id)
        return self.pending

    def list_hosts(self, deadline):
        return (
            provider.HostStatus(
                'host-1', 'r', 'z', '10.0.0.1:1', ('entry', 'store'), 'alive'
            ),
        )

    def list_endpoints(self, deadline):
        raise ValueError('simulated internal error')

    def list_zones(self, deadline):
        return {'z', 'z2'}

    def list_groups(self, deadline):
        return UNAVAILABLE

    def list_rates(self, account_id, deadline):
        return (provider.RateStatus('patio', 1.0, 2.0, 0.5, 0.0, 'host-1'),)

    def list_jobs(self, account_id, deadline):
        return (provider.JobStatus('job-1', 'patio', 'running', 9, 4, 1),)

    def record_action(self, *arguments):
        self.actions.append(arguments)

    change_member = drain_host = set_log_level = record_action
    cancel_job = order_endpoint = record_action
