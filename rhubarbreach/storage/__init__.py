"""Durable storage: segmented log, atomic files and data folders."""

from rhubarbreach.storage import files
from rhubarbreach.storage import folder
from rhubarbreach.storage import segments

__all__ = ['files', 'folder', 'segments']
