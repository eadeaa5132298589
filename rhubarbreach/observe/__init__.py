"""Logs, metrics and the timeline of one process."""

from rhubarbreach.observe import metrics
from rhubarbreach.observe import timeline
from rhubarbreach.observe import timelinequery

__all__ = ['metrics', 'timeline', 'timelinequery']
