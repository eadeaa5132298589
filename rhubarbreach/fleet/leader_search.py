"""Search of an entry host for the store that leads.

After a restart of all hosts, or the loss of a zone, several stores in a row do
not answer. If each of them were waited for until its timeout, hosts would find
a leader up to a second after its election. Without a known leader the next
store is therefore called soon after one that has not answered yet.
"""

import concurrent.futures

from rhubarbreach import clock
from rhubarbreach import codes

__all__ = ['LeaderSearch']

CALL_TIMEOUT_SECONDS = 0.4
# Time after which the next store is called, and the stores that are called at
# the same time at most.
HEDGE_SECONDS = 0.08
MAX_PARALLEL_CALLS = 3
# A store that did not answer is skipped for this long while other stores are
# tried, unless it is heard. During an election they may still name it as the
# leader.
UNRESPONSIVE_SECONDS = 1.0


class LeaderSearch:
    """Stores that a host knows, and the one that it believes to lead.

    Parameters
    ----------
    link : Link
        Link to the stores.
    stores : tuple of str
        Stores to contact first.
    """

    def __init__(self, link, stores):
        self.link = link
        self.seeds = tuple(stores)
        self.stores = tuple(stores)
        self.leader_id = None
        self.unresponsive_until = {}
        self.store_index = 0

    def call(self, message):
        """Send a message to the leader, or to stores until one knows it.

        Parameters
        ----------
        message : object
            Message that a store answers with `is_leader` and `leader_id`.

        Returns
        -------
        object or None
            Reply of the leader; None if there was none. `leader_id` then is
            the store to call next, if one was named.
        """
        now = clock.monotonic()
        candidates = self.list_candidates(now)
        pending = {}
        next_call = now
        while candidates or pending:
            now = clock.monotonic()
            if candidates and (not pending or now >= next_call):
                store = candidates.pop(0)
                call = self.link.call(
                    store, message, now + CALL_TIMEOUT_SECONDS
                )
                pending[call] = store
                next_call = now + HEDGE_SECONDS
            timeout = None
            if candidates:
                timeout = clock.remaining(next_call, clock.monotonic())
            done, _ = concurrent.futures.wait(
                pending, timeout, concurrent.futures.FIRST_COMPLETED
            )
            for call in done:
                store = pending.pop(call)
                reply = call.result()
                if self.record_reply(store, reply, clock.monotonic()):
                    return reply if reply.is_leader else None
        return None

    def list_candidates(self, now):
        """Return the leader if it is known, else the next stores in turn."""
        if self.leader_id is not None:
            return [self.leader_id]
        stores = tuple(dict.fromkeys((*self.stores, *self.seeds)))
        responsive = tuple(
            store for store in stores if not self.is_unresponsive(store, now)
        )
        stores = responsive or stores
        self.store_index += 1
        first = self.store_index % len(stores)
        return [*stores[first:], *stores[:first]][:MAX_PARALLEL_CALLS]

    def is_unresponsive(self, store, now):
        """Return whether a store recently failed to answer a message.

        One that has stood still and goes on is heard first by its late reply.
        """
        until = self.unresponsive_until.get(store, now)
        failed_at = until - UNRESPONSIVE_SECONDS
        return now < until and self.link.get_heard_at(store) <= failed_at

    def record_reply(self, store, reply, now):
        """Record the reply of a store; return whether the search ends.

        Parameters
        ----------
        store : str
            Store that was called.
        reply : object or Refusal
            Its reply, or the refusal of the link if there was none.
        now : float
            Seconds of the monotonic clock.
        """
        if isinstance(reply, codes.Refusal):
            self.unresponsive_until[store] = now + UNRESPONSIVE_SECONDS
            if self.leader_id == store:
                self.leader_id = None
            return False
        if reply.is_leader:
            self.leader_id = store
            self.unresponsive_until.clear()
            return True
        named = reply.leader_id
        if named in (None, store) or self.is_unresponsive(named, now):
            self.leader_id = None
            return False
        self.leader_id = named
        return True
