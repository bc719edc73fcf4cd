"""Promise: an accepted item completes exactly once, and its result stays readable afterwards."""

from __future__ import annotations

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.world import FINAL_STATES, World

from testbed.fleet.caller import expected_text, result_text

pytestmark = pytest.mark.fleet

KILLER = "item-0"
LONG_ITEM_TOKENS = 300

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


@when("each engine that runs the first item is killed until the job has ended")
def kill_the_killers_engines(world: World) -> None:
    killed: set[tuple[str, int]] = set()

    def kill_or_end() -> bool:
        for run in world.fleet.executions(world.contents[KILLER]):
            name = (run.runner_id, run.started_ms)
            is_killer = run.prompt.endswith(world.contents[KILLER])
            if is_killer and not run.finish and name not in killed:
                killed.add(name)
                # Waiting here until the engine is healthy would let the item end elsewhere.
                world.fleet.begin_restart(run.runner_id)
        return world.job_now().get("status") in FINAL_STATES

    world.wait(kill_or_end, "the job has ended", lambda: f"{len(killed)} killed")
    world.notes["killed"] = len(killed)


@then(
    parsers.parse(
        "the first item has failed after {count:d} lost engines, "
        "and every other one has its right result"
    )
)
def only_the_killer_failed(world: World, count: int) -> None:
    assert world.notes["killed"] == count
    lines = {
        line["custom_id"]: line for line in world.batch_callers()[0].results(world.batch["id"])
    }
    assert sorted(lines) == sorted(world.contents)
    failed = lines.pop(KILLER)
    assert failed["error"]["code"] == "failed", failed
    assert failed["response"]["body"]["error"]["type"] == "runner_lost", failed
    model = world.fleet.scenario.batch_model()
    for name, line in lines.items():
        assert result_text(line) == expected_text(model, world.contents[name], LONG_ITEM_TOKENS)
