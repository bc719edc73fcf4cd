"""Promise: a cancelled job stops."""

from __future__ import annotations

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.world import World, now_ms

pytestmark = pytest.mark.fleet

OBSERVED_MS = 1_500

scenarios("cancelled_job.feature")


@when("the job is cancelled")
def cancel(world: World) -> None:
    answer = world.batch_callers()[-1].cancel_job(world.batch["id"])
    assert answer.get("status") == "cancelled", answer


@when(parsers.parse("{limit:d} s have passed, in which {reason}"))
def cancellation_known(world: World, limit: int, reason: str) -> None:
    world.notes["limit_ms"] = now_ms() + limit * 1000
    world.wait_until_ms(world.notes["limit_ms"])


@then("no item of the job starts any more")
def nothing_starts(world: World) -> None:
    limit_ms = world.notes["limit_ms"]
    world.wait_until_ms(limit_ms + OBSERVED_MS)
    late = [e for e in world.fleet.executions(world.label) if e.started_ms > limit_ms]
    assert not late, late[:3]


@then("no engine runs an item of the job")
def nothing_runs(world: World) -> None:
    running = [e for e in world.fleet.executions(world.label) if not e.finish]
    assert not running, running[:3]


@then("the job stays cancelled with items that never ran")
def stays_cancelled(world: World) -> None:
    job = world.job_now()
    assert job["status"] == "cancelled", job
    assert job["request_counts"]["cancelled"] > 0, job
    ran = {execution.prompt for execution in world.fleet.executions(world.label)}
    assert len(ran) < len(world.contents)
