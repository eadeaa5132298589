"""Calls of entry hosts to the batch job ledger of the stores."""

import time

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach.consensus import client
from rhubarbreach import eventlog

__all__ = ['Jobs']

LOG = eventlog.Logger('jobs')

# Time for a commit, including the election of a new leader.
COMMIT_TIMEOUT_SECONDS = 3.0
READ_TIMEOUT_SECONDS = 1.2
# Time for the answer to reach a caller before it gives up.
ANSWER_SECONDS = 0.05


class Jobs:
    """Client of the batch job ledger.

    The account of a call is the name of a client account, an empty string for
    a caller without one, or None if the configuration has no client accounts.
    Then each caller may use the jobs of all accounts.

    Parameters
    ----------
    link : Link
        Link to the stores.
    leader_client : LeaderClient
        Source of the stores and the leader.
    """

    def __init__(self, link, leader_client):
        self.leader_client = leader_client
        self.client = client.Client(link, leader_client.stores)

    def update_targets(self):
        """Direct the client to the known stores, the leader first."""
        self.client.hosts = self.leader_client.stores
        leader = self.leader_client.leader_id
        if leader is not None:
            self.client.leaders[commands.GROUP] = leader

    def propose(self, command, deadline):
        """Commit a command; return its reply or a `Refusal`."""
        self.update_targets()
        reply = self.client.propose(
            commands.GROUP, commands.FAMILY.encode(command), deadline
        )
        return commands.decode_reply(reply)

    def query(self, query, deadline):
        """Return the reply to a linearizable query, or a `Refusal`."""
        self.update_targets()
        reply = self.client.query(
            commands.GROUP, commands.FAMILY.encode(query), deadline
        )
        return commands.decode_reply(reply)

    def submit(self, info, account, route, items, path):
        """Submit a batch job; return the reply of the ledger."""
        now = clock.monotonic()
        submitted_at = time.time()
        command = commands.AddJob(
            info.request_id,
            account or '',
            route.host,
            route.path_prefix,
            submitted_at,
            submitted_at + route.completion,
            submitted_at + route.retention,
            route.max_attempts,
            route.waiting_tokens,
            items,
            any_account=account is None,
        )
        timeout = min(COMMIT_TIMEOUT_SECONDS, route.timeout)
        reply = self.propose(command, choose_deadline(info, timeout))
        LOG.info(
            'event=job_submitted job={} account={} items={} outcome={} '
            'seconds={:.3f} path={}',
            info.request_id,
            command.account,
            len(items),
            type(reply).__name__,
            clock.monotonic() - now,
            path,
        )
        return reply

    def read_results(self, info, account, job_id, after):
        """Return the results of a job from a position on."""
        query = commands.ReadResults(
            job_id, account or '', after, any_account=account is None
        )
        return self.query(query, choose_deadline(info, READ_TIMEOUT_SECONDS))

    def read_body(self, info, account, job_id, item_id):
        """Return the body of an item without a result."""
        query = commands.ReadBody(
            job_id, account or '', item_id, any_account=account is None
        )
        return self.query(query, choose_deadline(info, READ_TIMEOUT_SECONDS))

    def end(self, info, account, job_id):
        """End a job."""
        command = commands.EndJob(
            job_id, account or '', any_account=account is None
        )
        deadline = choose_deadline(info, COMMIT_TIMEOUT_SECONDS)
        return self.propose(command, deadline)


def choose_deadline(info, timeout):
    """Return the deadline of a call at the stores.

    Parameters
    ----------
    info : CallInfo
        Properties of the call, which has just arrived.
    timeout : float
        Longest time in seconds that the call may take.

    Returns
    -------
    float
        Seconds of the monotonic clock.
    """
    if info.timeout is not None:
        timeout = min(timeout, info.timeout - ANSWER_SECONDS)
    return clock.monotonic() + timeout
