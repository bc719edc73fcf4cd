"""Builds a simulated seeded deployment from a seed and runs it: start, faults, calm."""

from __future__ import annotations

import random
from collections.abc import Sequence
from contextlib import ExitStack
from functools import partial

from leverjunction.consensus.types import GroupConfig
from leverjunction.registry.records import REGISTRY_GROUP
from leverjunction.registry.state_machine import RegistryStateMachine
from testbed.simulation.fiber import Fibers
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, NetworkProfile
from testbed.simulation.product_modules import product_on_fibers
from testbed.simulation.replica import Replica
from testbed.simulation.rpc import RpcBoard
from testbed.simulation.scheduler import Scheduler
from testbed.simulation.seeded.control_port import ControlPort
from testbed.simulation.seeded.fault_kinds import BUSY_STOPS, SeededFault, SeededFaultKind, schedule
from testbed.simulation.seeded.faults import SeededFaults
from testbed.simulation.seeded.history import SeededHistory
from testbed.simulation.seeded.operators import OperatorPlace, RivalOperator, TableOperator
from testbed.simulation.seeded.processes import ControlProcess, GatewayProcess
from testbed.simulation.seeded.routed.back_end import BackEnd
from testbed.simulation.seeded.routed.callers import Callers
from testbed.simulation.seeded.routed.gateway import RoutedGateway
from testbed.simulation.seeded.routed.streamers import Streamers
from testbed.simulation.seeded.shape import SeededShape
from testbed.simulation.seeded.stand_ins import ControlMachine
from testbed.simulation.variation import Variation
from testbed.simulation.virtual_loop import StreamBoard
from testbed.simulation.virtual_threads import VirtualThreading

Gateway = GatewayProcess | RoutedGateway

START_S = 6.0
CHAOS_S = 30.0
CALM_S = 16.0
SEEDS = 3
RPC_PORT = 1
PROFILE = NetworkProfile(loss=0.0, duplication=0.0, straggler=0.0)
"""Calls go over connections: nothing is lost or repeated but by cuts."""


def planned_faults(
    shape: SeededShape,
    seed: int,
    only: Sequence[SeededFaultKind] = (),
    variation: Variation | None = None,
) -> list[SeededFault]:
    """Return the schedule of faults of a seed, moved if that is what varies."""
    if shape.fixed_faults is not None:
        return list(shape.fixed_faults)
    generator = random.Random(f"{seed}/faults")
    faults = schedule(generator, START_S, START_S + CHAOS_S, shape.weights, only)
    return variation.moved(faults, seed, START_S) if variation else faults


