"""Routing of the messages of a link to the groups of a process."""

import concurrent.futures


from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages

__all__ = ['GroupSet']

LOG = eventlog.Logger('consensus')
GROUP_MESSAGES = (
    logmessages.AppendEntries,
    logmessages.AppendReply,
    logmessages.InstallReply,
    logmessages.InstallSnapshot,
    logmessages.StoreHello,
    logmessages.TransferLeadership,
    logmessages.VoteReply,
    logmessages.VoteRequest,
)


class GroupSet:
    """Groups of a process that share a link.

    The handlers of the link are registered once; messages are routed by group
    id.

    Parameters
    ----------
    link : Link
        Link of the host.
    """

    def __init__(self, link):
        self.link = link
        self.groups = {}
        for message_type in GROUP_MESSAGES:
            link.register(message_type, self.deliver, inline=True)
        link.register(
            logmessages.StoreQuery, self.answer_store_query, inline=True
        )
        link.register(
            logmessages.ReadIndexRequest, self.answer_read_index, inline=True
        )
        link.register(
            logmessages.ClusterCommand, self.answer_command, inline=True
        )

    def add(self, group):
        """Route messages to a group from now on; return the group."""
        self.groups[group.group_id] = group
        return group

    def get(self, group_id):
        """Return a group, or None."""
        return self.groups.get(group_id)

    def deliver(self, sender_id, message):
        """Pass a message on to its group."""
        group = self.groups.get(message.group_id)
        if group is not None:
            group.deliver(sender_id, message)

    def answer_store_query(self, sender_id, message):
        """Return the announcement of a store, None without a replica."""
        group = self.groups.get(message.group_id)
        return None if group is None else group.get_hello()

    def answer_read_index(self, sender_id, message):
        """Return a future of the read index for a read on another host."""
        group = self.groups.get(message.group_id)
        if group is None:
            return logmessages.ReadIndexReply(
                0, make_no_replica_refusal(message.group_id)
            )
        deadline = clock.monotonic() + message.timeout
        return map_future(group.read_index(deadline), make_index_reply)

    def answer_command(self, sender_id, message):
        """Return a future of the reply to a command or query."""
        group = self.groups.get(message.group_id)
        if group is None:
            return logmessages.ClusterReply(
                None, make_no_replica_refusal(message.group_id)
            )
        deadline = clock.monotonic() + message.timeout
        if message.read:
            return map_future(
                group.read(deadline),
                lambda result: make_query_reply(group, message, result),
            )
        try:
            future = group.propose(message.command, deadline)
        except exceptions.MessageError as error:
            refusal = codes.Refusal(
                codes.ResultCode.INVALID_CHANGE, str(error)
            )
            return logmessages.ClusterReply(None, refusal)
        return map_future(
            future,
            lambda result: make_reply(group, result),
        )

    def close(self):
        """Close all groups."""
        for group in self.groups.values():
            group.close()


def make_no_replica_refusal(group_id):
    """Return the refusal of a host without a replica of the group."""
    return codes.Refusal(
        codes.ResultCode.NOT_LEADER, f'no replica of {group_id} on this host'
    )


def map_future(future, function):
    """Return a future of a function applied to the result of a future."""
    mapped = concurrent.futures.Future()

    def finish(done):
        try:
            result = function(done.result())
        except Exception as error:
            LOG.exception('event=query_failed')
            refusal = codes.Refusal(codes.ResultCode.INTERNAL, str(error))
            result = function(refusal)
        mapped.set_result(result)

    future.add_done_callback(finish)
    return mapped


def make_index_reply(result):
    """Return the reply to a request for a read index."""
    if isinstance(result, codes.Refusal):
        return logmessages.ReadIndexReply(0, result)
    return logmessages.ReadIndexReply(result)


def make_query_reply(group, message, result):
    """Return the reply to a query, given the result of its read."""
    if isinstance(result, codes.Refusal):
        return logmessages.ClusterReply(None, result, group.leader_id)
    return make_reply(group, group.machine.query(message.command))


def make_reply(group, result):
    """Return the reply with a result or a refusal."""
    if isinstance(result, codes.Refusal):
        return logmessages.ClusterReply(None, result, group.leader_id)
    return logmessages.ClusterReply(result, None, group.leader_id)
