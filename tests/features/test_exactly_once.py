"""Promise: an accepted item completes exactly once, and its result stays readable afterwards."""

from __future__ import annotations

import pytest
from pytest_bdd import scenarios, then, when
from tests.features.world import World

pytestmark = pytest.mark.fleet

scenarios("exactly_once.feature")


@then("the fault has struck before all items had run")
def struck_in_time(world: World) -> None:
    assert world.notes["items_run"] < len(world.contents)


@when("the same job is sent again through another gateway")
def job_sent_again(world: World) -> None:
    caller = world.batch_callers()[1]
    world.notes["again"] = caller.submit_job(world.notes["lines"], idempotency_key=world.label)


@then("both sends gave the same job")
def same_job(world: World) -> None:
    assert world.notes["again"].get("id") == world.batch["id"], world.notes["again"]
