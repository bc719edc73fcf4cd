"""Shapes of the simulated seeded deployment: sizes, faults and operators, by scenario."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from testbed.simulation.seeded.fault_kinds import (
    RELEASES_WEIGHTS,
    ROUTED_WEIGHTS,
    VERSIONS_WEIGHTS,
    WEIGHTS,
    WIDE_WEIGHTS,
    SeededFault,
    SeededFaultKind,
)

SEEDED = "seeded"
SEEDED_WIDE = "seeded-wide"
SEEDED_ROUTED = "seeded-routed"
SEEDED_VERSIONS = "seeded-versions"
SEEDED_RELEASES = "seeded-releases"


@dataclass(frozen=True)
class StreamersShape:
    """Callers of streams that are taken up again.

    Attributes:
        per_gateway: Callers that begin their streams at one gateway.
        deadline_s: Time after which a caller gives up a stream.
        most_tries: Requests after which a caller gives up a stream.
        pause_s: Longest pause between two requests for a stream.
    """

    per_gateway: int = 6
    deadline_s: float = 5.0
    most_tries: int = 4
    pause_s: float = 0.25


@dataclass(frozen=True)
class SeededShape:
    """What a deployment consists of; a seed draws within it.

    Attributes:
        control_sizes: Numbers of control processes to draw from.
        fewest_gateways: Least number of gateways.
        most_gateways: Greatest number of gateways.
        zones: Zones, over which machines are spread in turn.
        weights: Kinds of faults, and how often each strikes beside the others.
        has_rival: A second operator sends other tables under the first one's versions, and
            invalid ones.
        routes: Routes of a table.
        added_routes: Routes besides these: each version adds one, and drops the oldest.
        versions: Versions of the back ends' software, of which each start draws one; with any,
            callers take up broken streams again.
        back_ends: Back ends; with any, the gateways are whole and have callers.
        spare_back_ends: Back ends that are started by releases only.
        slots: Requests that a back end says it works on at once.
        streamers: Callers of streams, and how long they try.
        fixed_faults: The schedule of faults; None to draw one from the seed.
    """

    control_sizes: tuple[int, ...] = (3, 5, 5)
    fewest_gateways: int = 3
    most_gateways: int = 9
    zones: tuple[str, ...] = ("a", "b", "c")
    weights: Mapping[SeededFaultKind, float] = field(default_factory=lambda: WEIGHTS)
    has_rival: bool = False
    routes: int = 4
    added_routes: int = 0
    back_ends: int = 0
    versions: tuple[str, ...] = ()
    spare_back_ends: int = 0
    slots: int = 8
    streamers: StreamersShape = StreamersShape()
    fixed_faults: tuple[SeededFault, ...] | None = None


SHAPES: dict[str, SeededShape] = {
    SEEDED: SeededShape(),
    SEEDED_WIDE: SeededShape(
        control_sizes=(4, 7, 9),
        fewest_gateways=2,
        most_gateways=16,
        zones=("a", "b"),
        weights=WIDE_WEIGHTS,
        has_rival=True,
    ),
    SEEDED_ROUTED: SeededShape(
        control_sizes=(3, 3, 5),
        fewest_gateways=2,
        most_gateways=4,
        weights=ROUTED_WEIGHTS,
        added_routes=30,
        back_ends=5,
    ),
    SEEDED_VERSIONS: SeededShape(
        control_sizes=(3, 3, 5),
        fewest_gateways=2,
        most_gateways=4,
        weights=VERSIONS_WEIGHTS,
        added_routes=30,
        back_ends=8,
        versions=("v1", "v1.1"),
    ),
    SEEDED_RELEASES: SeededShape(
        control_sizes=(3, 3, 5),
        fewest_gateways=2,
        most_gateways=3,
        weights=RELEASES_WEIGHTS,
        added_routes=30,
        back_ends=8,
        versions=("v1",),
        spare_back_ends=6,
        slots=16,
        streamers=StreamersShape(per_gateway=32, deadline_s=14.0, most_tries=24, pause_s=0.8),
    ),
}
"""Shapes by the name of their scenario on the command line."""
