"""Log of stream origins on the disk of a control process, so that they outlive its end.

A background thread writes what was reported meanwhile and syncs it in groups: replies wait for the
disk only where no origin of their version was synced lately. The end of the process loses what came
in the last ``COLLECT_S``, a loss of power also what was not synced, and a disk that is full or
stands still what comes meanwhile.
"""

from __future__ import annotations

import errno
import math
import os
import threading
import zlib
from collections.abc import Collection, Mapping
from pathlib import Path
from typing import Protocol

from loguru import logger

from leverjunction.clock import Clock
from leverjunction.registry.origin_segments import (
    DOUBT_S,
    FENCE_S,
    Moment,
    OriginBatch,
    SegmentPlan,
    WaitingOrigins,
    decode_batches,
    encode_batch,
    make_batch,
)
from leverjunction.registry.origins import StreamOrigin

ORIGINS_FOLDER = "origins"

COLLECT_S = 0.02
"""Time to collect reports for one write."""

SYNC_INTERVAL_S = 0.2
"""Shortest time between two syncs, which the consensus log on the same disk has to wait for."""

RETRY_PAUSE_S = 1.0
REVIEW_INTERVAL_S = 10.0
CLOSE_TIMEOUT_S = 1.0

MAX_WAITING = 200_000
"""Origins that wait for a slow disk: those of one lifetime at 3,300 per second."""

RESERVED_BYTES = 16_000_000
"""Free space that is left to the consensus log, whose replica stops when the disk is full."""

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
_SUFFIX = ".log"


def read_boot_id() -> int:
    """Return the id of this start of the operating system; 0 if the system has none."""
    try:
        return zlib.crc32(BOOT_ID_PATH.read_bytes().strip())
    except OSError as error:
        logger.info("no id of the operating system's start: {}", error)
        return 0


class SegmentFiles(Protocol):
    """Files of the segments, by number. All methods raise ``OSError``."""

    def numbers(self) -> list[int]:
        """Return the numbers of the segments on disk."""
        ...

    def read(self, number: int) -> bytes:
        """Return the content of a segment."""
        ...

    def write(self, number: int, offset: int, content: bytes) -> None:
        """Write at an offset of a segment, which is created if it is missing."""
        ...

    def sync(self) -> None:
        """Return when all that was written will survive a loss of power."""
        ...

    def remove(self, number: int) -> None:
        """Remove a segment."""
        ...

    def free_bytes(self) -> int:
        """Return the free space of the disk."""
        ...

    def close(self) -> None:
        """Close the file that is written."""
        ...


class SegmentFolder:
    """Segments in a folder, which is created with the first write. Used by one thread.

    Args:
        folder: The folder.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._file = -1
        self._number: int | None = None

    def numbers(self) -> list[int]:
        """Return the numbers of the segments on disk; other files are ignored."""
        if not self._folder.exists():
            return []
        paths = self._folder.glob(f"*{_SUFFIX}")
        return sorted(int(path.stem) for path in paths if path.stem.isdecimal())

    def read(self, number: int) -> bytes:
        """Return the content of a segment."""
        return self._path(number).read_bytes()

    def write(self, number: int, offset: int, content: bytes) -> None:
        """Write at an offset of a segment, which is created if it is missing."""
        if number != self._number:
            self._open(number)
        view = memoryview(content)
        while view:
            count = os.pwrite(self._file, view, offset)
            view, offset = view[count:], offset + count

    def sync(self) -> None:
        """Sync the segment that is written."""
        if self._number is not None:
            os.fdatasync(self._file)

    def remove(self, number: int) -> None:
        """Remove a segment; one that is missing counts as removed."""
        self._path(number).unlink(missing_ok=True)

    def free_bytes(self) -> int:
        """Return the free space of the folder's disk, in bytes."""
        disk = os.statvfs(self._folder if self._folder.exists() else self._folder.parent)
        return disk.f_bavail * disk.f_frsize

    def close(self) -> None:
        """Close the segment that is written."""
        if self._number is not None:
            self._number = None
            os.close(self._file)

    def _open(self, number: int) -> None:
        """Open another segment for writing, after what was written to the former one is synced."""
        self.sync()
        self.close()
        self._folder.mkdir(exist_ok=True)
        self._file = os.open(self._path(number), os.O_WRONLY | os.O_CREAT, 0o644)
        self._number = number
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def _path(self, number: int) -> Path:
        return self._folder / f"{number:010}{_SUFFIX}"


