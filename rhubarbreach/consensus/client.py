"""Client that sends commands and queries to a group from any host."""

import concurrent.futures
import dataclasses
import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import logmessages

__all__ = ['Client', 'propose', 'query']

# A host that does not answer within this time is skipped. Commands carry
# operation ids, so a retry on another host is safe. Each attempt that runs out
# of time lengthens the following ones, to allow for a slow disk.
ATTEMPT_SECONDS = 0.3
MAX_ATTEMPT_SECONDS = 4.0
# A host that did not answer is not asked for this long. Other hosts may still
# name it as the leader; it is asked then if it has been heard again.
UNRESPONSIVE_SECONDS = 1.0
RETRY_SECONDS = 0.05
RETRIED_CODES = (codes.ResultCode.NOT_LEADER, codes.ResultCode.UNAVAILABLE)


class Client:
    """Client that finds the leaders of groups and remembers them.

    Parameters
    ----------
    link : Link
        Link of this host.
    hosts : tuple of str
        Store hosts to ask. If empty, this host and all peers of the link.
    """

    def __init__(self, link, hosts=()):
        self.link = link
        self.hosts = tuple(hosts)
        self.leaders = {}
        self.unresponsive_until = {}

    def propose(self, group_id, command, deadline):
        """Commit a command.

        Parameters
        ----------
        group_id : str
            Id of the group.
        command : bytes
            Command with an operation id that the machine deduplicates.
        deadline : float
            Seconds of the monotonic clock.

        Returns
        -------
        bytes or Refusal
            Result of the state machine, its refusal, or UNAVAILABLE with
            ran UNKNOWN if an attempt may have been committed.
        """
        return self.try_hosts(group_id, command, deadline, False)

    def query(self, group_id, query, deadline):
        """Return the linearizable result of a query."""
        return self.try_hosts(group_id, query, deadline, True)

    def try_hosts(self, group_id, command, deadline, is_read):
        """Try hosts until one answers or the deadline passes."""
        may_have_run = False
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'no store host is known'
        )
        attempt_number = 0
        expired_count = 0
        while clock.monotonic() < deadline and not self.link.closed:
            host_id = self.choose_host(group_id, attempt_number)
            message = logmessages.ClusterCommand(
                group_id,
                command,
                get_attempt_timeout(expired_count, deadline),
                is_read,
            )
            attempt_deadline = clock.monotonic() + message.timeout
            reply = self.call_host(
                host_id, message, attempt_deadline, deadline
            )
            if reply.refusal is None:
                self.leaders[group_id] = host_id
                return reply.result
            refusal = reply.refusal
            if refusal.ran != codes.Ran.NO and not is_read:
                may_have_run = True
            if refusal.code not in RETRIED_CODES:
                if may_have_run and refusal.ran == codes.Ran.NO:
                    return dataclasses.replace(refusal, ran=codes.Ran.UNKNOWN)
                return refusal
            attempt_number += 1
            # A leader also answers at the deadline, with a refusal.
            expired_count += clock.monotonic() >= attempt_deadline
            self.record_failure(group_id, host_id, reply, deadline)
        ran = codes.Ran.UNKNOWN if may_have_run else codes.Ran.NO
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            f'{group_id}: {refusal.reason}',
            ran,
        )

    def choose_host(self, group_id, attempt_number):
        """Return the known leader, or a different host at each attempt."""
        leader = self.leaders.get(group_id)
        if leader is not None:
            return leader
        hosts = self.hosts or (self.link.host_id, *list(self.link.peers))
        now = clock.monotonic()
        responsive = [
            host for host in hosts if not self.is_unresponsive(host, now)
        ]
        hosts = responsive or hosts
        return hosts[attempt_number % len(hosts)]

    def is_unresponsive(self, host_id, now):
        """Return whether a host has recently left a request unanswered."""
        return now < self.unresponsive_until.get(host_id, now)

    def is_leader_silent(self, host_id, now):
        """Return whether a leader that is named has not been heard again."""
        if not self.is_unresponsive(host_id, now):
            return False
        failed_at = self.unresponsive_until[host_id] - UNRESPONSIVE_SECONDS
        return self.link.get_heard_at(host_id) <= failed_at

    def record_failure(self, group_id, host_id, reply, deadline):
        """Record the leader that a host names, or forget it and wait."""
        now = clock.monotonic()
        leader = reply.leader_id
        if leader not in (None, host_id) and not self.is_leader_silent(
            leader, now
        ):
            self.leaders[group_id] = leader
            return
        self.leaders.pop(group_id, None)
        pause = min(RETRY_SECONDS, clock.remaining(deadline, now))
        threading.Event().wait(pause)

    def call_host(self, host_id, message, attempt_deadline, deadline):
        """Send a command or query to one host and return the reply.

        The link completes a call up to some 0.2 s after `attempt_deadline`,
        so that a host may still answer, but not beyond `deadline`.
        """
        call = self.link.call(host_id, message, attempt_deadline)
        remaining = clock.remaining(deadline, clock.monotonic())
        try:
            reply = call.result(remaining)
        except concurrent.futures.TimeoutError:
            call.add_done_callback(
                lambda ended: self.record_reply(host_id, ended.result())
            )
            refusal = codes.Refusal(
                codes.ResultCode.UNAVAILABLE,
                'no reply in time',
                codes.Ran.UNKNOWN,
            )
            return logmessages.ClusterReply(None, refusal)
        self.record_reply(host_id, reply)
        if isinstance(reply, codes.Refusal):
            return logmessages.ClusterReply(None, reply)
        return reply

    def record_reply(self, host_id, reply):
        """Record a host that has left a request unanswered."""
        # The link itself refuses a call that got no reply in time.
        if isinstance(reply, codes.Refusal):
            self.unresponsive_until[host_id] = (
                clock.monotonic() + UNRESPONSIVE_SECONDS
            )


def get_attempt_timeout(expired_count, deadline):
    """Return the time limit of an attempt, in seconds."""
    remaining_seconds = clock.remaining(deadline, clock.monotonic())
    longest = min(ATTEMPT_SECONDS * (1 + expired_count), MAX_ATTEMPT_SECONDS)
    return min(remaining_seconds, longest)


def propose(link, group_id, command, deadline, hosts=()):
    """Commit a command; see `Client.propose`."""
    return get_client(link, hosts).propose(group_id, command, deadline)


def query(link, group_id, command, deadline, hosts=()):
    """Return the result of a query; see `Client.query`."""
    return get_client(link, hosts).query(group_id, command, deadline)


CLIENTS_LOCK = threading.Lock()


def get_client(link, hosts):
    """Return the shared client of a link, which remembers the leaders."""
    with CLIENTS_LOCK:
        clients = link.__dict__.setdefault('consensus_clients', {})
        return clients.setdefault(tuple(hosts), Client(link, hosts))
