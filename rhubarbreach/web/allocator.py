"""Settings of the C library's allocator for processes with many threads."""

import ctypes

__all__ = ['limit_fragmentation', 'release_pages']

# Parameters of `mallopt` in glibc.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Larger blocks are returned to the kernel when they are freed. By default the
# threshold grows to the size of the bodies.
MMAP_BYTES = 128 * 1024
# By default there are eight arenas for each processor, and a block that is
# freed in one is not used by the threads of the others.
MAX_ARENAS = 2


def limit_fragmentation():
    """Limit the freed memory that the allocator keeps.

    With the default settings a crowd that sends bodies doubled the resident
    set, although the bytes held at any time were bounded.

    Returns
    -------
    bool
        Whether the allocator knows both settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        # Another C library.
        return False
    return all(
        [
            mallopt(M_MMAP_THRESHOLD, MMAP_BYTES),
            mallopt(M_ARENA_MAX, MAX_ARENAS),
        ]
    )


def release_pages():
    """Return the pages of freed blocks to the kernel.

    Returns
    -------
    bool
        Whether any was returned.
    """
    try:
        malloc_trim = ctypes.CDLL(None).malloc_trim
    except (AttributeError, OSError):
        # Another C library.
        return False
    return bool(malloc_trim(0))
