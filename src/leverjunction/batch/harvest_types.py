"""What the harvester keeps of runs and runners, and what a round of decisions asks for."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from leverjunction.batch.commands import ItemResult
from leverjunction.batch.harvest import HarvestController
from leverjunction.batch.held_work import WorkItem
from leverjunction.wire.messages import RunnerState


@dataclass
class Run:
    """One run of an item on an engine; ``parked_s`` is when it was first told to stop."""

    work: WorkItem
    runner_id: str
    address: str
    priority: int
    started_s: float
    parking: bool = False
    parked_s: float = math.inf
    dropped: bool = False
    cancelled_s: float = -math.inf


@dataclass
class OwnedRunner:
    """A runner with its controller; it stays known until its last run has ended."""

    state: RunnerState
    controller: HarvestController
    owned: bool = True
    not_before_s: float = 0.0
    note: str = ""


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """A final outcome to commit."""

    group: str
    lease_id: str
    result: ItemResult


class GiveBack(msgspec.Struct, frozen=True):
    """An item to put back into the queue of its job."""

    work: WorkItem
    group: str


@dataclass
class Plan:
    """What to carry out after a round of decisions."""

    starts: list[Run] = field(default_factory=list)
    cancels: list[Run] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    give_back: list[GiveBack] = field(default_factory=list)
