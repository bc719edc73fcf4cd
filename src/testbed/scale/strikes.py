"""Failures of whole parts of the fleet, brought about in the middle of a scale run."""

from __future__ import annotations

import time
from collections.abc import Sequence
from enum import StrEnum

import msgspec
from loguru import logger

from testbed.scale.processes import ChildProcess


class Strike(StrEnum):
    """What fails half-way through the window."""

    NONE = "none"
    KILL_LEADER = "kill-leader"
    """The control process that leads group root is killed."""

    LOSE_ZONE = "lose-zone"
    """Every process in the zone of that control process is killed: hub, gateways, runners."""

    SILENCE_REGION = "silence-region"
    """Every process in its region stands still, then goes on.

    To the rest of the fleet this is a region that is cut off. Within the region it is not: a
    gateway that is cut off would go on serving by its last settings, a frozen one does not.
    """


class Struck(msgspec.Struct, frozen=True, kw_only=True):
    """What a strike hit.

    Attributes:
        zones: Zones that it hit whole; empty when it hit one process.
        processes: Names of the processes.
        at_s: Monotonic time at which it struck.
        until_s: Monotonic time at which what it hit went on; None when that never does.
    """

    zones: frozenset[str]
    processes: frozenset[str]
    at_s: float
    until_s: float | None = None


def kill(children: Sequence[ChildProcess], zones: frozenset[str]) -> Struck:
    """Kill processes, all before waiting for any: a zone goes at once."""
    at_s = time.monotonic()
    names = frozenset(child.name for child in children)
    logger.info("kill {}", ", ".join(sorted(names)))
    for child in children:
        child.send_kill()
    for child in children:
        child.kill()
    return Struck(zones=zones, processes=names, at_s=at_s)


def silence(children: Sequence[ChildProcess], zones: frozenset[str], silence_s: float) -> Struck:
    """Let processes stand still for a time; returns when they have gone on."""
    at_s = time.monotonic()
    names = frozenset(child.name for child in children)
    logger.info("silence {} for {} s", ", ".join(sorted(names)), silence_s)
    for child in children:
        child.freeze()
    try:
        time.sleep(silence_s)
    finally:
        for child in children:
            child.thaw()
    return Struck(zones=zones, processes=names, at_s=at_s, until_s=time.monotonic())
