"""Asking the leader where a revision is in effect."""

import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import configmessages

__all__ = ['wait_in_effect']

# A store host that does not answer within this time beyond the wait itself
# is passed over.
MARGIN = 0.5
ATTEMPT = 1.0
RETRY_PAUSE = 0.05


def wait_in_effect(link, store_hosts, revision, account_id, deadline):
    """Wait until a revision is in effect on all hosts.

    Parameters
    ----------
    link : Link
        Link of this host.
    store_hosts : tuple of str
        Hosts of which one leads the configuration group.
    revision : int
        Revision of an accepted change.
    account_id : str
        Account that the change concerns: empty for none, `*` for any.
    deadline : float
        Seconds of the monotonic clock.

    Returns
    -------
    tuple of PendingHost or Refusal
        Hosts on which it is not in effect at the deadline; NOT_IN_EFFECT
        when no leader could tell.
    """
    found = None
    while found is None or (found and clock.monotonic() < deadline):
        for host_id in store_hosts:
            reply = ask(link, host_id, revision, account_id, deadline)
            if isinstance(reply, configmessages.EffectReply) and reply.known:
                found = reply.pending
                break
        if found == () or clock.monotonic() >= deadline:
            break
        time.sleep(RETRY_PAUSE)
    if found is None:
        return codes.Refusal(
            codes.ResultCode.NOT_IN_EFFECT,
            'no leader could tell where the change is in effect',
            codes.Ran.YES,
        )
    return found


def ask(link, host_id, revision, account_id, deadline):
    """Return the answer of one store host, or a refusal.

    The wait is split, so that a leader that dies is passed over soon.
    """
    now = clock.monotonic()
    wait = min(ATTEMPT, clock.remaining(deadline, now))
    query = configmessages.EffectQuery(revision, account_id, wait)
    return link.call(host_id, query, now + wait + MARGIN).result()
