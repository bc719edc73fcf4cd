"""Operators of route tables: changes in bursts, sent again elsewhere, and read back."""

from __future__ import annotations

import random
from collections.abc import Mapping

from leverjunction.errors import Failure
from leverjunction.registry.commands import TableHeld, TableSource
from testbed.routed import make_table
from testbed.simulation.fiber import Fibers, Resume
from testbed.simulation.machine import Machine
from testbed.simulation.network import Network, Reply
from testbed.simulation.seeded.history import Acknowledged, Read, SeededHistory
from testbed.simulation.seeded.processes import ControlProcess

CALL_TIMEOUT_S = 1.2
PAUSE_S = 0.3
LULL_S = 4.0
LULL_SHARE = 0.05
READ_SHARE = 0.4
RESEND_SHARE = 0.1


class TableOperator:
    """One operator; works in a fiber of its own machine."""

    def __init__(
        self,
        machine: Machine,
        control: Mapping[str, ControlProcess],
        network: Network,
        fibers: Fibers,
        history: SeededHistory,
        generator: random.Random,
    ) -> None:
        self._machine = machine
        self._control = control
        self._network = network
        self._fibers = fibers
        self._history = history
        self._random = generator
        self._version = 0

    def start(self) -> None:
        """Begin to work."""
        self._fibers.spawn(self._machine, self._work)

    def _work(self) -> None:
        while True:
            self._change()
            if self._random.random() < READ_SHARE:
                self._read()
            lull = self._random.random() < LULL_SHARE
            self._fibers.sleep(self._machine, self._random.random() * LULL_S if lull else PAUSE_S)

    def _change(self) -> None:
        """Send the next table until a machine accepts it."""
        self._version += 1
        version = self._version
        while not self._put(version):
            self._fibers.sleep(self._machine, PAUSE_S / 3)
        if self._random.random() < RESEND_SHARE:
            # The acknowledgement was lost on its way: the same again, perhaps elsewhere.
            self._put(version)

    def _put(self, version: int) -> bool:
        name = self._random.choice(sorted(self._control))
        table = make_table(version=version)
        held = self._call(name, "put", lambda node: node.put_table(table, str(version)))
        if not isinstance(held, TableHeld) or held.version != version:
            return False
        at_s = self._machine.monotonic_s()
        self._history.acknowledged.append(Acknowledged(version, at_s, name))
        return True

    def _read(self) -> None:
        name = self._random.choice(sorted(self._control))
        called_s = self._machine.monotonic_s()
        source = self._call(name, "read", lambda node: node.table_source())
        if isinstance(source, TableSource):
            self._history.reads.append(Read(name, called_s, source.version))

    def _call(self, name: str, what: str, ask) -> object:  # type: ignore[no-untyped-def]
        """Call a control process over its platform port; blocks the operator's fiber."""
        process = self._control[name]

        def handle(reply: Reply) -> None:
            node = process.node
            if node is not None:
                self._fibers.spawn(process.place.machine, lambda: reply(ask(node)))

        def arm(resume: Resume) -> None:
            self._network.call(self._machine, name, handle, resume, CALL_TIMEOUT_S)

        result = self._fibers.wait(arm)
        failed = isinstance(result, Failure)
        self._history.counts[f"{what}_{'failed' if failed else 'answered'}"] += 1
        return result
