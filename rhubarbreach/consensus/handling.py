"""Dispatch of messages to their handlers, and refusal of events."""

import concurrent.futures
import functools

from rhubarbreach.consensus import applying
from rhubarbreach.consensus import changes
from rhubarbreach.consensus import following
from rhubarbreach.consensus import formation
from rhubarbreach.consensus import leading
from rhubarbreach.consensus import model
from rhubarbreach.consensus import voting
from rhubarbreach.protocol import logmessages

__all__ = ['handle_message', 'refuse_event']


def handle_message(state, sender_id, message, now):
    """Dispatch one message of a peer to its handler.

    Parameters
    ----------
    state : State
        State of the replica.
    sender_id : str
        Host that sent the message.
    message : object
        Message of the replicated log.
    now : float
        Seconds of the monotonic clock.
    """
    match message:
        case logmessages.AppendEntries():
            following.handle_append(state, sender_id, message, now)
        case logmessages.AppendReply():
            leading.handle_append_reply(state, sender_id, message, now)
        case logmessages.VoteRequest():
            voting.handle_vote_request(state, sender_id, message, now)
        case logmessages.VoteReply():
            voting.handle_vote_reply(state, sender_id, message, now)
        case logmessages.InstallSnapshot():
            following.handle_install(state, sender_id, message, now)
        case logmessages.InstallReply():
            leading.handle_install_reply(state, sender_id, message, now)
        case logmessages.TransferLeadership():
            if message.term == state.store.term:
                voting.start_election(state, now, True)
        case logmessages.StoreHello():
            if formation.handle_hello(state, sender_id, message):
                changes.replace_store(state, sender_id, message, now)


def refuse_event(event, refusal):
    """Complete the futures of an event with a refusal."""
    if isinstance(event, model.Proposal):
        applying.complete_future(event.future, refusal)
    if isinstance(event, functools.partial):
        for argument in event.args:
            if isinstance(argument, concurrent.futures.Future):
                applying.complete_future(argument, refusal)
