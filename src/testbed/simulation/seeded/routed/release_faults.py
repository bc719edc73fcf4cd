"""Releases of back ends, and ends of the processes that know the origins of streams."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Mapping
from typing import TYPE_CHECKING

from testbed.simulation.history import Span
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind

if TYPE_CHECKING:
    from testbed.simulation.seeded.processes import ControlProcess
    from testbed.simulation.seeded.routed.back_end import BackEnd
    from testbed.simulation.seeded.world import Gateway, SeededWorld

FIRST_STARTS_S = 0.3
"""Time in which the back ends of a release start."""

LEAVES_S = (0.5, 4.0)
"""Shortest and longest time from the start of a release until an old back end leaves."""

DRAIN_S = 3.0
"""A back end that leaves ends after this long."""

MOST_RELEASED = 4
HOLDERS = 2
LONGEST_DOWN_S = 2.5
"""Longest time in which processes that ended together are down."""

SHORTEST_HANG_S = 2.0
APART_S = 1.2
"""Longest time between a release or a silence and the end of a gateway beside it."""

READY_S = 4.0
"""Time from the start of all processes until gateways are well again."""


class ReleaseFaults:
    """Releases versions, and ends control processes and gateways together."""

    def __init__(self, world: SeededWorld) -> None:
        self._world = world
        self._released = 0

    def handlers(self) -> Mapping[SeededFaultKind, Callable[[SeededFault], bool]]:
        """Return what strikes, by kind of fault."""
        return {
            SeededFaultKind.RELEASE: self._release,
            SeededFaultKind.RELEASE_AND_KILL_GATEWAY: self._release_and_kill_gateway,
            SeededFaultKind.HANG_CONTROL_AND_KILL_GATEWAY: self._hang_control_and_kill_gateway,
            SeededFaultKind.KILL_HOLDERS: self._kill_holders,
            SeededFaultKind.KILL_HOLDERS_AND_GATEWAY: self._kill_holders_and_gateway,
            SeededFaultKind.KILL_ALL: self._kill_all,
        }

    def _random(self, fault: SeededFault) -> random.Random:
        return self._world.generator(f"strike/{fault.at_s}/{fault.target}")

    def _later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._world.scheduler.after(delay_s, action)

    def _release(self, fault: SeededFault) -> bool:
        """Start back ends of a further version, and have as many of older ones leave."""
        spare = [one for one in self._world.back_ends.values() if not one.machine.up]
        spare = [one for one in spare if not self._is_disturbed(one)]
        if not spare:
            return False
        drawn = self._random(fault)
        self._released += 1
        version = f"v1.{self._released}"
        old = [one for one in self._world.back_ends.values() if one.machine.up and not one.leaving]
        count = min(len(spare), len(old), drawn.randint(1, MOST_RELEASED))
        for back_end in drawn.sample(spare, count):
            back_end.released = version
            self._later(drawn.random() * FIRST_STARTS_S, self._start_once(back_end))
        for back_end in drawn.sample(old, count):
            self._later(drawn.uniform(*LEAVES_S), self._leave(back_end))
        return True

    @staticmethod
    def _start_once(back_end: BackEnd) -> Callable[[], None]:
        def start() -> None:
            if not back_end.machine.up:
                back_end.start()

        return start

    def _is_disturbed(self, back_end: BackEnd) -> bool:
        """Return whether a fault that has struck a back end starts it again."""
        now_s = self._world.scheduler.now_s
        spans = self._world.history.back_end_disturbed[back_end.name]
        return any(span.end_s >= now_s for span in spans)

    def _leave(self, back_end: BackEnd) -> Callable[[], None]:
        start = back_end.start_number

        def leave() -> None:
            if not back_end.machine.up or back_end.start_number != start or back_end.leaving:
                return
            self._note(self._world.history.back_end_disturbed[back_end.name], DRAIN_S)
            back_end.leaving = True
            self._later(DRAIN_S, end)

        def end() -> None:
            if back_end.machine.up and back_end.start_number == start:
                back_end.machine.kill()

        return leave

    def _release_and_kill_gateway(self, fault: SeededFault) -> bool:
        """Kill a gateway soon after the first back ends of a release have started."""
        gateway = self._gateway(fault)
        if gateway is None or not self._release(fault):
            return False
        delay_s = self._random(fault).random() * APART_S
        self._later(delay_s, lambda: self._kill([], [gateway], fault))
        return True

    def _hang_control_and_kill_gateway(self, fault: SeededFault) -> bool:
        """Have a control process answer nothing, and kill a gateway before, then or after."""
        control = self._live_control()
        gateway = self._gateway(fault)
        if gateway is None or len(control) < len(self._world.control):
            return False
        drawn = self._random(fault)
        delay_s = drawn.choice((0.0, drawn.random() * APART_S))
        hang = self._hang(drawn.choice(control), max(fault.duration_s, SHORTEST_HANG_S))
        first, then = hang, lambda: self._kill([], [gateway], fault)
        if drawn.random() < 0.5:
            first, then = then, first
        first()
        self._later(delay_s, then)
        return True

    def _hang(self, process: ControlProcess, lasts_s: float) -> Callable[[], None]:
        machine = process.place.machine

        def hang() -> None:
            if machine.up and not machine.frozen:
                self._note(self._world.history.control_disturbed[process.name], lasts_s)
                machine.freeze()
                self._later(lasts_s, machine.wake)

        return hang

    def _kill_holders(self, fault: SeededFault) -> bool:
        return self._kill_some(fault, [])

    def _kill_holders_and_gateway(self, fault: SeededFault) -> bool:
        gateway = self._gateway(fault)
        return gateway is not None and self._kill_some(fault, [gateway])

    def _kill_some(self, fault: SeededFault, gateways: Iterable[Gateway]) -> bool:
        control = self._live_control()
        if len(control) < HOLDERS:
            return False
        self._kill(self._random(fault).sample(control, HOLDERS), gateways, fault)
        return True

    def _kill_all(self, fault: SeededFault) -> bool:
        gateways = [one for one in self._world.gateways.values() if one.machine.up]
        self._kill(self._live_control(), gateways, fault)
        return True

    def _kill(
        self, control: Iterable[ControlProcess], gateways: Iterable[Gateway], fault: SeededFault
    ) -> None:
        """End processes at once, and start them again together."""
        history = self._world.history
        lasts_s = min(fault.duration_s, LONGEST_DOWN_S)
        for process in control:
            self._note(history.control_disturbed[process.name], lasts_s)
            process.kill()
            self._later(lasts_s, self._start_again(process))
        for gateway in gateways:
            if gateway.machine.up:
                self._note(history.gateway_disturbed[gateway.machine.name], lasts_s + READY_S)
                gateway.machine.kill()
                self._later(lasts_s, self._start_gateway_again(gateway))

    @staticmethod
    def _start_again(process: ControlProcess) -> Callable[[], None]:
        def start() -> None:
            if not process.place.machine.up:
                process.start()

        return start

    @staticmethod
    def _start_gateway_again(gateway: Gateway) -> Callable[[], None]:
        def start() -> None:
            if not gateway.machine.up:
                gateway.start()

        return start

    def _live_control(self) -> list[ControlProcess]:
        return [one for one in self._world.control.values() if one.place.machine.up]

    def _gateway(self, fault: SeededFault) -> Gateway | None:
        live = [
            one
            for one in self._world.gateways.values()
            if one.machine.up and not one.machine.frozen
        ]
        return live[fault.target % len(live)] if live else None

    def _note(self, spans: list[Span], lasts_s: float) -> None:
        now_s = self._world.scheduler.now_s
        spans.append(Span(now_s, now_s + lasts_s))
