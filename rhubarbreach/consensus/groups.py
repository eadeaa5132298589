"""All groups of one process behind one link."""

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
    """Registers the handlers of a link once and routes by group id.

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
        link.register(logmessages.StoreQuery, self.answer_query, inline=True)
        link.register(
            logmessages.ReadIndexRequest, self.answer_read_index, inline=True
        )
        link.register(
            logmessages.ClusterCommand, self.answer_command, inline=True
        )

    def add(self, group):
        """Pass messages on to a group; return the group."""
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

    def answer_query(self, sender_id, message):
        """Tell the identity of a store."""
        group = self.groups.get(message.group_id)
        return None if group is None else group.get_hello()

    def answer_read_index(self, sender_id, message):
        """Return a future of the index for another host's read."""
        group = self.groups.get(message.group_id)
        if group is None:
            return logmessages.ReadIndexReply(
                0, make_missing(message.group_id)
            )
        deadline = clock.monotonic() + message.timeout
        return translate(group.read_index(deadline), make_index_reply)

    def answer_command(self, sender_id, message):
        """Return a future of the reply to a command or query."""
        group = self.groups.get(message.group_id)
        if group is None:
            return logmessages.ClusterReply(
                None, make_missing(message.group_id)
            )
        deadline = clock.monotonic() + message.timeout
        if message.read:
            return translate(
                group.read(deadline),
                lambda result: answer_query(group, message, result),
            )
        try:
            future = group.propose(message.command, deadline)
        except exceptions.MessageError as error:
            refusal = codes.Refusal(
                codes.ResultCode.INVALID_CHANGE, str(error)
            )
            return logmessages.ClusterReply(None, refusal)
        return translate(
            future,
            lambda result: make_reply(group, result),
        )

    def close(self):
        """Close all groups."""
        for group in self.groups.values():
            group.close()


def make_missing(group_id):
    """Return the refusal of a host that has no replica of a group."""
    return codes.Refusal(
        codes.ResultCode.NOT_LEADER, f'no replica of {group_id} here'
    )


def translate(future, function):
    """Return a future of a function of another future's result."""
    translated = concurrent.futures.Future()

    def finish(done):
        try:
            result = function(done.result())
        except Exception as error:
            LOG.exception('event=query_failed')
            refusal = codes.Refusal(codes.ResultCode.INTERNAL, str(error))
            result = function(refusal)
        translated.set_result(result)

    future.add_done_callback(finish)
    return translated


def make_index_reply(result):
    """Return the reply to a request for a read index."""
    if isinstance(result, codes.Refusal):
        return logmessages.ReadIndexReply(0, result)
    return logmessages.ReadIndexReply(result)


def answer_query(group, message, result):
    """Return the machine's answer to a query, after a read."""
    if isinstance(result, codes.Refusal):
        return logmessages.ClusterReply(None, result, group.leader_id)
    return make_reply(group, group.machine.query(message.command))


def make_reply(group, result):
    """Return the reply for a result or refusal."""
    if isinstance(result, codes.Refusal):
        return logmessages.ClusterReply(None, result, group.leader_id)
    return logmessages.ClusterReply(result, None, group.leader_id)