class OriginLog:
    """Writes origins in the background and reads them when the process starts. Thread-safe.

    Attributes:
        failed_writes: Number of attempts to write that failed.

    Args:
        files: Files of the segments.
        clock: Source of monotonic and wall clock time.
        boot: Id of this start of the operating system; 0 if it is not known.
        most_waiting: Number of origins that may wait for the disk.
    """

    def __init__(
        self, files: SegmentFiles, clock: Clock, boot: int, most_waiting: int = MAX_WAITING
    ) -> None:
        self._files = files
        self._clock = clock
        self._boot = boot
        self._plan = SegmentPlan()
        self._waiting = WaitingOrigins(most_waiting)
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self._is_closing = False
        self._begins = False
        self._announced: set[StreamOrigin] = set()
        self._waiting_for_sync = 0
        self._is_synced = True
        self._synced_s = 0.0
        self._written: dict[StreamOrigin, float] = {}
        """When an origin of each service and version was last written; of one start."""

        self._on_disk: dict[StreamOrigin, float] = {}
        """The same, as far as it is synced."""

        self._has_failed = False
        self._told_dropped = 0
        self.failed_writes = 0

    @property
    def dropped(self) -> int:
        """Number of origins that were not written because too many waited for the disk."""
        return self._waiting.dropped

    def load(self) -> list[tuple[float, OriginBatch]]:
        """Return what former starts of the process wrote; call it once, before ``append``.

        Returns:
            Records that matter still, with their least age in seconds, by segment. What was not
            synced before a loss of power, or not written, is missing without a sign. A record
            without origins tells that there is none from before.
        """
        now = self._now()
        batches: list[OriginBatch] = []
        is_complete = True
        for number in self._numbers():
            content = self._read(number)
            is_complete = is_complete and content is not None
            batches += self._adopt(number, content or b"", now.steady_s)
        ages = [(batch.age_s(now), batch) for batch in batches]
        loaded = [(age_s, batch) for age_s, batch in ages if age_s <= DOUBT_S]
        if not batches or not is_complete:
            self._begins = True
            loaded.append((0.0, make_batch({}, now)))
        count = sum(len(batch.streams()) for _, batch in loaded)
        logger.info("read {} origins of streams from disk", count)
        with self._changed:
            self._start_thread()
            self._changed.notify_all()
        return loaded

    def append(self, streams: Mapping[int, StreamOrigin]) -> None:
        """Have origins written; never waits for the disk."""
        with self._changed:
            if self._is_closing or not streams:
                return
            self._waiting.add(streams)
            self._start_thread()
            self._changed.notify_all()

    def announce(self, origins: Collection[StreamOrigin]) -> None:
        """Have groups without streams written, which announce these services and versions."""
        with self._changed:
            if self._is_closing or not origins:
                return
            self._announced.update(origins)
            self._start_thread()
            self._changed.notify_all()

    def begin_anew(self) -> None:
        """Have a record written which tells that the log says nothing of what was before."""
        with self._changed:
            self._begins = True
            self._start_thread()
            self._changed.notify_all()

    def wait_synced(
        self, origins: Collection[StreamOrigin], since_s: float, timeout_s: float
    ) -> bool:
        """Wait until each service and version has a record on disk that was written lately.

        Args:
            origins: The services and versions, of which origins were appended.
            since_s: Time of the oldest record that counts, on the monotonic clock.
            timeout_s: Longest wait in seconds.

        Returns:
            Whether all have one.
        """

        def is_on_disk() -> bool:
            return all(self._on_disk.get(item, -math.inf) >= since_s for item in origins)

        with self._changed:
            if is_on_disk():
                return True
            self._waiting_for_sync += 1
            self._changed.notify_all()
            try:
                return self._changed.wait_for(is_on_disk, timeout_s)
            finally:
                self._waiting_for_sync -= 1

    def close(self) -> None:
        """Write what waits, and end the thread; waits at most ``CLOSE_TIMEOUT_S`` for the disk."""
        with self._changed:
            self._is_closing = True
            self._changed.notify_all()
            thread = self._thread
        if thread is None:
            return
        thread.join(CLOSE_TIMEOUT_S)
        if thread.is_alive():
            logger.warning("the disk takes no origins of streams; not waiting for it")

    def _start_thread(self) -> None:
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="origin-log", daemon=True)
            self._thread.start()

    def _now(self) -> Moment:
        return Moment(self._clock.wall_ms(), self._clock.monotonic_s(), self._boot)

    def _numbers(self) -> list[int]:
        try:
            return self._files.numbers()
        except OSError as error:
            logger.warning("cannot list the logs of stream origins: {}", error)
            return []

    def _read(self, number: int) -> bytes | None:
        try:
            return self._files.read(number)
        except OSError as error:
            logger.warning("cannot read log {} of stream origins: {}", number, error)
            return None

    def _adopt(self, number: int, content: bytes, now_s: float) -> list[OriginBatch]:
        batches, used = decode_batches(content)
        if used < len(content):
            logger.info("log {} of stream origins: cut off {} bytes", number, len(content) - used)
        self._plan.adopt(number, len(content), now_s)
        return batches

    def _run(self) -> None:
        is_closing = False
        while not is_closing:
            streams, announced, is_closing = self._take()
            if not self._step(streams, announced, is_closing):
                with self._changed:
                    self._waiting.put_back(streams)
                    self._announced |= announced
                    self._changed.wait_for(lambda: self._is_closing, RETRY_PAUSE_S)
        self._files.close()

    def _take(self) -> tuple[dict[int, StreamOrigin], set[StreamOrigin], bool]:
        """Wait until something is due; return what is to be written, and whether it is the last."""
        with self._changed:
            idle_s = REVIEW_INTERVAL_S if self._is_synced else SYNC_INTERVAL_S
            self._changed.wait_for(self._is_due, idle_s)
            self._changed.wait_for(lambda: self._is_closing, COLLECT_S)
            announced, self._announced = self._announced, set()
            return self._waiting.take(), announced, self._is_closing

    def _is_due(self) -> bool:
        is_sync_due = self._waiting_for_sync > 0 and not self._is_synced
        has_records = self._begins or len(self._waiting) > 0 or len(self._announced) > 0
        return self._is_closing or is_sync_due or has_records

    def _step(
        self, streams: dict[int, StreamOrigin], announced: set[StreamOrigin], is_closing: bool
    ) -> bool:
        """Write origins, sync and remove segments as due; return whether all of it succeeded."""
        now = self._now()
        batch = make_batch(streams, now, announced)
        record = encode_batch(batch) if batch.groups else b""
        with self._changed:
            begins, self._begins = self._begins, False
        if begins:
            record = encode_batch(make_batch({}, now)) + record
        try:
            self._make_room(len(record), now)
            if record:
                self._write(record, now.steady_s)
                self._written.update(dict.fromkeys(batch.origins(), now.steady_s))
            if not self._is_synced and (is_closing or self._is_sync_due(now.steady_s)):
                self._files.sync()
                self._record_sync()
        except OSError as error:
            with self._changed:
                self._begins |= begins
            self._record_failure(error)
            return False
        self._record_success()
        return True

    def _make_room(self, size: int, now: Moment) -> None:
        numbers = self._plan.unneeded(size, now.steady_s)
        if self._plan.has_live(numbers, now.steady_s):
            # Otherwise the log would not tell that it lacks records of live streams.
            self._write(encode_batch(make_batch({}, now)), now.steady_s)
            self._files.sync()
        for number in numbers:
            self._files.remove(number)
            self._plan.remove(number)

    def _is_sync_due(self, now_s: float) -> bool:
        return self._waiting_for_sync > 0 or now_s - self._synced_s >= SYNC_INTERVAL_S

    def _record_sync(self) -> None:
        now_s = self._clock.monotonic_s()
        self._is_synced, self._synced_s = True, now_s
        with self._changed:
            self._on_disk.update(self._written)
            self._on_disk = {
                origin: written_s
                for origin, written_s in self._on_disk.items()
                if now_s - written_s <= FENCE_S
            }
            self._changed.notify_all()
        self._written = {}

    def _write(self, record: bytes, now_s: float) -> None:
        if self._files.free_bytes() < RESERVED_BYTES + len(record):
            raise OSError(errno.ENOSPC, "too little space is left")
        # What a failed write left behind is overwritten.
        self._files.write(self._plan.select(len(record), now_s), self._plan.size, record)
        self._plan.grow(len(record))
        self._is_synced = False

    def _record_failure(self, error: OSError) -> None:
        self.failed_writes += 1
        if not self._has_failed:
            logger.warning("cannot write origins of streams to disk: {}", error)
        self._has_failed = True

    def _record_success(self) -> None:
        dropped = self.dropped
        if self._has_failed:
            logger.info("origins of streams are written again, {} failures", self.failed_writes)
        if dropped != self._told_dropped:
            logger.warning("{} origins of streams were not written", dropped - self._told_dropped)
        self._has_failed, self._told_dropped = False, dropped


__all__ = [
    "ORIGINS_FOLDER",
    "OriginLog",
    "SegmentFiles",
    "SegmentFolder",
    "read_boot_id",
]
