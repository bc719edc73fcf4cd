"""Configures the C allocator for processes with many threads and large buffers.

glibc allocates large buffers with ``mmap`` and returns them to the operating system when they are
freed. But when the first such buffer is freed, glibc raises its ``mmap`` threshold to the size of
that buffer, up to 32 MB. Later buffers of that size come from arenas, of which there are up to
eight per CPU core, and arenas retain freed memory. As a result, dozens of RPC threads that handle
commands of 1 MB in turn retain hundreds of megabytes of unused memory.
"""

from __future__ import annotations

import ctypes

LARGE_BUFFER_BYTES = 128 * 1024
"""glibc's initial ``mmap`` threshold; setting it explicitly stops glibc from raising it."""

_M_MMAP_THRESHOLD = -3
_SUCCESS = 1


def return_large_buffers() -> bool:
    """Return freed buffers of at least ``LARGE_BUFFER_BYTES`` to the operating system at once.

    Processes call this first at startup.

    Returns:
        True on success; False if the C library does not support the setting (musl, macOS).
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) == _SUCCESS)
