"""Gauges of a store: what it holds in memory and what it sends."""

__all__ = ['set_store_gauges']


def set_store_gauges(metrics, group, ledger, link):
    """Set the gauges of a store.

    Parameters
    ----------
    metrics : Metrics
        Where they are set.
    group : Group
        Its replica: size of the log in memory, of the snapshot, and for each
        peer of a leader the bytes that have no answer yet.
    ledger : Ledger
        Its state: jobs and open items.
    link : Link
        Its link: bytes queued for peers since the start, by message.
    """
    store = group.store
    entries = list(store.entries)
    metrics.set_gauge('log_entries', len(entries))
    metrics.set_gauge('log_bytes', sum(len(one.data) for one in entries))
    metrics.set_gauge('snapshot_bytes', len(store.snapshot.data))
    for peer in list(group.state.peers.values()):
        metrics.set_gauge(
            'log_unanswered_bytes', peer.unanswered_bytes, peer=peer.peer_id
        )
    opened = ledger.list_open()
    metrics.set_gauge('jobs_open', len(opened))
    metrics.set_gauge('items_open', sum(len(items) for _, items in opened))
    for name, size in link.queued_bytes.copy().items():
        metrics.set_gauge('link_queued_bytes', size, message=name)
