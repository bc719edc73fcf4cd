"""Bench of a consensus group: real processes, real RPC on loopback, synced files.

``python -m testbed.load.consensus_bench COMMAND [--json F]`` with the commands

* ``throughput --replicas 3 --items 64``: committed items a second and acknowledgement latency;
* ``failover --replicas 3 --fault kill|freeze``: time without a leader, several times;
* ``repair --megabytes 500``: a wiped replica that held so much is repaired under load;
* ``memory --items 100000``: resident memory of the replicas while a job of that size goes in.
"""

from __future__ import annotations

import statistics
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import fire
import msgspec

from leverjunction.batch.commands import JobView
from leverjunction.errors import Failure
from testbed.load.consensus_cluster import (
    BenchError,
    JobWriter,
    ReplicaCluster,
    wait_until,
)
from testbed.load.consensus_reports import (
    FailoverReport,
    MemoryReport,
    RepairReport,
    ThroughputReport,
)
from testbed.load.consensus_worker import WorkerStatus
from testbed.load.latency import LatencyRecorder, LatencySummary

MS_PER_S = 1_000
BYTES_PER_MB = 1_000_000
BODY_BYTES = 500
FILL_BODY_BYTES = 8_000
FILL_ITEMS = 32
FILL_WRITERS = 8
CHUNK_ITEMS = 500
WARM_UP_S = 1.0
PROBE_TIMEOUT_S = 0.25
PROBE_PAUSE_S = 0.005
FOREGROUND_PAUSE_S = 0.02
FOREGROUND_WRITERS = 4
REPAIR_TIMEOUT_S = 600.0
FAILOVER_TIMEOUT_S = 30.0
NO_FILE = ""


class Writers:
    """Threads that append items to jobs of their own until told to stop."""

    def __init__(
        self, cluster: ReplicaCluster, name: str, count: int, items: int, pause_s: float = 0.0
    ) -> None:
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._items = items
        self._pause_s = pause_s
        self.recorder = LatencyRecorder()
        self.acknowledged = 0
        self.writers = [
            JobWriter(cluster, f"jobs-0.{name}{number}", BODY_BYTES) for number in range(count)
        ]
        for writer in self.writers:
            writer.open()
        self._threads = [
            threading.Thread(target=self._run, args=(writer,), daemon=True)
            for writer in self.writers
        ]
        for thread in self._threads:
            thread.start()

    def reset(self) -> LatencySummary:
        """Return the latency so far and record anew."""
        with self._lock:
            former, self.recorder, self.acknowledged = self.recorder, LatencyRecorder(), 0
        return former.summary()

    def stop(self) -> None:
        """End the threads after the command under way."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, writer: JobWriter) -> None:
        while not self._stop.is_set():
            started_s = time.perf_counter()
            writer.append(self._items)
            taken_s = time.perf_counter() - started_s
            with self._lock:
                self.recorder.record(taken_s)
                self.acknowledged += self._items
            self._stop.wait(self._pause_s)


def throughput(
    replicas: int = 3,
    items: int = 64,
    writers: int = 32,
    seconds: float = 10.0,
    json: str = NO_FILE,
) -> None:
    """Measure committed items a second and acknowledgement latency."""
    with _folder() as folder, ReplicaCluster(replicas, Path(folder)) as cluster:
        load = Writers(cluster, "w", writers, items)
        time.sleep(WARM_UP_S)
        used_s = _leader_processor_s(cluster)
        load.reset()
        started_s = time.perf_counter()
        time.sleep(seconds)
        acknowledged = load.acknowledged
        taken_s = time.perf_counter() - started_s
        latency = load.reset()
        cores = (_leader_processor_s(cluster) - used_s) / taken_s
        load.stop()
        report = ThroughputReport(
            replicas=replicas,
            writers=writers,
            items_per_command=items,
            body_bytes=BODY_BYTES,
            seconds=taken_s,
            items_per_s=acknowledged / taken_s,
            commands_per_s=acknowledged / items / taken_s,
            acknowledged=latency,
            leader_cores=cores,
            retries=sum(writer.retries for writer in load.writers),
        )
    _give(report, json)


def failover(
    replicas: int = 3, fault: str = "kill", repetitions: int = 10, json: str = NO_FILE
) -> None:
    """Measure the time without a leader after the leader's process is killed or frozen."""
    if fault not in ("kill", "freeze"):
        raise SystemExit("--fault must be kill or freeze")
    times_s: list[float] = []
    with _folder() as folder, ReplicaCluster(replicas, Path(folder)) as cluster:
        JobWriter(cluster, "jobs-0.probe", BODY_BYTES).open()
        for _ in range(repetitions):
            cluster.wait_settled()
            leader = cluster.leader()
            strike = cluster.kill if fault == "kill" else cluster.freeze
            times_s.append(_gap_s(cluster, leader, strike))
            if fault == "kill":
                cluster.start(leader)
            else:
                cluster.thaw(leader)
    _give(
        FailoverReport(
            replicas=replicas,
            fault=fault,
            repetitions=repetitions,
            p50_s=statistics.median(times_s),
            max_s=max(times_s),
            all_s=[round(item, 3) for item in times_s],
        ),
        json,
    )


