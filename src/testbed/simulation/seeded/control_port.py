"""Calls of the platform to control processes: operators' and back ends'."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from leverjunction.registry.node import RegistryNode
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, Reply
from testbed.simulation.seeded.processes import ControlProcess

CALL_TIMEOUT_S = 1.2

Ask = Callable[[RegistryNode], object]


class ControlPort:
    """The control processes as one machine calls them.

    Args:
        machine: The machine that calls.
        control: The control processes by name.
        network: Carries the calls.
        fibers: Fibers of the run.
    """

    def __init__(
        self,
        machine: Machine,
        control: Mapping[str, ControlProcess],
        network: Network,
        fibers: Fibers,
    ) -> None:
        self.machine = machine
        self._control = control
        self._network = network
        self._fibers = fibers

    def names(self) -> list[str]:
        """Return the names of all control processes."""
        return sorted(self._control)

    def call(self, name: str, ask: Ask) -> object:
        """Call a control process and return its answer or a failure; blocks the fiber."""
        process = self._control[name]

        def handle(reply: Reply) -> None:
            node = process.node
            if node is not None:
                self._fibers.spawn(process.place.machine, lambda: reply(ask(node)))

        def arm(resume: Resume) -> None:
            self._network.call(self.machine, name, handle, resume, CALL_TIMEOUT_S)

        return self._fibers.wait(arm)
