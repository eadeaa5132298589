"""Programs `engine` and `service`, each one emulated endpoint."""

import dataclasses
import signal
import threading

import fire

from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import service

__all__ = ['main', 'run_engine', 'run_service']


def split(text):
    """Return the parts of a comma-separated text."""
    if isinstance(text, (tuple, list)):
        return tuple(str(part) for part in text)
    return tuple(part for part in str(text).split(',') if part)


def run_until_signal(emulated):
    """Serve until SIGTERM or SIGINT, then drain."""
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    stop.wait()
    emulated.start_drain()
    emulated.drained.wait()
    emulated.close()


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
    """Run an emulated engine on the loopback address.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    listen : str
        `IP:port` to listen on.
    announce : str
        Comma-separated `IP:port` of entry hosts.
    zone : str
        Availability zone.
    models : str
        Comma-separated models.
    fencing : bool
        Whether orders with an old fencing number are refused.
    runs_file : str
        File to append runs to.
    seed : int
        Seed of lost cache events.
    load_seconds : float
        Seconds to load a model.
    **speed
        Fields of `engine.EngineSettings`.
    """
    settings = endpoint.EndpointSettings(
        str(endpoint_id),
        zone,
        listen,
        split(models),
        split(announce),
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
    """Run an emulated plain service on the loopback address.

    Parameters
    ----------
    endpoint_id : str
        Name of the endpoint.
    listen : str
        `IP:port` to listen on.
    announce : str
        Comma-separated `IP:port` of entry hosts.
    zone : str
        Availability zone.
    targets : str
        Comma-separated targets that routes refer to.
    runs_file : str
        File to append runs to.
    """
    settings = endpoint.EndpointSettings(
        str(endpoint_id),
        zone,
        listen,
        split(targets),
        split(announce),
        runs_file=runs_file,
    )
    run_until_signal(service.ServiceEndpoint(settings))


def main():
    """Run the program named on the command line."""
    fire.Fire({'engine': run_engine, 'service': run_service})


if __name__ == '__main__':
    main()