def repair(
    replicas: int = 3,
    megabytes: int = 200,
    foreground_s: float = 10.0,
    change_leader: bool = False,
    json: str = NO_FILE,
) -> None:
    """Measure the repair of a wiped replica, and the foreground's latency meanwhile.

    With ``change_leader`` the leader is frozen before the blank process starts, until another
    one leads; that takes five replicas, since one of them is lost already.
    """
    with _folder() as folder, ReplicaCluster(replicas, Path(folder)) as cluster:
        _fill(cluster, megabytes)
        cluster.wait_settled()
        load = Writers(cluster, "fg", FOREGROUND_WRITERS, 1, FOREGROUND_PAUSE_S)
        time.sleep(WARM_UP_S)
        load.reset()
        time.sleep(foreground_s)
        before = load.reset()
        leader = cluster.leader()
        held = cluster.data_bytes(leader)
        victim = next(address for address in cluster.addresses if address != leader)
        cluster.kill(victim)
        cluster.wipe(victim)
        survivors = [address for address in cluster.addresses if address != victim]
        sent_before = _sent_bytes(cluster, survivors)
        load.reset()
        if change_leader:
            _change_leader(cluster, leader)
        started_s = time.perf_counter()
        cluster.start(victim)
        wait_until(
            lambda: any(status.repairs for status in cluster.statuses()),
            REPAIR_TIMEOUT_S,
            "the repair is reported",
        )
        seconds = time.perf_counter() - started_s
        during = load.reset()
        # All replicas: a leader that is lost in between leaves the transfer to the next one.
        sent = _sent_bytes(cluster, cluster.addresses) - sent_before
        repaired = cluster.data_bytes(victim)
        load.stop()
        cluster.wait_settled()
        report = RepairReport(
            replicas=replicas,
            held_mb=held / BYTES_PER_MB,
            repaired_mb=repaired / BYTES_PER_MB,
            seconds=seconds,
            sent_mb=sent / BYTES_PER_MB,
            before=before,
            during=during,
            survivor_peak_mb=max(
                _status(cluster, address).resident_peak_bytes / BYTES_PER_MB
                for address in survivors
            ),
            repaired_peak_mb=_status(cluster, victim).resident_peak_bytes / BYTES_PER_MB,
        )
    _give(report, json)


