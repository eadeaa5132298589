"""Client that asks the leader where a revision is in effect."""

import time

from rhubarbreach import clock
from rhubarbreach import codes
from rhubarbreach.protocol import configmessages

__all__ = ['wait_in_effect']

# A store host that has not answered this long after the requested wait is
# skipped.
REPLY_MARGIN_SECONDS = 0.5
ATTEMPT_TIMEOUT_SECONDS = 1.0
RETRY_PAUSE_SECONDS = 0.05


def wait_in_effect(link, store_hosts, revision, account_id, deadline):
    """Wait until a revision is in effect on all hosts, or the deadline.

    Parameters
    ----------
    link : Link
        Link of this host.
    store_hosts : tuple of str
        Members of the configuration group.
    revision : int
        Revision of an accepted change.
    account_id : str
        Account that the change affects, empty for none, `*` for any.
    deadline : float
        Monotonic seconds.

    Returns
    -------
    tuple of PendingHost or Refusal
        Hosts on which the revision is not in effect at the deadline, or
        NOT_IN_EFFECT if no leader answered.
    """
    pending = None
    while pending is None or (pending and clock.monotonic() < deadline):
        for host_id in store_hosts:
            reply = query_host(link, host_id, revision, account_id, deadline)
            if isinstance(reply, configmessages.EffectReply) and reply.known:
                pending = reply.pending
                break
        if pending == () or clock.monotonic() >= deadline:
            break
        time.sleep(RETRY_PAUSE_SECONDS)
    if pending is None:
        return codes.Refusal(
            codes.ResultCode.NOT_IN_EFFECT,
            f'no leader reported where revision {revision} is in effect',
            codes.Ran.YES,
        )
    return pending


def query_host(link, host_id, revision, account_id, deadline):
    """Return the answer of one store host, or a `Refusal`.

    Each query waits only a part of the time until the deadline, so that a
    leader that fails meanwhile is skipped soon.
    """
    now = clock.monotonic()
    wait = min(ATTEMPT_TIMEOUT_SECONDS, clock.remaining(deadline, now))
    query = configmessages.EffectQuery(revision, account_id, wait)
    return link.call(
        host_id, query, now + wait + REPLY_MARGIN_SECONDS
    ).result()
