"""Kinds of faults of a simulated seeded deployment, and schedules of them."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from testbed.simulation.faults import together_moments

FEWEST_FAULTS = 3
MOST_FAULTS = 10
SHORTEST_S = 0.3
LONGEST_S = 8.0


class SeededFaultKind(StrEnum):
    """Kinds of faults, as they are counted in a report."""

    KILL_CONTROL = "kill_control"
    START_ON_FULL_DISK = "start_on_full_disk"
    LOSE_DISK = "lose_disk"
    FREEZE_CONTROL = "freeze_control"
    CUT_CONTROL = "cut_control"
    CUT_CONTROL_ONE_WAY = "cut_control_one_way"
    RESTART_ALL_CONTROL = "restart_all_control"
    KILL_GATEWAY = "kill_gateway"
    FREEZE_GATEWAY = "freeze_gateway"
    CUT_GATEWAY = "cut_gateway"
    SLOW_DISK = "slow_disk"
    STALL_DISK = "stall_disk"
    SLOW_LINKS = "slow_links"
    STEP_CLOCK = "step_clock"
    KILL_BACK_END = "kill_back_end"
    FREEZE_BACK_END = "freeze_back_end"
    LEAVE_BACK_END = "leave_back_end"
    CUT_BACK_END = "cut_back_end"
    SILENCE_CONNECTIONS = "silence_connections"
    STOP_GATEWAY = "stop_gateway"
    RELEASE = "release"
    RELEASE_AND_KILL_GATEWAY = "release_and_kill_gateway"
    HANG_CONTROL_AND_KILL_GATEWAY = "hang_control_and_kill_gateway"
    KILL_HOLDERS = "kill_holders"
    KILL_HOLDERS_AND_GATEWAY = "kill_holders_and_gateway"
    KILL_ALL = "kill_all"
    STOP_BUSY = "stop_busy"
    STOP_TWO = "stop_two"
    STOP_BESIDE_SILENCE = "stop_beside_silence"
    STOP_BESIDE_SLOWNESS = "stop_beside_slowness"
    STOP_BESIDE_CHANGE = "stop_beside_change"
    STOP_DURING_START = "stop_during_start"
    STOP_BESIDE_PAUSE = "stop_beside_pause"


BUSY_STOPS = (
    SeededFaultKind.STOP_BUSY,
    SeededFaultKind.STOP_TWO,
    SeededFaultKind.STOP_BESIDE_SILENCE,
    SeededFaultKind.STOP_BESIDE_SLOWNESS,
    SeededFaultKind.STOP_BESIDE_CHANGE,
    SeededFaultKind.STOP_DURING_START,
    SeededFaultKind.STOP_BESIDE_PAUSE,
)
"""Planned stops of gateways whose callers are busy; they strike only where they are named."""


WEIGHTS: dict[SeededFaultKind, float] = {
    SeededFaultKind.KILL_CONTROL: 3,
    SeededFaultKind.START_ON_FULL_DISK: 2,
    SeededFaultKind.LOSE_DISK: 2,
    SeededFaultKind.FREEZE_CONTROL: 3,
    SeededFaultKind.CUT_CONTROL: 2,
    SeededFaultKind.CUT_CONTROL_ONE_WAY: 2,
    SeededFaultKind.RESTART_ALL_CONTROL: 0.5,
    SeededFaultKind.KILL_GATEWAY: 1,
    SeededFaultKind.FREEZE_GATEWAY: 1,
    SeededFaultKind.CUT_GATEWAY: 1,
}

WIDE_WEIGHTS: dict[SeededFaultKind, float] = {
    **WEIGHTS,
    SeededFaultKind.SLOW_DISK: 3,
    SeededFaultKind.STALL_DISK: 2,
    SeededFaultKind.SLOW_LINKS: 3,
    SeededFaultKind.STEP_CLOCK: 2,
}


ROUTED_WEIGHTS: dict[SeededFaultKind, float] = {
    **WEIGHTS,
    SeededFaultKind.KILL_BACK_END: 4,
    SeededFaultKind.FREEZE_BACK_END: 3,
    SeededFaultKind.LEAVE_BACK_END: 4,
    SeededFaultKind.CUT_BACK_END: 3,
    SeededFaultKind.SILENCE_CONNECTIONS: 3,
    SeededFaultKind.STOP_GATEWAY: 2,
}

VERSIONS_WEIGHTS: dict[SeededFaultKind, float] = {
    **ROUTED_WEIGHTS,
    SeededFaultKind.KILL_GATEWAY: 12,
    SeededFaultKind.CUT_GATEWAY: 2,
    SeededFaultKind.KILL_BACK_END: 8,
}
"""More of what breaks streams."""

RELEASES_WEIGHTS: dict[SeededFaultKind, float] = {
    SeededFaultKind.RELEASE: 4,
    SeededFaultKind.RELEASE_AND_KILL_GATEWAY: 4,
    SeededFaultKind.HANG_CONTROL_AND_KILL_GATEWAY: 4,
    SeededFaultKind.KILL_HOLDERS: 2,
    SeededFaultKind.KILL_HOLDERS_AND_GATEWAY: 3,
    SeededFaultKind.KILL_ALL: 2,
    SeededFaultKind.KILL_GATEWAY: 4,
    SeededFaultKind.FREEZE_GATEWAY: 1,
    SeededFaultKind.CUT_GATEWAY: 1,
    SeededFaultKind.FREEZE_CONTROL: 2,
    SeededFaultKind.KILL_CONTROL: 1,
    SeededFaultKind.KILL_BACK_END: 2,
    SeededFaultKind.SILENCE_CONNECTIONS: 1,
}
"""Releases beside faults of what knows the origins of streams."""


@dataclass(frozen=True)
class SeededFault:
    """One fault of a schedule.

    Attributes:
        at_s: When it strikes.
        kind: What goes wrong.
        duration_s: How long it lasts.
        target: Number that chooses the target among those there are.
        at_leader: True when a control fault shall strike the leader.
    """

    at_s: float
    kind: SeededFaultKind
    duration_s: float
    target: int
    at_leader: bool


def schedule(
    generator: random.Random,
    begin_s: float,
    end_s: float,
    weights: Mapping[SeededFaultKind, float],
    only: Sequence[SeededFaultKind] = (),
) -> list[SeededFault]:
    """Return a random schedule between two moments, in order of time."""
    count = generator.randint(FEWEST_FAULTS, MOST_FAULTS)
    kinds = list(only) or list(weights)
    return [
        SeededFault(
            at_s=moment_s,
            kind=generator.choices(kinds, [weights.get(kind, 1) for kind in kinds])[0],
            duration_s=float(SHORTEST_S * (LONGEST_S / SHORTEST_S) ** generator.random()),
            target=generator.randrange(1 << 16),
            at_leader=generator.random() < 0.5,
        )
        for moment_s in together_moments(generator, count, begin_s, end_s)
    ]
