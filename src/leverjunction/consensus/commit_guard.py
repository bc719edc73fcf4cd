"""A sidecar file that detects a truncated or missing write-ahead log.

SQLite treats the end of its write-ahead log as the end of the committed data. If that file is
truncated or removed, commits that were synced and acknowledged vanish without an error. After
each commit, its sequence number is therefore also written to the sidecar file, without a sync of
its own. A number above the one in the database proves a loss. A crash of the machine can only
leave the number too low, which raises no false alarm.
"""

from __future__ import annotations

import os
import struct
from pathlib import Path

import xxhash

GUARD_SUFFIX = ".commits"
_RECORD = struct.Struct(">QQ")


class CommitGuard:
    """Stores the highest commit sequence number that is known to be synced."""

    def __init__(self, database: Path) -> None:
        path = database.with_name(database.name + GUARD_SUFFIX)
        if not database.exists():
            path.unlink(missing_ok=True)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)

    def record(self, sequence: int) -> None:
        """Record that the commit with number ``sequence`` is synced."""
        data = _RECORD.pack(sequence, _digest(sequence))
        os.pwrite(self._descriptor, data, 0)

    def last_recorded(self) -> int:
        """Return the highest recorded sequence number, or 0 if the file has no valid record."""
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
