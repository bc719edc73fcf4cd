"""A simple state machine and an in-process cluster for tests of the consensus groups."""

from __future__ import annotations

import sqlite3
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import TypeVar

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Execution, Failure, FailureKind, Step

T = TypeVar("T")

WAIT_S = 20.0
POLL_S = 0.01


class LogMachine:
    """Records each applied command in order; a command ``key=value`` also sets a key.

    A command for the key ``bad`` raises.
    """

    def create_tables(self, connection: sqlite3.Connection) -> None:
        connection.execute(
            "CREATE TABLE IF NOT EXISTS sm_applied (idx INTEGER PRIMARY KEY, command BLOB)"
        )
        connection.execute(
            "CREATE TABLE IF NOT EXISTS sm_keys (key TEXT PRIMARY KEY, value BLOB) WITHOUT ROWID"
        )
        connection.execute("CREATE INDEX IF NOT EXISTS sm_keys_value ON sm_keys (value)")

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        connection.execute("INSERT INTO sm_applied VALUES (?, ?)", (context.index, command))
        key, _, value = command.partition(b"=")
        if key == b"bad":
            raise ValueError("bad command")
        connection.execute("INSERT OR REPLACE INTO sm_keys VALUES (?, ?)", (key.decode(), value))
        return b"applied " + command

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        if query == b"*":
            rows = connection.execute("SELECT command FROM sm_applied ORDER BY idx").fetchall()
            return b",".join(row[0] for row in rows)
        row = connection.execute(
            "SELECT value FROM sm_keys WHERE key = ?", (query.decode(),)
        ).fetchone()
        return row[0] if row else b""


class Cluster:
    """Group replicas connected by direct calls; replicas can be partitioned and disks wiped.

    Attributes:
        unknown: Number of attempts with an unknown outcome, by command. Each of them may have been
            applied, in addition to the successful one.
    """

    def __init__(
        self, folder: Path, size: int, link_type: type[Link] | None = None, **settings: object
    ) -> None:
        self._link_type = link_type or Link
        self.unknown: Counter[bytes] = Counter()
        self.addresses = [f"10.0.0.{number}:1" for number in range(1, size + 1)]
        self.folder = folder
        self.settings = settings
        self.replicas: dict[str, GroupReplica] = {}
        self.partitioned: set[str] = set()
        self._starts = 0
        self._lock = threading.Lock()

    def path(self, address: str) -> Path:
        return self.folder / f"{address.split(':')[0]}.db"

    def start(
        self, address: str, silent_since_s: float | None = None, **settings: object
    ) -> Failure | None:
        """Start a replica; ``settings`` take precedence over those of the cluster."""
        self._starts += 1
        config = GroupConfig(
            group="root",
            address=address,
            data_path=str(self.path(address)),
            **{  # type: ignore[arg-type]
                "heartbeat_interval_s": 0.05,
                "election_timeout_min_s": 0.5,
                "election_timeout_max_s": 1.0,
                "first_members": tuple(self.addresses),
                **self.settings,
                **settings,
            },
        )
        replica = GroupReplica(
            config,
            LogMachine(),
            self._link_type(self, address),
            SystemClock(),
            Random(self._starts),
            silent_since_s=silent_since_s,
        )
        self.replicas[address] = replica
        return replica.start()

    def start_all(self) -> None:
        for address in self.addresses:
            assert self.start(address) is None

    def stop(self, address: str) -> None:
        self.replicas.pop(address).stop()

    def wipe(self, address: str) -> None:
        for path in self.folder.glob(f"{self.path(address).name}*"):
            path.unlink()

    def stop_all(self) -> None:
        for address in list(self.replicas):
            self.stop(address)

    def leader(self) -> GroupReplica:
        def find() -> GroupReplica | None:
            for address, replica in list(self.replicas.items()):
                if address not in self.partitioned and replica.status().role == "leader":
                    return replica
            return None

        return wait_for(find)

    def propose(self, command: bytes) -> bytes:
        """Propose a command until its reply arrives; retry it when its outcome is unknown."""

        def attempt() -> bytes | None:
            result = self.leader().propose(command, 2.0)
            if not isinstance(result, Failure):
                return result
            if result.execution is not Execution.NOT_RUN:
                self.unknown[command] += 1
            return None

        return wait_for(attempt)


class Link:
    """Transport of one replica, which calls the other replicas of the cluster directly."""

    def __init__(self, cluster: Cluster, own_address: str) -> None:
        self._cluster = cluster
        self._own_address = own_address

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        replica = self._cluster.replicas.get(peer_address)
        if replica is None or {peer_address, self._own_address} & self._cluster.partitioned:
            time.sleep(POLL_S)
            return Failure(
                kind=FailureKind.UNREACHABLE,
                reason="partitioned",
                step=Step.CONNECTING,
                execution=Execution.NOT_RUN,
            )
        return replica.receive(body)


def wait_for(find: Callable[[], T | None]) -> T:
    """Call ``find`` until it returns a truthy value, and return that value."""
    deadline_s = time.monotonic() + WAIT_S
    while time.monotonic() < deadline_s:
        found = find()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError("nothing was found in time")
