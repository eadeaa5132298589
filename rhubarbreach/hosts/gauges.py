"""Gauges of a store: memory held by its data, and bytes sent."""

__all__ = ['set_store_gauges']


def set_store_gauges(metrics, group, ledger, link):
    """Set the gauges of a store.

    Parameters
    ----------
    metrics : Metrics
        Registry that receives the gauges.
    group : Group
        Replica of the store; gives the size of the log in memory, the size
        of the snapshot and, on a leader, the bytes sent to each peer that
        are not yet acknowledged.
    ledger : Ledger
        Replicated state; gives the number of open jobs and items, of
        quarantined parts of prompts, and of evacuated zones.
    link : Link
        Link of the store; gives the bytes queued for peers since the start,
        by message type.
    """
    store = group.store
    entries = list(store.entries)
    metrics.set_gauge('log_entries', len(entries))
    metrics.set_gauge('log_bytes', sum(len(entry.data) for entry in entries))
    metrics.set_gauge('snapshot_bytes', len(store.snapshot.data))
    for peer in list(group.state.peers.values()):
        metrics.set_gauge(
            'log_unanswered_bytes', peer.unanswered_bytes, peer=peer.peer_id
        )
    open_jobs = ledger.list_open()
    metrics.set_gauge('jobs_open', len(open_jobs))
    metrics.set_gauge('items_open', sum(len(items) for _, items in open_jobs))
    metrics.set_gauge('job_bytes', ledger.job_bytes)
    metrics.set_gauge('parts_quarantined', len(ledger.quarantined))
    _, zones = ledger.get_evacuated()
    metrics.set_gauge('zones_evacuated', len(zones))
    for message, queued_bytes in link.queued_bytes_total.copy().items():
        metrics.set_gauge('link_queued_bytes', queued_bytes, message=message)
