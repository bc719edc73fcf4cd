"""What happened when in one run: faults, leaders, repairs, starts, and the product's log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from testbed.simulation.faults import Fault

if TYPE_CHECKING:
    from testbed.simulation.world import World

LOG_LEVEL = "INFO"


LOOK_INTERVAL_S = 0.05


def follow(world: World, lines: list[str]) -> None:
    """Add a line ``seconds  what`` to ``lines`` for all that happens in a run."""
    _Timeline(world, lines).look()


class _Timeline:
    """Writes the lines of one run, in virtual time."""

    def __init__(self, world: World, lines: list[str]) -> None:
        self.lines = lines
        self._world = world
        self._last_roles: dict[str, str] = {}
        world.injector.on_strike = self._struck
        threads = world.fibers.threads
        logger.add(
            lambda message: self.note(f"log   {self._machine()}{str(message).rstrip()}"),
            level=LOG_LEVEL,
            format="{name}: {message}",
            filter=lambda record: record["thread"].id in threads,
        )

    def _machine(self) -> str:
        """Return the name of the machine whose process runs now, as the head of a line."""
        fiber = self._world.fibers.current
        return f"{fiber.machine.name}: " if fiber is not None else ""

    def note(self, text: str) -> None:
        """Add a line of this moment."""
        self.lines.append(f"{self._world.parts.scheduler.now_s:9.3f}  {text}")

    def look(self) -> None:
        """Note each replica whose role, term, identity or members changed since the last look."""
        self._world.parts.scheduler.after(LOOK_INTERVAL_S, self.look)
        for node in self._world.parts.control.values():
            for group, replica in node.replicas.items():
                core = replica.core
                members = " ".join(
                    f"{member.replica_id[:4]}@{member.address}{'' if member.voter else '?'}"
                    for member in core.configuration.members
                )
                state = (
                    "down"
                    if not node.machine.up
                    else (
                        f"{core.replica_id[:4]} {core.role} term {core.term}, leader "
                        f"{core.leader_address or '-'}, members {members or '-'}"
                    )
                )
                name = f"{group} {node.machine.name}"
                if self._last_roles.get(name) != state:
                    self._last_roles[name] = state
                    self.note(f"state {name}: {state}, commit {core.commit_index}")

    def _struck(self, fault: Fault, found_target: bool) -> None:
        met = "" if found_target else ", met nothing"
        self.note(f"fault {fault.kind} for {fault.duration_s:.1f} s{met}")
