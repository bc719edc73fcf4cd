"""Control processes and gateways of a simulated seeded deployment."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from leverjunction.config.machine import MachineConfig, MachineListen
from leverjunction.registry.follower import RegistryFollower, Snapshot
from leverjunction.registry.node import RegistryNode
from testbed.simulation.machine import Machine
from testbed.simulation.rpc import RpcBoard, SimulatedRpc
from testbed.simulation.seeded.history import InForce, SeededHistory
from testbed.simulation.seeded.stand_ins import ControlMachine, registry_node_on
from testbed.simulation.virtual_threads import VirtualThreading

START_AGAIN_S = 1.6
"""Pause of a process that could not start, and the time in which its supervisor starts it again."""


class ControlProcess:
    """One control process; its machine and disk outlive it.

    Attributes:
        place: The machine.
        node: The product's process, made anew at each start; None while it is down.
    """

    ends_when_its_start_fails = True

    def __init__(
        self,
        place: ControlMachine,
        seeds: Sequence[str],
        threading: VirtualThreading,
        generator: random.Random,
    ) -> None:
        self.place = place
        self.node: RegistryNode | None = None
        self._seeds = tuple(seeds)
        self._threading = threading
        self._random = generator

    @property
    def name(self) -> str:
        """Name of its machine, which is its RPC address."""
        return self.place.machine.name

    def start(self) -> None:
        """Start the process, in a fiber of its own."""
        machine = self.place.machine
        machine.start()
        self.place.board.fibers.spawn(machine, self._start)

    def kill(self) -> None:
        """End the process at once; what was not synced is lost."""
        self.place.replica.disk.crash()
        self.place.segments.crash()
        self.place.board.serve(self.place.machine, {}, {})
        self.place.machine.kill()
        self.node = None

    def _start(self) -> None:
        machine = self.place.machine
        with registry_node_on(self.place, self._seeds), self._threading.on(machine):
            node = RegistryNode(self._config(), machine, self._random)
        self.node = node
        try:
            has_started = node.start() is None
        except OSError:
            has_started = False
        if not has_started and self.ends_when_its_start_fails:
            # After this fiber, which lives on the machine that ends.
            machine.after(0.0, self._end_and_start_again)

    def _end_and_start_again(self) -> None:
        self.kill()
        self.place.scheduler.after(START_AGAIN_S, self._start_again)

    def _start_again(self) -> None:
        if not self.place.machine.up:
            self.start()

    def _config(self) -> MachineConfig:
        return MachineConfig(
            name=self.name.partition(":")[0],
            zone=self.place.machine.zone,
            listen=MachineListen(rpc=self.name),
            seeds=self._seeds,
            rpc_seed_port=int(self.name.rpartition(":")[2]),
            data_folder="/nowhere",
            first_start=False,
        )


class GatewayProcess:
    """One gateway: the product's follower, and what it puts in force."""

    def __init__(
        self,
        machine: Machine,
        seeds: Sequence[str],
        board: RpcBoard,
        threading: VirtualThreading,
        history: SeededHistory,
        generator: Callable[[int], random.Random],
    ) -> None:
        self.machine = machine
        self._seeds = tuple(seeds)
        self._board = board
        self._threading = threading
        self._history = history
        self._generator = generator
        self._version = 0

    def start(self) -> None:
        """Start the process."""
        machine = self.machine
        machine.start()
        self._version = 0
        self._history.started[machine.name, machine.incarnation] = machine.monotonic_s()
        with self._threading.on(machine):
            follower = RegistryFollower(
                SimulatedRpc(machine, self._board),  # type: ignore[arg-type]
                self._seeds,
                "",
                machine,
                self._generator(machine.incarnation),
                self._changed,
            )
            follower.start()

    def _changed(self, snapshot: Snapshot) -> None:
        version = snapshot.table.version
        if version == self._version:
            return
        self._version = version
        machine = self.machine
        routes = tuple(route.name for route in snapshot.table.routes)
        entry = InForce(machine.name, machine.incarnation, version, machine.monotonic_s(), routes)
        self._history.in_force.append(entry)
