"""Repair of a replica whose log is damaged, from its peers."""

import concurrent.futures
import pathlib


from rhubarbreach import codes
from rhubarbreach.consensus import model
from rhubarbreach import eventlog
from rhubarbreach import exceptions
from rhubarbreach.protocol import logmessages
from rhubarbreach.storage import files
from rhubarbreach.storage import folder

__all__ = ['wipe_replica']

LOG = eventlog.Logger('consensus')
DAMAGED_SUFFIX = '.damaged'


def wipe_replica(settings, link, deadline):
    """Set a damaged replica aside, so that it joins again as a learner.

    The replica must not be running. A `Group` that is opened afterwards has
    a new store identity and an empty log; the leader replaces the former
    member by a learner and promotes it once it holds snapshot and log.

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
        Where the damaged files are kept, or why the group would lose its
        quorum.

    Raises
    ------
    DataFolderError
        If the replica is running.
    """
    path = pathlib.Path(settings.folder) / settings.group_id
    # Only the lock is wanted: the identity itself may be damaged.
    lock = folder.DataFolder(path, with_identity=False)
    try:
        hellos = ask_peers(settings, link, deadline)
        refusal = find_obstacle(settings, hellos)
        if refusal is not None:
            return refusal
        return set_aside(path)
    finally:
        lock.close()


def ask_peers(settings, link, deadline):
    """Return the announcements of the peers that answer, by host."""
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


def find_obstacle(settings, hellos):
    """Return why the replica may not be wiped, or None.

    The members are taken from the host that leads, because any other may
    not know the latest change. A host that leads alone in an old term is
    told apart by the majority that must answer in its term.
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
    sound = [
        member
        for member in voters
        if member.host_id != settings.host_id
        and is_sound(member, hellos.get(member.host_id), leader)
    ]
    if len(sound) < len(voters) // 2 + 1:
        return refuse(
            f'{len(sound)} of {len(voters)} voters are sound without '
            f'{settings.host_id}'
        )
    return None


def is_sound(member, hello, leader):
    """Return whether a voter runs under its identity behind the leader."""
    return (
        hello is not None
        and hello.store_id == member.store_id
        and hello.term == leader.term
    )


def refuse(reason):
    """Return the refusal of a wipe."""
    return codes.Refusal(codes.ResultCode.UNAVAILABLE, reason)


def set_aside(path):
    """Rename the folder of the replica durably; return the new path."""
    number = 1
    while True:
        kept = path.with_name(f'{path.name}{DAMAGED_SUFFIX}-{number}')
        if not kept.exists():
            break
        number += 1
    try:
        path.rename(kept)
    except OSError as error:
        raise exceptions.DataFolderError(str(error)) from error
    files.sync_folder(path.parent)
    LOG.warning('event=replica_set_aside kept={!r}', kept.name)
    return kept
