"""Freed large buffers of many threads are returned to the operating system."""

from __future__ import annotations

import ctypes
import subprocess
import sys

import pytest

GROWTH_LIMIT_MB = 16.0
"""Maximum growth once all buffers are freed; each thread allocates 8 MB at a time."""

SCRIPT = """
import sys, threading
import psutil
from leverjunction.allocator import return_large_buffers

THREADS = 32
if sys.argv[1] == "returned":
    return_large_buffers()
turns = [threading.Event() for _ in range(THREADS + 1)]

def hold_and_free(number):
    turns[number].wait()
    for _ in range(3):
        buffers = [b"x" * 1_000_000 for _ in range(8)]
        del buffers
    turns[number + 1].set()
    turns[THREADS].wait()

before = psutil.Process().memory_info().rss
threads = [threading.Thread(target=hold_and_free, args=(n,)) for n in range(THREADS)]
for thread in threads:
    thread.start()
turns[0].set()
turns[THREADS].wait()
print((psutil.Process().memory_info().rss - before) / 1e6)
"""


def _growth_mb(mode: str) -> float:
    """Return the growth of a process whose threads allocate and free large buffers in turn."""
    command = [sys.executable, "-c", SCRIPT, mode]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return float(done.stdout)


@pytest.mark.skipif(
    not hasattr(ctypes.CDLL(None), "mallopt"), reason="the C library does not provide mallopt"
)
def test_freed_buffers_of_many_threads_are_not_kept() -> None:
    assert _growth_mb("returned") < GROWTH_LIMIT_MB
    # Control: without the setting, the arena of each thread retains its buffers.
    assert _growth_mb("kept") > GROWTH_LIMIT_MB
