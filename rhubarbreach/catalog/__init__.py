"""Configuration of routes, services and accounts, replaced as a whole."""

from rhubarbreach.catalog import index
from rhubarbreach.catalog import model
from rhubarbreach.catalog import validate

__all__ = ['index', 'model', 'validate']
