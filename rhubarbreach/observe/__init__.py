"""Logs, metrics and the timeline of one process."""

from rhubarbreach.observe import explain
from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline

__all__ = ['explain', 'metrics', 'timeline']
