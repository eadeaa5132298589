"""Commands and queries for a group from any host."""

import threading

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import logmessages

__all__ = ['Client', 'propose', 'query']

# A host that does not answer within this time is passed over; commands
# carry operation ids, so that trying again elsewhere is harmless. Each
# attempt after a silent one waits longer, for a slow disk.
ATTEMPT_SECONDS = 0.3
MAX_ATTEMPT_SECONDS = 4.0
# A host that did not answer is not taken for the leader within this time,
# although others may still name it.
SILENT_SECONDS = 1.0
RETRY_SECONDS = 0.05
RETRIED = (codes.ResultCode.NOT_LEADER, codes.ResultCode.UNAVAILABLE)


class Client:
    """Finds the leaders of groups and remembers them.

    Parameters
    ----------
    link : Link
        Link of this host.
    hosts : tuple of str
        Store hosts; empty for this host and all peers of the link.
    """

    def __init__(self, link, hosts=()):
        self.link = link
        self.hosts = tuple(hosts)
        self.leaders = {}
        self.silent_until = {}

    def propose(self, group_id, command, deadline):
        """Commit a command.

        Parameters
        ----------
        group_id : str
            Group.
        command : bytes
            Command with an operation id that the machine deduplicates.
        deadline : float
            Seconds of the monotonic clock.

        Returns
        -------
        bytes or Refusal
            Result of the machine, its refusal, or UNAVAILABLE with ran
            UNKNOWN when an attempt may have been committed.
        """
        return self.run(group_id, command, deadline, False)

    def query(self, group_id, query, deadline):
        """Return the machine's answer to a query, linearizable."""
        return self.run(group_id, query, deadline, True)

    def run(self, group_id, command, deadline, is_read):
        """Try hosts until one answers or the deadline passes."""
        may_have_run = False
        refusal = codes.Refusal(
            codes.ResultCode.UNAVAILABLE, 'no store host is known'
        )
        turn = 0
        silences = 0
        while clock.monotonic() < deadline and not self.link.closed:
            host_id = self.choose_host(group_id, turn)
            message = logmessages.ClusterCommand(
                group_id, command, limit(silences, deadline), is_read
            )
            reply = self.attempt(host_id, message)
            if reply.refusal is None:
                self.leaders[group_id] = host_id
                return reply.result
            refusal = reply.refusal
            if refusal.code not in RETRIED:
                return refusal
            if refusal.ran != codes.Ran.NO and not is_read:
                may_have_run = True
            turn += 1
            silences += self.is_silent(host_id, clock.monotonic())
            self.note_failure(group_id, host_id, reply)
        ran = codes.Ran.UNKNOWN if may_have_run else codes.Ran.NO
        return codes.Refusal(
            codes.ResultCode.UNAVAILABLE,
            f'{group_id}: {refusal.reason}',
            ran,
        )

    def choose_host(self, group_id, turn):
        """Return the known leader, or another host at each turn."""
        leader = self.leaders.get(group_id)
        if leader is not None:
            return leader
        hosts = self.hosts or (self.link.host_id, *list(self.link.peers))
        now = clock.monotonic()
        awake = [host for host in hosts if not self.is_silent(host, now)]
        hosts = awake or hosts
        return hosts[turn % len(hosts)]

    def is_silent(self, host_id, now):
        """Return whether a host has lately left a request unanswered."""
        return now < self.silent_until.get(host_id, now)

    def note_failure(self, group_id, host_id, reply):
        """Remember the leader a host has named, or forget it."""
        now = clock.monotonic()
        leader = reply.leader_id
        if leader not in (None, host_id) and not self.is_silent(leader, now):
            self.leaders[group_id] = leader
            return
        self.leaders.pop(group_id, None)
        threading.Event().wait(RETRY_SECONDS)

    def attempt(self, host_id, message):
        """Return the reply of one host."""
        now = clock.monotonic()
        call = self.link.call(host_id, message, now + message.timeout)
        reply = call.result()
        if isinstance(reply, codes.Refusal):
            # The link itself has refused: nothing came back in time.
            self.silent_until[host_id] = clock.monotonic() + SILENT_SECONDS
            return logmessages.ClusterReply(None, reply)
        return reply


def limit(silences, deadline):
    """Return the seconds that an attempt may take."""
    left = clock.remaining(deadline, clock.monotonic())
    longest = min(ATTEMPT_SECONDS * (1 + silences), MAX_ATTEMPT_SECONDS)
    return min(left, longest)


def propose(link, group_id, command, deadline, hosts=()):
    """Commit a command; see `Client.propose`."""
    return get_client(link, hosts).propose(group_id, command, deadline)


def query(link, group_id, command, deadline, hosts=()):
    """Return the answer to a query; see `Client.query`."""
    return get_client(link, hosts).query(group_id, command, deadline)


CLIENTS_LOCK = threading.Lock()


def get_client(link, hosts):
    """Return the client of a link, which remembers the leaders."""
    with CLIENTS_LOCK:
        clients = link.__dict__.setdefault('consensus_clients', {})
        return clients.setdefault(tuple(hosts), Client(link, hosts))
