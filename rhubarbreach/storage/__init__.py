"""Files that survive a crash: segments, replaced files, folder lock."""

from rhubarbreach.storage import files
from rhubarbreach.storage import folder
from rhubarbreach.storage import segments

__all__ = ['files', 'folder', 'segments']
