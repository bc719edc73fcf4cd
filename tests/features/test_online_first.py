"""Promise: online requests never wait behind batch work."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import parsers, scenarios, then, when
from tests.features.world import World

from testbed.fleet.caller import expected_text

pytestmark = pytest.mark.fleet

ONLINE_TOKENS = 16
PARALLEL = 6

scenarios("online_first.feature")


@when(parsers.parse("{count:d} online requests are sent to the batch job's own runners"))
def online_on_batch_runners(world: World, count: int) -> None:
    model = world.fleet.scenario.batch_model()
    names = world.fleet.gateway_names()
    contents = [f"{world.label} online {number}" for number in range(count)]

    def ask(number: int) -> None:
        caller = world.caller(names[number % len(names)])
        results[number] = caller.chat(model, contents[number], ONLINE_TOKENS)

    results: dict[int, object] = {}
    with ThreadPoolExecutor(PARALLEL) as pool:
        list(pool.map(ask, range(count)))
    world.answers = [results[number] for number in range(count)]  # type: ignore[misc]
    world.notes["expected"] = [expected_text(model, text, ONLINE_TOKENS) for text in contents]
    world.notes["items_run"] = world.items_run()


@then("at least half of the job was still unfinished then")
def job_unfinished(world: World) -> None:
    assert world.notes["items_run"] < len(world.contents) / 2


@then("every online request had a higher priority at its runner than every item")
def higher_priority(world: World) -> None:
    online = [e.priority for e in world.fleet.executions(f"{world.label} online")]
    items = [e.priority for e in world.fleet.executions(f"{world.label} item")]
    assert len(online) >= len(world.answers)
    assert min(online) > max(items)
