"""A sidecar file with a checksum for each page of a replica's SQLite file.

SQLite verifies the structure of its file but not the content of rows, so a flipped bit in a value
would go unnoticed. The checksum of each page written by a commit is computed from the write-ahead
log. When the file is opened, each page is compared with its checksum before any request is
served. Pages in the write-ahead log are not compared: SQLite verifies the log itself, and
``CommitGuard`` detects that its end is missing.

Checksums are written after each commit, and synced before a checkpoint moves pages into the file.
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
UNKNOWN_CHECKSUM = 0
"""Stored in place of a checksum for a page that no commit has written or that is being
recovered."""

_WAL_HEADER_BYTES = 32
_SALTS = slice(16, 24)
_FRAME_HEADER = struct.Struct(">II8s8s")
_FRAME_BYTES = _FRAME_HEADER.size + PAGE_BYTES
_FRAMES_PER_READ = 16


class _Frame(NamedTuple):
    """One frame of the write-ahead log.

    Attributes:
        number: Number of the page.
        page_checksum: Checksum of the page.
        ends_commit: True for the last frame of a transaction.
    """

    number: int
    page_checksum: int
    ends_commit: bool


def _page_checksum(number: int, page: bytes | memoryview) -> int:
    # The page number is the seed, so that a page written to the wrong place is detected. A checksum
    # of 0 is replaced with 1, because 0 is UNKNOWN_CHECKSUM.
    return xxhash.xxh3_64_intdigest(page, number) or 1


class PageChecksums:
    """Page checksums of one database file. Not thread-safe: used with the file's connection."""

    def __init__(self, database: Path) -> None:
        self._database = database
        self._wal = database.with_name(database.name + "-wal")
        path = database.with_name(database.name + PAGES_SUFFIX)
        if not database.exists():
            path.unlink(missing_ok=True)
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self._wal_descriptor: int | None = None
        self._wal_salts = b""
        self._wal_offset = _WAL_HEADER_BYTES
        self._unknown: set[int] = set()
        self.frames_since_sync = 0

    def find_damage(self) -> str:
        """Compare the pages of a database file that is not open yet with their checksums.

        Returns:
            A description of the damage, or an empty string if the file is intact.
        """
        if not self._database.exists():
            return ""
        checksums = self._read_checksums()
        wal_pages = self._wal_pages()
        count = 0
        for count, page in enumerate(self._database_pages(), 1):
            expected = checksums[count - 1] if count <= len(checksums) else UNKNOWN_CHECKSUM
            if count in wal_pages or expected == UNKNOWN_CHECKSUM:
                self._unknown.add(count)
            elif expected != _page_checksum(count, page):
                return f"page {count} does not match its checksum"
        missing = [
            number
            for number in range(count + 1, len(checksums) + 1)
            if checksums[number - 1] != UNKNOWN_CHECKSUM and number not in wal_pages
        ]
        self._unknown |= wal_pages
        return f"page {missing[0]} is missing, the file is truncated" if missing else ""

    def begin_recovery(self) -> None:
        """Clear the checksums of pages that SQLite will recover from the write-ahead log.

        Call it before SQLite moves the write-ahead log into the file.
        """
        self._put(dict.fromkeys(self._unknown, UNKNOWN_CHECKSUM))
        os.fsync(self._descriptor)

    def end_recovery(self) -> None:
        """Store the checksums of the recovered pages, which SQLite has verified with its own.

        Call it after SQLite moved the write-ahead log into the file.
        """
        if not self._unknown:
            return
        checksums: dict[int, int] = {}
        with self._database.open("rb") as file:
            for number in self._unknown:
                file.seek((number - 1) * PAGE_BYTES)
                page = file.read(PAGE_BYTES)
                if len(page) == PAGE_BYTES:
                    checksums[number] = _page_checksum(number, page)
        self._put(checksums)
        self._unknown.clear()
        os.fsync(self._descriptor)

    def record_commit(self) -> None:
        """Store the checksums of the pages that commits have added to the write-ahead log."""
        if self._wal_descriptor is None:
            if not self._wal.exists():
                return
            self._wal_descriptor = os.open(self._wal, os.O_RDONLY)
        salts = os.pread(self._wal_descriptor, _WAL_HEADER_BYTES, 0)[_SALTS]
        if salts != self._wal_salts:
            self._wal_salts, self._wal_offset = salts, _WAL_HEADER_BYTES
        committed: dict[int, int] = {}
        pending: dict[int, int] = {}
        frames = 0
        for count, frame in enumerate(
            self._read_frames(self._wal_descriptor, self._wal_offset, salts), 1
        ):
            pending[frame.number] = frame.page_checksum
            if frame.ends_commit:
                committed |= pending
                pending.clear()
                frames = count
        self._put(committed)
        self._wal_offset += frames * _FRAME_BYTES
        self.frames_since_sync += frames

    def sync(self) -> None:
        """Make the checksums durable; required before a checkpoint."""
        os.fsync(self._descriptor)
        self.frames_since_sync = 0

    def close(self) -> None:
        """Close the files."""
        os.close(self._descriptor)
        if self._wal_descriptor is not None:
            os.close(self._wal_descriptor)

    def _put(self, checksums: Mapping[int, int]) -> None:
        """Write checksums by page number, with one call for each run of consecutive pages."""
        run = array("Q")
        first = 0
        for number in sorted(checksums):
            if number != first + len(run):
                self._put_run(first, run)
                first, run = number, array("Q")
            run.append(checksums[number])
        self._put_run(first, run)

    def _put_run(self, first: int, run: array[int]) -> None:
        if run:
            os.pwrite(self._descriptor, run.tobytes(), (first - 1) * run.itemsize)

    def _read_checksums(self) -> array[int]:
        checksums = array("Q")
        size = os.fstat(self._descriptor).st_size // checksums.itemsize * checksums.itemsize
        checksums.frombytes(os.pread(self._descriptor, size, 0))
        return checksums

    def _database_pages(self) -> Iterator[bytes]:
        with self._database.open("rb") as file:
            while len(page := file.read(PAGE_BYTES)) == PAGE_BYTES:
                yield page

    def _wal_pages(self) -> set[int]:
        """Return the pages in the write-ahead log, including those of incomplete transactions."""
        if not self._wal.exists():
            return set()
        descriptor = os.open(self._wal, os.O_RDONLY)
        try:
            salts = os.pread(descriptor, _WAL_HEADER_BYTES, 0)[_SALTS]
            frames = self._read_frames(descriptor, _WAL_HEADER_BYTES, salts)
            return {frame.number for frame in frames}
        finally:
            os.close(descriptor)

    @staticmethod
    def _read_frames(descriptor: int, offset: int, salts: bytes) -> Iterator[_Frame]:
        """Yield the frames from an offset up to the first whose salts differ: it is from before the
        write-ahead log was last restarted.
        """
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
