"""Drain and stop of one host."""

import time

import logbook

from rhubarbreach import clock

__all__ = ['close_host', 'drain_host', 'transfer_leadership']

LOG = logbook.Logger('host')

TRANSFER_SECONDS = 5.0
# Time between the report of not being ready and the refusal of requests,
# in which the load balancer turns to other hosts.
BALANCER_SECONDS = 1.0


def drain_host(host):
    """Finish what runs, hand back what is held, and stop.

    Parameters
    ----------
    host : daemon.host.Host
        Running host.

    Returns
    -------
    bool
        Whether everything in flight was finished in time.
    """
    seconds = host.settings.requests.drain_timeout
    deadline = clock.monotonic() + seconds
    host.recorder.record('drain_started', 'shutdown was asked for')
    LOG.info('event=drain_started')
    host.request_drain()
    host.membership.set_draining()
    time.sleep(BALANCER_SECONDS)
    host.application.drain()
    finished = host.runner.drain(deadline, deadline)
    finished = host.server.wait_for_requests(deadline) and finished
    transfer_leadership(host)
    host.recorder.record(
        'drain_ended', 'all finished' if finished else 'deadline passed'
    )
    LOG.info('event=drain_ended finished={}', finished)
    close_host(host)
    return finished


def transfer_leadership(host):
    """Hand the leadership of groups to other stores.

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
    led = [one for one in host.stores.get_groups() if one.is_leader]
    if not peers or not led:
        return
    for group in led:
        group.transfer(peers[0])
    deadline = clock.monotonic() + TRANSFER_SECONDS
    while any(group.is_leader for group in led):
        if clock.monotonic() > deadline:
            return
        time.sleep(host.settings.store.heartbeat)


def close_host(host):
    """Stop all tasks of a host without waiting for what runs.

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
