"""Faults of a simulated seeded deployment, alone, in series and overlapping."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from typing import TYPE_CHECKING

from leverjunction.consensus.events import RepairDone
from testbed.simulation.history import Span
from testbed.simulation.seeded.fault_kinds import SeededFault, SeededFaultKind
from testbed.simulation.seeded.history import Strike
from testbed.simulation.seeded.routed.faults import BackEndFaults
from testbed.simulation.seeded.routed.release_faults import ReleaseFaults
from testbed.simulation.seeded.routed.stop_faults import StopFaults

if TYPE_CHECKING:
    from testbed.simulation.seeded.processes import ControlProcess
    from testbed.simulation.seeded.world import Gateway, SeededWorld

SLOW_SYNC_S = 0.3
"""Longest sync of a slow disk; half of it on average."""

SLOW_LINK_S = 0.15
"""One way over a slow link."""

CLOCK_STEP_MS = 600_000
"""By how much a wall clock is set forward or back."""


class SeededFaults:
    """Strikes the processes of a world, at most a minority of the control processes at a time."""

    def __init__(self, world: SeededWorld) -> None:
        self._world = world
        self._back_ends = BackEndFaults(world)
        self._stops = StopFaults(world)
        self._releases = ReleaseFaults(world)
        self._lost_s: dict[str, float] = {}
        for process in world.control.values():
            process.place.replica.on_repair = self._repaired
        self.on_strike: Callable[[SeededFault, bool], None] = lambda _fault, _struck: None

    def plan(self, faults: Sequence[SeededFault]) -> None:
        """Set up all faults of a schedule."""
        for fault in faults:
            self._world.scheduler.after(fault.at_s, partial(self._strike, fault))

    def _strike(self, fault: SeededFault) -> None:
        handlers: dict[SeededFaultKind, Callable[[SeededFault], bool]] = {
            SeededFaultKind.KILL_CONTROL: self._kill_control,
            SeededFaultKind.START_ON_FULL_DISK: self._start_on_full_disk,
            SeededFaultKind.LOSE_DISK: self._lose_disk,
            SeededFaultKind.FREEZE_CONTROL: self._freeze_control,
            SeededFaultKind.CUT_CONTROL: self._cut_control,
            SeededFaultKind.CUT_CONTROL_ONE_WAY: self._cut_control_one_way,
            SeededFaultKind.RESTART_ALL_CONTROL: self._restart_all_control,
            SeededFaultKind.KILL_GATEWAY: self._kill_gateway,
            SeededFaultKind.FREEZE_GATEWAY: self._freeze_gateway,
            SeededFaultKind.CUT_GATEWAY: self._cut_gateway,
            SeededFaultKind.SLOW_DISK: self._slow_disk,
            SeededFaultKind.STALL_DISK: self._stall_disk,
            SeededFaultKind.SLOW_LINKS: self._slow_links,
            SeededFaultKind.STEP_CLOCK: self._step_clock,
            **self._back_ends.handlers(),
            **self._releases.handlers(),
            **self._stops.handlers(),
        }
        struck = handlers[fault.kind](fault)
        self.on_strike(fault, struck)
        if struck:
            self._world.history.faults[fault.kind] += 1
            now_s = self._world.scheduler.now_s
            self._world.history.strikes.append(Strike(fault.kind, now_s))

    def _later(self, fault: SeededFault, action: Callable[[], None]) -> None:
        self._world.scheduler.after(fault.duration_s, action)

    def _well(self) -> list[ControlProcess]:
        now_s = self._world.scheduler.now_s
        spans = self._world.history.control_disturbed
        return [
            process
            for process in self._world.control.values()
            if process.name not in self._lost_s
            and all(span.end_s < now_s for span in spans[process.name])
        ]

    def _control(self, fault: SeededFault) -> ControlProcess | None:
        """Return the target, None when a majority would not be left."""
        control = self._world.control
        well = self._well()
        if len(well) <= len(control) // 2 + 1:
            return None
        leaders = [process for process in well if process.place.replica.leads]
        if fault.at_leader and leaders:
            return leaders[0]
        return well[fault.target % len(well)]

    def _note(self, spans: dict[str, list[Span]], name: str, lasts_s: float) -> None:
        now_s = self._world.scheduler.now_s
        spans[name].append(Span(now_s, now_s + lasts_s))

    def _note_control(self, process: ControlProcess, lasts_s: float) -> None:
        self._note(self._world.history.control_disturbed, process.name, lasts_s)

    def _kill_control(self, fault: SeededFault) -> bool:
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        process.kill()
        self._later(fault, process.start)
        return True

    def _start_on_full_disk(self, fault: SeededFault) -> bool:
        """End a process on a full disk; it is started again while the disk is still full."""
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        process.place.disk_refuses = True
        process.kill()
        self._world.scheduler.after(fault.duration_s / 2, process.start)

        def has_room() -> None:
            process.place.disk_refuses = False

        self._later(fault, has_room)
        return True

    def _lose_disk(self, fault: SeededFault) -> bool:
        """End a process and lose its disk; it counts as disturbed until its repair is reported."""
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        self._lost_s[process.name] = self._world.scheduler.now_s
        process.kill()
        process.place.replica.disk.wipe()
        process.place.segments.wipe()
        self._later(fault, process.start)
        return True

    def _repaired(self, done: RepairDone) -> None:
        """Each replica reports a repair; the first report counts."""
        lost_s = self._lost_s.pop(done.address, None)
        if lost_s is not None:
            span = Span(lost_s, self._world.scheduler.now_s)
            self._world.history.control_disturbed[done.address].append(span)

    def _freeze_control(self, fault: SeededFault) -> bool:
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        process.place.machine.freeze()
        self._later(fault, process.place.machine.wake)
        return True

    def _cut_control(self, fault: SeededFault) -> bool:
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        others = [name for name in self._world.control if name != process.name]
        self._world.network.isolate(process.name, others)
        self._later(fault, lambda: self._world.network.heal(process.name))
        return True

    def _cut_control_one_way(self, fault: SeededFault) -> bool:
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        for other in self._world.control:
            if other != process.name:
                self._world.network.cut(other, process.name)
        self._later(fault, lambda: self._world.network.heal(process.name))
        return True

    def _restart_all_control(self, fault: SeededFault) -> bool:
        # With a disk lost a majority of those that are left might be blank.
        if len(self._well()) < len(self._world.control):
            return False
        for process in self._world.control.values():
            self._note_control(process, fault.duration_s)
            process.kill()
            self._later(fault, process.start)
        return True

    def _gateway(self, fault: SeededFault) -> Gateway | None:
        gateways = [
            gateway
            for gateway in self._world.gateways.values()
            if gateway.machine.up and not gateway.machine.frozen
        ]
        return gateways[fault.target % len(gateways)] if gateways else None

    def _note_gateway(self, gateway: Gateway, lasts_s: float) -> None:
        self._note(self._world.history.gateway_disturbed, gateway.machine.name, lasts_s)

    def _kill_gateway(self, fault: SeededFault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None:
            return False
        self._note_gateway(gateway, fault.duration_s)
        gateway.machine.kill()
        self._later(fault, gateway.start)
        return True

    def _freeze_gateway(self, fault: SeededFault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None:
            return False
        self._note_gateway(gateway, fault.duration_s)
        self._note(self._world.history.gateway_frozen, gateway.machine.name, fault.duration_s)
        gateway.machine.freeze()
        self._later(fault, gateway.machine.wake)
        return True

    def _cut_gateway(self, fault: SeededFault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None:
            return False
        name = gateway.machine.name
        self._note_gateway(gateway, fault.duration_s)
        self._world.network.isolate(name, list(self._world.control))
        self._later(fault, lambda: self._world.network.heal(name))
        return True

    def _slow_disk(self, fault: SeededFault) -> bool:
        """Have each sync take long; the process runs, so that every promise holds."""
        process = self._control(fault)
        if process is None:
            return False
        disk = process.place.replica.disk
        disk.slow_sync_s = SLOW_SYNC_S
        self._later(fault, lambda: setattr(disk, "slow_sync_s", 0.0))
        return True

    def _stall_disk(self, fault: SeededFault) -> bool:
        """Have no sync end before the fault does."""
        process = self._control(fault)
        if process is None:
            return False
        self._note_control(process, fault.duration_s)
        process.place.replica.disk.stalled_until_s = self._world.scheduler.now_s + fault.duration_s
        return True

    def _slow_links(self, fault: SeededFault) -> bool:
        """Slow all links of a control process, which every promise outlives."""
        process = self._control(fault)
        if process is None:
            return False
        self._world.network.slow(process.name, SLOW_LINK_S)
        self._later(fault, lambda: self._world.network.slow(process.name, 0.0))
        return True

    def _step_clock(self, fault: SeededFault) -> bool:
        """Set a wall clock for good; nothing may hang on it."""
        machines = sorted(self._world.network.machines.values(), key=lambda one: one.name)
        machine = machines[fault.target % len(machines)]
        machine.step_wall_clock(CLOCK_STEP_MS if fault.at_leader else -CLOCK_STEP_MS)
        return True