def memory(
    replicas: int = 3, items: int = 100_000, body_bytes: int = 2_000, json: str = NO_FILE
) -> None:
    """Measure the resident memory of the replicas while a big job goes in."""
    with _folder() as folder, ReplicaCluster(replicas, Path(folder)) as cluster:
        before = [status.resident_bytes / BYTES_PER_MB for status in cluster.statuses()]
        started_s = time.perf_counter()
        writer = JobWriter(cluster, "jobs-0.big", body_bytes)
        writer.open()
        while writer.next_index < items:
            writer.append(min(CHUNK_ITEMS, items - writer.next_index))
        cluster.wait_settled()
        peaks = [status.resident_peak_bytes / BYTES_PER_MB for status in cluster.statuses()]
        report = MemoryReport(
            replicas=replicas,
            items=items,
            body_bytes=body_bytes,
            seconds=time.perf_counter() - started_s,
            before_mb=before,
            peak_mb=peaks,
        )
    _give(report, json)


def _gap_s(cluster: ReplicaCluster, leader: str, strike: Callable[[str], None]) -> float:
    """Strike the leader; return when another replica first acknowledges an item."""
    acknowledged_s: list[float] = []
    done = threading.Event()
    probe = JobWriter(cluster, "jobs-0.probe", BODY_BYTES).items(1)

    def ask(address: str) -> None:
        while not done.is_set():
            reply = cluster.propose(address, probe, JobView, PROBE_TIMEOUT_S)
            if not isinstance(reply, Failure):
                acknowledged_s.append(time.perf_counter())
                done.set()
            time.sleep(PROBE_PAUSE_S)

    others = [address for address in cluster.addresses if address != leader]
    threads = [threading.Thread(target=ask, args=(address,), daemon=True) for address in others]
    strike(leader)
    struck_s = time.perf_counter()
    for thread in threads:
        thread.start()
    if not done.wait(FAILOVER_TIMEOUT_S):
        done.set()
        raise BenchError("no other replica leads")
    for thread in threads:
        thread.join()
    return min(acknowledged_s) - struck_s


def _change_leader(cluster: ReplicaCluster, leader: str) -> None:
    """Freeze the leader until another replica leads."""
    cluster.freeze(leader)
    wait_until(
        lambda: cluster.leader() not in ("", leader), FAILOVER_TIMEOUT_S, "another replica leads"
    )
    cluster.thaw(leader)


def _fill(cluster: ReplicaCluster, megabytes: int) -> None:
    """Put items of so many megabytes into the group."""
    commands = megabytes * BYTES_PER_MB // (FILL_ITEMS * FILL_BODY_BYTES)

    def fill(number: int) -> None:
        writer = JobWriter(cluster, f"jobs-0.fill{number}", FILL_BODY_BYTES)
        writer.open()
        for _ in range(commands // FILL_WRITERS):
            writer.append(FILL_ITEMS)

    threads = [threading.Thread(target=fill, args=(number,)) for number in range(FILL_WRITERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _status(cluster: ReplicaCluster, address: str) -> WorkerStatus:
    status = cluster.status(address)
    while isinstance(status, Failure):
        status = cluster.status(address)
    return status


def _sent_bytes(cluster: ReplicaCluster, addresses: list[str]) -> int:
    """Return what these replicas have sent to their peers since each was started."""
    return sum(int(_status(cluster, address).sent_bytes) for address in addresses)


def _leader_processor_s(cluster: ReplicaCluster) -> float:
    return float(_status(cluster, cluster.leader()).processor_s)


def _folder() -> tempfile.TemporaryDirectory[str]:
    return tempfile.TemporaryDirectory(prefix="consensus-bench-")


def _give(report: msgspec.Struct, json: str) -> None:
    """Print a report, and write it to a file when one is named."""
    text = msgspec.json.format(msgspec.json.encode(report), indent=2).decode()
    print(text)
    if json:
        Path(json).write_text(text + "\n")


def main() -> None:
    """Run the bench's command line."""
    fire.Fire({"throughput": throughput, "failover": failover, "repair": repair, "memory": memory})


if __name__ == "__main__":
    main()
