"""What the harvester keeps of runs and runners, and what a round of decisions asks for."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from leverjunction.batch.commands import ItemResult
from leverjunction.batch.harvest import HarvestController
from leverjunction.batch.held_work import WorkItem, request_id_of
from leverjunction.wire.messages import RunnerState


@dataclass
class Run:
    """One run of an item on an engine.

    ``parked_s`` is when it was first told to stop, ``begun_s`` when it was sent, and
    ``missing_since_s`` since when its runner does not list it.
    """

    work: WorkItem
    runner_id: str
    address: str
    priority: int
    started_s: float
    parking: bool = False
    parked_s: float = math.inf
    dropped: bool = False
    cancelled_s: float = -math.inf
    begun_s: float | None = None
    missing_since_s: float | None = None

    @property
    def request_id(self) -> str:
        """Id under which its engine knows it."""
        return request_id_of(self.work)


@dataclass
class OwnedRunner:
    """A runner with its controller; it stays known until its last run has ended."""

    state: RunnerState
    controller: HarvestController
    owned: bool = True
    not_before_s: float = 0.0
    note: str = ""
    looked_s: float = -math.inf


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
    looks: list[RunnerState] = field(default_factory=list)