class SeededWorld:
    """One run.

    Attributes:
        scheduler: Virtual time.
        network: All machines and the links between them.
        fibers: Fibers of the run.
        history: What is recorded.
        control: Control processes.
        gateways: Gateways.
        back_ends: Back ends; none where gateways only follow the registry.
        streams: Connections of callers, gateways and back ends.
        faults: Strikes them.
        board: Their calls.
        operator: Sends the route tables; None before the run.

    Args:
        shape: What it consists of.
        seed: Seed of every random choice.
        only: Kinds of faults that strike; empty for all.
        variation: What is drawn otherwise than in the seed's own history; None for nothing.
        without: Positions of planned faults that do not strike.
    """

    def __init__(
        self,
        shape: SeededShape,
        seed: int,
        only: Sequence[SeededFaultKind] = (),
        variation: Variation | None = None,
        without: Sequence[int] = (),
    ) -> None:
        self.seed = seed
        self._shape = shape
        self._variation = variation
        planned = planned_faults(shape, seed, only, variation)
        self._planned = [fault for place, fault in enumerate(planned) if place not in without]
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, self.generator("network"), PROFILE)
        self.history = SeededHistory()
        self.fibers = Fibers()
        self._threading = VirtualThreading(self.fibers)
        self._substitutes = ExitStack()
        self._substitutes.enter_context(
            product_on_fibers(self._threading, self.scheduler, self.generator("product"))
        )
        self.board = RpcBoard(self.network, self.fibers)
        self.streams = StreamBoard(self.scheduler, self.network)
        self.control: dict[str, ControlProcess] = {}
        self.gateways: dict[str, Gateway] = {}
        self.back_ends: dict[str, BackEnd] = {}
        sizes = self.generator("size")
        self._build_control(sizes.choice(shape.control_sizes))
        self._build_gateways(sizes.randint(shape.fewest_gateways, shape.most_gateways))
        self._build_back_ends(shape.back_ends, shape.spare_back_ends)
        self.operator: TableOperator | None = None
        self.faults = SeededFaults(self)

    def generator(self, purpose: str) -> random.Random:
        """Return an own source of randomness, so that one part's draws change no other's."""
        suffix = self._variation.suffix(purpose) if self._variation else ""
        return random.Random(f"{self.seed}/{purpose}{suffix}")

    def run(self, calm_s: float = CALM_S) -> SeededHistory:
        """Run everything and return the record; ``calm_s`` follow the stretch of faults."""
        self.faults.plan(self._planned)
        operator = self.operator = TableOperator(
            self._operator_place("operator", 0),
            self._shape.routes,
            self._shape.added_routes,
            has_streams=bool(self._shape.versions),
            has_long=any(fault.kind in BUSY_STOPS for fault in self._planned),
        )
        operator.start()
        if self.back_ends:
            self._build_callers(operator).start(START_S, START_S + CHAOS_S + calm_s)
        if self._shape.versions:
            self._build_streamers().start(START_S, START_S + CHAOS_S + calm_s)
        if self._shape.has_rival:
            RivalOperator(self._operator_place("rival", 1), operator).start()
        self.scheduler.run_until(START_S + CHAOS_S + calm_s)
        self.history.ended_s = self.scheduler.now_s
        self.end()
        return self.history

    def end(self) -> None:
        """End every process, so that no fiber is left over."""
        for machine in self.network.machines.values():
            machine.kill()
        self._substitutes.close()

    def _operator_place(self, name: str, zone_number: int) -> OperatorPlace:
        return OperatorPlace(
            self._control_port(self.add_machine(name, self._zone(zone_number))),
            self.fibers,
            self.history,
            self.generator(name),
        )

    def _control_port(self, machine: Machine) -> ControlPort:
        return ControlPort(machine, self.control, self.network, self.fibers)

    def _zone(self, number: int) -> str:
        return self._shape.zones[number % len(self._shape.zones)]

    def add_machine(self, name: str, zone: str) -> Machine:
        """Add a machine."""
        return self.network.add(Machine(name, zone, self.scheduler))

    def _build_control(self, count: int) -> None:
        names = [f"core-{number}:{RPC_PORT}" for number in range(count)]
        seeds = names[:SEEDS]
        replicas: dict[str, dict[str, Replica]] = {}
        for number, name in enumerate(names):
            machine = self.add_machine(name, self._zone(number))
            config = GroupConfig(
                group=REGISTRY_GROUP,
                address=name,
                first_members=tuple(seeds) if name in seeds else (),
            )
            replica = Replica(
                config,
                machine,
                self.network,
                RegistryStateMachine(),
                self.generator(f"replica/{name}"),
                replicas,
            )
            replicas[name] = {REGISTRY_GROUP: replica}
            place = ControlMachine(machine, self.board, self.scheduler, replica)
            self.control[name] = ControlProcess(
                place, seeds, self._threading, self.generator(f"control/{name}")
            )
            self.history.control_disturbed[name] = []
        for process in self.control.values():
            process.start()

    def _build_gateways(self, count: int) -> None:
        seeds = list(self.control)[:SEEDS]
        for number in range(count):
            name = f"front-{number}"
            machine = self.add_machine(name, self._zone(number))
            self.gateways[name] = self._gateway(machine, seeds)
            self.history.gateway_disturbed[name] = []
            self.history.gateway_frozen[name] = []
            self.history.gateway_stopping[name] = []
        for gateway in self.gateways.values():
            gateway.start()

    def _gateway(self, machine: Machine, seeds: Sequence[str]) -> Gateway:
        """Return a gateway: a whole one if it has back ends, else what follows the registry."""
        generator = partial(self._gateway_generator, machine.name)
        if self._shape.back_ends:
            return RoutedGateway(
                machine, seeds, self.board, self.streams, self.fibers, self.history, generator
            )
        return GatewayProcess(machine, seeds, self.board, self._threading, self.history, generator)

    def _build_back_ends(self, count: int, spare: int) -> None:
        for number in range(count + spare):
            name = f"back-{number}"
            self.history.back_end_disturbed[name] = []
            self.history.back_end_hindered[name] = []
            self.back_ends[name] = BackEnd(
                self._control_port(self.add_machine(name, self._zone(number))),
                self.streams,
                self.fibers,
                self.history,
                self.generator(f"back-end/{name}"),
                self._shape.versions,
                self._shape.slots,
            )
        for number, back_end in enumerate(self.back_ends.values()):
            if number < count:
                back_end.start()
            else:
                back_end.machine.kill()

    def _build_callers(self, operator: TableOperator) -> Callers:
        return Callers(
            self.add_machine("callers", self._zone(0)),
            list(self.gateways),
            operator.newest_accepted,
            self.streams,
            self.fibers,
            self.history,
            self.generator("callers"),
        )

    def _build_streamers(self) -> Streamers:
        return Streamers(
            self.add_machine("streamers", self._zone(1)),
            list(self.gateways),
            self.streams,
            self.fibers,
            self.history,
            self.generator("streamers"),
            self._shape.streamers,
        )

    def _gateway_generator(self, name: str, incarnation: int) -> random.Random:
        return self.generator(f"gateway/{name}/{incarnation}")
