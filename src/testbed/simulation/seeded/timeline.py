"""What happened when in one run of the seeded deployment: faults, leaders, the product's lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from testbed.simulation.seeded.fault_kinds import SeededFault

if TYPE_CHECKING:
    from testbed.simulation.seeded.world import SeededWorld

LOOK_INTERVAL_S = 0.05


def follow(world: SeededWorld, lines: list[str]) -> None:
    """Add a line ``seconds  what`` to ``lines`` for all that happens in a run."""
    threads = world.fibers.threads
    states: dict[str, str] = {}

    def note(text: str) -> None:
        lines.append(f"{world.scheduler.now_s:9.3f}  {text}")

    def machine() -> str:
        fiber = world.fibers.current
        return f"{fiber.machine.name}: " if fiber is not None else ""

    def struck(fault: SeededFault, found_target: bool) -> None:
        met = "" if found_target else ", met nothing"
        note(f"fault {fault.kind} for {fault.duration_s:.1f} s{met}")

    def look() -> None:
        world.scheduler.after(LOOK_INTERVAL_S, look)
        for process in world.control.values():
            core = process.place.replica.core
            up = process.place.machine.up
            state = f"{core.role} term {core.term}, leader {core.leader_address or '-'}"
            state = state if up else "down"
            if states.get(process.name) != state:
                states[process.name] = state
                note(f"state {process.name}: {state}, commit {core.commit_index}")

    logger.add(
        lambda message: note(f"log   {machine()}{str(message).rstrip()}"),
        level="INFO",
        format="{name}: {message}",
        filter=lambda record: record["thread"].id in threads,
    )
    world.faults.on_strike = struck
    look()
