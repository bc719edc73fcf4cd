"""What the steps of one scenario know, and the waiting and searching that they share."""

from __future__ import annotations

import time
import uuid
from dataclasses import dataclass, field
from typing import Any

from testbed.engine.types import FinishReason
from testbed.fleet.caller import Caller, CallerAnswer, expected_text, job_line
from testbed.fleet.fleet import Fleet
from testbed.fleet.operator import Operator
from testbed.fleet.traffic import Traffic

ITEM_TOKENS = 24
WAIT_S = 90.0
FINAL_STATES = ("completed", "cancelled", "expired")


@dataclass
class World:
    """State of one scenario.

    Attributes:
        fleet: Running fleet.
        label: Unique word in every prompt of this scenario, to find its executions by.
        contents: Prompt of each item of the job, by custom id.
        batch: Batch object of the accepted job.
        answers: Answers to the online requests of this scenario, in their order.
        traffic: Online requests in the background, if there are any.
        notes: Anything one step leaves for another.
    """

    fleet: Fleet
    label: str = field(default_factory=lambda: f"w{uuid.uuid4().hex[:10]}")
    contents: dict[str, str] = field(default_factory=dict)
    batch: dict[str, Any] = field(default_factory=dict)
    answers: list[CallerAnswer] = field(default_factory=list)
    traffic: Traffic | None = None
    notes: dict[str, Any] = field(default_factory=dict)

    @property
    def operator(self) -> Operator:
        """An operator who may call any control process."""
        return Operator(self.fleet)

    def caller(self, gateway: str, key: str = "") -> Caller:
        """Return a caller of a gateway, by default with the online tenant's key."""
        address = self.fleet.planned(gateway).address
        return Caller(f"http://{address}", key or self.fleet.scenario.online_key)

    def batch_callers(self) -> list[Caller]:
        """Return a caller of each gateway with the batch tenant's key."""
        key = self.fleet.scenario.batch_key
        return [self.caller(name, key) for name in self.fleet.gateway_names()]

    def job_lines(self, count: int, tokens: int = ITEM_TOKENS) -> list[dict[str, object]]:
        """Return the lines of a job, and remember their prompts."""
        model = self.fleet.scenario.batch_model()
        self.contents = {f"item-{i}": f"{self.label} item {i}" for i in range(count)}
        return [job_line(name, model, text, tokens) for name, text in self.contents.items()]

    def items_run(self) -> int:
        """Return how many items of the job have been run to their end by an engine."""
        executions = self.fleet.executions(f"{self.label} item")
        return len({e.prompt for e in executions if e.finish == FinishReason.LENGTH})

    def expected_item(self, custom_id: str) -> str:
        """Return the right text of an item."""
        model = self.fleet.scenario.batch_model()
        return expected_text(model, self.contents[custom_id], ITEM_TOKENS)

    def job_now(self) -> dict[str, Any]:
        """Return the batch object from the first gateway that gives it; empty if none does."""
        key = self.fleet.scenario.batch_key
        for name in self.fleet.gateway_names():
            if self.fleet.is_struck(name):
                continue
            job = self.caller(name, key).job(self.batch["id"])
            if "status" in job:
                return job
        return {}

    def wait(self, condition: Any, what: str, explain: Any = str) -> None:
        """Wait until a condition holds; FleetError when it does not in the generous limit."""
        self.fleet.wait_for(condition, what, explain, WAIT_S)

    def wait_until_ms(self, wall_ms: int) -> None:
        """Wait until a wall-clock time has passed."""
        self.wait(lambda: time.time() * 1000 > wall_ms, "the time has passed")


def now_ms() -> int:
    """Return the wall clock in milliseconds."""
    return int(time.time() * 1000)
