"""Data types of the harvester: runs, runners and plans."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from leverjunction.batch.commands import ItemResult, LostRunner, ProvenRun
from leverjunction.batch.harvest import HarvestController
from leverjunction.batch.held_work import WorkItem, request_id_of
from leverjunction.wire.messages import RunnerState


@dataclass
class Run:
    """One run of an item on an engine. All times are monotonic seconds.

    Attributes:
        work: The item.
        runner_id: Runner on which it runs.
        address: ``host:port`` of the runner.
        priority: Priority in the engine.
        started_s: When the run was planned.
        incarnation: Incarnation of the runner for which the run was planned.
        is_isolated: Whether the run started alone on its runner.
        parking: Whether the run is being cancelled in order to continue its item later.
        parked_s: When the run was first cancelled for parking.
        dropped: Whether the result of the run no longer counts.
        cancelled_s: When the last cancel was sent.
        sent_s: When the request was sent; None before that.
        is_proven: Whether the run is known to have gone on for ``ISOLATION_S``.
        missing_since_s: Since when the runner does not list the run; None while it does.
    """

    work: WorkItem
    runner_id: str
    address: str
    priority: int
    started_s: float
    incarnation: int = 0
    is_isolated: bool = False
    parking: bool = False
    parked_s: float = math.inf
    dropped: bool = False
    cancelled_s: float = -math.inf
    sent_s: float | None = None
    missing_since_s: float | None = None
    is_proven: bool = False

    @property
    def request_id(self) -> str:
        """Request id of the run at its engine."""
        return request_id_of(self.work)


@dataclass
class OwnedRunner:
    """A runner and its controller, kept until the last run on the runner has ended.

    Attributes:
        state: The runner as listed by the hub.
        controller: Decides how many batch requests the runner holds.
        owned: Whether this gateway owns the runner now.
        paused_until_s: Monotonic time until which no new item starts.
        last_reason: Explanation of the controller's last decision.
        queried_s: Monotonic time of the last query for the runner's requests.
    """

    state: RunnerState
    controller: HarvestController
    owned: bool = True
    paused_until_s: float = 0.0
    last_reason: str = ""
    queried_s: float = -math.inf


class ItemOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The final outcome of an item, to be committed in its job group."""

    group: str
    lease_id: str
    result: ItemResult


class RunReport(msgspec.Struct, frozen=True):
    """What a gateway reports about a run to the group of its job, besides the item's outcome."""

    group: str
    lease_id: str
    content: LostRunner | ProvenRun


class ReturnedItem(msgspec.Struct, frozen=True):
    """An item to return to the queue of its job."""

    work: WorkItem
    group: str


@dataclass
class Plan:
    """Actions to carry out after a round of decisions.

    Attributes:
        starts: Runs to send.
        cancels: Runs to cancel on their engines.
        outcomes: Final outcomes to commit.
        returned: Items to return to their jobs.
        reports: Reports about runs to the groups of their jobs.
        runners_to_query: Runners to ask for the requests that they hold.
    """

    starts: list[Run] = field(default_factory=list)
    cancels: list[Run] = field(default_factory=list)
    outcomes: list[ItemOutcome] = field(default_factory=list)
    returned: list[ReturnedItem] = field(default_factory=list)
    reports: list[RunReport] = field(default_factory=list)
    runners_to_query: list[RunnerState] = field(default_factory=list)
