"""A sidecar file with a checksum of each page of a replica's SQLite file.

SQLite checks its structure but not the content of rows, so a flipped bit in a value would be
served as if it were right. Here every page that a commit writes is summed as it stands in the
write-ahead log; when the file is opened, each page is compared with its sum before anything is
served. A page that the write-ahead log still holds is not compared: SQLite checks that log itself,
and ``CommitGuard`` tells when its end is missing.

Sums are written after each commit and synced before a checkpoint moves pages into the file.
"""

from __future__ import annotations

import os
import struct
from array import array
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import NamedTuple

import xxhash

PAGES_SUFFIX = ".pages"
PAGE_BYTES = 4_096
UNKNOWN = 0
"""Sum of a page that was never written by a commit, or is being recovered."""

_WAL_HEADER_BYTES = 32
_SALTS = slice(16, 24)
_FRAME_HEADER = struct.Struct(">II8s8s")
_FRAME_BYTES = _FRAME_HEADER.size + PAGE_BYTES
_FRAMES_PER_READ = 16


class _Frame(NamedTuple):
    """One frame of the write-ahead log: a page's number and sum, and whether it ends a commit."""

    number: int
    page_checksum: int
    ends_commit: bool


def _page_checksum(number: int, page: bytes | memoryview) -> int:
    # The number is the seed, so a page in the place of another is noticed.
    return xxhash.xxh3_64_intdigest(page, number) or 1


class PageChecksums:
    """The sums of one file's pages. Used by the thread that owns the file's connection."""

    def __init__(self, database: Path) -> None:
        self._database = database
        self._wal = database.with_name(database.name + "-wal")
        path = database.with_name(database.name + PAGES_SUFFIX)
        if not database.exists():
            path.unlink(missing_ok=True)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self._wal_descriptor: int | None = None
        self._salts = b""
        self._offset = _WAL_HEADER_BYTES
        self._unknown: set[int] = set()
        self.frames_since_sync = 0

    def find_damage(self) -> str:
        """Compare the pages of a file that is not open yet.

        Returns:
            What is wrong with the file, empty when nothing is.
        """
        if not self._database.exists():
            return ""
        stored = self._stored()
        logged = self._logged_pages()
        count = 0
        for count, page in enumerate(self._pages(), 1):
            known = stored[count - 1] if count <= len(stored) else UNKNOWN
            if count in logged or known == UNKNOWN:
                self._unknown.add(count)
            elif known != _page_checksum(count, page):
                return f"page {count} does not match its checksum"
        missing = [
            number
            for number in range(count + 1, len(stored) + 1)
            if stored[number - 1] != UNKNOWN and number not in logged
        ]
        self._unknown |= logged
        return f"page {missing[0]} is missing, the file is cut off" if missing else ""

    def begin_recovery(self) -> None:
        """Before SQLite moves the write-ahead log into the file: forget those pages' sums."""
        self._put(dict.fromkeys(self._unknown, UNKNOWN))
        os.fsync(self._descriptor)

    def end_recovery(self) -> None:
        """After it: sum the pages that SQLite has recovered, by its own checksums."""
        if not self._unknown:
            return
        sums: dict[int, int] = {}
        with self._database.open("rb") as file:
            for number in self._unknown:
                file.seek((number - 1) * PAGE_BYTES)
                page = file.read(PAGE_BYTES)
                if len(page) == PAGE_BYTES:
                    sums[number] = _page_checksum(number, page)
        self._put(sums)
        self._unknown.clear()
        os.fsync(self._descriptor)

    def record_commit(self) -> None:
        """Sum the pages that the last commits have added to the write-ahead log."""
        if self._wal_descriptor is None:
            if not self._wal.exists():
                return
            self._wal_descriptor = os.open(self._wal, os.O_RDONLY)
        salts = os.pread(self._wal_descriptor, _WAL_HEADER_BYTES, 0)[_SALTS]
        if salts != self._salts:
            self._salts, self._offset = salts, _WAL_HEADER_BYTES
        committed: dict[int, int] = {}
        pending: dict[int, int] = {}
        frames = 0
        for count, frame in enumerate(self._frames(self._wal_descriptor, self._offset, salts), 1):
            pending[frame.number] = frame.page_checksum
            if frame.ends_commit:
                committed |= pending
                pending.clear()
                frames = count
        self._put(committed)
        self._offset += frames * _FRAME_BYTES
        self.frames_since_sync += frames

    def sync(self) -> None:
        """Make the sums durable; due before a checkpoint."""
        os.fsync(self._descriptor)
        self.frames_since_sync = 0

    def close(self) -> None:
        """Close the files."""
        os.close(self._descriptor)
        if self._wal_descriptor is not None:
            os.close(self._wal_descriptor)

    def _put(self, sums: Mapping[int, int]) -> None:
        """Write sums by page number; those of neighbouring pages go in one call."""
        run = array("Q")
        first = 0
        for number in sorted(sums):
            if number != first + len(run):
                self._put_run(first, run)
                first, run = number, array("Q")
            run.append(sums[number])
        self._put_run(first, run)

    def _put_run(self, first: int, run: array[int]) -> None:
        if run:
            os.pwrite(self._descriptor, run.tobytes(), (first - 1) * run.itemsize)

    def _stored(self) -> array[int]:
        stored = array("Q")
        size = os.fstat(self._descriptor).st_size // stored.itemsize * stored.itemsize
        stored.frombytes(os.pread(self._descriptor, size, 0))
        return stored

    def _pages(self) -> Iterator[bytes]:
        with self._database.open("rb") as file:
            while len(page := file.read(PAGE_BYTES)) == PAGE_BYTES:
                yield page

    def _logged_pages(self) -> set[int]:
        """Return the pages that the write-ahead log holds, torn transactions included."""
        if not self._wal.exists():
            return set()
        descriptor = os.open(self._wal, os.O_RDONLY)
        try:
            salts = os.pread(descriptor, _WAL_HEADER_BYTES, 0)[_SALTS]
            frames = self._frames(descriptor, _WAL_HEADER_BYTES, salts)
            return {frame.number for frame in frames}
        finally:
            os.close(descriptor)

    @staticmethod
    def _frames(descriptor: int, offset: int, salts: bytes) -> Iterator[_Frame]:
        """Yield the frames from an offset until one is of an older run of the log."""
        while data := os.pread(descriptor, _FRAME_BYTES * _FRAMES_PER_READ, offset):
            view = memoryview(data)
            for start in range(0, len(data) - _FRAME_BYTES + 1, _FRAME_BYTES):
                number, pages_after, frame_salts, _ = _FRAME_HEADER.unpack_from(data, start)
                if frame_salts != salts:
                    return
                page = view[start + _FRAME_HEADER.size : start + _FRAME_BYTES]
                yield _Frame(number, _page_checksum(number, page), pages_after != 0)
            if len(data) < _FRAME_BYTES * _FRAMES_PER_READ:
                return
            offset += len(data)
