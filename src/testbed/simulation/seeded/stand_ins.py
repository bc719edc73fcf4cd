"""What ``RegistryNode`` makes for itself, over the simulated network and in virtual time."""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from unittest import mock

from leverjunction.consensus.api import GroupStatus
from leverjunction.consensus.codec import decode_messages
from leverjunction.consensus.status import unknown_status
from leverjunction.errors import Execution, Failure, FailureKind, Step
from leverjunction.registry import node as node_module
from leverjunction.wire.codec import encode_reply
from leverjunction.wire.rpc_server import RpcEndpoint
from testbed.simulation.local_group import LocalGroup
from testbed.simulation.machine import Machine
from testbed.simulation.replica import Replica
from testbed.simulation.rpc import RpcBoard, SimulatedRpc
from testbed.simulation.scheduler import Scheduler
from testbed.simulation.seeded.segments import SimulatedSegments


class ControlMachine:
    """A machine of a control process, and what outlives the process.

    Attributes:
        machine: The machine.
        board: RPC handlers of all machines.
        scheduler: Virtual time, which goes on while the process is down.
        replica: The simulated replica, whose disk outlives the process.
        disk_refuses: The disk takes no bytes: a start fails.
        segments: Its log of origins on disk.
    """

    def __init__(
        self, machine: Machine, board: RpcBoard, scheduler: Scheduler, replica: Replica
    ) -> None:
        self.machine = machine
        self.board = board
        self.scheduler = scheduler
        self.replica = replica
        self.disk_refuses = False
        self.segments = SimulatedSegments(lambda: not self.disk_refuses)
        self.started_before = False


class ReplicaStandIn:
    """Stands in for ``GroupReplica``: the same engine, driven by the simulated replica."""

    def __init__(self, place: ControlMachine, listener: Callable[[bool], None]) -> None:
        self._place = place
        self._listener = listener
        self._group: LocalGroup | None = None
        self.config = place.replica.config

    def start(self) -> Failure | None:
        """Open the disk and begin."""
        place = self._place
        if place.disk_refuses:
            raise OSError(errno.ENOSPC, "No space left on device")
        if place.started_before:
            place.replica.start()
        place.started_before = True
        place.replica.on_applied = self._applied
        self._group = LocalGroup(place.replica, place.machine, place.board.fibers)
        return None

    def stop(self) -> None:
        """Do nothing: processes are killed here."""

    def fault(self) -> Failure | None:
        """Return None: a replica that fails later is not simulated."""
        return None

    def status(self) -> GroupStatus:
        """Return what the replica knows of its group."""
        return unknown_status(self.config) if self._group is None else self._group.status()

    def query_local(self, query: bytes) -> bytes:
        """Answer from the applied state."""
        return encode_reply(_not_started()) if self._group is None else self._read(query)

    def propose(self, command: bytes, timeout_s: float) -> bytes | Failure:
        """Replicate a command."""
        return _not_started() if self._group is None else self._group.propose(command, timeout_s)

    def query(self, query: bytes, timeout_s: float) -> bytes | Failure:
        """Answer a linearizable read."""
        return _not_started() if self._group is None else self._group.query(query, timeout_s)

    def receive(self, body: bytes) -> bytes:
        """Take a peer's messages; the simulated replicas have a way of their own."""
        messages = decode_messages(body)
        if not isinstance(messages, Failure) and self._group is not None:
            for message in messages:
                self._place.replica.receive(message)
        return b""

    def change_members(self, addresses: list[str], _timeout_s: float) -> bytes | Failure:
        """Set the addresses that shall hold the voters."""
        if self._group is not None:
            self._place.replica.change_members(tuple(addresses))
        return b""

    def _read(self, query: bytes) -> bytes:
        assert self._group is not None
        return self._group.query_local(query)

    def _applied(self) -> None:
        # Later: the listener wakes fibers that read the replica, which is in the middle of a step.
        self._place.machine.after(0.0, lambda: self._listener(False))


class ServerStandIn:
    """Stands in for ``RpcServer``."""

    def __init__(self, place: ControlMachine, endpoint: RpcEndpoint) -> None:
        self._place = place
        self._endpoint = endpoint

    def start(self) -> None:
        """Serve the endpoint's handlers; each call gets a fiber."""
        self._place.board.serve(self._place.machine, self._endpoint._handlers, {})

    def stop(self) -> None:
        """Serve nothing any more."""
        self._place.board.serve(self._place.machine, {}, {})


class SocketStandIn:
    """Stands in for ``OwnerSocket``: datagrams of limits are not simulated."""

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


class TaskStandIn:
    """Stands in for ``PeriodicTask``: a fiber that goes on whatever the task raises."""

    def __init__(self, place: ControlMachine, interval_s: float, run: Callable[[], None]) -> None:
        self._place = place
        self._interval_s = interval_s
        self._run = run

    def start(self) -> None:
        """Start the loop."""
        fibers = self._place.board.fibers
        self._place.machine.after(0.0, lambda: fibers.spawn(self._place.machine, self._loop))

    def request_stop(self) -> None:
        """Do nothing: processes are killed here."""

    def stop(self) -> None:
        """Do nothing."""

    def _loop(self) -> None:
        while True:
            self._run()
            self._place.board.fibers.sleep(self._place.machine, self._interval_s)


@contextmanager
def registry_node_on(place: ControlMachine, founders: Sequence[str]) -> Iterator[None]:
    """Have a ``RegistryNode`` that is made in the block live on a simulated machine."""

    def replica(*_arguments: object, listener: Callable[[bool], None], **_: object) -> object:
        return ReplicaStandIn(place, listener)

    def server(_host: str, _port: int, endpoint: RpcEndpoint, _threads: int) -> object:
        return ServerStandIn(place, endpoint)

    def task(_name: str, interval_s: float, run: Callable[[], None]) -> object:
        return TaskStandIn(place, interval_s, run)

    def client(_key: bytes, _incarnation: int) -> object:
        return SimulatedRpc(place.machine, place.board)

    substitutes: dict[str, object] = {
        "GroupReplica": replica,
        "RpcServer": server,
        "PeriodicTask": task,
        "RpcClient": client,
        "RpcRaftTransport": lambda _rpc: None,
        "OwnerSocket": lambda *_arguments: SocketStandIn(),
        "SegmentFolder": lambda _folder: place.segments,
        "read_boot_id": lambda: 0,
        "read_founders": lambda _folder: tuple(founders),
    }
    with ExitStack() as stack:
        for name, substitute in substitutes.items():
            stack.enter_context(mock.patch.object(node_module, name, substitute))
        yield


def _not_started() -> Failure:
    return Failure(
        kind=FailureKind.TIMEOUT,
        reason="the replica has not started",
        step=Step.QUERYING,
        execution=Execution.NOT_RUN,
    )
