"""The durable state of one replica: log, hard state and tables in one SQLite file.

``locking_mode=EXCLUSIVE`` is set before ``journal_mode=WAL``, so that SQLite uses no shared
memory. ``synchronous=FULL`` makes each commit durable. All changes since the last commit form one
transaction, so many proposals share one sync, and the effect of an entry is committed together
with the applied index.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Sequence
from pathlib import Path
from random import Random

import msgspec
import xxhash

from leverjunction.consensus.commit_guard import CommitGuard
from leverjunction.consensus.log_view import decode_configuration, encode_configuration
from leverjunction.consensus.page_checksums import PAGE_BYTES, PageChecksums
from leverjunction.consensus.store_faults import StoreCorruptError, corrupt_failure
from leverjunction.consensus.tail_cache import TailCache
from leverjunction.consensus.types import (
    Configuration,
    DurableState,
    EntryKind,
    HardState,
    LogEntry,
    LogPosition,
)
from leverjunction.errors import Failure

MEMORY_PATH = ":memory:"
REPLICA_ID_BITS = 128
TAIL_CACHE_BYTES = 8 * 1024 * 1024
WAL_CHECKPOINT_PAGES = 4_000
INT64_SIGN_BIT = 1 << 63

_SCHEMA = """
CREATE TABLE IF NOT EXISTS raft_meta (
    key TEXT PRIMARY KEY, value BLOB NOT NULL, checksum INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS raft_log (
    idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, kind INTEGER NOT NULL,
    wall_ms INTEGER NOT NULL, checksum INTEGER NOT NULL, payload BLOB NOT NULL
);
"""
_SELECT_ENTRIES = (
    "SELECT idx, term, kind, wall_ms, checksum, payload FROM raft_log"
    " WHERE idx BETWEEN ? AND ? ORDER BY idx"
)
# Not INSERT OR REPLACE: updating a row in place does not write the pages of the key's index.
_PUT_META = """
INSERT INTO raft_meta VALUES (?, ?, ?)
ON CONFLICT DO UPDATE SET value = excluded.value, checksum = excluded.checksum
"""
_INSERT_ENTRY = "INSERT INTO raft_log VALUES (?, ?, ?, ?, ?, ?)"


def _checksum(*parts: bytes) -> int:
    digest = xxhash.xxh3_64()
    for part in parts:
        digest.update(part)
    return digest.intdigest() - INT64_SIGN_BIT


def _entry_checksum(index: int, term: int, kind: int, wall_ms: int, payload: bytes) -> int:
    return _checksum(f"{index},{term},{kind},{wall_ms};".encode(), payload)


class Store:
    """Log, hard state and the state machine's tables on one connection.

    The engine calls it while the replica's lock is held. Changes are durable only after ``commit``.
    """

    def __init__(
        self,
        connection: sqlite3.Connection,
        random: Random,
        guard: CommitGuard | None,
        tail_cache_bytes: int = TAIL_CACHE_BYTES,
        page_checksums: PageChecksums | None = None,
    ) -> None:
        self.connection = connection
        self._guard = guard
        self._page_checksums = page_checksums
        self._cache = TailCache(tail_cache_bytes)
        connection.executescript(_SCHEMA)
        if self._get_meta("replica_id") is None:
            self.begin()
            self._put_meta("replica_id", f"{random.getrandbits(REPLICA_ID_BITS):032x}".encode())
            self._put_sequence(0)
            connection.execute("COMMIT")
        if page_checksums is not None:
            page_checksums.record_commit()
        self.commit_sequence = int(self._get_meta("commit_sequence") or b"0")

    def begin(self) -> None:
        """Begin a transaction for the following changes unless one is open."""
        if not self.connection.in_transaction:
            self.connection.execute("BEGIN IMMEDIATE")

    def commit(self) -> None:
        """Make all changes since the last commit durable with one sync."""
        if not self.connection.in_transaction:
            return
        self.commit_sequence += 1
        self._put_sequence(self.commit_sequence)
        self.connection.execute("COMMIT")
        if self._guard is not None:
            self._guard.record(self.commit_sequence)
        if self._page_checksums is not None:
            self._page_checksums.record_commit()
            if self._page_checksums.frames_since_sync >= WAL_CHECKPOINT_PAGES:
                self._checkpoint(self._page_checksums)

    def _checkpoint(self, page_checksums: PageChecksums) -> None:
        """Sync the page checksums, then move the write-ahead log into the database file."""
        page_checksums.sync()
        self.connection.execute("PRAGMA wal_checkpoint(PASSIVE)")

    def discard_uncommitted(self) -> None:
        """Discard uncommitted changes, as a crash would; used to simulate crashes."""
        if self.connection.in_transaction:
            self.connection.execute("ROLLBACK")
        self._cache.clear()
        self.commit_sequence = int(self._get_meta("commit_sequence") or b"0")

    def close(self) -> None:
        """Commit and close the file."""
        self.commit()
        self.close_without_commit()

    def close_without_commit(self) -> None:
        """Close the file without committing the open transaction; used after a fault."""
        if self._page_checksums is not None:
            # SQLite checkpoints when a connection closes, so the checksums must be durable first.
            self._page_checksums.record_commit()
            self._page_checksums.sync()
        self.connection.close()
        if self._page_checksums is not None:
            self._page_checksums.close()
        if self._guard is not None:
            self._guard.close()

    def load(self) -> DurableState:
        """Read and verify the state that the core starts from.

        Raises:
            StoreCorruptError: A checksum does not match, or the log has a gap.
        """
        base = msgspec.json.decode(self._get_meta("base") or b"{}", type=LogPosition)
        term_starts: list[LogPosition] = []
        sizes: list[int] = []
        configurations: list[tuple[int, Configuration]] = []
        last_index = base.index
        for entry in self._read_entries(base.index + 1, INT64_SIGN_BIT - 1):
            if entry.index != last_index + 1:
                raise StoreCorruptError(f"log entry {last_index + 1} is missing")
            if not term_starts or term_starts[-1].term != entry.term:
                term_starts.append(LogPosition(term=entry.term, index=entry.index))
            if entry.kind is EntryKind.CONFIGURATION:
                configurations.append((entry.index, decode_configuration(entry.payload)))
            sizes.append(len(entry.payload))
            last_index = entry.index
        return DurableState(
            replica_id=(self._get_meta("replica_id") or b"").decode(),
            founding_id=(self._get_meta("founding_id") or b"").decode(),
            hard_state=msgspec.json.decode(self._get_meta("hard_state") or b"{}", type=HardState),
            base=base,
            base_configuration=decode_configuration(self._get_meta("base_configuration") or b"{}"),
            term_starts=tuple(term_starts),
            last_index=last_index,
            entry_bytes=tuple(sizes),
            configurations=tuple(configurations),
            applied_index=int(self._get_meta("applied_index") or b"0"),
            barred_from_founding=self._get_meta("barred_from_founding") is not None,
        )

    def put_founding(self, founding_id: str, configuration: Configuration) -> None:
        """Store the founding id and the configuration of the group's first voters."""
        self.begin()
        self._put_meta("founding_id", founding_id.encode())
        self._put_meta("base_configuration", encode_configuration(configuration))

    def put_hard_state(self, hard_state: HardState) -> None:
        """Store the current term and the vote."""
        self.begin()
        self._put_meta("hard_state", msgspec.json.encode(hard_state))

    def bar_from_founding(self) -> None:
        """Mark a blank store that replaces a corrupt file, so that it never founds a group."""
        self.begin()
        self._put_meta("barred_from_founding", b"1")

    def append(self, entries: Sequence[LogEntry]) -> None:
        """Append entries to the log."""
        self.begin()
        rows = [
            (
                entry.index,
                entry.term,
                int(entry.kind),
                entry.wall_ms,
                _entry_checksum(
                    entry.index, entry.term, int(entry.kind), entry.wall_ms, entry.payload
                ),
                entry.payload,
            )
            for entry in entries
        ]
        self.connection.executemany(_INSERT_ENTRY, rows)
        self._cache.append(entries)

    def truncate(self, from_index: int) -> None:
        """Remove the entries at and after ``from_index``."""
        self.begin()
        self.connection.execute("DELETE FROM raft_log WHERE idx >= ?", (from_index,))
        self._cache.truncate(from_index)

    def compact(self, base: LogPosition, configuration: Configuration) -> None:
        """Remove the entries up to and including ``base``, where ``configuration`` is in force."""
        self.begin()
        self.connection.execute("DELETE FROM raft_log WHERE idx <= ?", (base.index,))
        self._put_meta("base", msgspec.json.encode(base))
        self._put_meta("base_configuration", encode_configuration(configuration))

    def reset_log(self, founding_id: str, base: LogPosition, configuration: Configuration) -> None:
        """Restart the log at an installed snapshot, in the transaction that replaced the tables."""
        self.put_founding(founding_id, configuration)
        self.connection.execute("DELETE FROM raft_log")
        self._put_meta("base", msgspec.json.encode(base))
        self.put_applied(base.index)
        self._cache.clear()

    def put_applied(self, index: int) -> None:
        """Record that the tables contain the effects of all entries up to ``index``."""
        self.begin()
        self._put_meta("applied_index", str(index).encode())

    def entries(self, first_index: int, last_index: int) -> list[LogEntry]:
        """Return a range of entries, from the cache or else read from the file and verified.

        Raises:
            StoreCorruptError: A checksum does not match, or an entry is missing.
        """
        cached = self._cache.find(first_index, last_index)
        if cached is not None:
            return cached
        found = list(self._read_entries(first_index, last_index))
        if len(found) != last_index - first_index + 1:
            raise StoreCorruptError(f"log entries {first_index} to {last_index} are incomplete")
        return found

    def _read_entries(self, first_index: int, last_index: int) -> Iterable[LogEntry]:
        for row in self.connection.execute(_SELECT_ENTRIES, (first_index, last_index)):
            index, term, kind, wall_ms, checksum, payload = row
            if checksum != _entry_checksum(index, term, kind, wall_ms, payload):
                raise StoreCorruptError(f"log entry {index} does not match its checksum")
            yield LogEntry(
                index=index, term=term, kind=EntryKind(kind), wall_ms=wall_ms, payload=payload
            )

    def _put_meta(self, key: str, value: bytes) -> None:
        self.connection.execute(_PUT_META, (key, value, _checksum(key.encode(), value)))

    def _put_sequence(self, sequence: int) -> None:
        self._put_meta("commit_sequence", str(sequence).encode())

    def _get_meta(self, key: str) -> bytes | None:
        row = self.connection.execute(
            "SELECT value, checksum FROM raft_meta WHERE key = ?", (key,)
        ).fetchone()
        if row is None:
            return None
        value, checksum = row
        if checksum != _checksum(key.encode(), value):
            raise StoreCorruptError(f"stored {key} does not match its checksum")
        return bytes(value)


def open_store(path: str, random: Random) -> Store | Failure:
    """Open or create a replica's file and verify it.

    Args:
        path: The file, or ``:memory:``.
        random: Source of the replica id when the file is new.

    Returns:
        The store, or a CORRUPT failure that names the damage and what an operator can do.
    """
    if path == MEMORY_PATH:
        return Store(_connect(path), random, None)
    guard = CommitGuard(Path(path))
    page_checksums = PageChecksums(Path(path))
    try:
        damage = page_checksums.find_damage()
        if damage:
            return corrupt_failure(path, damage)
        _recover_wal(path, page_checksums)
        store = Store(_connect(path), random, guard, page_checksums=page_checksums)
        damage = _find_damage(store, guard)
    except (sqlite3.DatabaseError, StoreCorruptError, msgspec.MsgspecError) as error:
        return corrupt_failure(path, str(error))
    if damage:
        store.close_without_commit()
        return corrupt_failure(path, damage)
    return store


def _recover_wal(path: str, page_checksums: PageChecksums) -> None:
    """Let SQLite move the write-ahead log left by an ended process into the database file."""
    page_checksums.begin_recovery()
    connection = _connect(path)
    connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    connection.close()
    page_checksums.end_recovery()


def _connect(path: str) -> sqlite3.Connection:
    connection = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
    connection.execute(f"PRAGMA page_size={PAGE_BYTES}")
    connection.execute("PRAGMA locking_mode=EXCLUSIVE")
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=FULL")
    connection.execute("PRAGMA cell_size_check=ON")
    # Makes delete triggers fire for rows that REPLACE removes; consensus.snapshot needs them.
    connection.execute("PRAGMA recursive_triggers=ON")
    # Some builds (Debian's) overwrite each freed page with zeros by default: removing log entries
    # would write as many bytes as they held.
    connection.execute("PRAGMA secure_delete=FAST")
    connection.execute("PRAGMA temp_store=MEMORY")
    # The store checkpoints by itself, after the page checksums are durable.
    connection.execute("PRAGMA wal_autocheckpoint=0")
    return connection


def _find_damage(store: Store, guard: CommitGuard | None) -> str:
    """Return a description of the damage, or an empty string if the file is intact."""
    (check_result,) = store.connection.execute("PRAGMA quick_check(1)").fetchone()
    if check_result != "ok":
        return str(check_result)
    recorded = guard.last_recorded() if guard is not None else 0
    if recorded > store.commit_sequence:
        return f"commit {recorded} was synced but the file ends at commit {store.commit_sequence}"
    return ""
