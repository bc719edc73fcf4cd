"""Replica processes of the consensus bench, and clients that propose to them."""

from __future__ import annotations

import itertools
import os
import shutil
import signal
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType

from leverjunction.batch.commands import (
    AppendItems,
    ItemInput,
    JobSpec,
    JobView,
    OpenedJob,
    OpenJob,
)
from leverjunction.errors import Failure, FailureKind, Step
from leverjunction.wire.envelope import MessageKind
from leverjunction.wire.rpc_client import RpcClient
from testbed.load.consensus_worker import CLUSTER_KEY, GROUP, WorkerStatus
from testbed.scale.processes import ChildProcess

STATUS_TIMEOUT_S = 0.5
PROPOSE_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 60.0
POLL_S = 0.02
RETRY_PAUSE_S = 0.01
LAST_WORDS = 400
"""Characters of a process's log that are told when it has ended."""

DEADLINE_MS = 10_000_000_000_000
FIRST_NET = 20
NETS = 200
MOST_HOSTS = 250
PORT = 19090
"""Below the ports that connections get."""

_HOSTS = itertools.count()


class BenchError(Exception):
    """The bench cannot go on."""


def own_addresses(count: int) -> list[str]:
    """Return loopback addresses that only one cluster of one process uses.

    A port that is free now may be another connection's by the time a process listens on it, so
    the port is none that the system hands out, and each cluster has its own hosts.
    """
    net = f"127.{FIRST_NET + os.getpid() % NETS}.253"
    return [f"{net}.{next(_HOSTS) % MOST_HOSTS + 1}:{PORT}" for _ in range(count)]


def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Poll until the condition holds."""
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline_s:
            raise BenchError(f"{what}: not within {timeout_s:g} s")
        time.sleep(POLL_S)


class ReplicaCluster:
    """The replica processes of one group; a context manager that ends them."""

    def __init__(self, replicas: int, folder: Path) -> None:
        self.addresses = own_addresses(replicas)
        self._folder = folder
        self._processes: dict[str, ChildProcess] = {}
        self._killed: set[str] = set()
        self.rpc = RpcClient(CLUSTER_KEY, 2)

    def __enter__(self) -> ReplicaCluster:
        for address in self.addresses:
            self.start(address)
        wait_until(self.settled, READY_TIMEOUT_S, "a leader that all voters follow")
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for process in self._processes.values():
            if process.running:
                process.kill()

    def start(self, address: str) -> None:
        """Start the replica at an address."""
        self._killed.discard(address)
        folder = self._data_folder(address)
        folder.mkdir(parents=True, exist_ok=True)
        arguments = [
            "-m",
            "testbed.load.consensus_worker",
            f"--address={address}",
            f"--members='{','.join(self.addresses)}'",
            f"--data_path={folder / 'group.sqlite'}",
        ]
        self._processes[address] = ChildProcess(address, arguments, self._log_path(address))

    def kill(self, address: str) -> None:
        """Kill the replica's process."""
        self._killed.add(address)
        self._processes[address].kill()

    def freeze(self, address: str) -> None:
        """Stop the replica's process where it is."""
        os.kill(self._processes[address].process_id, signal.SIGSTOP)

    def thaw(self, address: str) -> None:
        """Let a stopped process go on."""
        os.kill(self._processes[address].process_id, signal.SIGCONT)

    def wipe(self, address: str) -> None:
        """Lose the disk of a replica whose process is not running."""
        shutil.rmtree(self._data_folder(address))

    def data_bytes(self, address: str) -> int:
        """Return the size of a replica's files."""
        return sum(path.stat().st_size for path in self._data_folder(address).iterdir())

    def status(self, address: str) -> WorkerStatus | Failure:
        """Ask a replica for its status."""
        return self.rpc.call(
            address, MessageKind.STATUS, None, WorkerStatus, timeout_s=STATUS_TIMEOUT_S
        )

    def statuses(self) -> list[WorkerStatus]:
        """Return the status of every replica that answers."""
        found = [self.status(address) for address in self.addresses]
        return [status for status in found if not isinstance(status, Failure)]

    def leader(self) -> str:
        """Return the leader's address, empty when none leads."""
        leaders = [status for status in self.statuses() if status.role == "leader"]
        return leaders[0].address if len(leaders) == 1 else ""

    def settled(self) -> bool:
        """Return whether every member votes, follows the one leader and has applied all.

        Raises:
            BenchError: The process of a member has ended by itself.
        """
        self._check_processes()
        statuses = self.statuses()
        leaders = {status.leader_address for status in statuses}
        return (
            len(statuses) == len(self.addresses)
            and len(leaders) == 1
            and leaders <= set(self.addresses)
            and all(sorted(status.voters) == sorted(self.addresses) for status in statuses)
            and len({status.applied_index for status in statuses}) == 1
        )

    def wait_settled(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the group is whole."""
        wait_until(self.settled, timeout_s, "a whole group")

    def propose(self, address: str, command: object, result_type: type, timeout_s: float) -> object:
        """Propose a command at one replica."""
        return self.rpc.call(
            address, MessageKind.PROPOSE, command, result_type, group=GROUP, timeout_s=timeout_s
        )

    def _check_processes(self) -> None:
        """Raise at once, and with its last words, when a process did not start or broke down."""
        for address, process in self._processes.items():
            if not process.running and address not in self._killed:
                words = self._log_path(address).read_text(errors="replace")[-LAST_WORDS:]
                raise BenchError(f"the replica at {address} has ended: {words}")

    def _log_path(self, address: str) -> Path:
        return self._folder / f"{address.replace(':', '-')}.log"

    def _data_folder(self, address: str) -> Path:
        return self._folder / address.replace(":", "-")


class JobWriter:
    """A client that appends items to a job of its own, at whichever replica leads."""

    def __init__(self, cluster: ReplicaCluster, job_id: str, body_bytes: int) -> None:
        self._cluster = cluster
        self._job_id = job_id
        self._body = '{"model":"m","prompt":"' + "x" * body_bytes + '"}'
        self._leader = cluster.leader()
        self.next_index = 0
        self.retries = 0

    def open(self) -> None:
        """Open the job."""
        spec = JobSpec(
            job_id=self._job_id,
            tenant="t",
            idempotency_key=self._job_id,
            content_hash="",
            service="s",
            batch_class="",
            item_count=0,
            may_repeat=True,
            deadline_ms=DEADLINE_MS,
        )
        self.send(OpenJob(spec), OpenedJob)

    def append(self, count: int) -> None:
        """Append the next items and wait until they are committed."""
        self.send(self.items(count), JobView)
        self.next_index += count

    def items(self, count: int) -> AppendItems:
        """Return the command that appends the next items."""
        numbers = range(self.next_index, self.next_index + count)
        items = [ItemInput(f"i{number}", "m", "/v1/completions", self._body) for number in numbers]
        return AppendItems(self._job_id, self.next_index, items)

    def send(self, command: object, result_type: type) -> object:
        """Propose until it is done; the commands are safe to repeat."""
        while True:
            reply = self._cluster.propose(self._leader, command, result_type, PROPOSE_TIMEOUT_S)
            if not isinstance(reply, Failure):
                return reply
            if reply.kind is FailureKind.CORRUPT or reply.step is Step.APPLYING:
                raise BenchError(reply.reason)
            self.retries += 1
            self._leader = reply.detail or self._cluster.leader() or self._leader
            time.sleep(RETRY_PAUSE_S)
