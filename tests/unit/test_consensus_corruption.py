"""Damaged, truncated and missing files: a replica never serves them.

It refuses to start or, if so configured, rejoins the group as a blank replica.
"""

from __future__ import annotations

import random
import shutil
import sqlite3
from pathlib import Path

import pytest
from tests.unit.consensus_support import Cluster, wait_for

from leverjunction.consensus import store as store_module
from leverjunction.consensus.status import status_of
from leverjunction.consensus.store import Store, open_store
from leverjunction.consensus.store_faults import stopped_failure
from leverjunction.consensus.types import (
    Configuration,
    EntryKind,
    LogEntry,
    LogPosition,
    Role,
)
from leverjunction.errors import Failure, FailureKind

KEYS = 60
VALUE_REPEATS = 40
EPSILON_S = 0.001
COMPACTION_INTERVAL = 10


def value(number: int) -> bytes:
    return b"v%d" % number * VALUE_REPEATS


def copy_files(source: Path, target: Path) -> Path:
    """Copy the files of a running replica, in the state in which a killed process leaves them."""
    target.mkdir()
    for path in source.parent.glob(f"{source.name}*"):
        shutil.copy(path, target / path.name)
    return target / source.name


@pytest.fixture(params=["stopped", "killed"])
def database(tmp_path: Path, request: pytest.FixtureRequest) -> Path:
    """Return the file of a group of one replica.

    A stopped replica has moved the write-ahead log into the file, a killed one has not.
    """
    cluster = Cluster(tmp_path / "group", 1)
    cluster.start_all()
    for number in range(KEYS):
        cluster.propose(b"k%d=%s" % (number, value(number)))
    source = cluster.path(cluster.addresses[0])
    if request.param == "stopped":
        cluster.stop_all()
        return copy_files(source, tmp_path / "copy")
    copied = copy_files(source, tmp_path / "copy")
    cluster.stop_all()
    return copied


def start(database: Path, **settings: object) -> tuple[Cluster, Failure | None]:
    """Start a group of one replica on a file that has the name which ``Cluster`` expects."""
    cluster = Cluster(database.parent, 1, **settings)
    return cluster, cluster.start(cluster.addresses[0])


def assert_serves_all(database: Path) -> None:
    cluster, failure = start(database)
    assert failure is None
    leader = cluster.leader()
    assert [leader.query(b"k%d" % number, 5.0) for number in range(KEYS)] == [
        value(number) for number in range(KEYS)
    ]
    cluster.stop_all()


def test_intact_files_are_served_after_each_restart(database: Path) -> None:
    assert_serves_all(database)
    assert_serves_all(database)


@pytest.mark.parametrize("seed", range(20))
def test_a_flipped_bit_is_never_served(database: Path, seed: int) -> None:
    generator = random.Random(seed)
    files = [
        path for path in sorted(database.parent.iterdir()) if path.suffix in (".db", ".db-wal")
    ]
    files = [path for path in files if path.stat().st_size]
    damaged = generator.choice(files)
    content = bytearray(damaged.read_bytes())
    position = generator.randrange(len(content))
    content[position] ^= 1 << generator.randrange(8)
    damaged.write_bytes(content)
    cluster, failure = start(database)
    if failure is None:
        # The bit was in content that no commit needs, such as a log frame that was superseded.
        cluster.stop_all()
        assert_serves_all(database)
    else:
        assert failure.kind is FailureKind.CORRUPT
        assert "nothing is served from it" in failure.reason


def truncate(database: Path, kept_fraction: float) -> None:
    """Truncate the file that contains the newest commits."""
    log = database.with_name(database.name + "-wal")
    path = log if log.exists() and log.stat().st_size else database
    with path.open("r+b") as file:
        file.truncate(int(path.stat().st_size * kept_fraction))


@pytest.mark.parametrize("kept_fraction", [0.0, 0.3, 0.9])
def test_a_truncated_file_is_refused(database: Path, kept_fraction: float) -> None:
    truncate(database, kept_fraction)
    _, failure = start(database)
    assert failure is not None
    assert failure.kind is FailureKind.CORRUPT


def test_a_refused_replica_stays_refused(database: Path) -> None:
    truncate(database, 0.3)
    for _ in range(3):
        cluster, failure = start(database)
        assert failure is not None
        assert cluster.replicas[cluster.addresses[0]].query_local(b"k1") != value(1)


def test_a_damaged_replica_rejoins_blank_and_founds_no_group(database: Path) -> None:
    truncate(database, 0.3)
    cluster, failure = start(database, rejoin_when_corrupt=True)
    assert failure is None
    replica = cluster.replicas[cluster.addresses[0]]
    assert replica.status().role == "blank"
    assert list(database.parent.glob("*.corrupt-1"))
    cluster.stop_all()
    cluster, failure = start(database)
    assert failure is None
    assert cluster.replicas[cluster.addresses[0]].status().role == "blank"
    cluster.stop_all()


@pytest.mark.parametrize("compacts", [False, True])
def test_files_of_a_process_killed_after_any_commit_are_intact(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, compacts: bool
) -> None:
    monkeypatch.setattr(store_module, "WAL_CHECKPOINT_PAGES", 20)
    source = tmp_path / "group.db"
    opened = open_store(str(source), random.Random(1))
    assert isinstance(opened, Store)
    for index in range(1, 80):
        entry = LogEntry(
            index=index, term=1, kind=EntryKind.COMMAND, wall_ms=0, payload=value(index) * 60
        )
        opened.append([entry])
        if compacts and index % COMPACTION_INTERVAL == 0:
            # Compaction frees the pages of the removed entries, and later entries reuse them.
            base = LogPosition(term=1, index=index - COMPACTION_INTERVAL // 2)
            opened.compact(base, Configuration())
        opened.commit()
        copied = copy_files(source, tmp_path / str(index))
        reopened = open_store(str(copied), random.Random(2))
        assert isinstance(reopened, Store), reopened
        assert reopened.load().last_index == index
        reopened.close()


@pytest.mark.parametrize(
    ("error", "kind", "advice"),
    [
        (
            sqlite3.OperationalError("database or disk is full"),
            FailureKind.INTERNAL,
            "Keep the file",
        ),
        (sqlite3.OperationalError("disk I/O error"), FailureKind.INTERNAL, "Keep the file"),
        (sqlite3.DatabaseError("malformed"), FailureKind.CORRUPT, "Move the file away"),
        (AssertionError("a committed entry"), FailureKind.INTERNAL, "Keep the file"),
    ],
)
def test_only_damage_tells_the_operator_to_move_the_file_away(
    error: Exception, kind: FailureKind, advice: str
) -> None:
    failure = stopped_failure("f.db", error)
    assert failure.kind is kind
    assert advice in failure.reason


def test_a_leader_frozen_past_its_lease_does_not_report_itself_as_leader(tmp_path: Path) -> None:
    cluster = Cluster(tmp_path, 3)
    cluster.start_all()
    cluster.propose(b"a=1")

    def roles_around_the_lease_end() -> tuple[str, str] | None:
        replica = cluster.leader()
        # Holding the lock pauses the driver, as in a process that has just been resumed.
        with replica._lock:
            engine = replica._engine
            if engine is None or engine.core.role is not Role.LEADER:
                return None
            lease_end_s = engine.core.quorum_contact_s() + engine.core.lease_s
            moments_s = (lease_end_s - EPSILON_S, lease_end_s + EPSILON_S)
            before, after = (status_of(engine, moment_s).role for moment_s in moments_s)
            return before, after

    assert wait_for(roles_around_the_lease_end) == ("leader", "follower")
    cluster.stop_all()
