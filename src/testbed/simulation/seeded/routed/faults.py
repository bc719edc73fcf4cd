"""Faults of back ends and of the connections to them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from testbed.simulation.history import Span
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind
from testbed.simulation.seeded.routed.gateway import RoutedGateway

if TYPE_CHECKING:
    from testbed.simulation.machine import Machine
    from testbed.simulation.seeded.routed.back_end import BackEnd
    from testbed.simulation.seeded.world import SeededWorld

LEAVING_LASTS_S = 6.0
"""A back end that leaves ends after this long, and starts again."""

STOP_LASTS_S = 8.0
"""A planned stop is over by then; the platform would kill the process."""

SETTLE_S = 4.0
"""Connections that went silent are given up within this time."""


class BackEndFaults:
    """Strikes back ends and connections of a world."""

    def __init__(self, world: SeededWorld) -> None:
        self._world = world

    def handlers(self) -> Mapping[SeededFaultKind, Callable[[SeededFault], bool]]:
        """Return what strikes, by kind of fault."""
        return {
            SeededFaultKind.KILL_BACK_END: self._kill,
            SeededFaultKind.FREEZE_BACK_END: self._freeze,
            SeededFaultKind.LEAVE_BACK_END: self._leave,
            SeededFaultKind.CUT_BACK_END: self._cut,
            SeededFaultKind.SILENCE_CONNECTIONS: self._silence,
            SeededFaultKind.STOP_GATEWAY: self._stop_gateway,
        }

    def _target(self, fault: SeededFault) -> BackEnd | None:
        back_ends = [
            one
            for one in self._world.back_ends.values()
            if one.machine.up and not one.machine.frozen and not one.leaving
        ]
        return back_ends[fault.target % len(back_ends)] if len(back_ends) > 1 else None

    def _note(self, back_end: BackEnd, lasts_s: float) -> None:
        now_s = self._world.scheduler.now_s
        span = Span(now_s, now_s + lasts_s)
        self._world.history.back_end_disturbed[back_end.name].append(span)

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._world.scheduler.after(delay_s, action)

    def _kill(self, fault: SeededFault) -> bool:
        back_end = self._target(fault)
        if back_end is None:
            return False
        self._note(back_end, fault.duration_s)
        back_end.machine.kill()
        self._later(fault.duration_s, back_end.start)
        return True

    def _freeze(self, fault: SeededFault) -> bool:
        back_end = self._target(fault)
        if back_end is None:
            return False
        self._note(back_end, fault.duration_s)
        back_end.machine.freeze()
        self._later(fault.duration_s, back_end.machine.wake)
        return True

    def _leave(self, fault: SeededFault) -> bool:
        """Have a back end leave, end some time later and start again."""
        back_end = self._target(fault)
        if back_end is None:
            return False
        start = back_end.start_number
        self._note(back_end, LEAVING_LASTS_S + fault.duration_s)
        back_end.leaving = True

        def end() -> None:
            if back_end.machine.up and back_end.start_number == start:
                back_end.machine.kill()
                self._later(fault.duration_s, back_end.start)

        self._later(LEAVING_LASTS_S, end)
        return True

    def _cut(self, fault: SeededFault) -> bool:
        back_end = self._target(fault)
        if back_end is None:
            return False
        self._note(back_end, fault.duration_s)
        self._world.network.isolate(back_end.name, list(self._world.gateways))
        self._later(fault.duration_s, lambda: self._world.network.heal(back_end.name))
        return True

    def _silence(self, fault: SeededFault) -> bool:
        """Have all open connections of a back end or a gateway go silent for good."""
        machine = self._silenced(fault)
        for channel in self._world.streams.connections.of(machine):
            channel.silent = True
        now_s = self._world.scheduler.now_s
        span = Span(now_s, now_s + SETTLE_S)
        history = self._world.history
        for spans in (history.gateway_disturbed, history.back_end_disturbed):
            if machine.name in spans:
                spans[machine.name].append(span)
        return True

    def _stop_gateway(self, fault: SeededFault) -> bool:
        """Have a gateway end as planned, and start again some time later."""
        gateways = [
            one
            for one in self._world.gateways.values()
            if isinstance(one, RoutedGateway) and one.serves
        ]
        if not gateways:
            return False
        gateway = gateways[fault.target % len(gateways)]
        now_s = self._world.scheduler.now_s
        # It takes requests for a while yet, and is gone then.
        span = Span(now_s + ACCEPT_AFTER_STOP_S, now_s + STOP_LASTS_S + fault.duration_s)
        self._world.history.gateway_disturbed[gateway.machine.name].append(span)
        self._world.history.gateway_stopping[gateway.machine.name].append(span)
        gateway.stop(lambda: self._later(fault.duration_s, self._start_again(gateway)))
        return True

    @staticmethod
    def _start_again(gateway: RoutedGateway) -> Callable[[], None]:
        def start() -> None:
            if not gateway.machine.up:
                gateway.start()

        return start

    def _silenced(self, fault: SeededFault) -> Machine:
        machines = [one.machine for one in self._world.back_ends.values()]
        machines += [one.machine for one in self._world.gateways.values()]
        return machines[fault.target % len(machines)]
