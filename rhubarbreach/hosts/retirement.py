"""Retirement of stores, as operators request it from any store."""

from rhubarbreach.backlog import commands
from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach.protocol import fleetmessages

__all__ = ['Retirements']

LOG = eventlog.Logger('retirement')

CALL_TIMEOUT_SECONDS = 2.0


class Retirements:
    """Calls to start a retirement and to read its state.

    A standby knows neither the members nor the stores that retire, and asks
    the leader.

    Parameters
    ----------
    link : Link
        Link to the other stores.
    group : Group
        Replica of the group on this store.
    members : Members
        Stores of the fleet and members of the group.
    propose : callable
        Commits a command within some seconds; returns its reply or a
        `Refusal`.
    """

    def __init__(self, link, group, members, propose):
        self.link = link
        self.group = group
        self.members = members
        self.propose = propose
        link.register(fleetmessages.RetirementCall, self.answer_call)

    def start(self, name):
        """Begin to retire a store; return None or a `Refusal`."""
        if self.group.is_standby:
            return self.ask_leader(name, True).refusal
        host_id = self.members.find_store(name)
        if isinstance(host_id, codes.Refusal):
            return host_id
        refusal = self.members.check_retirement(host_id)
        if refusal is not None:
            return refusal
        reply = self.propose(
            commands.RetireStore(host_id), CALL_TIMEOUT_SECONDS
        )
        LOG.info(
            'event=store_retiring store={} outcome={}',
            host_id,
            type(reply).__name__,
        )
        return reply if isinstance(reply, codes.Refusal) else None

    def is_retired(self, name):
        """Return whether a store has left the group, or a `Refusal`."""
        if self.group.is_standby:
            reply = self.ask_leader(name, False)
            return reply.refusal or reply.is_retired
        return self.members.is_retired(name)

    def ask_leader(self, name, starts):
        """Return the reply of the leader to a call for a retirement."""
        leader_id = self.group.leader_id
        if leader_id is None:
            return fleetmessages.RetirementReply(
                codes.Refusal(
                    codes.ResultCode.NOT_LEADER, 'no leader is known'
                )
            )
        reply = self.link.call(
            leader_id,
            fleetmessages.RetirementCall(name, starts),
            clock.monotonic() + CALL_TIMEOUT_SECONDS,
        ).result()
        if isinstance(reply, codes.Refusal):
            return fleetmessages.RetirementReply(reply)
        return reply

    def answer_call(self, sender_id, message):
        """Answer the call of a standby."""
        if not self.group.is_leader:
            refusal = codes.Refusal(
                codes.ResultCode.NOT_LEADER, 'this store does not lead'
            )
            return fleetmessages.RetirementReply(refusal)
        if message.starts:
            return fleetmessages.RetirementReply(self.start(message.name))
        reply = self.members.is_retired(message.name)
        if isinstance(reply, codes.Refusal):
            return fleetmessages.RetirementReply(reply)
        return fleetmessages.RetirementReply(None, reply)
