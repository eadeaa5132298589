"""Emulated endpoints for tests, the demo and benchmarks."""

from rhubarbreach.emulator import endpoint
from rhubarbreach.emulator import engine
from rhubarbreach.emulator import runs
from rhubarbreach.emulator import service

__all__ = ['endpoint', 'engine', 'runs', 'service']
