"""Files that survive a crash: segments, replaced files, folder lock."""
