"""In-memory view of the log: terms, payload sizes and configurations, but no payloads.

Terms are stored as runs of entries with equal terms, and sizes as four bytes per entry.
"""

from __future__ import annotations

import bisect
from array import array
from collections.abc import Sequence

import msgspec

from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    EntryKind,
    LogEntry,
    LogPosition,
)


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the payload of a configuration entry."""
    return msgspec.json.encode(configuration)


def decode_configuration(payload: bytes) -> Configuration:
    """Return the configuration that an entry's payload holds."""
    return msgspec.json.decode(payload, type=Configuration)


class LogView:
    """Positions, terms and configurations of one replica's log.

    The base is the position up to which the log was compacted.
    """

    def __init__(self, durable: DurableState) -> None:
        self.base = durable.base
        self.base_configuration = durable.base_configuration
        self.last_index = durable.last_index
        self._term_runs: list[LogPosition] = list(durable.term_starts)
        self._sizes = array("I", durable.entry_bytes)
        self._configurations: list[tuple[int, Configuration]] = list(durable.configurations)

    @property
    def last(self) -> LogPosition:
        """Position of the last entry, or the base when the log is empty."""
        term = self.term_at(self.last_index)
        assert term is not None
        return LogPosition(term=term, index=self.last_index)

    @property
    def configuration(self) -> Configuration:
        """Configuration in force: the latest in the log, committed or not."""
        return self._configurations[-1][1] if self._configurations else self.base_configuration

    @property
    def configuration_index(self) -> int:
        """Index of the configuration in force."""
        return self._configurations[-1][0] if self._configurations else self.base.index

    def configuration_at(self, index: int) -> Configuration:
        """Return the configuration in force at ``index``, which must not be before the base."""
        found = self.base_configuration
        for position, configuration in self._configurations:
            if position <= index:
                found = configuration
        return found

    def configuration_indexes(self, first_index: int, last_index: int) -> list[int]:
        """Return the indexes of the configuration entries in an inclusive range."""
        return [index for index, _ in self._configurations if first_index <= index <= last_index]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``; None if it is compacted or missing."""
        if index == self.base.index:
            return self.base.term
        if index < self.base.index or index > self.last_index:
            return None
        run = bisect.bisect_right(self._term_runs, index, key=lambda position: position.index) - 1
        return self._term_runs[run].term

    def holds(self, position: LogPosition) -> bool:
        """Return whether the log has an entry with this index and term."""
        return self.term_at(position.index) == position.term

    def first_index_of_term_at(self, index: int) -> int:
        """Return the first index of the run of equal terms that contains ``index``."""
        run = bisect.bisect_right(self._term_runs, index, key=lambda position: position.index) - 1
        return self._term_runs[run].index if run >= 0 else self.base.index

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append consecutive entries."""
        for entry in entries:
            assert entry.index == self.last_index + 1
            if not self._term_runs or self._term_runs[-1].term != entry.term:
                self._term_runs.append(LogPosition(term=entry.term, index=entry.index))
            if entry.kind is EntryKind.CONFIGURATION:
                self._configurations.append((entry.index, decode_configuration(entry.payload)))
            self._sizes.append(len(entry.payload))
            self.last_index = entry.index

    def batch_end(self, first_index: int, max_entries: int, max_bytes: int) -> int:
        """Return the last index of a batch that starts at ``first_index``.

        Args:
            first_index: First entry of the batch.
            max_entries: Limit of the number of entries.
            max_bytes: Limit of the payload bytes; the batch holds at least one entry regardless.
        """
        offset = first_index - self.base.index - 1
        total_bytes = 0
        for count, size in enumerate(self._sizes[offset : offset + max_entries]):
            total_bytes += size
            if total_bytes > max_bytes:
                return first_index + max(count, 1) - 1
        return min(self.last_index, first_index + max_entries - 1)

    def payload_bytes_up_to(self, index: int) -> int:
        """Return the total payload bytes of the entries after the base, up to ``index``."""
        return sum(self._sizes[: index - self.base.index])

    def first_retained_index(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the first index of the newest entries up to ``index`` that fit both limits.

        Args:
            index: Last entry to retain.
            max_entries: Limit of the number of entries.
            max_bytes: Limit of the payload bytes.
        """
        first = index + 1
        total_bytes = 0
        while first > self.base.index + 1 and index + 1 - first < max_entries:
            total_bytes += self._sizes[first - self.base.index - 2]
            if total_bytes > max_bytes:
                break
            first -= 1
        return first

    def truncate(self, from_index: int) -> None:
        """Remove the entries at and after ``from_index``."""
        assert from_index > self.base.index
        self.last_index = from_index - 1
        del self._sizes[from_index - self.base.index - 1 :]
        self._term_runs = [run for run in self._term_runs if run.index < from_index]
        self._configurations = [item for item in self._configurations if item[0] < from_index]

    def compact(self, base: LogPosition) -> None:
        """Remove the entries up to and including ``base``, which must be in the log."""
        self.base_configuration = self.configuration_at(base.index)
        kept = [run for run in self._term_runs if run.index > base.index]
        next_term = self.term_at(base.index + 1)
        if next_term is not None and (not kept or kept[0].index > base.index + 1):
            kept.insert(0, LogPosition(term=next_term, index=base.index + 1))
        self._term_runs = kept
        del self._sizes[: base.index - self.base.index]
        self._configurations = [item for item in self._configurations if item[0] > base.index]
        self.base = base

    def reset(self, base: LogPosition, configuration: Configuration) -> None:
        """Empty the log after a snapshot of the state at ``base`` was installed."""
        self.base = base
        self.base_configuration = configuration
        self.last_index = base.index
        self._term_runs = []
        self._sizes = array("I")
        self._configurations = []
