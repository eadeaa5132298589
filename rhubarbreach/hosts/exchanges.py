"""Replies of the leader to the periodic exchanges of entry hosts."""

import threading

from rhubarbreach import clock
from rhubarbreach.protocol import fleetmessages

__all__ = ['Exchanges']

# Largest configuration that is sent with a reply. The host drops replies that
# arrive late, and a link of 15 Mbit/s carries this in 35 ms.
MAX_CATALOG_BYTES = 64 * 1024


class Exchanges:
    """Answers to exchanges, and the tokens that are granted with them.

    The lock protects the allocator of tokens. The other parts have locks of
    their own.

    Parameters
    ----------
    store : StoreHost
        Store host whose parts the replies describe.
    allocator : QuotaAllocator
        Allocator of the tokens of accounts.
    """

    def __init__(self, store, allocator):
        self.store = store
        self.allocator = allocator
        self.lock = threading.Lock()

    def reset(self):
        """Forget the grants of an earlier time as the leader."""
        with self.lock:
            self.allocator.reset()

    def grant(self, wanted, now):
        """Return the tokens granted to a host by client account."""
        with self.lock:
            index = self.store.current_index.get()
            if index is None:
                return {}
            return {
                name: self.allocator.grant(index.accounts[name], amount, now)
                for name, amount in wanted.items()
                if name in index.accounts
            }

    def answer(self, sender_id, message):
        """Return the reply to the periodic exchange of an entry host."""
        store = self.store
        usage = store.usage
        now = clock.monotonic()
        quorum_contact = store.group.quorum_contact
        if not store.leadership.may_answer(now):
            return fleetmessages.ExchangeReply(
                False, store.leadership.find_other_leader()
            )
        version, document = store.ledger.get_catalog()
        catalog = None
        fetched_version = 0
        if version > message.catalog_version:
            if message.fetches_catalogs and len(document) > MAX_CATALOG_BYTES:
                fetched_version = version
            else:
                catalog = fleetmessages.CatalogCopy(version, document)
        for endpoint_id, born in message.departures.items():
            store.endpoints.record_departure(endpoint_id, born)
        has_grown, entries = usage.report(sender_id, message, now)
        if has_grown:
            store.runner.wake.set()
        granted = self.grant(message.wanted, now)
        table = store.endpoints.read_table(store.group.store.members_index)
        stores = ()
        rows = None
        departures = {}
        if table.stamp != message.endpoints_stamp:
            stores = tuple(m.host_id for m in store.group.members)
            rows = table.rows
            departures = table.departures
        elsewhere, nearby = usage.list_online(
            message.availability_zone, table.endpoint_ids
        )
        peers_revision, peers = usage.list_peers(message)
        quarantine = store.quarantine_manager
        quarantine.report(sender_id, message, now)
        quarantine_revision, quarantined = quarantine.list_quarantined(
            message.quarantine_revision
        )
        batch = store.runner.count_running()
        evacuated = store.evacuated_zones.read_evacuations(now)
        return fleetmessages.ExchangeReply(
            True,
            store.host_id,
            stores,
            now - quorum_contact,
            catalog,
            table.stamp,
            rows,
            store.endpoints.is_complete(),
            elsewhere,
            nearby,
            tuple(batch.get(e, 0) for e in table.endpoint_ids),
            peers_revision,
            peers,
            granted,
            entries,
            tuple(usage.list_suspects(now)),
            quarantine.suspects,
            quarantine_revision,
            quarantined,
            quarantine.list_trials(sender_id, now),
            evacuated.revision,
            None
            if evacuated.revision == message.evacuation_revision
            else tuple(sorted(evacuated.zones)),
            usage.list_queues(now),
            *store.cold_manager.answer(
                message,
                entries,
                quorum_contact,
                now,
                store.evacuated_zones.list_endpoint_ids(evacuated.zones),
            ),
            late_parts=()
            if quarantined is None
            else tuple(sorted(store.ledger.get_late_parts())),
            departures=departures,
            catalog_version=fetched_version,
            relays=usage.list_relays(sender_id, message, now),
        )
