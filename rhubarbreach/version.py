"""Version of the package."""

__all__ = ['VERSION']

VERSION = '0.1.0'
