"""Commands that run one emulated engine or one emulated service."""

import dataclasses
import signal
import threading

import fire

from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import service

__all__ = ['main', 'run_engine', 'run_service']


def split_list(text):
    """Return the items of a comma-separated list as strings."""
    if isinstance(text, (tuple, list)):
        return tuple(str(part) for part in text)
    return tuple(part for part in str(text).split(',') if part)


def run_until_signal(emulated_endpoint):
    """Wait for SIGTERM or SIGINT, then drain and close the endpoint."""
    stop = threading.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop.set())
    stop.wait()
    emulated_endpoint.start_drain()
    emulated_endpoint.drained.wait()
    emulated_endpoint.close()


def run_engine(
    endpoint_id,
    listen,
    announce,
    zone='zone-1',
    models='rota',
    fencing=True,
    runs_file='',
    seed=1,
    load_seconds=2.0,
    **speed,
):
    """Run an emulated engine on a loopback address.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    listen : str
        Loopback `IP:port` to listen on.
    announce : str
        Comma-separated `IP:port` of the entry hosts.
    zone : str
        Availability zone.
    models : str
        Comma-separated ids of the models that are loaded at the start.
    fencing : bool
        Whether orders with a stale fencing token are refused.
    runs_file : str
        File to append runs to; empty to keep them in memory.
    seed : int
        Seed that decides which cache events are lost.
    load_seconds : float
        Time to load a model, in seconds.
    **speed
        Fields of `engine.EngineSettings`.
    """
    settings = endpoint.EndpointSettings(
        str(endpoint_id),
        zone,
        listen,
        split_list(models),
        split_list(announce),
        fencing,
        load_seconds,
        runs_file,
        seed,
    )
    engine_settings = dataclasses.replace(engine.EngineSettings(), **speed)
    run_until_signal(endpoint.EngineEndpoint(settings, engine_settings))


def run_service(
    endpoint_id,
    listen,
    announce,
    zone='zone-1',
    targets='swaps',
    runs_file='',
):
    """Run an emulated service on a loopback address.

    Parameters
    ----------
    endpoint_id : str
        Id of the endpoint.
    listen : str
        Loopback `IP:port` to listen on.
    announce : str
        Comma-separated `IP:port` of the entry hosts.
    zone : str
        Availability zone.
    targets : str
        Comma-separated targets that routes refer to.
    runs_file : str
        File to append runs to; empty to keep them in memory.
    """
    settings = endpoint.EndpointSettings(
        str(endpoint_id),
        zone,
        listen,
        split_list(targets),
        split_list(announce),
        runs_file=runs_file,
    )
    run_until_signal(service.ServiceEndpoint(settings))


def main():
    """Run the command that the arguments name."""
    fire.Fire({'engine': run_engine, 'service': run_service})


if __name__ == '__main__':
    main()
