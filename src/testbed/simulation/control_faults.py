"""Faults of control machines.

Data is lost on a minority of them at a time: after a disk loss the next one waits until the repair
was reported as done for every group, and then may follow at once.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from leverjunction.consensus.events import RepairDone
from testbed.simulation.control_node import ROOT_GROUP, ControlNode
from testbed.simulation.faults import Fault
from testbed.simulation.world_parts import WorldParts

REPAIR_POLL_S = 0.05
REPAIR_PATIENCE_S = 25.0
CRASH_PATIENCE_S = 1.0


RESTART_MOST_S = 4.0


def restart_s(fault: Fault) -> float:
    """Return for how long all control processes are down when a fault restarts them."""
    return min(fault.duration_s, RESTART_MOST_S)


class ControlFaults:
    """Strikes control machines; each fault returns whether it found a target."""

    def __init__(self, parts: WorldParts) -> None:
        self._parts = parts
        for node in parts.control.values():
            for group, replica in node.replicas.items():
                replica.on_repair = self._repair_reporter(group)
                replica.on_crash = self._crash_handler(node)

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._parts.scheduler.after(delay_s, action)

    def _target(self, fault: Fault) -> ControlNode | None:
        nodes = [node for node in self._parts.control.values() if node.machine.up]
        if not nodes:
            return None
        leaders = [node for node in nodes if node.replicas[ROOT_GROUP].leads]
        if fault.at_leader and leaders:
            return leaders[0]
        return nodes[fault.target % len(nodes)]

    def kill_control(self, fault: Fault) -> bool:
        """Kill a control process."""
        node = self._target(fault)
        if node is None:
            return False
        self._down_control(node)
        self._after(fault.duration_s, lambda: self.recover(node))
        return True

    def _down_control(self, node: ControlNode) -> None:
        for replica in node.replicas.values():
            replica.disk.crash()
        node.machine.kill()

    def crash_in_sync(self, fault: Fault) -> bool:
        """Kill a control process in the middle of its next sync."""
        node = self._target(fault)
        if node is None or node.machine.frozen:
            return False
        incarnation = node.machine.incarnation
        for replica in node.replicas.values():
            replica.disk.crash_in_sync = True

        def give_up() -> None:
            if node.machine.incarnation == incarnation:
                self._down_control(node)

        self._after(CRASH_PATIENCE_S, give_up)
        self._after(CRASH_PATIENCE_S + fault.duration_s, lambda: self.recover(node))
        return True

    def _crash_handler(self, node: ControlNode) -> Callable[[], None]:
        def crash() -> None:
            self._parts.history.faults["crash_struck_in_sync"] += 1
            self._down_control(node)

        return crash

    def recover(self, node: ControlNode) -> None:
        """Start or wake a control process."""
        if node.machine.up:
            node.machine.wake()
        else:
            node.restart()

    def _may_lose_disk(self) -> bool:
        return len(self._parts.unrepaired) < (len(self._parts.control) - 1) // 2

    def lose_disk(self, fault: Fault) -> bool:
        """Kill a control process and lose its data."""
        node = self._target(fault)
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
        self._after(down_s, lambda: self.recover(node))

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

    def lose_second_disk(self, fault: Fault) -> bool:
        """Lose one disk, and another machine's as soon as the repair is reported done."""
        node = self._target(fault)
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

    def cut_control(self, fault: Fault) -> bool:
        """Cut a control machine off from everything, in silence."""
        node = self._target(fault)
        if node is None:
            return False
        name = node.machine.name
        self._parts.network.isolate(name, list(self._parts.network.machines))
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def cut_control_one_way(self, fault: Fault) -> bool:
        """Cut the links between control machines in one direction."""
        node = self._target(fault)
        if node is None:
            return False
        name = node.machine.name
        for other in self._parts.control:
            if other != name:
                pair = (name, other) if fault.target % 2 else (other, name)
                self._parts.network.cut(*pair)
        self._after(fault.duration_s, lambda: self._parts.network.heal(name))
        return True

    def freeze_control(self, fault: Fault) -> bool:
        """Stop a control process without ending it."""
        node = self._target(fault)
        if node is None or node.machine.frozen:
            return False
        node.machine.freeze()
        self._after(fault.duration_s, node.machine.wake)
        return True

    def restart_all_control(self, fault: Fault) -> bool:
        """Kill all control processes and start them again."""
        for node in self._parts.control.values():
            if node.machine.up:
                self._down_control(node)
            self._after(restart_s(fault), partial(self.recover, node))
        return True
