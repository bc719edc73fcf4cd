"""Carries out a fault schedule on a world, and counts what really struck."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from testbed.simulation.control_faults import ControlFaults, restart_s
from testbed.simulation.faults import Fault, FaultKind
from testbed.simulation.gateway_node import GatewayNode
from testbed.simulation.runner_node import RunnerNode
from testbed.simulation.world_parts import WorldParts

CROSSED_SHARE = 0.8
WHOLE_SERVICE_FROM = 1 << 15
"""Crossed answers with a target from here on, half of all, strike all back ends of a service."""

STOP_GRACE_S = 30.0
BURST_S = 12.0
"""Length of a burst of changes, after which all control machines are started again."""


class FaultInjector:
    """Strikes the machines of a world.

    Attributes:
        on_strike: Called with each fault, and whether it found a target.
        quiet_from_s: When the last fault that outlasts the schedule is over: a burst of changes
            ends with a restart of all control machines, perhaps after the others have ended.
    """

    def __init__(self, parts: WorldParts) -> None:
        self.quiet_from_s = 0.0
        self._parts = parts
        self._control = ControlFaults(parts)
        self.on_strike: Callable[[Fault, bool], None] = lambda _fault, _struck: None

    def plan(self, faults: list[Fault]) -> None:
        """Set up all faults of a schedule."""
        for fault in faults:
            self._parts.scheduler.after(fault.at_s, partial(self._strike, fault))

    def recover_all(self) -> None:
        """End every fault: the calm at the end of a run."""
        parts = self._parts
        parts.network.heal_all()
        parts.network.calm()
        for node in parts.control.values():
            self._control.recover(node)
        for gateway in parts.gateways.values():
            self._recover_gateway(gateway)
        for runner in parts.runners.values():
            self._recover_runner(runner)

    def _strike(self, fault: Fault) -> None:
        handlers: dict[FaultKind, Callable[[Fault], bool]] = {
            FaultKind.KILL_CONTROL: self._control.kill_control,
            FaultKind.CRASH_IN_SYNC: self._control.crash_in_sync,
            FaultKind.LOSE_DISK: self._control.lose_disk,
            FaultKind.LOSE_SECOND_DISK: self._control.lose_second_disk,
            FaultKind.CUT_CONTROL: self._control.cut_control,
            FaultKind.CUT_CONTROL_ONE_WAY: self._control.cut_control_one_way,
            FaultKind.FREEZE_CONTROL: self._control.freeze_control,
            FaultKind.RESTART_ALL_CONTROL: self._control.restart_all_control,
            FaultKind.KILL_GATEWAY: self._kill_gateway,
            FaultKind.FREEZE_GATEWAY: self._freeze_gateway,
            FaultKind.CUT_GATEWAY: self._cut_gateway,
            FaultKind.STOP_GATEWAY: self._stop_gateway,
            FaultKind.KILL_RUNNER: self._kill_runner,
            FaultKind.FREEZE_RUNNER: self._freeze_runner,
            FaultKind.CUT_RUNNER: self._cut_runner,
            FaultKind.RUNNER_LEAVES: self._runner_leaves,
            FaultKind.CROSS_ANSWERS: self._cross_answers,
            FaultKind.OPERATOR_BURST: self._operator_burst,
        }
        if self._parts.calm:
            return
        struck = handlers[fault.kind](fault)
        self.on_strike(fault, struck)
        if struck:
            self._parts.history.faults[fault.kind] += 1

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._parts.scheduler.after(delay_s, action)

    # Gateways.

    def _gateway(self, fault: Fault) -> GatewayNode | None:
        gateways = [
            gateway
            for gateway in self._parts.gateways.values()
            if gateway.machine.up and not gateway.stopping
        ]
        return gateways[fault.target % len(gateways)] if gateways else None

    def _kill_gateway(self, fault: Fault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None:
            return False
        if gateway.held_leases():
            self._parts.history.faults["gateway_killed_with_items_in_flight"] += 1
        gateway.kill()
        self._after(fault.duration_s, lambda: self._recover_gateway(gateway))
        return True

    def _freeze_gateway(self, fault: Fault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None or gateway.machine.frozen:
            return False
        gateway.machine.freeze()
        self._after(fault.duration_s, gateway.machine.wake)
        return True

    def _cut_gateway(self, fault: Fault) -> bool:
        """Cut a gateway off from control, or from everything."""
        gateway = self._gateway(fault)
        if gateway is None:
            return False
        name = gateway.name
        others = list(self._parts.control if fault.target % 2 else self._parts.network.machines)
        self._parts.network.isolate(name, others)
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def _stop_gateway(self, fault: Fault) -> bool:
        gateway = self._gateway(fault)
        if gateway is None or gateway.machine.frozen:
            return False
        incarnation = gateway.machine.incarnation

        def exited() -> None:
            self._after(fault.duration_s, lambda: self._recover_gateway(gateway))

        def give_up() -> None:
            if gateway.machine.incarnation == incarnation and not self._parts.calm:
                gateway.kill()
                self._recover_gateway(gateway)

        gateway.stop(exited)
        self._after(STOP_GRACE_S, give_up)
        return True

    def _recover_gateway(self, gateway: GatewayNode) -> None:
        if gateway.machine.up:
            gateway.machine.wake()
        else:
            gateway.start()

    # Back ends.

    def _runner(self, fault: Fault) -> RunnerNode | None:
        runners = [
            runner
            for runner in self._parts.runners.values()
            if runner.machine.up and runner.machine.name not in self._parts.history.leaving
        ]
        return runners[fault.target % len(runners)] if runners else None

    def _kill_runner(self, fault: Fault) -> bool:
        runner = self._runner(fault)
        if runner is None:
            return False
        if runner.engine.has_work():
            self._parts.history.faults["runner_killed_with_work_in_flight"] += 1
        runner.kill()
        self._after(fault.duration_s, lambda: self._recover_runner(runner))
        return True

    def _freeze_runner(self, fault: Fault) -> bool:
        runner = self._runner(fault)
        if runner is None or runner.machine.frozen:
            return False
        runner.machine.freeze()
        self._after(fault.duration_s, runner.machine.wake)
        return True

    def _cut_runner(self, fault: Fault) -> bool:
        runner = self._runner(fault)
        if runner is None:
            return False
        name = runner.machine.name
        self._parts.network.isolate(name, list(self._parts.network.machines))
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def _runner_leaves(self, fault: Fault) -> bool:
        """List a back end as leaving; it goes when its work is done or its time is over."""
        runner = self._runner(fault)
        of_service = [
            r for r in self._parts.runners.values() if runner and r.service == runner.service
        ]
        leaving = [r for r in of_service if r.machine.name in self._parts.history.leaving]
        if runner is None or len(leaving) + 2 > len(of_service):
            return False
        self._parts.history.leaving[runner.machine.name] = self._parts.scheduler.now_s
        return True

    def _recover_runner(self, runner: RunnerNode) -> None:
        if runner.machine.up:
            runner.machine.wake()
        else:
            runner.restart()

    def _cross_answers(self, fault: Fault) -> bool:
        """Cross the answers of one back end, or of its whole service as a proxy before it may."""
        target = self._runner(fault)
        if target is None:
            return False
        struck = [target]
        if fault.target >= WHOLE_SERVICE_FROM:
            runners = self._parts.runners.values()
            struck = [runner for runner in runners if runner.service == target.service]
        for runner in struck:
            runner.crossing = CROSSED_SHARE

        def end() -> None:
            for runner in struck:
                runner.crossing = 0.0

        self._after(fault.duration_s, end)
        return True

    def _operator_burst(self, fault: Fault) -> bool:
        """Hundreds of changes, and then a restart of all control machines."""
        for operator in self._parts.operators:
            operator.pause_s = 0.05
        self._parts.history.faults["restart_after_hundreds_of_changes"] += 1

        def end() -> None:
            for operator in self._parts.operators:
                operator.pause_s = 4.0
            self._control.restart_all_control(fault)

        self._after(BURST_S, end)
        over_s = self._parts.scheduler.now_s + BURST_S + restart_s(fault)
        self.quiet_from_s = max(self.quiet_from_s, over_s)
        return True
