"""Cost of a committed entry in one group, by replicas, by size and by entries at once.

All replicas run in this process with the real store and synced files. Messages between them are
handed over directly, so the RPC is not in these figures: ``slopes_wire`` has it.
"""

from __future__ import annotations

import random as random_module
import sqlite3
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from tempfile import TemporaryDirectory

from leverjunction.clock import SystemClock
from leverjunction.consensus.api import ApplyContext
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.types import GroupConfig
from leverjunction.errors import Failure
from testbed.scale.processes import wait_until
from testbed.scale.slope_report import Slope, slope
from testbed.scale.slopes import Point

REPLICAS = (1, 3, 5)
ENTRY_BYTES = (100, 1_000, 4_000, 16_000)
PROPOSERS = (1, 4, 16, 64)
ENTRIES = 1500
DEFAULT_BYTES = 2000
DEFAULT_PROPOSERS = 32
LEADER_TIMEOUT_S = 20.0
PROPOSE_TIMEOUT_S = 10.0
IDLE_S = 2.0
US = 1e6


class NullMachine:
    """A state machine that keeps nothing, so that only consensus is measured."""

    def create_tables(self, connection: sqlite3.Connection) -> None:
        """Create nothing."""

    def apply(self, connection: sqlite3.Connection, context: ApplyContext, command: bytes) -> bytes:
        """Answer with nothing."""
        return b"{}"

    def query(self, connection: sqlite3.Connection, query: bytes) -> bytes:
        """Answer with nothing."""
        return b"{}"


class DirectTransport:
    """Hands messages to replicas of the same process."""

    def __init__(self) -> None:
        self.replicas: dict[str, GroupReplica] = {}

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure | None:
        """Call the peer's ``receive`` on the sender's thread."""
        peer = self.replicas.get(peer_address)
        return peer.receive(body) if peer is not None else None


class Group:
    """All replicas of one group, in one process."""

    def __init__(self, replicas: int, folder: Path) -> None:
        transport = DirectTransport()
        addresses = tuple(f"replica-{index}" for index in range(replicas))
        for index, address in enumerate(addresses):
            config = GroupConfig(
                group="jobs-0",
                address=address,
                first_members=addresses,
                data_path=str(folder / f"{address}.sqlite"),
            )
            transport.replicas[address] = GroupReplica(
                config, NullMachine(), transport, SystemClock(), random_module.Random(index)
            )
        self._replicas = list(transport.replicas.values())
        for replica in self._replicas:
            replica.start()
        assert wait_until(lambda: self.leader() is not None, LEADER_TIMEOUT_S), "no leader"

    def leader(self) -> GroupReplica | None:
        """Return the replica that leads, if one does."""
        for replica in self._replicas:
            if replica.status().role == "leader":
                return replica
        return None

    def processor_us_per_entry(self, size: int, proposers: int) -> tuple[float, float]:
        """Return processor time and wall time of one entry, in microseconds."""
        leader = self.leader()
        assert leader is not None
        body = b"x" * size
        failures: list[Failure] = []
        lock = threading.Lock()

        def propose(_: int) -> None:
            reply = leader.propose(body, PROPOSE_TIMEOUT_S)
            if isinstance(reply, Failure):
                with lock:
                    failures.append(reply)

        with ThreadPoolExecutor(proposers) as pool:
            list(pool.map(propose, range(proposers)))
            started_s, started_wall_s = time.process_time(), time.monotonic()
            list(pool.map(propose, range(ENTRIES)))
            taken_s = time.process_time() - started_s
            wall_s = time.monotonic() - started_wall_s
        assert not failures, failures[0]
        return taken_s * US / ENTRIES, wall_s * US / ENTRIES

    def idle_core_ratio(self) -> float:
        """Return the processor time of the idle group over wall time."""
        started_s = time.process_time()
        time.sleep(IDLE_S)
        return (time.process_time() - started_s) / IDLE_S

    def stop(self) -> None:
        """Stop all replicas."""
        for replica in self._replicas:
            replica.stop()


def measure() -> list[Slope]:
    """Return the slopes of consensus."""
    by_replicas: list[Point] = []
    idle: list[Point] = []
    by_size: list[Point] = []
    by_proposers: list[Point] = []
    wall: list[Point] = []
    for replicas in REPLICAS:
        with TemporaryDirectory() as folder:
            group = Group(replicas, Path(folder))
            idle.append(Point(replicas, group.idle_core_ratio()))
            cost_us, _ = group.processor_us_per_entry(DEFAULT_BYTES, DEFAULT_PROPOSERS)
            by_replicas.append(Point(replicas, cost_us))
            if replicas == REPLICAS[1]:
                for size in ENTRY_BYTES:
                    cost_us, _ = group.processor_us_per_entry(size, DEFAULT_PROPOSERS)
                    by_size.append(Point(size, cost_us))
                for proposers in PROPOSERS:
                    cost_us, wall_us = group.processor_us_per_entry(DEFAULT_BYTES, proposers)
                    by_proposers.append(Point(1 / proposers, cost_us))
                    wall.append(Point(1 / proposers, wall_us))
            group.stop()
    return [
        slope(
            "consensus: an entry of 2 KB, 32 at once, all replicas", "us", "replica", by_replicas
        ),
        slope("consensus: idle group, all replicas (no RPC)", "core", "replica", idle),
        slope("consensus: an entry, 3 replicas, 32 at once", "us", "byte", by_size),
        slope(
            "consensus: an entry, 3 replicas, by 1/entries at once", "us", "1/at once", by_proposers
        ),
        slope("consensus: wall time an entry, 3 replicas, by 1/at once", "us", "1/at once", wall),
    ]
