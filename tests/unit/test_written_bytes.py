"""Tests of the measurement of the bytes that a replica writes per batch item, by cause."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest

from leverjunction.consensus.page_checksums import PAGE_BYTES
from leverjunction.consensus.store import Store, open_store
from leverjunction.consensus.types import Configuration, EntryKind, LogEntry, LogPosition
from testbed.load.written_bytes import LogReader, WrittenReport, measure

ENTRIES = 40
PAGES_PER_ENTRY = 25


def test_bytes_by_cause_add_up_to_the_bytes_of_the_log(tmp_path: Path) -> None:
    report = measure(tmp_path / "group.sqlite", jobs=2, items_per_job=64, lease_items=16)
    assert report.items == 128
    total = sum(cause.bytes_per_item for cause in report.causes)
    assert total == pytest.approx(report.log_bytes_per_item)
    assert _pages(report, "raft_log") >= 1


@pytest.mark.parametrize("index", ["sm_jobs_deadline", "sqlite_autoindex_raft_meta_1"])
def test_a_lease_does_not_write_indexes_whose_keys_it_does_not_change(
    tmp_path: Path, index: str
) -> None:
    report = measure(tmp_path / "group.sqlite", jobs=1, items_per_job=256, lease_items=16)
    assert report.commits > 30
    assert _pages(report, index) < 0.1


def test_removed_log_entries_are_not_written_again(tmp_path: Path) -> None:
    path = tmp_path / "group.sqlite"
    store = open_store(str(path), Random(1))
    assert isinstance(store, Store)
    log = LogReader(path.with_name(path.name + "-wal"), PAGE_BYTES)
    store.append(
        [
            LogEntry(
                index=index,
                term=1,
                kind=EntryKind.COMMAND,
                wall_ms=0,
                payload=b"x" * PAGES_PER_ENTRY * PAGE_BYTES,
            )
            for index in range(1, ENTRIES + 1)
        ]
    )
    store.commit()
    assert len(log.new_pages()) > ENTRIES * PAGES_PER_ENTRY
    store.compact(LogPosition(term=1, index=ENTRIES), Configuration())
    store.commit()
    assert len(log.new_pages()) < ENTRIES
    store.close()


def _pages(report: WrittenReport, name: str) -> float:
    """Return the number of pages per commit that belong to a table or index."""
    return sum(cause.pages_per_commit for cause in report.causes if cause.name == name)
