"""Records when gateways and the control quorum were not well, so that checkers can be fair.

A promise of the kind "within seconds" can hold only for machines that run and are reachable. The
spans recorded here are the times that such a check must leave out; nothing else is left out.
"""

from __future__ import annotations

from testbed.simulation.history import Span
from testbed.simulation.world_parts import WorldParts

LOOK_INTERVAL_S = 0.1


class ImpairmentWatch:
    """Looks at the true state of machines and links ten times a second."""

    def __init__(self, parts: WorldParts) -> None:
        self._parts = parts
        self._since: dict[str, float] = {}

    def start(self) -> None:
        """Begin to look."""
        self._look()

    def _look(self) -> None:
        parts = self._parts
        self._note("", not self._quorum_is_well())
        for name in parts.gateways:
            self._note(name, not self._gateway_is_well(name))
        for name in parts.runners:
            self._note(name, not self._runner_is_well(name))
        parts.scheduler.after(LOOK_INTERVAL_S, self._look)

    def _quorum_is_well(self) -> bool:
        """Return whether some majority of control machines runs, has data and hears the others."""
        parts = self._parts
        names = [n for n in parts.control if self._runs(n) and n not in parts.unrepaired]
        quorum = len(self._parts.control) // 2 + 1
        return any(
            sum(1 for other in names if other == name or self._linked(name, other)) >= quorum
            for name in names
        )

    def _gateway_is_well(self, name: str) -> bool:
        """Return whether a gateway runs and reaches a majority of control machines."""
        if not self._runs(name):
            return False
        hubs = [hub for hub in self._parts.control if self._linked(name, hub)]
        return len(hubs) > len(self._parts.control) // 2

    def _runner_is_well(self, name: str) -> bool:
        """Return whether a back end runs and every gateway reaches it."""
        return self._runs(name) and all(self._linked(name, g) for g in self._parts.gateways)

    def _runs(self, name: str) -> bool:
        machine = self._parts.network.machines[name]
        return machine.up and not machine.frozen

    def _linked(self, one: str, other: str) -> bool:
        network = self._parts.network
        return network.linked(one, other) and network.linked(other, one)

    def _note(self, name: str, impaired: bool) -> None:
        now_s = self._parts.scheduler.now_s
        if impaired:
            since_s = self._since.setdefault(name, now_s - LOOK_INTERVAL_S)
            self._put(name, Span(since_s, now_s + LOOK_INTERVAL_S))
        else:
            self._since.pop(name, None)

    def _put(self, name: str, span: Span) -> None:
        history = self._parts.history
        spans = history.control_impaired
        if name:
            machines = history.runner_impaired
            if name in self._parts.gateways:
                machines = history.gateway_impaired
            spans = machines.setdefault(name, [])
        if spans and spans[-1].begin_s == span.begin_s:
            spans.pop()
        spans.append(span)
