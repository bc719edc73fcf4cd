"""Setting of the C library's allocator for processes with many threads and large buffers.

glibc takes a large buffer from the operating system and gives it back when it is freed, but it
raises the limit of "large" to the size of the first such buffer, up to 32 MB. From then on buffers
of this size come from arenas, of which there are up to eight for each processor, and an arena
keeps what was freed in it. Dozens of RPC threads that handle commands of 1 MB in turn so come to
hold hundreds of megabytes that nobody uses.
"""

from __future__ import annotations

import ctypes

LARGE_BUFFER_BYTES = 128 * 1024
"""glibc's own first limit; setting it keeps it from growing."""

_M_MMAP_THRESHOLD = -3
_SUCCESS = 1


def return_large_buffers() -> bool:
    """Give freed buffers of ``LARGE_BUFFER_BYTES`` and more back to the operating system at once.

    Call it first thing in a process.

    Returns:
        False when the C library has no such setting (musl, macOS); nothing is changed then.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) == _SUCCESS)
