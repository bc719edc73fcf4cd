"""The parts of a simulated cluster, as the fault injector and the world share them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from testbed.simulation.history import History
from testbed.simulation.network import Network
from testbed.simulation.scenario import Scenario
from testbed.simulation.scheduler import Scheduler

if TYPE_CHECKING:
    from testbed.simulation.control_node import ControlNode
    from testbed.simulation.gateway_node import GatewayNode
    from testbed.simulation.operators import Operator
    from testbed.simulation.runner_node import RunnerNode


@dataclass
class WorldParts:
    """Everything in a run, by name.

    Attributes:
        scenario: The fleet.
        scheduler: Virtual time.
        network: All machines and the links between them.
        history: What is recorded.
        control: Control processes.
        gateways: Gateways.
        runners: Back ends.
        operators: Operators.
        unrepaired: Groups not yet repaired of each control machine that lost its disk.
        calm: True once the end phase has begun and no fault may strike any more.
    """

    scenario: Scenario
    scheduler: Scheduler
    network: Network
    history: History
    control: dict[str, ControlNode] = field(default_factory=dict)
    gateways: dict[str, GatewayNode] = field(default_factory=dict)
    runners: dict[str, RunnerNode] = field(default_factory=dict)
    operators: list[Operator] = field(default_factory=list)
    unrepaired: dict[str, set[str]] = field(default_factory=dict)
    calm: bool = False
