"""Feeds batch items to runners as a policy allows, and takes them off again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from leverjunction.backends.types import LoadReport
from leverjunction.batch.harvest import HarvestController, HarvestTargets
from leverjunction.batch.harvest_state import BYTES_PER_TOKEN
from testbed.engine.types import Emission, EngineRequest, FinishReason, LoadReading
from testbed.load.harm.batch_supply import BatchItem, Supply
from testbed.load.harm.virtual_runner import VirtualRunner
from testbed.simulation.scheduler import Scheduler

BATCH_PRIORITY = 1


@dataclass(frozen=True)
class FeedDecision:
    """What to start and to take off now."""

    start: int
    park: list[int]


class FeedPolicy(Protocol):
    """Decides how much batch work one runner holds."""

    def started(self, request: int, now_s: float, prompt_tokens: int) -> None:
        """Take note that an item was sent, with the product's estimate of its prompt."""
        ...

    def ended(self, request: int) -> None:
        """Take note that an item has left the runner."""
        ...

    def decide(self, now_s: float) -> FeedDecision:
        """Return what to do now."""
        ...


@dataclass
class FillPolicy:
    """The baseline: keeps the runner full and never yields."""

    slots: int
    _held: int = 0

    def started(self, request: int, now_s: float, prompt_tokens: int) -> None:
        """Take note that an item was sent."""
        self._held += 1

    def ended(self, request: int) -> None:
        """Take note that an item has left the runner."""
        self._held -= 1

    def decide(self, now_s: float) -> FeedDecision:
        """Fill every free slot."""
        return FeedDecision(start=max(0, self.slots - self._held), park=[])


class HarvestPolicy:
    """The product's controller. ``controller`` is fed by the experiment."""

    def __init__(self, targets: HarvestTargets) -> None:
        self.controller = HarvestController(targets)

    def started(self, request: int, now_s: float, prompt_tokens: int) -> None:
        """Take note that an item was sent."""
        self.controller.started(request, now_s, prompt_tokens=prompt_tokens)

    def ended(self, request: int) -> None:
        """Take note that an item has left the runner."""
        self.controller.ended(request)

    def decide(self, now_s: float) -> FeedDecision:
        """Ask the controller."""
        decision = self.controller.decide(now_s)
        return FeedDecision(start=decision.start, park=decision.park)


@dataclass
class BatchMeasures:
    """Batch work done."""

    items_done: int = 0
    tokens: int = 0
    parked: int = 0


@dataclass
class _Run:
    """One run of an item on the runner."""

    item: BatchItem
    key: int
    request_id: str
    texts: list[str] = field(default_factory=list)


@dataclass
class BatchFeed:
    """Carries out one policy on one runner.

    Attributes:
        delay_s: One way between the owner and the runner.
    """

    scheduler: Scheduler
    runner: VirtualRunner
    policy: FeedPolicy
    supply: Supply
    measures: BatchMeasures
    model: str
    delay_s: float
    _running: dict[int, _Run] = field(default_factory=dict)
    _sequence: int = 0
    _deciding: bool = False

    def act(self) -> None:
        """Ask the policy and carry its decision out."""
        if self._deciding:
            return
        self._deciding = True
        decision = self.policy.decide(self.scheduler.now_s)
        for request in decision.park:
            self._park(request)
        for _ in range(decision.start):
            if not self._start():
                break
        self._deciding = False

    def _start(self) -> bool:
        item = self.supply.take()
        if item is None:
            return False
        item.run += 1
        self._sequence += 1
        run = _Run(item, self._sequence, f"{item.arrival.request_id}/{item.run}")
        self._running[run.key] = run
        self.policy.started(run.key, self.scheduler.now_s, _estimated_tokens(item))
        request = EngineRequest(
            request_id=run.request_id,
            model=self.model,
            prompt=item.arrival.prompt,
            priority=BATCH_PRIORITY,
            max_tokens=item.arrival.output_tokens,
            min_tokens=item.arrival.output_tokens,
            continue_text=item.continue_text,
        )
        self._later(lambda: self._submit(run, request))
        return True

    def _submit(self, run: _Run, request: EngineRequest) -> None:
        if not self.runner.submit(request, lambda emission: self._emitted(run, emission)):
            self._later(lambda: self._ended(run, done=False))

    def _park(self, key: int) -> None:
        request_id = self._running[key].request_id
        self._later(lambda: self.runner.cancel(request_id))

    def _emitted(self, run: _Run, emission: Emission) -> None:
        if emission.text:
            self.measures.tokens += 1
            run.texts.append(emission.text)
        if emission.finish_reason is None:
            return
        done = emission.finish_reason is not FinishReason.CANCELLED
        self._later(lambda: self._ended(run, done=done))

    def _ended(self, run: _Run, *, done: bool) -> None:
        del self._running[run.key]
        self.policy.ended(run.key)
        if done:
            self.measures.items_done += 1
        else:
            self.measures.parked += 1
            run.item.continue_text += "".join(run.texts)
            self.supply.give_back(run.item)
        self.act()

    def _later(self, callback: Callable[[], None]) -> None:
        self.scheduler.after(self.delay_s, callback)


def _estimated_tokens(item: BatchItem) -> int:
    """Estimate a prompt as the product does, which does not know the engine's tokenizer."""
    return max(1, (len(item.arrival.prompt) + len(item.continue_text)) // BYTES_PER_TOKEN)


def report_of(reading: LoadReading) -> LoadReport:
    """Return a reading of the engine model as the product's client gives it."""
    return LoadReport(
        as_of_ms=reading.as_of_ms,
        incarnation=reading.incarnation,
        running=reading.running,
        waiting=reading.waiting,
        batch_running=reading.batch_running,
        batch_waiting=reading.batch_waiting,
        kv_blocks_used=reading.kv_blocks_used,
        kv_blocks_total=reading.kv_blocks_total,
        step_ms=reading.step_ms,
        models=reading.models,
        versions=reading.versions,
        leaving=reading.leaving,
    )
