"""A sidecar file that tells a shortened write-ahead log from a clean one.

SQLite takes the end of its write-ahead log for the end of what was committed. If that file is
cut or removed, commits that were synced and acknowledged vanish without an error. So after each
commit its sequence number is written here as well, without a sync of its own: a number above the
one in the database proves a loss, and a crash of the machine can only make it too low, which
raises no false alarm.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

import xxhash

GUARD_SUFFIX = ".commits"
_RECORD = struct.Struct(">QQ")


class CommitGuard:
    """The highest commit sequence number known to have been synced."""

    def __init__(self, database: Path) -> None:
        path = database.with_name(database.name + GUARD_SUFFIX)
        if not database.exists():
            path.unlink(missing_ok=True)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def record(self, sequence: int) -> None:
        """Note that commit ``sequence`` is synced."""
        data = _RECORD.pack(sequence, _digest(sequence))
        os.pwrite(self._descriptor, data, 0)

    def last_recorded(self) -> int:
        """Return the highest commit noted, 0 when there is none that can be read."""
        data = os.pread(self._descriptor, _RECORD.size, 0)
        if len(data) != _RECORD.size:
            return 0
        sequence, digest = _RECORD.unpack(data)
        return int(sequence) if digest == _digest(sequence) else 0

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)


def _digest(sequence: int) -> int:
    return xxhash.xxh3_64(sequence.to_bytes(8, "big")).intdigest()
