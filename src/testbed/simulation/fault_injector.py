"""Carries out a fault schedule on a world, and counts what really struck."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from leverjunction.consensus.events import RepairDone
from testbed.simulation.control_node import ROOT_GROUP, ControlNode
from testbed.simulation.faults import Fault, FaultKind
from testbed.simulation.gateway_node import GatewayNode
from testbed.simulation.runner_node import RunnerNode
from testbed.simulation.world_parts import WorldParts

REPAIR_POLL_S = 0.05
REPAIR_PATIENCE_S = 25.0
CROSSED_SHARE = 0.8
STOP_GRACE_S = 30.0
CRASH_PATIENCE_S = 1.0


class FaultInjector:
    """Strikes the machines of a world.

    Data is lost on a minority of control machines at a time: after a disk loss the next one waits
    until the repair was reported as done for every group, and then may follow at once.
    """

    def __init__(self, parts: WorldParts) -> None:
        self._parts = parts
        for node in parts.control.values():
            for group, replica in node.replicas.items():
                replica.on_repair = self._repair_reporter(group)
                replica.on_crash = self._crash_handler(node)

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
            self._recover_control(node)
        for gateway in parts.gateways.values():
            self._recover_gateway(gateway)
        for runner in parts.runners.values():
            self._recover_runner(runner)

    def _strike(self, fault: Fault) -> None:
        handlers: dict[FaultKind, Callable[[Fault], bool]] = {
            FaultKind.KILL_CONTROL: self._kill_control,
            FaultKind.CRASH_IN_SYNC: self._crash_in_sync,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.LOSE_SECOND_DISK: self._lose_second_disk,
            FaultKind.CUT_CONTROL: self._cut_control,
            FaultKind.CUT_CONTROL_ONE_WAY: self._cut_control_one_way,
            FaultKind.FREEZE_CONTROL: self._freeze_control,
            FaultKind.RESTART_ALL_CONTROL: self._restart_all_control,
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
        if handlers[fault.kind](fault):
            self._parts.history.faults[fault.kind] += 1

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._parts.scheduler.after(delay_s, action)

    # Control machines.

    def _control(self, fault: Fault) -> ControlNode | None:
        nodes = [node for node in self._parts.control.values() if node.machine.up]
        if not nodes:
            return None
        leaders = [node for node in nodes if node.replicas[ROOT_GROUP].leads]
        if fault.at_leader and leaders:
            return leaders[0]
        return nodes[fault.target % len(nodes)]

    def _kill_control(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None:
            return False
        self._down_control(node)
        self._after(fault.duration_s, lambda: self._recover_control(node))
        return True

    def _down_control(self, node: ControlNode) -> None:
        for replica in node.replicas.values():
            replica.disk.crash()
        node.machine.kill()

    def _crash_in_sync(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None or node.machine.frozen:
            return False
        incarnation = node.machine.incarnation
        for replica in node.replicas.values():
            replica.disk.crash_in_sync = True

        def give_up() -> None:
            if node.machine.incarnation == incarnation:
                self._down_control(node)

        self._after(CRASH_PATIENCE_S, give_up)
        self._after(CRASH_PATIENCE_S + fault.duration_s, lambda: self._recover_control(node))
        return True

    def _crash_handler(self, node: ControlNode) -> Callable[[], None]:
        def crash() -> None:
            self._parts.history.faults["crash_struck_in_sync"] += 1
            self._down_control(node)

        return crash

    def _recover_control(self, node: ControlNode) -> None:
        if node.machine.up:
            node.machine.wake()
        else:
            node.restart()

    def _may_lose_disk(self) -> bool:
        return len(self._parts.unrepaired) < (len(self._parts.control) - 1) // 2

    def _lose_disk(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None or not self._may_lose_disk() or node.machine.name in self._parts.unrepaired:
            return False
        self._wipe(node, fault.duration_s)
        return True

    def _wipe(self, node: ControlNode, down_s: float) -> None:
        if node.machine.up:
            node.machine.kill()
        for replica in node.replicas.values():
            replica.disk.wipe()
        self._parts.unrepaired[node.machine.name] = set(node.replicas)
        if self._parts.history.counts["acknowledged_changes"]:
            self._parts.history.faults["disk_lost_after_acknowledgement"] += 1
        self._after(down_s, lambda: self._recover_control(node))

    def _repair_reporter(self, group: str) -> Callable[[RepairDone], None]:
        def report(done: RepairDone) -> None:
            waiting = self._parts.unrepaired.get(done.address)
            if waiting is None:
                return
            waiting.discard(group)
            if not waiting:
                del self._parts.unrepaired[done.address]
                self._parts.history.faults["repair_reported_done"] += 1

        return report

    def _lose_second_disk(self, fault: Fault) -> bool:
        """Lose one disk, and another machine's as soon as the repair is reported done."""
        node = self._control(fault)
        if node is None or not self._may_lose_disk() or node.machine.name in self._parts.unrepaired:
            return False
        self._wipe(node, min(fault.duration_s, 2.0))
        give_up_s = self._parts.scheduler.now_s + REPAIR_PATIENCE_S

        def poll() -> None:
            if self._parts.calm or self._parts.scheduler.now_s > give_up_s:
                return
            if node.machine.name in self._parts.unrepaired or not self._may_lose_disk():
                self._after(REPAIR_POLL_S, poll)
                return
            others = [n for n in self._parts.control.values() if n is not node]
            self._wipe(others[fault.target % len(others)], fault.duration_s)
            self._parts.history.faults["second_disk_lost_after_repair"] += 1

        self._after(REPAIR_POLL_S, poll)
        return True

    def _cut_control(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None:
            return False
        name = node.machine.name
        self._parts.network.isolate(name, list(self._parts.network.machines))
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def _cut_control_one_way(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None:
            return False
        name = node.machine.name
        for other in self._parts.control:
            if other != name:
                pair = (name, other) if fault.target % 2 else (other, name)
                self._parts.network.cut(*pair)
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def _freeze_control(self, fault: Fault) -> bool:
        node = self._control(fault)
        if node is None or node.machine.frozen:
            return False
        node.machine.freeze()
        self._after(fault.duration_s, node.machine.wake)
        return True

    def _restart_all_control(self, fault: Fault) -> bool:
        for node in self._parts.control.values():
            if node.machine.up:
                self._down_control(node)
            self._after(min(fault.duration_s, 4.0), partial(self._recover_control, node))
        return True

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
        runner = self._runner(fault)
        if runner is None:
            return False
        runner.crossing = CROSSED_SHARE

        def end() -> None:
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
            self._restart_all_control(fault)

        self._after(12.0, end)
        return True
