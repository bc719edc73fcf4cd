"""Planned stops of busy gateways, alone and beside what a day has else."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING

from leverjunction.proxy.stop_schedule import ACCEPT_AFTER_STOP_S
from testbed.simulation.history import Span
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind
from testbed.simulation.seeded.operators import LONG_ROUTE
from testbed.simulation.seeded.routed.faults import STOP_LASTS_S
from testbed.simulation.seeded.routed.gateway import RoutedGateway
from testbed.simulation.seeded.routed.stop_callers import StopCallers

if TYPE_CHECKING:
    from testbed.simulation.seeded.routed.back_end import BackEnd
    from testbed.simulation.seeded.world import SeededWorld

LEAD_S = 2.0
"""Time for which callers are busy before the stop, and at most half as much again."""

LOAD_S = 0.5
"""Time that a process needs to load its code, where it is stopped during its start."""

HINDERED_BEYOND_S = 1.0
"""Back ends are silent or slow from this long before the stop, until as long after its end."""

LONGEST_DOWN_S = 1.5
"""A stopped gateway starts again after this long at the latest: a fault near the end of the
stretch of faults leaves it time to catch up.
"""

LATEST_DOUBLE_STOP_S = 28.0
SLOWEST_PACE = 8.0
LONGEST_PAUSE_S = 1.5
LATEST_WAKE_S = 6.0
"""A pause ends this long after the stop request at the latest, well within the grace period."""


class StopFaults:
    """Stops the gateways of a world while their callers are busy."""

    def __init__(self, world: SeededWorld) -> None:
        self._world = world
        self._struck: set[str] = set()

    def handlers(self) -> Mapping[SeededFaultKind, Callable[[SeededFault], bool]]:
        """Return what strikes, by kind of fault."""
        return {
            SeededFaultKind.STOP_BUSY: self._stop_busy,
            SeededFaultKind.STOP_TWO: self._stop_two,
            SeededFaultKind.STOP_BESIDE_SILENCE: self._stop_beside_silence,
            SeededFaultKind.STOP_BESIDE_SLOWNESS: self._stop_beside_slowness,
            SeededFaultKind.STOP_BESIDE_CHANGE: self._stop_beside_change,
            SeededFaultKind.STOP_DURING_START: self._stop_during_start,
            SeededFaultKind.STOP_BESIDE_PAUSE: self._stop_beside_pause,
        }

    def _targets(self, fault: SeededFault, count: int) -> list[RoutedGateway]:
        """Return gateways that are not about to stop; as many as asked for, or none."""
        gateways = [
            one
            for one in self._world.gateways.values()
            if isinstance(one, RoutedGateway)
            and one.serves
            and one.machine.name not in self._struck
        ]
        if len(gateways) < count:
            return []
        first = fault.target % len(gateways)
        return [*gateways[first:], *gateways[:first]][:count]

    def _strike(
        self,
        fault: SeededFault,
        gateways: list[RoutedGateway],
        start: Callable[[RoutedGateway], None] = RoutedGateway.start,
    ) -> float:
        """Have callers begin, and the gateways asked to stop later; returns that delay."""
        world = self._world
        drawn = world.generator(f"planned-stop/{fault.at_s}")
        delay_s = LEAD_S * drawn.uniform(1.0, 1.5)
        stop_s = world.scheduler.now_s + delay_s
        for gateway in gateways:
            name = gateway.machine.name
            self._struck.add(name)
            self._begin_callers(fault, gateway, stop_s)
            world.scheduler.after(delay_s, partial(self._stop, fault, gateway, start))
        return delay_s

    def _begin_callers(self, fault: SeededFault, gateway: RoutedGateway, stop_s: float) -> None:
        world, name = self._world, gateway.machine.name
        purpose = f"stop-callers-{name}-{stop_s:.6f}"
        callers = StopCallers(
            world.add_machine(purpose, gateway.machine.zone),
            name,
            world.streams,
            world.fibers,
            world.history,
            world.generator(purpose),
        )
        callers.start(stop_s, stop_s + STOP_LASTS_S)

    def _stop(
        self,
        fault: SeededFault,
        gateway: RoutedGateway,
        start: Callable[[RoutedGateway], None] = RoutedGateway.start,
    ) -> None:
        """Send the stop request, and kill the process where it outlasts the grace period."""
        machine, history = gateway.machine, self._world.history
        now_s = self._world.scheduler.now_s
        if not machine.up:
            self._struck.discard(machine.name)
            return
        down_s = min(fault.duration_s, LONGEST_DOWN_S)
        span = Span(now_s + ACCEPT_AFTER_STOP_S, now_s + STOP_LASTS_S + down_s)
        history.gateway_disturbed[machine.name].append(span)
        history.gateway_stopping[machine.name].append(span)

        def start_again() -> None:
            self._struck.discard(machine.name)
            if not machine.up:
                start(gateway)

        def then() -> None:
            self._world.scheduler.after(down_s, start_again)

        late = partial(gateway.kill_late, now_s, machine.incarnation, then)
        self._world.scheduler.after(STOP_LASTS_S, late)
        gateway.stop(then)

    def _stop_busy(self, fault: SeededFault) -> bool:
        gateways = self._targets(fault, 1)
        if gateways:
            self._strike(fault, gateways)
        return bool(gateways)

    def _stop_two(self, fault: SeededFault) -> bool:
        gateways = self._targets(fault, 2)
        if gateways:
            self._strike(fault, gateways)
        return bool(gateways)

    def _stop_beside_silence(self, fault: SeededFault) -> bool:
        """Have one or two back ends take requests through the stop and answer none."""
        gateways = self._targets(fault, 1)
        if gateways:
            delay_s = self._strike(fault, gateways)
            for back_end in self._back_ends(fault, 1 + fault.at_leader):
                self._hinder(back_end, delay_s, pace=1.0, is_silent=True)
        return bool(gateways)

    def _stop_beside_slowness(self, fault: SeededFault) -> bool:
        """Have half of the back ends work slowly through the stop."""
        gateways = self._targets(fault, 1)
        if gateways:
            delay_s = self._strike(fault, gateways)
            for back_end in self._back_ends(fault, len(self._world.back_ends) // 2):
                self._hinder(back_end, delay_s, pace=SLOWEST_PACE, is_silent=False)
        return bool(gateways)

    def _back_ends(self, fault: SeededFault, count: int) -> list[BackEnd]:
        well = [one for one in self._world.back_ends.values() if one.machine.up]
        first = fault.target % len(well)
        return [*well[first:], *well[:first]][:count]

    def _hinder(self, back_end: BackEnd, delay_s: float, pace: float, is_silent: bool) -> None:
        world, history = self._world, self._world.history
        now_s = world.scheduler.now_s
        begin_s = max(0.0, delay_s - HINDERED_BEYOND_S)
        end_s = delay_s + STOP_LASTS_S + HINDERED_BEYOND_S
        span = Span(now_s + begin_s, now_s + end_s)
        history.back_end_disturbed[back_end.name].append(span)
        history.back_end_hindered[back_end.name].append(span)

        def change(pace: float, is_silent: bool) -> None:
            back_end.pace, back_end.is_silent = pace, is_silent

        world.scheduler.after(begin_s, partial(change, pace, is_silent))
        world.scheduler.after(end_s, partial(change, 1.0, False))

    def _stop_beside_change(self, fault: SeededFault) -> bool:
        """Have the tables of the second of the stop drop a route that callers use."""
        gateways, operator = self._targets(fault, 1), self._world.operator
        if not gateways or operator is None:
            return False
        delay_s = self._strike(fault, gateways)
        offset_s = self._world.generator(f"planned-stop/change/{fault.at_s}").uniform(-0.5, 0.5)
        change_s = delay_s + offset_s
        self._world.scheduler.after(change_s, lambda: operator.dropped.add(LONG_ROUTE))
        lasts_s = change_s + fault.duration_s
        self._world.scheduler.after(lasts_s, lambda: operator.dropped.discard(LONG_ROUTE))
        return True

    def _stop_during_start(self, fault: SeededFault) -> bool:
        """Stop a gateway again as it starts, before it serves or has a table."""
        gateways = self._targets(fault, 1)
        if not gateways:
            return False
        world = self._world
        stop_after_s = world.generator(f"planned-stop/start/{fault.at_s}").uniform(0.0, 2 * LOAD_S)

        def start(gateway: RoutedGateway) -> None:
            self._struck.add(gateway.machine.name)
            gateway.start(LOAD_S)
            self._begin_callers(fault, gateway, world.scheduler.now_s + stop_after_s)
            world.scheduler.after(stop_after_s, partial(self._stop, fault, gateway))

        # Two stops in a row have to end before the run does.
        if world.scheduler.now_s > LATEST_DOUBLE_STOP_S:
            return False
        self._strike(fault, gateways, start)
        return True

    def _stop_beside_pause(self, fault: SeededFault) -> bool:
        """Have the gateway stand still for a moment around the stop."""
        gateways = self._targets(fault, 1)
        if not gateways:
            return False
        world, (gateway,) = self._world, gateways
        delay_s = self._strike(fault, gateways)
        drawn = world.generator(f"planned-stop/pause/{fault.at_s}")
        length_s = drawn.uniform(0.1, LONGEST_PAUSE_S)
        begin_s = delay_s + drawn.uniform(-1.0, LATEST_WAKE_S - length_s)
        machine, history = gateway.machine, world.history
        span = Span(world.scheduler.now_s + begin_s, world.scheduler.now_s + begin_s + length_s)

        def freeze() -> None:
            if machine.up:
                history.gateway_disturbed[machine.name].append(span)
                history.gateway_frozen[machine.name].append(span)
                machine.freeze()
                world.scheduler.after(length_s, machine.wake)

        world.scheduler.after(begin_s, freeze)
        return True


__all__ = ["StopFaults"]
