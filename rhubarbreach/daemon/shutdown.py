"""Drain and shutdown of one host."""

import time

import logbook

from rhubarbreach import clock

__all__ = ['close_host', 'drain_host', 'transfer_leadership']

LOG = logbook.Logger('host')

TRANSFER_TIMEOUT_SECONDS = 5.0
# Delay between reporting not ready and refusing requests, in which the load
# balancer stops sending requests to this host.
NOT_READY_SECONDS = 1.0


def drain_host(host):
    """Finish running work, release claims and leadership, and stop.

    Parameters
    ----------
    host : daemon.host.Host
        Running host.

    Returns
    -------
    bool
        Whether all work in flight finished before the deadline.
    """
    seconds = host.settings.requests.drain_timeout
    deadline = clock.monotonic() + seconds
    host.recorder.record('drain_started', 'shutdown requested')
    LOG.info('event=drain_started')
    host.request_drain()
    host.membership.set_draining()
    time.sleep(NOT_READY_SECONDS)
    host.application.drain()
    finished = host.runner.drain(deadline, deadline)
    finished = host.server.wait_for_requests(deadline) and finished
    transfer_leadership(host)
    host.recorder.record(
        'drain_ended',
        'all work finished' if finished else 'drain deadline passed',
    )
    LOG.info('event=drain_ended finished={}', finished)
    close_host(host)
    return finished


def transfer_leadership(host):
    """Transfer the leadership of groups to another store host.

    Returns at the latest after `TRANSFER_TIMEOUT_SECONDS`, even if this host
    still leads a group.

    Parameters
    ----------
    host : daemon.host.Host
        Running host.
    """
    if host.stores is None:
        return
    peers = [
        host_id
        for host_id in host.get_store_hosts()
        if host_id != host.host_id
    ]
    led_groups = [
        group for group in host.stores.get_groups() if group.is_leader
    ]
    if not peers or not led_groups:
        return
    for group in led_groups:
        group.transfer(peers[0])
    deadline = clock.monotonic() + TRANSFER_TIMEOUT_SECONDS
    while any(group.is_leader for group in led_groups):
        if clock.monotonic() > deadline:
            return
        time.sleep(host.settings.store.heartbeat)


def close_host(host):
    """Stop all tasks of a host without waiting for work in flight.

    Parameters
    ----------
    host : daemon.host.Host
        Running host.
    """
    if host.operators is not None:
        host.operators.close()
    host.server.close()
    host.runner.close()
    host.limiter.close()
    host.scheduler.close()
    host.executor.close()
    host.loop.close()
    host.records.close()
    if host.share_task is not None:
        host.share_task.close()
    host.watcher.close()
    host.config_server.close()
    if host.stores is not None:
        host.stores.close()
    host.registry.close()
    host.membership.close()
    host.link.close()
    host.recorder.close()
    if host.folder is not None:
        host.folder.close()
