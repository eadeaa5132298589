"""Daemon process that runs one host until a signal or a drain order."""

import signal

import logbook

from rhubarbreach.daemon import host as host_module
from rhubarbreach.daemon import probe
from rhubarbreach import exceptions
from rhubarbreach.observe import logs
from rhubarbreach.web import allocator

__all__ = ['run_host']

LOG = logbook.Logger('host')

FLUSH_PERIOD_SECONDS = 0.5


def run_host(settings):
    """Run a host until SIGTERM, SIGINT or a drain order, then drain it.

    Parameters
    ----------
    settings : settings.model.Settings
        Validated settings.

    Raises
    ------
    AddressError
        If the host cannot listen on an address.
    DataFolderError, CorruptLogError
        If the data folder cannot be used.
    ReplicaError
        If a replica has ended, after the host was drained.
    """
    handler = logs.open_log(
        settings.host.host_id, settings.log.level, settings.log.file
    )
    for fault in probe.find_startup_faults(settings):
        if fault.is_address:
            raise exceptions.AddressError(fault.text)
        raise exceptions.DataFolderError(fault.text)
    if not allocator.limit_fragmentation():
        LOG.warning('event=allocator_unknown')
    host = host_module.Host(settings, handler)
    host.start()
    # The interrupted code may hold the lock of the event.
    signals = set()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda number, _: signals.add(number))
    while not (signals or host.drain_requested.wait(FLUSH_PERIOD_SECONDS)):
        host.recorder.flush()
        if host.has_ended:
            break
    host.drain()
    logs.close_log(handler)
    if host.has_ended:
        raise exceptions.ReplicaError('a replica has ended')
