"""One replica of a job group as a process of its own, for the consensus bench.

Run by ``testbed.load.consensus_cluster``. Serves the peers' messages, proposals and a status over
the internal RPC, with the product's replica, transport and job state machine.
"""

from __future__ import annotations

import signal
import threading
from pathlib import Path
from random import SystemRandom

import fire
import msgspec
import psutil
from loguru import logger

from leverjunction.allocator import return_large_buffers
from leverjunction.batch.state_machine import JobsStateMachine
from leverjunction.clock import SystemClock
from leverjunction.consensus.group import GroupReplica
from leverjunction.consensus.types import GroupConfig
from leverjunction.control.raft_transport import RpcRaftTransport
from leverjunction.errors import Failure
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.envelope import Envelope, MessageKind
from leverjunction.wire.rpc_client import RpcClient
from leverjunction.wire.rpc_server import RpcEndpoint, RpcServer
from testbed.orphans import end_with_starter

GROUP = "jobs-0"
CLUSTER_KEY = b"consensus-bench"
PROPOSE_TIMEOUT_S = 5.0
RPC_THREADS = 96


class WorkerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica tells the bench.

    Attributes:
        role: Role in the group.
        address: Where it is reached.
        leader_address: Leader that it knows, empty when there is none.
        applied_index: Highest index applied.
        commit_index: Highest index known to be committed.
        voters: Addresses of the voters, a replaced one still among them until it is dropped.
        learners: Addresses of the learners.
        repairs: Repairs seen committed since the start.
        sent_bytes: Bytes sent to peers since the start, in calls and in answers to theirs.
        resident_bytes: Resident memory.
        resident_peak_bytes: Highest resident memory since the start.
        processor_s: Processor time used since the start.
    """

    role: str
    address: str
    leader_address: str
    applied_index: int
    commit_index: int
    voters: list[str]
    learners: list[str]
    repairs: int
    sent_bytes: int
    resident_bytes: int
    resident_peak_bytes: int
    processor_s: float


class CountingTransport:
    """The product's transport; counts the bytes that a replica gives out to its peers.

    They leave by calls of its own or in the answers to the peers' calls: a whole snapshot travels
    in answers when its receiver was the one that called first.
    """

    def __init__(self, transport: RpcRaftTransport) -> None:
        self._transport = transport
        self._lock = threading.Lock()
        self.sent_bytes = 0

    def send(self, peer_address: str, group: str, body: bytes) -> bytes | Failure:
        """Send to a peer."""
        self._count(body)
        return self._transport.send(peer_address, group, body)

    def answer(self, body: bytes) -> bytes:
        """Return the answer to a peer's call, counted."""
        self._count(body)
        return body

    def _count(self, body: bytes) -> None:
        with self._lock:
            self.sent_bytes += len(body)


class MemoryWatch:
    """Samples the resident memory of this process."""

    INTERVAL_S = 0.05

    def __init__(self) -> None:
        self._process = psutil.Process()
        self.peak_bytes = self.now_bytes()
        threading.Thread(target=self._watch, name="memory-watch", daemon=True).start()

    def now_bytes(self) -> int:
        """Return the resident memory now."""
        return int(self._process.memory_info().rss)

    def processor_s(self) -> float:
        """Return the processor time used so far."""
        times = self._process.cpu_times()
        return float(times.user + times.system)

    def _watch(self) -> None:
        pause = threading.Event()
        while not pause.wait(self.INTERVAL_S):
            self.peak_bytes = max(self.peak_bytes, self.now_bytes())


class Worker:
    """The replica with its server.

    Attributes:
        replica: The replica.
        endpoint: Where peers and the bench call it.
    """

    def __init__(self, address: str, members: list[str], data_path: Path) -> None:
        random = SystemRandom()
        self._transport = CountingTransport(
            RpcRaftTransport(RpcClient(CLUSTER_KEY, random.getrandbits(32)))
        )
        config = GroupConfig(
            group=GROUP, address=address, first_members=tuple(members), data_path=str(data_path)
        )
        self.replica = GroupReplica(
            config, JobsStateMachine(), self._transport, SystemClock(), random
        )
        self._memory = MemoryWatch()
        self.endpoint = RpcEndpoint(CLUSTER_KEY, 1)
        self.endpoint.register(MessageKind.RAFT, self._receive)
        self.endpoint.register(MessageKind.PROPOSE, self._propose)
        self.endpoint.register(
            MessageKind.STATUS, lambda _envelope, _peer: encode_reply(self.status())
        )
        host, _, port = address.rpartition(":")
        self._server = RpcServer(host, int(port), self.endpoint, RPC_THREADS)

    def run(self) -> None:
        """Serve until SIGTERM, or until nobody is left to send one."""
        stop = threading.Event()
        signal.signal(signal.SIGTERM, lambda *_: stop.set())
        end_with_starter(stop.set)
        # First: a port that refuses connections says that no leader lives behind it.
        self._server.start()
        failure = self.replica.start()
        if failure is not None:
            raise SystemExit(failure.reason)
        while not stop.wait(1.0):
            pass
        self.replica.stop()
        self._server.stop()

    def status(self) -> WorkerStatus:
        """Return what the bench wants to know."""
        known = self.replica.status()
        return WorkerStatus(
            role=known.role,
            address=self.replica.config.address,
            leader_address=known.leader_address,
            applied_index=known.applied_index,
            commit_index=known.commit_index,
            voters=known.voters,
            learners=known.learners,
            repairs=len(self.replica.repairs()),
            sent_bytes=self._transport.sent_bytes,
            resident_bytes=self._memory.now_bytes(),
            resident_peak_bytes=self._memory.peak_bytes,
            processor_s=self._memory.processor_s(),
        )

    def _receive(self, envelope: Envelope, _peer: str) -> bytes:
        return self._transport.answer(self.replica.receive(envelope.body))

    def _propose(self, envelope: Envelope, _peer: str) -> bytes:
        reply = self.replica.propose(envelope.body, PROPOSE_TIMEOUT_S)
        return encode_reply(reply) if isinstance(reply, Failure) else reply


def main(address: str, members: str, data_path: str) -> None:
    """Run one replica.

    Args:
        address: RPC address of this replica.
        members: RPC addresses of the group, separated by commas.
        data_path: Its SQLite file.
    """
    return_large_buffers()
    logger.remove()
    Worker(address, members.split(","), Path(data_path)).run()


if __name__ == "__main__":
    fire.Fire(main)
