"""Repair of a replica with a damaged log from its peers."""

import concurrent.futures
import pathlib


from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files
from rhubarbreach.storage import folder

__all__ = ['reset_replica']

LOG = eventlog.Logger('consensus')
DAMAGED_SUFFIX = '.damaged'


def reset_replica(settings, link, deadline):
    """Move a damaged replica aside so that it can rejoin as a learner.

    The replica must not be running. A `Group` that is opened afterwards has
    a new store identity and an empty log. The leader replaces the former
    member by a learner and promotes it once it holds the snapshot and log.

    Parameters
    ----------
    settings : GroupSettings
        Settings of the replica.
    link : Link
        Link to the other hosts.
    deadline : float
        Seconds of the monotonic clock by which the peers have to answer.

    Returns
    -------
    pathlib.Path or Refusal
        Folder to which the damaged files were moved, or a refusal if the
        group would lose its quorum.

    Raises
    ------
    DataFolderError
        If the replica is running.
    """
    path = pathlib.Path(settings.folder) / settings.group_id
    # Only the lock is needed; the identity file may be damaged.
    lock = folder.DataFolder(path, with_identity=False)
    try:
        hellos = query_peers(settings, link, deadline)
        refusal = find_reset_refusal(settings, hellos)
        if refusal is not None:
            return refusal
        return move_aside(path)
    finally:
        lock.close()


def query_peers(settings, link, deadline):
    """Return the announcements of the peers that belong to the group."""
    query = logmessages.StoreQuery(settings.group_id)
    hosts = set(settings.initial) | set(link.peers)
    calls = {
        host: link.call(host, query, deadline)
        for host in hosts - {settings.host_id}
    }
    concurrent.futures.wait(calls.values())
    replies = {host: call.result() for host, call in calls.items()}
    return {
        host: reply
        for host, reply in replies.items()
        if isinstance(reply, logmessages.StoreHello) and reply.formed
    }


def find_reset_refusal(settings, hellos):
    """Return a refusal if the replica may not be reset, or None.

    The members are taken from the leader, because other hosts may not know
    the latest change. A leader that is cut off in an old term is detected
    because a majority has to answer in its term.
    """
    leaders = [
        (hello.term, host)
        for host, hello in hellos.items()
        if hello.leader_id == host
    ]
    if not leaders:
        return refuse('no leader has answered')
    leader = hellos[max(leaders)[1]]
    voters = model.get_voters(leader.members)
    healthy = [
        member
        for member in voters
        if member.host_id != settings.host_id
        and is_healthy(member, hellos.get(member.host_id), leader)
    ]
    if len(healthy) < len(voters) // 2 + 1:
        return refuse(
            f'{len(healthy)} of {len(voters)} voters are healthy without '
            f'{settings.host_id}'
        )
    return None


def is_healthy(member, hello, leader):
    """Return whether a voter has answered and counts for the quorum.

    Its store must have the identity of the member and the term of the leader.
    """
    return (
        hello is not None
        and hello.store_id == member.store_id
        and hello.term == leader.term
    )


def refuse(reason):
    """Return the refusal of a reset."""
    return codes.Refusal(codes.ResultCode.UNAVAILABLE, reason)


def move_aside(path):
    """Durably rename the folder of the replica and return the new path."""
    number = 1
    while True:
        new_path = path.with_name(f'{path.name}{DAMAGED_SUFFIX}-{number}')
        if not new_path.exists():
            break
        number += 1
    try:
        path.rename(new_path)
    except OSError as error:
        raise exceptions.DataFolderError(str(error)) from error
    files.sync_folder(path.parent)
    LOG.warning('event=replica_set_aside kept={!r}', new_path.name)
    return new_path
