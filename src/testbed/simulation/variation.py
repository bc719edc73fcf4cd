"""Histories beside a seed's own: the same callers and faults, other draws of one source.

A fault that depends on an order of messages shows in few histories of its seed. Each variation has
a name (``network:17``), so that its history can be played again by one command.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TypeVar

from testbed.simulation.faults import Fault
from testbed.simulation.seeded.fault_kinds import SeededFault

AnyFault = TypeVar("AnyFault", Fault, SeededFault)

MOVED_AT_MOST_S = 3.0
"""How far a fault is moved, either way: longer than an election and a repair of a small group."""


class Source(StrEnum):
    """What is drawn otherwise than in the seed's own history."""

    NETWORK = "network"
    REPLICAS = "replicas"
    IDS = "ids"
    CLOCKS = "clocks"
    TIMERS = "timers"
    FAULT_TIME = "fault_time"


PURPOSES: dict[Source, tuple[str, ...]] = {
    Source.NETWORK: ("network",),
    Source.REPLICAS: ("replica/",),
    Source.IDS: ("product",),
    Source.CLOCKS: ("clock/",),
    Source.TIMERS: ("control/", "gateway/", "client/"),
    Source.FAULT_TIME: (),
}
"""Beginnings of the purposes of ``World.generator`` that a source stands for."""


@dataclass(frozen=True)
class Variation:
    """One history beside the seed's own.

    Attributes:
        source: What is drawn otherwise.
        draw: Number of the draw, from 0.
    """

    source: Source
    draw: int

    @classmethod
    def from_name(cls, name: str) -> Variation | None:
        """Return the variation of a name such as ``network:17``; None when it is not one."""
        source, _, draw = name.partition(":")
        if source not in set(Source) or not draw.isdecimal():
            return None
        return cls(Source(source), int(draw))

    @property
    def name(self) -> str:
        """Name on the command line."""
        return f"{self.source}:{self.draw}"

    def suffix(self, purpose: str) -> str:
        """Return what is added to the seed of a generator, empty for those that stay."""
        varied = any(purpose.startswith(start) for start in PURPOSES[self.source])
        return f"/{self.name}" if varied else ""

    def moved(self, faults: Sequence[AnyFault], seed: int, begin_s: float) -> list[AnyFault]:
        """Return the faults, one of them moved in time when that is what varies."""
        if self.source is not Source.FAULT_TIME or not faults:
            return list(faults)
        generator = random.Random(f"{seed}/{self.name}")
        chosen = generator.randrange(len(faults))
        by_s = generator.uniform(-MOVED_AT_MOST_S, MOVED_AT_MOST_S)
        at_s = max(begin_s, faults[chosen].at_s + by_s)
        moved = list(faults)
        moved[chosen] = replace(moved[chosen], at_s=at_s)
        return sorted(moved, key=lambda fault: fault.at_s)


def variations(count: int, sources: Sequence[Source] = ()) -> list[Variation]:
    """Return ``count`` variations, the sources in turn."""
    chosen = list(sources) or list(Source)
    return [
        Variation(chosen[number % len(chosen)], number // len(chosen)) for number in range(count)
    ]
